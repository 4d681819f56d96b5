import {
  type Milliseconds,
  type Random,
  sleep,
  SystemTimer,
} from "@wasabivane/common";
import type { EntryProcess, Fleet } from "./fleet.ts";

/** Number of injected faults by kind. */
export interface LiveFaultCounts {
  kills: number;
  pauses: number;
  rolls: number;
}

/** Options of {@link injectFaults}. */
export interface LiveFaultOptions {
  readonly fleet: Fleet;
  readonly random: Random;
  readonly forMs: Milliseconds;
}

const MEAN_FAULT_INTERVAL_MS: Milliseconds = 2_500;
const MEAN_DOWN_MS: Milliseconds = 2_000;
const MEAN_PAUSE_MS: Milliseconds = 3_000;
const PUBLISH_PERIOD_MS: Milliseconds = 7_000;
/** Upper limit of a drawn time as a multiple of its mean. */
const MAX_MEAN_MULTIPLE = 3;
/** Maximum number of entry hosts down or paused at once. */
const MAX_FAULTY_HOSTS = 3;

/** Kills and pauses entry processes at random times; all run at the end. */
export async function injectFaults(
  { fleet, random, forMs }: LiveFaultOptions,
): Promise<LiveFaultCounts> {
  const timer = new SystemTimer();
  const counts = { kills: 0, pauses: 0, rolls: 0 };
  const faultyHosts = new Map<EntryProcess, Promise<void>>();
  const end = timer.now() + forMs;
  const publishTimer = timer.every(PUBLISH_PERIOD_MS, () => {
    fleet.publish((bundle) => bundle);
    counts.rolls++;
  });
  while (timer.now() < end) {
    await sleep(timer, drawDuration(random, MEAN_FAULT_INTERVAL_MS));
    const entry = random.pick(fleet.entries);
    if (faultyHosts.has(entry) || faultyHosts.size >= MAX_FAULTY_HOSTS) {
      continue;
    }
    const isKill = random.float() < 0.5;
    if (isKill) counts.kills++;
    else counts.pauses++;
    const recovery = isKill
      ? killAndRestart(entry, { fleet, random, timer })
      : pauseAndResume(entry, { random, timer });
    faultyHosts.set(entry, recovery.finally(() => faultyHosts.delete(entry)));
  }
  publishTimer.cancel();
  await Promise.all(faultyHosts.values());
  return counts;
}

async function killAndRestart(
  entry: EntryProcess,
  { fleet, random, timer }: {
    fleet: Fleet;
    random: Random;
    timer: SystemTimer;
  },
): Promise<void> {
  const downMs = drawDuration(random, MEAN_DOWN_MS);
  const exited = new Promise((resolve) => entry.process.once("exit", resolve));
  entry.process.kill("SIGKILL");
  await exited;
  await sleep(timer, downMs);
  await fleet.restart(entry);
}

async function pauseAndResume(
  { process: child }: EntryProcess,
  { random, timer }: { random: Random; timer: SystemTimer },
): Promise<void> {
  const pauseMs = drawDuration(random, MEAN_PAUSE_MS);
  child.kill("SIGSTOP");
  await sleep(timer, pauseMs);
  child.kill("SIGCONT");
}

function drawDuration(random: Random, mean: Milliseconds): Milliseconds {
  return Math.min(MAX_MEAN_MULTIPLE * mean, random.exponential(mean));
}
