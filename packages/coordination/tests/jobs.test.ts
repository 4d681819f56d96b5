import test from "ava";
import { asId, type ClientAccountId } from "@wasabivane/common";
import { hostName } from "./helpers/configurationFleet.ts";
import { JobFleet, WHOLE } from "./helpers/jobFleet.ts";

const FIRST = hostName(1);

test("an accepted job has copies in two other failure domains", async (t) => {
  const fleet = new JobFleet();
  const job = await fleet.accept(FIRST);
  const domains = fleet.membersOf(job).map((host) =>
    fleet.hosts.get(host)!.domain
  );
  t.is(new Set(domains).size, 3);
  t.is(fleet.heldCopies(), 3);
  for (const host of fleet.hosts.keys()) {
    t.is(await fleet.statusAt(host, job), "waiting");
  }
});

test("a job runs once and is deleted after its response has been fetched", async (t) => {
  const fleet = new JobFleet();
  const job = await fleet.accept(FIRST);
  fleet.isDispatching = true;
  await fleet.advance(1_000);
  const nonMember = fleet.nonMemberOf(job);
  t.is(await fleet.statusAt(nonMember, job), "whole");
  const { controller } = fleet.hosts.get(nonMember)!;
  const other = controller.lookUp(job.id, asId<ClientAccountId>("rival"));
  await fleet.advance(1_100);
  t.deepEqual((await other)._unsafeUnwrapErr(), { kind: "not-found" });
  const fetching = controller.fetchOnce(job.id, job.account);
  await fleet.advance(1_100);
  t.is((await fetching)._unsafeUnwrap().kind, "ended");
  await fleet.advance(1_000);
  t.is(fleet.heldCopies(), 0);
  t.is(await fleet.statusAt(nonMember, job), "not-found");
  t.is(fleet.timesDispatched(job), 1);
});

test("a waiting job survives the loss of its holder and of the next one", async (t) => {
  // After each loss, a replica takes over the job and adds a new member.
  const fleet = new JobFleet();
  const job = await fleet.accept(FIRST);
  const copy = fleet.membersOf(job)[1]!;
  await fleet.kill(FIRST);
  await fleet.advance(6_000);
  t.is(fleet.heldCopies(), 3);
  await fleet.kill(copy);
  await fleet.advance(6_000);
  t.is(fleet.heldCopies(), 3);
  fleet.isDispatching = true;
  await fleet.advance(2_000);
  const [host] = fleet.hosts.keys();
  t.is(await fleet.statusAt(host!, job), "whole");
  t.is(fleet.timesDispatched(job), 1);
});

test("a lost replica is replaced", async (t) => {
  const fleet = new JobFleet();
  const job = await fleet.accept(FIRST);
  await fleet.kill(fleet.membersOf(job)[2]!);
  await fleet.advance(3_000);
  t.is(fleet.heldCopies(), 3);
  fleet.isDispatching = true;
  await fleet.advance(1_000);
  t.is(fleet.timesDispatched(job), 1);
});

test("a job with two members gets a third one when a host becomes available", async (t) => {
  // Otherwise a second loss would end the job.
  const fleet = new JobFleet({ size: 3 });
  await fleet.accept(FIRST);
  await fleet.kill(hostName(3));
  await fleet.advance(3_000);
  t.is(fleet.heldCopies(), 2);
  fleet.start(3);
  fleet.refreshMembers();
  await fleet.advance(4_000);
  t.is(fleet.heldCopies(), 3);
});

test("a host that no longer holds a job can hold it again", async (t) => {
  // The job moves away from a member during a partition; that host later is the
  // only possible replacement.
  const fleet = new JobFleet({ size: 4 });
  const job = await fleet.accept(FIRST);
  const [, second, third] = fleet.membersOf(job);
  const nonMember = fleet.nonMemberOf(job);
  await fleet.partition([[FIRST, second!, nonMember], [third!]]);
  await fleet.advance(3_000);
  fleet.heal();
  await fleet.advance(8_000);
  t.is(fleet.hosts.get(third!)!.controller.held.jobs, 0);
  await fleet.kill(nonMember);
  await fleet.advance(4_000);
  t.is(fleet.hosts.get(third!)!.controller.held.jobs, 1);
  fleet.isDispatching = true;
  await fleet.advance(1_000);
  t.is(fleet.timesDispatched(job), 1);
});

test("a holder resumed after an hour does not dispatch a job that was taken over", async (t) => {
  // The former holder still considers itself in charge; a second dispatch would
  // run the job twice.
  const fleet = new JobFleet();
  const job = await fleet.accept(FIRST);
  await fleet.pause(FIRST);
  fleet.isDispatching = true;
  await fleet.advanceCoarsely(3_600_000);
  t.is(fleet.timesDispatched(job), 1);
  fleet.wake(FIRST);
  await fleet.advance(10_000);
  fleet.refreshMembers();
  await fleet.advance(10_000);
  t.is(fleet.timesDispatched(job), 1);
  t.is(await fleet.statusAt(FIRST, job), "whole");
});

