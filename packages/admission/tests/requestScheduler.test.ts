import { asId, type FailureDomain, type HostId } from "@wasabivane/common";
import test from "ava";
import {
  buildPendingRequest,
  buildScheduler,
  buildUpstream,
  PLANS,
  type SchedulerHarness,
} from "./helpers/build.ts";

function createScheduler({ upstreams = 2, slots = 1 } = {}): SchedulerHarness {
  return buildScheduler(
    Array.from(
      { length: upstreams },
      (_, index) => buildUpstream(index, { slots }),
    ),
  );
}

test("a request gets a free upstream at once", (t) => {
  const { scheduler } = createScheduler();
  const pending = buildPendingRequest("a");
  scheduler.submit(pending, 0);
  t.is(pending.decision?.kind, "place");
});

test("the most urgent request gets the slot that becomes free", (t) => {
  const { scheduler, begin, end } = createScheduler({ upstreams: 1 });
  const first = buildPendingRequest("first");
  scheduler.submit(first, 0);
  if (first.decision?.kind !== "place") return t.fail();
  begin(first.decision.upstream.upstream);
  const later = buildPendingRequest("later", { tier: 3 });
  const urgent = buildPendingRequest("urgent", { tier: 1 });
  scheduler.submit(later, 1);
  scheduler.submit(urgent, 2);
  t.is(later.decision, undefined);
  end(first.decision.upstream.upstream, 100);
  t.is(urgent.decision?.kind, "place");
  t.is(later.decision, undefined);
});

test("the load of peers counts at an upstream", (t) => {
  const { scheduler, directory } = createScheduler({ upstreams: 1 });
  const [only] = directory.of(PLANS);
  scheduler.load.setPeerLoad(asId<HostId>("peer"), {
    inFlight: new Map([[only!.upstream, {
      requests: 1,
      pendingPrefillTokens: 0,
    }]]),
  }, 0);
  const pending = buildPendingRequest("a");
  scheduler.submit(pending, 0);
  t.is(pending.decision, undefined);
  t.true(scheduler.load.expirePeers(3_000));
  scheduler.review(3_000 - 1_500);
  t.is(pending.decision?.kind, "place");
});

test("a request is placed once even if an earlier decision re-enters the scheduler", (t) => {
  // Guards against placing a request twice when a decision before it frees its
  // slot at once and re-enters the scheduler.
  const { scheduler, directory, begin, end } = createScheduler({
    upstreams: 1,
    slots: 2,
  });
  const [only] = directory.of(PLANS);
  const peer = asId<HostId>("peer");
  scheduler.load.setPeerLoad(peer, {
    inFlight: new Map([[only!.upstream, {
      requests: 2,
      pendingPrefillTokens: 0,
    }]]),
  }, 0);
  const placed: string[] = [];
  const failing = {
    ...buildPendingRequest("failing"),
    decide: () => {
      placed.push("failing");
      begin(only!.upstream);
      end(only!.upstream, 1);
    },
  };
  const second = {
    ...buildPendingRequest("second", { since: 1 }),
    decide: () => {
      placed.push("second");
      begin(only!.upstream);
    },
  };
  scheduler.submit(failing, 0);
  scheduler.submit(second, 0);
  scheduler.load.setPeerLoad(peer, { inFlight: new Map() }, 1);
  scheduler.review(1);
  t.deepEqual(placed, ["failing", "second"]);
});

test("a request is refused when its response is no longer useful", (t) => {
  const { scheduler } = createScheduler({ upstreams: 0 });
  const pending = buildPendingRequest("a", { usefulUntil: 1_000 });
  scheduler.submit(pending, 0);
  scheduler.review(999);
  t.is(pending.decision, undefined);
  scheduler.review(1_000);
  t.like(pending.decision, { kind: "refuse", reason: "waited-out" });
});

test("a request that was sent to every upstream is refused at once", (t) => {
  const { scheduler } = createScheduler({ upstreams: 2 });
  const pending = buildPendingRequest("a", { excluded: ["u0", "u1"] });
  scheduler.submit(pending, 0);
  t.like(pending.decision, { kind: "refuse", reason: "no-other-upstream" });
});

