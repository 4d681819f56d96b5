import { asId, type Digest, VirtualTimer } from "@wasabivane/common";
import { type Crash, PoisonRequestDetector } from "@wasabivane/admission";
import { CrashChecks, type GatewayContext } from "@wasabivane/gateway";
import test from "ava";
import { CrashWatch } from "../src/crashWatch.ts";
import { buildEntry } from "./helpers/fleet.ts";
import { collectUncaughtErrors } from "./helpers/uncaughtErrors.ts";

const UPSTREAM = buildEntry("u0", { address: "u0:1" });
const TRAITS = {
  fingerprint: asId<Digest>("f"),
  account: asId<Digest>("a"),
  parts: [],
};
const OTHER_TRAITS = { ...TRAITS, fingerprint: asId<Digest>("g") };
const REQUEST = {
  requestId: "q",
  traits: TRAITS,
  upstream: UPSTREAM,
  sentAt: 0,
};

/** Checks of one host whose upstreams are down from a time on. */
class CheckedHost {
  readonly timer = new VirtualTimer();
  readonly confirmed: Crash[] = [];
  looks = 0;
  downFrom = Infinity;
  /** Whether a response has said that the upstream leaves. */
  isLeaving = false;
  /** Whether looks stay without a result. */
  isProbeStuck = false;
  readonly checks = new CrashChecks({
    context: () => this.#context,
    probe: () => this.#probe(),
  });
  readonly #context = {
    timer: this.timer,
    crashes: new PoisonRequestDetector(),
    directory: {
      get: () => this.isLeaving ? undefined : UPSTREAM,
      findListed: () => UPSTREAM,
    },
    metrics: { count: () => {} },
    log: { write: () => {} },
    announceCrash: (crash: Crash) => this.confirmed.push(crash),
  } as unknown as GatewayContext;

  /** Lets time pass, and callbacks of promises run. */
  async advance(span: number): Promise<void> {
    for (let passed = 0; passed < span; passed += 50) {
      this.timer.advance(50);
      await new Promise((resolve) => setImmediate(resolve));
    }
  }

  #probe(): Promise<"up" | "down"> {
    this.looks++;
    if (this.isProbeStuck) return new Promise(() => {});
    return Promise.resolve(this.timer.now() >= this.downFrom ? "down" : "up");
  }
}

for (const downFrom of [50, 600, 3_000, 8_000]) {
  test(`an upstream that is down ${downFrom} ms after a broken response has crashed`, async (t) => {
    const host = new CheckedHost();
    host.downFrom = downFrom;
    host.checks.recordBreak(REQUEST);
    await host.advance(10_000);
    t.is(host.confirmed.length, 1);
  });
}

test("an upstream found down long after a broken response is no confirmed crash", async (t) => {
  const host = new CheckedHost();
  host.checks.recordBreak(REQUEST);
  await host.advance(10_500);
  host.checks.confirm(UPSTREAM.upstream);
  t.is(host.confirmed.length, 0);
});

test("an upstream that has completed a later request has not crashed under the broken one", async (t) => {
  const host = new CheckedHost();
  host.downFrom = 2_000;
  host.checks.recordBreak(REQUEST);
  await host.advance(1_800);
  host.checks.recordCompletion(UPSTREAM.upstream, 1_100);
  await host.advance(8_000);
  t.is(host.confirmed.length, 0);
});

test("a request that completes while the upstream ends refutes nothing", async (t) => {
  // Guards against a process that still answers for a moment.
  const host = new CheckedHost();
  host.downFrom = 600;
  host.checks.recordBreak(REQUEST);
  await host.advance(300);
  host.checks.recordCompletion(UPSTREAM.upstream, 200);
  await host.advance(2_000);
  t.is(host.confirmed.length, 1);
});

test("a broken response during a look is looked into as well", async (t) => {
  // Guards against a look without a result that swallows the next sign.
  const host = new CheckedHost();
  host.isProbeStuck = true;
  host.checks.recordBreak(REQUEST);
  host.checks.recordBreak({ ...REQUEST, traits: OTHER_TRAITS });
  host.checks.handleDeparture(UPSTREAM, "started again");
  await host.advance(50);
  t.is(host.confirmed.length, 2);
});

