import test from "ava";
import {
  asId,
  type FailureDomain,
  type HostId,
  SeededRandom,
} from "@wasabivane/common";
import { STOP_PHASE, StopSlots } from "@wasabivane/coordination";
import { PLAN, StopFleet } from "./helpers/stopFleet.ts";

/** Seed in which two hosts stopped at once after a granter had restarted. */
const REGRESSION_SEED = 1228;

test("a grant is void once its host restarts and requests a slot itself", (t) => {
  // A restarted host begins its logical clock anew, so its request precedes the
  // one that its former process granted.
  const domain = asId<FailureDomain>("domain");
  const [a, b] = [asId<HostId>("a"), asId<HostId>("b")];
  const slots = new StopSlots({ self: b, domain });
  const neighbour = { host: a, failureDomain: domain, state: "alive" } as const;
  slots.setMembers([{ ...neighbour, incarnation: "old" }], 0);
  const { clock } = slots.request();
  slots.applyGrant({ host: a, incarnation: "old", clock }, 0);
  t.true(slots.handleRequest({ host: a, incarnation: "new", clock }, 0));
  t.false(slots.tryAcquire(1, 0));
  slots.applyGrant({ host: a, incarnation: "old", clock }, 0);
  t.false(slots.tryAcquire(1, 0));
  slots.applyGrant({ host: a, incarnation: "new", clock }, 0);
  t.true(slots.tryAcquire(1, 0));
});

test("a stop goes through its phases and waits for running streams", async (t) => {
  const fleet = new StopFleet();
  fleet.at(1).openStreams = 2;
  fleet.stop(1);
  await fleet.advance(1_000);
  t.is(fleet.phaseOf(1), "unready");
  await fleet.advance(20_000);
  t.is(fleet.phaseOf(1), "draining");
  fleet.at(1).openStreams = 0;
  await fleet.advance(1_000);
  t.deepEqual(fleet.at(1).phases, [
    "waiting-for-slot",
    "unready",
    "draining",
    "handing-over",
    "ended",
  ]);
  t.deepEqual(fleet.at(1).blackboard.read(STOP_PHASE), {
    kind: "ended",
    openStreams: 0,
    isHandedOver: true,
  });
});

test("streams that outlast the plan are reported", async (t) => {
  const fleet = new StopFleet();
  fleet.at(1).openStreams = 1;
  fleet.stop(1);
  await fleet.advance(PLAN.streamsMs + 5_000);
  const phase = fleet.at(1).blackboard.read(STOP_PHASE);
  t.is(phase.kind === "ended" && phase.openStreams, 1);
});

test("two hosts of one failure domain stopped at once stop one after the other", async (t) => {
  for (let seed = 1; seed <= 10; seed++) {
    const fleet = new StopFleet({ seed });
    fleet.stop(1, 3);
    await fleet.advance(15_000);
    t.is(fleet.phaseOf(1), "ended");
    t.is(fleet.phaseOf(3), "ended");
    t.is(fleet.mostAtOnce, 1);
  }
});

test("hosts of different failure domains do not wait for each other", async (t) => {
  const fleet = new StopFleet();
  fleet.stop(1, 2);
  await fleet.advance(1_000);
  t.is(fleet.phaseOf(1), "unready");
  t.is(fleet.phaseOf(2), "unready");
});

test("a whole failure domain stops one host at a time", async (t) => {
  const fleet = new StopFleet();
  fleet.stop(1, 3, 5);
  await fleet.advance(20_000);
  for (const index of [1, 3, 5]) t.is(fleet.phaseOf(index), "ended");
  t.is(fleet.mostAtOnce, 1);
  for (const index of [2, 4, 6]) t.is(fleet.phaseOf(index), "serving");
});

test("a host that dies during its stop holds its slot for a minute", async (t) => {
  const fleet = new StopFleet();
  fleet.at(1).openStreams = 1;
  fleet.stop(1);
  await fleet.advance(3_000);
  fleet.stop(3);
  fleet.kill(1);
  await fleet.advance(30_000);
  t.is(fleet.phaseOf(3), "waiting-for-slot");
  await fleet.advance(50_000);
  t.is(fleet.phaseOf(3), "ended");
});

test("a host that dies during its stop frees its slot when it restarts", async (t) => {
  const fleet = new StopFleet();
  fleet.at(1).openStreams = 1;
  fleet.stop(1);
  await fleet.advance(3_000);
  fleet.stop(3);
  fleet.kill(1);
  await fleet.advance(5_000);
  fleet.restart(1);
  await fleet.advance(8_000);
  t.is(fleet.phaseOf(3), "ended");
  t.is(fleet.phaseOf(1), "serving");
});

test("lost, duplicate and late messages never let two hosts of a domain stop at once", async (t) => {
  // A restarted host begins its logical clock anew and may precede a neighbour
  // that its former process granted.
  for (const seed of [...Array(30).keys(), REGRESSION_SEED]) {
    const fleet = new StopFleet({ size: 4, domains: 1, seed, jitterMs: 400 });
    fleet.network.setFaults({ dropShare: 0.3, duplicateShare: 0.3 });
    const random = new SeededRandom(seed);
    for (let event = 0; event < 12; event++) {
      const index = 1 + random.int(4);
      if (fleet.phaseOf(index) !== "serving" && random.int(2) === 0) {
        if (fleet.at(index).isAlive) fleet.kill(index);
        fleet.restart(index);
      } else {
        fleet.at(index).openStreams = random.int(2);
        fleet.stop(index);
      }
      await fleet.advance(random.int(4_000));
      for (const host of fleet.hosts) host.openStreams = 0;
    }
    t.true(fleet.mostAtOnce <= 1, `seed ${seed}`);
  }
});
