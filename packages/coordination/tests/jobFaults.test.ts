import test from "ava";
import type { HostId, SeededRandom } from "@wasabivane/common";
import type { Job } from "@wasabivane/coordination";
import { ACCOUNT, JobFleet } from "./helpers/jobFleet.ts";

const SEEDS = 10;
const FAULTS_PER_SEED = 14;

/** Injects one random fault, which a later one may end. */
async function injectFault(
  fleet: JobFleet,
  random: SeededRandom,
): Promise<void> {
  const hosts = [...fleet.hosts.keys()];
  const host = random.pick(hosts);
  const { isPaused } = fleet.hosts.get(host)!;
  const kind = random.int(6);
  if (kind === 0 && hosts.length > 4) await fleet.kill(host);
  else if (kind === 1) restart(fleet, host);
  else if (kind === 2 && !isPaused) await fleet.pause(host);
  else if (kind === 3) await fleet.partition(splitRandomly(hosts, random));
  else if (kind === 4) fleet.heal();
  else if (isPaused) fleet.wake(host);
  await fleet.advanceCoarsely(random.int(20_000));
  fleet.refreshMembers();
}

function restart(fleet: JobFleet, host: HostId): void {
  fleet.hosts.get(host)!.link.close();
  fleet.start(Number(host.split("-")[1]));
}

function splitRandomly(
  hosts: readonly HostId[],
  random: SeededRandom,
): HostId[][] {
  const left = hosts.filter(() => random.float() < 0.5);
  return [left, hosts.filter((host) => !left.includes(host))];
}

async function submitJobs(
  fleet: JobFleet,
  random: SeededRandom,
): Promise<Job[]> {
  const awake = [...fleet.hosts.values()].filter(({ isPaused }) => !isPaused);
  const accepting = Array.from(
    { length: 4 },
    () => random.pick(awake).controller.accept(fleet.createSubmission()),
  );
  await fleet.advanceCoarsely(3_500);
  const settled = await Promise.all(
    accepting.map((one) => Promise.race([one, Promise.resolve(undefined)])),
  );
  return settled.flatMap((result) => result?.isOk() ? [result.value] : []);
}

async function statusOf(fleet: JobFleet, job: Job): Promise<string> {
  const [first] = fleet.hosts.values();
  const asking = first!.controller.lookUp(job.id, ACCOUNT);
  await fleet.advanceCoarsely(1_500);
  const result = await asking;
  if (result.isErr()) return result.error.kind;
  const status = result.value;
  return status.kind === "ended" ? status.answer.ending : status.kind;
}

test("random faults never run a job twice or report a run as not run", async (t) => {
  // A job is dispatched at most once and reported as not run only if it was
  // never dispatched; once all faults have ended, each accepted job ends.
  const endings: Record<string, number> = {};
  for (let seed = 1; seed <= SEEDS; seed++) {
    const fleet = new JobFleet({ seed, size: 7 });
    const { random } = fleet;
    fleet.network.setFaults({
      jitterMs: random.pick([1, 50, 500]),
      duplicateShare: random.pick([0, 0.2]),
      dropShare: random.pick([0, 0.05]),
    });
    fleet.refusedShare = random.pick([0, 0.5]);
    const jobs: Job[] = [];
    for (let event = 0; event < FAULTS_PER_SEED; event++) {
      if (event % 3 === 0) jobs.push(...await submitJobs(fleet, random));
      fleet.isDispatching = random.float() < 0.4;
      await injectFault(fleet, random);
    }
    fleet.heal();
    for (const { host, isPaused } of fleet.hosts.values()) {
      if (isPaused) fleet.wake(host);
    }
    fleet.refreshMembers();
    fleet.isDispatching = true;
    fleet.refusedShare = 0;
    await fleet.advanceCoarsely(700_000);
    for (const job of jobs) {
      const status = await statusOf(fleet, job);
      const times = fleet.timesDispatched(job);
      endings[status] = (endings[status] ?? 0) + 1;
      t.true(times <= 1, `seed ${seed}: ${job.id} dispatched ${times} times`);
      if (status === "not-run") t.is(times, 0, `seed ${seed}: ${job.id}`);
      t.not(status, "waiting", `seed ${seed}: ${job.id}`);
      t.not(status, "running", `seed ${seed}: ${job.id}`);
    }
  }
  t.log(JSON.stringify(endings));
});
