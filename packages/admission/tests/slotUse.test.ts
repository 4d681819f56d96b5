import test from "ava";
import { buildScheduler, buildUpstream, PLANS } from "./helpers/build.ts";

test("slots of ejected upstreams are told apart from taken and free ones", (t) => {
  // Guards against a queue of which nobody can say what keeps it.
  const upstreams = [0, 1, 2].map((index) => buildUpstream(index));
  const { scheduler, stats, begin } = buildScheduler(upstreams);
  const [first, second] = upstreams;
  begin(first!.upstream);
  stats.record({
    upstream: second!.upstream,
    service: PLANS,
    outcome: "unreachable",
    residence: 250,
  }, 0);
  const { taken, ejected, limited, free } = scheduler.slotUse(PLANS, 1);
  const { capacity } = scheduler.counts(PLANS, 1);
  t.deepEqual([taken, ejected, limited], [1, capacity / 3, 0]);
  t.is(taken + ejected + limited + free, capacity);
});