test("a successor resumes a recorded dispatch instead of dispatching again", async (t) => {
  const fleet = new JobFleet();
  const job = await fleet.accept(FIRST);
  const dispatching = fleet.dispatch(FIRST, job);
  await fleet.advance(20);
  t.is(await dispatching, "dispatched");
  await fleet.kill(FIRST);
  fleet.isDispatching = true;
  await fleet.advance(10_000);
  t.is(await fleet.statusAt(fleet.nonMemberOf(job), job), "whole");
  t.is(fleet.timesDispatched(job), 1);
});

test("a dispatch refused by the upstream is made elsewhere, once", async (t) => {
  // Otherwise the job would stay bound to an upstream that refused it.
  const fleet = new JobFleet();
  const job = await fleet.accept(FIRST);
  fleet.refusedShare = 1;
  const refused = fleet.dispatch(FIRST, job);
  await fleet.advance(20);
  t.is(await refused, "refused");
  await fleet.advance(20);
  t.is(await fleet.statusAt(fleet.nonMemberOf(job), job), "waiting");
  fleet.refusedShare = 0;
  await fleet.kill(FIRST);
  fleet.isDispatching = true;
  await fleet.advance(6_000);
  t.is(await fleet.statusAt(fleet.nonMemberOf(job), job), "whole");
  t.is(fleet.timesDispatched(job), 1);
});

test("a job whose holder dies between record and dispatch ends as unknown", async (t) => {
  // The replicas cannot know whether the recorded dispatch was made, so it must
  // not be made again.
  const fleet = new JobFleet();
  const job = await fleet.accept(FIRST);
  const { controller } = fleet.hosts.get(FIRST)!;
  const recording = controller.recordDispatch(job.id, {
    upstream: asId("drafter-1"),
    nonce: asId("n-1"),
  });
  await fleet.advance(20);
  t.true((await recording).isOk());
  await fleet.kill(FIRST);
  fleet.isDispatching = true;
  await fleet.advance(10_000);
  t.is(await fleet.statusAt(fleet.nonMemberOf(job), job), "unknown");
  t.is(fleet.timesDispatched(job), 0);
});

test("a partitioned holder cannot dispatch, but the other replicas can", async (t) => {
  const fleet = new JobFleet();
  const job = await fleet.accept(FIRST);
  const others = [...fleet.hosts.keys()].filter((host) => host !== FIRST);
  await fleet.partition([[FIRST], others]);
  const dispatching = fleet.dispatch(FIRST, job);
  await fleet.advance(3_000);
  t.is(await dispatching, "unconfirmed");
  fleet.isDispatching = true;
  await fleet.advance(10_000);
  t.is(fleet.timesDispatched(job), 1);
  fleet.heal();
  await fleet.advance(10_000);
  t.is(await fleet.statusAt(FIRST, job), "whole");
  t.is(fleet.timesDispatched(job), 1);
});

test("a job with two members ends as not run when one is lost before any dispatch", async (t) => {
  // Every choice needs both members, so the survivor knows that the job never
  // ran.
  for (const survivor of [0, 1]) {
    const fleet = new JobFleet({ size: 2, domains: 2 });
    const job = await fleet.accept(FIRST);
    const members = fleet.membersOf(job);
    await fleet.kill(members[1 - survivor]!);
    fleet.start(1 - survivor === 0 ? 1 : 2);
    fleet.refreshMembers();
    fleet.isDispatching = true;
    await fleet.advance(10_000);
    t.is(await fleet.statusAt(members[survivor]!, job), "not-run");
    t.is(fleet.timesDispatched(job), 0);
  }
});

test("the only survivor of three members ends the job as unknown", async (t) => {
  const fleet = new JobFleet({ size: 3 });
  const job = await fleet.accept(FIRST);
  const [, second, third] = fleet.membersOf(job);
  await fleet.kill(FIRST, second!);
  fleet.start(1);
  fleet.start(Number(second!.split("-")[1]));
  fleet.refreshMembers();
  fleet.isDispatching = true;
  await fleet.advance(10_000);
  t.is(await fleet.statusAt(third!, job), "unknown");
  t.is(fleet.timesDispatched(job), 0);
});

test("a job in two failure domains survives the loss of any one member", async (t) => {
  for (const lost of [0, 1, 2]) {
    const fleet = new JobFleet({ size: 6, domains: 2 });
    const job = await fleet.accept(FIRST);
    await fleet.kill(fleet.membersOf(job)[lost]!);
    fleet.isDispatching = true;
    await fleet.advance(10_000);
    t.is(fleet.timesDispatched(job), 1);
  }
});

test("a full host refuses new jobs and keeps its own", async (t) => {
  const fleet = new JobFleet({ options: { maximumJobs: 2 } });
  const jobs = [await fleet.accept(FIRST), await fleet.accept(FIRST)];
  const refused = await fleet.hosts.get(FIRST)!.controller.accept(
    fleet.createSubmission(),
  );
  t.is(refused._unsafeUnwrapErr().kind, "full");
  fleet.isDispatching = true;
  await fleet.advance(1_000);
  for (const job of jobs) t.is(fleet.timesDispatched(job), 1);
});