for (const downFrom of [100, 700]) {
  test(`a response that ends with its connection is no completion if the upstream is down ${downFrom} ms later`, async (t) => {
    // Guards against requests that are cleared as they crash their upstream.
    const host = new CheckedHost();
    host.downFrom = downFrom;
    host.checks.recordUnframedEnd(REQUEST, () => t.fail());
    await host.advance(10_000);
    t.is(host.confirmed.length, 1);
  });
}

test("a response that ends with its connection is a completion once its upstream has outlived it", async (t) => {
  const host = new CheckedHost();
  let isComplete = false;
  host.checks.recordUnframedEnd(REQUEST, () => (isComplete = true));
  await host.advance(900);
  t.false(isComplete);
  await host.advance(300);
  t.true(isComplete);
});

test("an upstream that leaves as announced has not crashed", async (t) => {
  const host = new CheckedHost();
  host.downFrom = 300;
  host.checks.recordBreak(REQUEST);
  await host.advance(200);
  host.checks.handleDeparture(UPSTREAM, "announced");
  await host.advance(10_000);
  t.is(host.confirmed.length, 0);
});

test("an upstream that says in a response that it leaves has not crashed", async (t) => {
  // Guards against planned ends that count against a request that broke before.
  const host = new CheckedHost();
  host.downFrom = 3_000;
  host.checks.recordBreak(REQUEST);
  await host.advance(1_000);
  host.isLeaving = true;
  await host.advance(10_000);
  t.is(host.confirmed.length, 0);
});

test("callers that leave do not keep a broken response from being looked into", async (t) => {
  const host = new CheckedHost();
  host.downFrom = 3_500;
  host.checks.recordBreak(REQUEST);
  await host.advance(2_000);
  const other = { ...REQUEST, traits: OTHER_TRAITS };
  host.checks.recordAbort(other);
  host.checks.recordAbort(other);
  await host.advance(2_500);
  t.true(host.confirmed.some(({ fingerprint }) => fingerprint === "f"));
});

test("an upstream whose entry lapses is looked at once more", async (t) => {
  // Guards against a process that hangs, and is killed between two looks.
  const host = new CheckedHost();
  host.downFrom = 4_500;
  host.checks.recordBreak(REQUEST);
  await host.advance(5_000);
  host.checks.handleDeparture(UPSTREAM, "removed");
  await host.advance(100);
  t.is(host.confirmed.length, 1);
});

test("an upstream that stays up is looked at few times", async (t) => {
  // Guards against checks that use up the connections an upstream accepts.
  const host = new CheckedHost();
  host.checks.recordBreak(REQUEST);
  await host.advance(20_000);
  t.is(host.looks, 6);
});

test("callers that leave in great numbers cause few looks", async (t) => {
  // Guards against a connection for each caller that gives up.
  const host = new CheckedHost();
  const upstreams = Array.from(
    { length: 50 },
    (_, index) => buildEntry(`u${index}`, { address: `u${index}:1` }),
  );
  for (let round = 0; round < 100; round++) {
    for (const upstream of upstreams) {
      host.checks.recordAbort({ ...REQUEST, upstream });
    }
    await host.advance(100);
  }
  t.true(host.looks <= 4 * 10 + 1, `${host.looks} looks in 10 s`);
});

test.serial("an upstream is looked at again after a look that throws", async (t) => {
  // Guards against retries that wait until their deadline for the end of a look.
  const timer = new VirtualTimer();
  let looks = 0;
  let settled = 0;
  const watch = new CrashWatch({
    timer,
    probe: () =>
      ++looks === 1
        ? Promise.reject(new Error("A look of the test"))
        : Promise.resolve("up"),
    onLook: () => {},
    onExpiry: () => {},
  });
  const uncaught = collectUncaughtErrors(t);
  watch.schedule([10, 20, 30], { settling: 15, lifetime: 100 });
  watch.whenSettled(() => settled++);
  for (let step = 0; step < 50; step++) {
    timer.advance(1);
    await new Promise((resolve) => setImmediate(resolve));
  }
  t.is(looks, 3);
  t.is(settled, 1);
  t.is(uncaught.length, 1);
});
