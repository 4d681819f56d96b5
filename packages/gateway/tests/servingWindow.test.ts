import { Buffer } from "node:buffer";
import { asId, type ClientAccountId } from "@wasabivane/common";
import test from "ava";
import { ok } from "neverthrow";
import {
  buildPolicy,
  buildRoute,
  responseHead,
  startUpstream,
  waitUntil,
} from "./helpers/fleet.ts";
import { startStoppingHost } from "./helpers/stoppingHost.ts";

const NOT_RUN = /^HTTP\/1.1 503 [^]*retry-after: 0.000[^]*"stopping"/;

/** An attempt of a route without samples is taken to last 1.5 s. */
const AT_MOST_ONCE = {
  repeatability: "at-most-once",
  timeout: 10_000,
} as const;
const STREAM = {
  isStreaming: true,
  repeatability: "resumable",
  timeout: 20_000,
} as const;

test("a body that is not whole in time is refused as not run", async (t) => {
  // Guards against requests that are passed on and cut since their bodies end late.
  const upstream = await startUpstream(() => {});
  const { open, stop, until } = await startStoppingHost(t, {
    upstreams: [upstream],
    route: AT_MOST_ONCE,
  });
  await stop();
  await until(2_200);
  const [first, second] = [open("q1"), open("q2")];
  await until(4_000);
  first.socket.write("x");
  await waitUntil(() => upstream.received.length === 1);
  await until(6_800);
  t.regex(second.text(), NOT_RUN);
  second.socket.write("x");
  await until(7_300);
  t.deepEqual(upstream.received.map(({ header }) => header("id")), ["q1"]);
});

test("a request that waits for quota too long is not passed on", async (t) => {
  // Guards against requests that are sent when there is no time left for them.
  const upstream = await startUpstream(() => {});
  const { host, open, stop, until } = await startStoppingHost(t, {
    upstreams: [upstream],
    route: AT_MOST_ONCE,
  });
  let grant = (): void => {};
  const { quotaGate } = host.gateway.context;
  quotaGate.charge = async () => {
    await new Promise<void>((resolve) => (grant = resolve));
    return ok(undefined);
  };
  const { context } = host.gateway;
  const account = {
    account: asId<ClientAccountId>("family"),
    apiKeys: ["k"],
    quota: {
      unit: "requests",
      perSecond: 9,
      burst: 9,
      plainTokens: 1,
    },
  } as const;
  const policy = {
    ...buildPolicy({ version: 2, routes: [buildRoute(AT_MOST_ONCE)] }),
    accounts: [account],
  };
  host.gateway.adoptPolicy(Buffer.from(JSON.stringify(policy)), {
    confirmedAt: context.elapsed.now(),
    revision: 2,
  });
  await stop();
  await until(2_000);
  const { socket, text } = open("q1");
  await until(5_400);
  socket.write("x");
  await until(6_500);
  grant();
  await until(6_800);
  t.regex(text(), NOT_RUN);
  t.is(upstream.received.length, 0);
});

test("a stream whose origin is not found in time is refused", async (t) => {
  // Guards against searches that last until the process has ended.
  const upstream = await startUpstream(() => {});
  const { host, send, stop, until } = await startStoppingHost(t, {
    upstreams: [upstream],
    route: STREAM,
  });
  host.gateway.context.streamOrigins.resolve = () => new Promise(() => {});
  await stop();
  const { text } = send("q1", { "last-event-id": "3" });
  await until(6_800);
  t.regex(text(), NOT_RUN);
});

test("a request that gets no slot in time is refused as not run", async (t) => {
  // Guards against queues that hold requests until the process ends.
  const upstream = await startUpstream(() => {});
  const { send, stop, until } = await startStoppingHost(t, {
    upstreams: [upstream],
    slots: 1,
    route: { ...AT_MOST_ONCE, target: 60_000, timeout: 20_000 },
  });
  const first = send("q1");
  await waitUntil(() => upstream.received.length === 1);
  const second = send("q2");
  await stop();
  await until(6_800);
  t.regex(second.text(), NOT_RUN);
  t.is(first.text(), "");
  await until(7_500);
  // It may have run.
  t.regex(first.text(), /^HTTP\/1.1 504 [^]*"stopping"/);
});

for (const isRun of [false, true]) {
  const name = isRun ? "may have run" : "has not run";
  test(`a late attempt that ${name} is not repeated`, async (t) => {
    // Guards against second attempts that the end of the process cuts.
    const upstreams = await Promise.all(
      [0, 1].map(() => startUpstream(() => {})),
    );
    const { send, stop, until } = await startStoppingHost(t, {
      upstreams,
      // No upstream counts as silent.
      route: {
        timeout: 10_000,
        target: 20_000,
        repeatability: isRun ? "idempotent" : "at-most-once",
      },
    });
    const received = () => upstreams.flatMap((each) => each.received);
    await stop();
    await until(2_000);
    const { text } = send("q1");
    await until(6_600);
    t.is(received().length, 1);
    const [first] = received();
    if (isRun) first!.socket.destroy();
    else {
      const headers = { "not-run": "1", "content-length": 0 };
      first!.socket.write(
        responseHead(first!, headers).replace("200 OK", "503 Unavailable"),
      );
    }
    await until(6_800);
    t.regex(text(), isRun ? /^HTTP\/1.1 502 / : NOT_RUN);
    t.is(received().length, 1);
  });
}

test("requests that last as long as usual are served late in the grace", async (t) => {
  // Guards against hosts that refuse all that comes while they stop.
  const upstream = await startUpstream((received) =>
    received.socket.write(
      `${responseHead(received, { "content-length": 2 })}ok`,
    )
  );
  const { send, stop, until, timer } = await startStoppingHost(t, {
    upstreams: [upstream],
    // Taken to last 4 s until one has been served.
    route: { target: 20_000, timeout: 20_000 },
  });
  const first = send("q1");
  await until(timer.now() + 100);
  t.regex(first.text(), /^HTTP\/1.1 200 /);
  await stop();
  await until(1_500);
  const open = send("q2", { "content-length": "6" });
  await until(5_700);
  open.socket.write("x");
  await until(5_800);
  t.regex(open.text(), /^HTTP\/1.1 200 /);
});

test("a stop ends in its grace though connections do not close", async (t) => {
  // Guards against processes that have to be killed.
  const upstream = await startUpstream(() => {});
  const { host, timer, until } = await startStoppingHost(t, {
    upstreams: [upstream],
  });
  host.gateway.context.connections.close = () => new Promise(() => {});
  let hasStopped = false;
  const startedAt = timer.now();
  void host.gateway.stop().then(() => (hasStopped = true));
  await until(startedAt + 7_900);
  t.true(hasStopped);
});

test("a short grace is used up to its last sixth", async (t) => {
  // Guards against a margin that takes a third of a short grace.
  const upstream = await startUpstream(() => {});
  const { send, stop, until } = await startStoppingHost(t, {
    upstreams: [upstream],
    shutdownGrace: 2_000,
  });
  const { text } = send("q1");
  await waitUntil(() => upstream.received.length === 1);
  await stop();
  await until(1_600);
  const [received] = upstream.received;
  const head = responseHead(received!, { "content-length": 2 });
  received!.socket.write(`${head}ok`);
  await until(1_620);
  t.regex(text(), /^HTTP\/1.1 200 /);
});