test("a job without a reachable replica is refused and never runs", async (t) => {
  const fleet = new JobFleet();
  fleet.network.setFaults({ dropShare: 1 });
  const accepting = fleet.hosts.get(FIRST)!.controller.accept(
    fleet.createSubmission(),
  );
  await fleet.advance(3_000);
  t.is((await accepting)._unsafeUnwrapErr().kind, "no-copies");
  fleet.network.setFaults({ dropShare: 0 });
  fleet.isDispatching = true;
  await fleet.advance(70_000);
  t.is(fleet.dispatches.size, 0);
  t.is(fleet.heldCopies(), 0);
});

test("a withdrawn job ends as not run", async (t) => {
  const fleet = new JobFleet();
  const job = await fleet.accept(FIRST);
  const withdrawing = fleet.hosts.get(FIRST)!.controller.withdraw(job.id);
  await fleet.advance(20);
  t.true((await withdrawing).isOk());
  fleet.isDispatching = true;
  await fleet.advance(1_000);
  t.is(await fleet.statusAt(fleet.nonMemberOf(job), job), "not-run");
  t.is(fleet.timesDispatched(job), 0);
});

test("a planned stop hands over jobs and responses before the process ends", async (t) => {
  const fleet = new JobFleet();
  const waiting = await fleet.accept(FIRST);
  const done = await fleet.accept(FIRST);
  const dispatching = fleet.dispatch(FIRST, done);
  await fleet.advance(20);
  t.is(await dispatching, "dispatched");
  fleet.finish(FIRST, done);
  const stopping = fleet.hosts.get(FIRST)!;
  stopping.isLeaving = true;
  fleet.refreshMembers();
  const handingOver = stopping.controller.handOver(5_000);
  await fleet.advance(5_000);
  t.true(await handingOver);
  await fleet.kill(FIRST);
  fleet.isDispatching = true;
  await fleet.advance(2_000);
  const [host] = fleet.hosts.keys();
  t.is(await fleet.statusAt(host!, waiting), "whole");
  t.is(await fleet.statusAt(host!, done), "whole");
  t.is(fleet.timesDispatched(waiting), 1);
  t.is(fleet.timesDispatched(done), 1);
});

test("a job survives the loss of its new holder during a handover", async (t) => {
  const fleet = new JobFleet();
  const job = await fleet.accept(FIRST);
  const stopping = fleet.hosts.get(FIRST)!;
  stopping.isLeaving = true;
  fleet.refreshMembers();
  const handingOver = stopping.controller.handOver(5_000);
  await fleet.kill(fleet.membersOf(job)[1]!);
  await fleet.advance(2_000);
  await handingOver;
  await fleet.kill(FIRST);
  fleet.isDispatching = true;
  await fleet.advance(12_000);
  t.is(fleet.timesDispatched(job), 1);
});

test("a stopping host also moves copies whose holder is another host", async (t) => {
  const fleet = new JobFleet();
  const job = await fleet.accept(FIRST);
  const copy = fleet.membersOf(job)[1]!;
  const stopping = fleet.hosts.get(copy)!;
  stopping.isLeaving = true;
  fleet.refreshMembers();
  const handingOver = stopping.controller.handOver(5_000);
  await fleet.advance(5_000);
  t.true(await handingOver);
  t.is(stopping.controller.held.jobs, 0);
  t.is(fleet.heldCopies(), 3);
});

test("duplicate, late and lost messages do not change the outcome", async (t) => {
  for (let seed = 1; seed <= 6; seed++) {
    const fleet = new JobFleet({ seed });
    fleet.network.setFaults({
      dropShare: 0.2,
      duplicateShare: 0.4,
      jitterMs: 400,
    });
    fleet.isDispatching = true;
    const accepting = fleet.hosts.get(FIRST)!.controller.accept(
      fleet.createSubmission(),
    );
    await fleet.advance(10_000);
    const accepted = await accepting;
    const made = [...fleet.dispatches.values()].map(({ length }) => length);
    t.true(made.every((times) => times === 1), `seed ${seed}`);
    if (accepted.isOk()) {
      t.is(fleet.timesDispatched(accepted.value), 1, `seed ${seed}`);
    }
  }
});

test("an expired job is deleted everywhere and never runs", async (t) => {
  const fleet = new JobFleet();
  await fleet.accept(FIRST, { expiresAt: fleet.timer.wallNow() + 5_000 });
  await fleet.advance(6_000);
  fleet.isDispatching = true;
  await fleet.advance(1_000);
  t.is(fleet.heldCopies(), 0);
  t.is(fleet.dispatches.size, 0);
});

test("a late complete response replaces an unknown ending", async (t) => {
  const fleet = new JobFleet();
  const job = await fleet.accept(FIRST);
  const dispatching = fleet.dispatch(FIRST, job);
  await fleet.advance(20);
  await dispatching;
  const { controller } = fleet.hosts.get(FIRST)!;
  controller.recordFinished(job.id, { ...WHOLE, ending: "unknown" });
  await fleet.advance(100);
  controller.recordFinished(job.id, WHOLE);
  await fleet.advance(100);
  t.is(await fleet.statusAt(fleet.nonMemberOf(job), job), "whole");
});
