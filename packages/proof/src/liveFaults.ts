import {
  type Milliseconds,
  type Random,
  sleep,
  SystemTimer,
} from "@wasabivane/common";
import type { EntryProcess, Fleet } from "./fleet.ts";

/** What the faults of a run did. */
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

const MEAN_GAP_MS: Milliseconds = 2_500;
const MEAN_DOWN_MS: Milliseconds = 2_000;
const MEAN_PAUSE_MS: Milliseconds = 3_000;
const ROLL_PERIOD_MS: Milliseconds = 7_000;
/** A rare long wait would leave the rest of a short run without faults. */
const LONGEST_WAIT = 3;
/** Entry hosts that may be down or paused at once. */
const MAX_DISTURBED = 3;

/** Kills, pauses and restarts entry processes at seeded moments; all run in the end. */
export async function injectFaults(
  { fleet, random, forMs }: LiveFaultOptions,
): Promise<LiveFaultCounts> {
  const timer = new SystemTimer();
  const counts = { kills: 0, pauses: 0, rolls: 0 };
  const disturbed = new Map<EntryProcess, Promise<void>>();
  const end = timer.now() + forMs;
  const rolling = timer.every(ROLL_PERIOD_MS, () => {
    fleet.publish((bundle) => bundle);
    counts.rolls++;
  });
  while (timer.now() < end) {
    await sleep(timer, draw(random, MEAN_GAP_MS));
    const entry = random.pick(fleet.entries);
    if (disturbed.has(entry) || disturbed.size >= MAX_DISTURBED) continue;
    const isKill = random.float() < 0.5;
    if (isKill) counts.kills++;
    else counts.pauses++;
    const back = isKill
      ? killForWhile(entry, { fleet, random, timer })
      : pauseForWhile(entry, { random, timer });
    disturbed.set(entry, back.finally(() => disturbed.delete(entry)));
  }
  rolling.cancel();
  await Promise.all(disturbed.values());
  return counts;
}

async function killForWhile(
  entry: EntryProcess,
  { fleet, random, timer }: {
    fleet: Fleet;
    random: Random;
    timer: SystemTimer;
  },
): Promise<void> {
  const downMs = draw(random, MEAN_DOWN_MS);
  const exited = new Promise((resolve) => entry.process.once("exit", resolve));
  entry.process.kill("SIGKILL");
  await exited;
  await sleep(timer, downMs);
  await fleet.restart(entry);
}

async function pauseForWhile(
  { process: child }: EntryProcess,
  { random, timer }: { random: Random; timer: SystemTimer },
): Promise<void> {
  const pauseMs = draw(random, MEAN_PAUSE_MS);
  child.kill("SIGSTOP");
  await sleep(timer, pauseMs);
  child.kill("SIGCONT");
}

function draw(random: Random, mean: Milliseconds): Milliseconds {
  return Math.min(LONGEST_WAIT * mean, random.exponential(mean));
}