/** Starts urgent requests one after another, every 50 ms, from 0 to `until`. */
function keepBusy(
  { scheduler, directory, begin, end }: SchedulerHarness,
  { until, onStep }: { until: number; onStep: (now: number) => void },
): void {
  const [only] = directory.of(PLANS);
  begin(only!.upstream);
  for (let now = 0; now <= until; now += 50) {
    const urgent = buildPendingRequest(`urgent-${now}`, {
      since: now,
      onTimeUntil: now + 400,
      usefulUntil: now + 2_000,
    });
    scheduler.submit(urgent, now);
    end(only!.upstream, now);
    begin(only!.upstream);
    onStep(now);
    scheduler.review(now);
  }
}

test("requests of a tier that does not start are refused early, except the next one", (t) => {
  // Guards against holding requests until their deadline although the start
  // rates show early that they cannot start.
  const harness = createScheduler({ upstreams: 1 });
  const lower = Array.from(
    { length: 10 },
    (_, index) =>
      buildPendingRequest(`lower-${index}`, {
        tier: 3,
        since: index,
        usefulUntil: 3_000,
      }),
  );
  keepBusy(harness, {
    until: 1_500,
    onStep: (now) => {
      if (now > 0) return;
      for (const pending of lower) harness.scheduler.submit(pending, 0);
    },
  });
  const refused = lower.filter(({ decision }) => decision?.kind === "refuse");
  t.true(refused.length >= 5);
  t.is(lower[0]!.decision, undefined);
});

test("a new request is queued although many late ones wait", (t) => {
  // Guards against refusing a request because of late requests that start after
  // it.
  const harness = createScheduler({ upstreams: 1 });
  const newer = buildPendingRequest("newer", {
    since: 1_500,
    onTimeUntil: 1_900,
    usefulUntil: 3_000,
  });
  keepBusy(harness, {
    until: 1_450,
    onStep: (now) => {
      if (now > 0) return;
      for (let index = 0; index < 40; index++) {
        const late = buildPendingRequest(`late-${index}`, {
          onTimeUntil: 0,
          usefulUntil: 60_000,
        });
        harness.scheduler.submit(late, 0);
      }
    },
  });
  harness.scheduler.submit(newer, 1_500);
  t.not(newer.decision?.kind, "refuse");
});

test("continuations start first in their tier and are never refused because of the queue", (t) => {
  // Guards against ending a stream that could be continued: by its arrival time
  // it would count as late.
  const { scheduler, begin, end } = createScheduler({ upstreams: 1 });
  const running = buildPendingRequest("running");
  scheduler.submit(running, 0);
  if (running.decision?.kind !== "place") return t.fail();
  const { upstream } = running.decision.upstream;
  begin(upstream);
  const newer = buildPendingRequest("newer", {
    tier: 2,
    since: 8_000,
    onTimeUntil: 8_500,
    usefulUntil: 11_000,
  });
  const continuation = buildPendingRequest("continuation", {
    tier: 2,
    isContinuation: true,
  });
  const urgent = buildPendingRequest("urgent", {
    since: 8_000,
    onTimeUntil: 8_500,
    usefulUntil: 11_000,
  });
  scheduler.submit(newer, 8_000);
  scheduler.submit(continuation, 8_010);
  scheduler.submit(urgent, 8_020);
  scheduler.review(8_100);
  t.is(continuation.decision, undefined);
  for (const expected of [urgent, continuation, newer]) {
    end(upstream, 8_200);
    t.is(expected.decision?.kind, "place");
    begin(upstream);
  }
});

test("a coordinator places a request in the failure domain of the sending host", (t) => {
  // Guards against placement by the failure domain of the coordinator instead
  // of the sending host.
  const domains = ["north", "south"].map((name) => asId<FailureDomain>(name));
  const { scheduler } = buildScheduler(
    domains.map((failureDomain, index) =>
      buildUpstream(index, { failureDomain, slots: 8 })
    ),
  );
  for (const [index, failureDomain] of domains.entries()) {
    const pending = Object.assign(buildPendingRequest(`q${index}`), {
      failureDomain,
    });
    scheduler.submit(pending, 0);
    t.like(pending.decision, { upstream: { failureDomain } });
  }
});
