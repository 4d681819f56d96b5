import { asId, type FailureDomain, type HostId } from "@wasabivane/common";
import test from "ava";
import {
  buildCandidate,
  buildScheduler,
  buildUpstream,
  PLANS,
  type SchedulerBench,
} from "./helpers/build.ts";

function createScheduler({ upstreams = 2, slots = 1 } = {}): SchedulerBench {
  return buildScheduler(
    Array.from(
      { length: upstreams },
      (_, index) => buildUpstream(index, { slots }),
    ),
  );
}

test("a request gets a free upstream at once", (t) => {
  const { scheduler } = createScheduler();
  const candidate = buildCandidate("a");
  scheduler.submit(candidate, 0);
  t.is(candidate.verdict?.kind, "place");
});

test("the most urgent request gets the place that comes free", (t) => {
  const { scheduler, begin, end } = createScheduler({ upstreams: 1 });
  const first = buildCandidate("first");
  scheduler.submit(first, 0);
  if (first.verdict?.kind !== "place") return t.fail();
  begin(first.verdict.upstream.upstream);
  const later = buildCandidate("later", { tier: 3 });
  const urgent = buildCandidate("urgent", { tier: 1 });
  scheduler.submit(later, 1);
  scheduler.submit(urgent, 2);
  t.is(later.verdict, undefined);
  end(first.verdict.upstream.upstream, 100);
  t.is(urgent.verdict?.kind, "place");
  t.is(later.verdict, undefined);
});

test("work of peers counts toward what an upstream runs", (t) => {
  const { scheduler, directory } = createScheduler({ upstreams: 1 });
  const [only] = directory.of(PLANS);
  scheduler.load.setPeerLoad(asId<HostId>("peer"), {
    inFlight: new Map([[only!.upstream, {
      requests: 1,
      pendingPrefillTokens: 0,
    }]]),
  }, 0);
  const candidate = buildCandidate("a");
  scheduler.submit(candidate, 0);
  t.is(candidate.verdict, undefined);
  t.true(scheduler.load.expirePeers(3_000));
  scheduler.review(3_000 - 1_500);
  t.is(candidate.verdict?.kind, "place");
});

test("a request is placed once, also when a verdict before it ends at once", (t) => {
  // Two requests wait and two places come free. The first one's connection fails in
  // the moment it is placed, which frees its place and fills places again from
  // within: the second request is placed there, and must not be placed a second time.
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
    ...buildCandidate("failing"),
    decide: () => {
      placed.push("failing");
      begin(only!.upstream);
      end(only!.upstream, 1);
    },
  };
  const second = {
    ...buildCandidate("second", { since: 1 }),
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

test("a request that waited until it is of no use is refused", (t) => {
  const { scheduler } = createScheduler({ upstreams: 0 });
  const candidate = buildCandidate("a", { usefulUntil: 1_000 });
  scheduler.submit(candidate, 0);
  scheduler.review(999);
  t.is(candidate.verdict, undefined);
  scheduler.review(1_000);
  t.like(candidate.verdict, { kind: "refuse", reason: "waited-out" });
});

test("a request that every upstream got already is refused at once", (t) => {
  const { scheduler } = createScheduler({ upstreams: 2 });
  const candidate = buildCandidate("a", { excluded: ["u0", "u1"] });
  scheduler.submit(candidate, 0);
  t.like(candidate.verdict, { kind: "refuse", reason: "no-other-upstream" });
});

/** Lets urgent requests start one after the other, every 50 ms, from 0 to `until`. */
function keepBusy(
  { scheduler, directory, begin, end }: SchedulerBench,
  { until, onStep }: { until: number; onStep: (now: number) => void },
): void {
  const [only] = directory.of(PLANS);
  begin(only!.upstream);
  for (let now = 0; now <= until; now += 50) {
    const urgent = buildCandidate(`urgent-${now}`, {
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

test("a lower tier that never starts is told so early, but for its next one", (t) => {
  // Urgent requests take every place for seconds. Ten of a lower tier wait behind
  // them and become late after 0.5 s. Held until they are of no use, their callers
  // would learn after 3 s what the pace of the line shows after one.
  const bench = createScheduler({ upstreams: 1 });
  const lower = Array.from(
    { length: 10 },
    (_, index) =>
      buildCandidate(`lower-${index}`, {
        tier: 3,
        since: index,
        usefulUntil: 3_000,
      }),
  );
  keepBusy(bench, {
    until: 1_500,
    onStep: (now) => {
      if (now > 0) return;
      for (const candidate of lower) bench.scheduler.submit(candidate, 0);
    },
  });
  const refused = lower.filter(({ verdict }) => verdict?.kind === "refuse");
  t.true(refused.length >= 5);
  t.is(lower[0]!.verdict, undefined);
});

test("a fresh request is taken in though many late ones wait", (t) => {
  // Forty requests are late and wait for what is left over. One that comes now can
  // be on time and starts before them; it must not be refused for their number.
  const bench = createScheduler({ upstreams: 1 });
  const fresh = buildCandidate("fresh", {
    since: 1_500,
    onTimeUntil: 1_900,
    usefulUntil: 3_000,
  });
  keepBusy(bench, {
    until: 1_450,
    onStep: (now) => {
      if (now > 0) return;
      for (let index = 0; index < 40; index++) {
        const late = buildCandidate(`late-${index}`, {
          onTimeUntil: 0,
          usefulUntil: 60_000,
        });
        bench.scheduler.submit(late, 0);
      }
    },
  });
  bench.scheduler.submit(fresh, 1_500);
  t.not(fresh.verdict?.kind, "refuse");
});

test("begun work goes on first in its tier and is never refused for the line", (t) => {
  // A stream broke off after seconds and waits for another upstream. Counted from
  // its arrival it would be late and of no use; refused, the half that its caller
  // has would break off. It goes before new work, but not before a higher tier.
  const { scheduler, begin, end } = createScheduler({ upstreams: 1 });
  const running = buildCandidate("running");
  scheduler.submit(running, 0);
  if (running.verdict?.kind !== "place") return t.fail();
  const { upstream } = running.verdict.upstream;
  begin(upstream);
  const fresh = buildCandidate("fresh", {
    tier: 2,
    since: 8_000,
    onTimeUntil: 8_500,
    usefulUntil: 11_000,
  });
  const begun = buildCandidate("begun", { tier: 2, isContinuation: true });
  const urgent = buildCandidate("urgent", {
    since: 8_000,
    onTimeUntil: 8_500,
    usefulUntil: 11_000,
  });
  scheduler.submit(fresh, 8_000);
  scheduler.submit(begun, 8_010);
  scheduler.submit(urgent, 8_020);
  scheduler.review(8_100);
  t.is(begun.verdict, undefined);
  for (const expected of [urgent, begun, fresh]) {
    end(upstream, 8_200);
    t.is(expected.verdict?.kind, "place");
    begin(upstream);
  }
});

test("a keeper places a request near the host that sends it, not near itself", (t) => {
  // One host keeps the places of three failure domains. Callers of another domain than
  // its own have their answers cross domains unless their own host counts.
  const domains = ["north", "south"].map((name) => asId<FailureDomain>(name));
  const { scheduler } = buildScheduler(
    domains.map((failureDomain, index) =>
      buildUpstream(index, { failureDomain, slots: 8 })
    ),
  );
  for (const [index, failureDomain] of domains.entries()) {
    const candidate = Object.assign(buildCandidate(`q${index}`), {
      failureDomain,
    });
    scheduler.submit(candidate, 0);
    t.like(candidate.verdict, { upstream: { failureDomain } });
  }
});
