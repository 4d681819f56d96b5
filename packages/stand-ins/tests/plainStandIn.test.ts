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

function putDraft(
  url: string,
  headers: Record<string, string>,
): Promise<Response> {
  return fetch(`${url}/casefile/intake?draft=1`, {
    method: "PUT",
    headers,
    body: "holidays",
  });
}

test("a request is echoed with its nonce and counted by key", async (t) => {
  const { plain, url } = await startPlain(t);
  const response = await putDraft(url, {
    "x-request-nonce": "n1",
    "idempotency-key": "k1",
  });
  t.is(response.headers.get("x-request-nonce"), "n1");
  t.deepEqual(await response.json(), {
    method: "PUT",
    path: "/casefile/intake?draft=1",
    body: "holidays",
  });
  await putDraft(url, { "x-request-nonce": "n2", "idempotency-key": "k1" });
  t.deepEqual(plain.runs, {
    total: 2,
    byKey: { k1: 2 },
    byNonce: { n1: 1, n2: 1 },
  });
});

// Guards against runs that are missed or counted twice for failed requests.
test("a reset after the run counts as a run, a refusal does not", async (t) => {
  const { plain, url } = await startPlain(t);
  plain.control("reset-after-run");
  await t.throwsAsync(putDraft(url, { "idempotency-key": "k1" }));
  t.is(plain.runs.byKey["k1"], 1);
  plain.control("refuse");
  t.is((await putDraft(url, { "idempotency-key": "k2" })).status, 503);
  t.is(plain.runs.byKey["k2"], undefined);
  plain.control("wrong-nonce");
  const wrong = await putDraft(url, { "x-request-nonce": "n1" });
  t.not(wrong.headers.get("x-request-nonce"), "n1");
});

// Guards against run counts inflated by load polling.
test("load reports do not count as runs", async (t) => {
  const service = new PlainStandIn();
  const { url } = await service.start();
  t.teardown(() => service.stop());
  const report = await (await fetch(`${url}/v1/load`)).json() as {
    running: number;
  };
  t.is(report.running, 0);
  t.is(service.runs.total, 0);
});
