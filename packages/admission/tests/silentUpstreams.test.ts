import { type Milliseconds, VirtualTimer } from "@wasabivane/common";
import { type AttemptObservation, UpstreamStats } from "@wasabivane/admission";
import test from "ava";
import { buildUpstream, PLANS, WEST } from "./helpers/build.ts";
import { VirtualFleet } from "./helpers/virtualFleet.ts";

const { upstream: U0 } = buildUpstream(0);
/** Ends the first ejection of an upstream. */
const EJECTION_MS: Milliseconds = 400;

function silence(): AttemptObservation {
  return {
    upstream: U0,
    service: PLANS,
    outcome: "silent",
    residence: 1_000,
  };
}

test("an upstream that was silent for a while is not taken for restarted", (t) => {
  // Guards against a pause after which an upstream gets few requests for seconds.
  const stats = new UpstreamStats();
  stats.record(silence(), 1_000);
  t.true(stats.record(silence(), 1_010));
  t.true(stats.health.isEjected(U0, 1_020));
  t.false(stats.health.isEjected(U0, 1_010 + EJECTION_MS));
  t.false(stats.warmup.isWarmingUp(U0, 1_010 + EJECTION_MS));
});

test("a coordinator does not take an upstream for restarted after reports of silence", (t) => {
  // Guards against the same pause as hosts report it.
  const timer = new VirtualTimer();
  const fleet = new VirtualFleet({
    timer,
    hosts: 3,
    upstreams: [buildUpstream(0), buildUpstream(1)],
    failureDomains: [WEST],
    seed: 1,
  });
  timer.runUntil(2_000);
  for (const { client } of fleet.hosts) {
    client.end(buildUpstream(0), silence(), timer.now());
  }
  timer.runUntil(2_100);
  const coordinating = fleet.hosts.filter(({ coordinators }) =>
    coordinators.size > 0
  );
  t.true(coordinating.length > 0);
  for (const { stats } of coordinating) {
    t.false(stats.warmup.isWarmingUp(U0, timer.now()));
  }
});

test("an upstream whose connections failed may have restarted", (t) => {
  const stats = new UpstreamStats();
  stats.record({ ...silence(), outcome: "unreachable" }, 1_000);
  t.true(stats.warmup.isWarmingUp(U0, 1_000 + EJECTION_MS));
});
