import test, { type ExecutionContext } from "ava";
import { PlainStandIn } from "@wasabivane/stand-ins";

async function startPlain(
  t: ExecutionContext,
): Promise<{ plain: PlainStandIn; url: string }> {
  const plain = new PlainStandIn();
  const { url } = await plain.start();
  t.teardown(() => plain.stop());
  return { plain, url };
}

function save(url: string, headers: Record<string, string>): Promise<Response> {
  return fetch(`${url}/casefile/intake?draft=1`, {
    method: "PUT",
    headers,
    body: "holidays",
  });
}

test("a call is echoed with its nonce and counted by key", async (t) => {
  const { plain, url } = await startPlain(t);
  const answer = await save(url, {
    "x-request-nonce": "n1",
    "idempotency-key": "k1",
  });
  t.is(answer.headers.get("x-request-nonce"), "n1");
  t.deepEqual(await answer.json(), {
    method: "PUT",
    path: "/casefile/intake?draft=1",
    body: "holidays",
  });
  await save(url, { "x-request-nonce": "n2", "idempotency-key": "k1" });
  t.deepEqual(plain.runs, {
    total: 2,
    byKey: { k1: 2 },
    byNonce: { n1: 1, n2: 1 },
  });
});

// The service saves, then the connection breaks: the caller cannot know whether
// it ran. A refusal, in contrast, must leave no run behind.
test("a reset after the run counts, a refusal does not", async (t) => {
  const { plain, url } = await startPlain(t);
  plain.control("reset-after-run");
  await t.throwsAsync(save(url, { "idempotency-key": "k1" }));
  t.is(plain.runs.byKey["k1"], 1);
  plain.control("refuse");
  t.is((await save(url, { "idempotency-key": "k2" })).status, 503);
  t.is(plain.runs.byKey["k2"], undefined);
  plain.control("wrong-nonce");
  const wrong = await save(url, { "x-request-nonce": "n1" });
  t.not(wrong.headers.get("x-request-nonce"), "n1");
});

// An entry reads the load of the services whose pool it keeps. When that was
// counted as a run, every count of runs that took over a second was too high.
test("a load report is no run", async (t) => {
  const service = new PlainStandIn();
  const { url } = await service.start();
  t.teardown(() => service.stop());
  const report = await (await fetch(`${url}/v1/load`)).json() as {
    running: number;
  };
  t.is(report.running, 0);
  t.is(service.runs.total, 0);
});
