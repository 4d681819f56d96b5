import type { Milliseconds, Tier } from "@wasabivane/common";
import { type EngineProfile, TOKENS_PER_BLOCK } from "@wasabivane/engine-model";
import {
  type Arrival,
  type ExperimentScenario,
  fullBatchStepMs,
  TIER_LOADS,
} from "./arrivals.ts";
import { allocateGreedily, type WindowedJob } from "./allocateGreedily.ts";

/** What no scheduler could exceed on a scenario; see docs/DECISIONS/0003. */
export interface GoodputBound {
  /** For schedulers that serve a higher tier first, whatever it costs the lower. */
  readonly goodputByTier: Readonly<Record<string, number>>;
  /** For any scheduler, with the weights of {@link TIER_LOADS}. */
  readonly weightedGoodput: number;
}

/** Windows are widened to whole slots, which keeps the bound a bound. */
const SLOT_MS = 1_000;
/** Prompt tokens that an output token is counted as; each choice gives a valid bound. */
const OUTPUT_COSTS = [3.8, 4.1, 6];

interface Job extends WindowedJob {
  readonly tier: Tier;
}

/** Works out the bound of a scenario. */
export function computeGoodputBound(
  scenario: ExperimentScenario,
): GoodputBound {
  const options = OUTPUT_COSTS.map((outputCost) =>
    boundFor(scenario, outputCost)
  );
  const goodputByTier =
    options.reduce((least, option) =>
      option.byTier[1]! < least.byTier[1]! ? option : least
    ).byTier;
  return {
    goodputByTier,
    weightedGoodput: Math.min(...options.map(({ weighted }) => weighted)),
  };
}

function boundFor(
  scenario: ExperimentScenario,
  outputCost: number,
): { byTier: Record<string, number>; weighted: number } {
  const sharedBlocks = blocksOfSeveral(scenario.arrivals);
  const jobs = scenario.arrivals
    .filter((arrival) => isPossible(arrival, scenario, sharedBlocks))
    .map((arrival) => buildJob(arrival, { outputCost, sharedBlocks }));
  const slots = Math.max(0, ...jobs.map(({ due }) => due)) + 1;
  const capacity = capacityBySlot(scenario, outputCost, slots);
  const byTier = Object.fromEntries(TIER_LOADS.map(({ tier }) => [tier, 0]));
  const strict = jobs.toSorted((left, right) =>
    left.tier - right.tier || left.work - right.work
  );
  allocateGreedily(strict, capacity).forEach((share, index) => {
    byTier[strict[index]!.tier]! += share;
  });
  const dense = jobs.toSorted((left, right) =>
    weightOf(right) / right.work - weightOf(left) / left.work
  );
  const weighted = allocateGreedily(dense, capacity).reduce(
    (sum, share, index) => sum + share * weightOf(dense[index]!),
    0,
  );
  return { byTier, weighted };
}

function buildJob(
  arrival: Arrival,
  { outputCost, sharedBlocks }: {
    outputCost: number;
    sharedBlocks: ReadonlySet<string>;
  },
): Job {
  return {
    tier: arrival.tier,
    work: leastPrefill(arrival, sharedBlocks) +
      outputCost * (arrival.outputTokens - 1),
    release: Math.floor(arrival.at / SLOT_MS),
    due: Math.floor(arrival.deadline / SLOT_MS),
  };
}

/** Prompt tokens that must be computed even if every shared block is cached. */
function leastPrefill(
  { promptTokens, prefixDigests }: Arrival,
  sharedBlocks: ReadonlySet<string>,
): number {
  const shared = prefixDigests.filter((digest) => sharedBlocks.has(digest));
  return Math.max(1, promptTokens - shared.length * TOKENS_PER_BLOCK);
}

function blocksOfSeveral(arrivals: readonly Arrival[]): Set<string> {
  const seen = new Set<string>();
  const shared = new Set<string>();
  for (const { prefixDigests } of arrivals) {
    for (const digest of prefixDigests) {
      if (seen.has(digest)) shared.add(digest);
      seen.add(digest);
    }
  }
  return shared;
}

/** Whether the fastest engine alone could answer in time. */
function isPossible(
  arrival: Arrival,
  { fleet }: ExperimentScenario,
  sharedBlocks: ReadonlySet<string>,
): boolean {
  if (arrival.isPoison) return false;
  const prefill = leastPrefill(arrival, sharedBlocks);
  const least = Math.min(
    ...fleet.map(({ speed }) =>
      computeUnloadedTime(speed, prefill, arrival.outputTokens)
    ),
  );
  return arrival.at + least <= arrival.deadline;
}

/** Time of a request on an engine that runs nothing else. */
export function computeUnloadedTime(
  speed: EngineProfile,
  promptTokens: number,
  outputTokens: number,
): Milliseconds {
  const step = speed.decodeStepMs + speed.decodeStepPerRequestMs;
  return promptTokens / speed.prefillTokensPerSecond * 1_000 +
    (outputTokens - 1) * step;
}

/** Work that the engines which are up can do in each slot, at most. */
function capacityBySlot(
  { fleet, faults }: ExperimentScenario,
  outputCost: number,
  slots: number,
): Float64Array {
  const capacity = new Float64Array(slots);
  fleet.forEach(({ speed }, upstream) => {
    const rate = Math.max(
      speed.prefillTokensPerSecond,
      outputCost * 1_000 / fullBatchStepMs(speed),
    );
    const own = faults.filter((fault) => fault.upstream === upstream);
    for (let slot = 0; slot < slots; slot++) {
      capacity[slot]! += rate * SLOT_MS / 1_000 * usableShare(own, slot);
    }
  });
  return capacity;
}

/** The best share of its speed that an engine has at any moment of a slot. */
function usableShare(
  faults: readonly { at: Milliseconds; kind: string; factor?: number }[],
  slot: number,
): number {
  const start = slot * SLOT_MS;
  let share = 1;
  let best = 0;
  for (const { at, kind, factor = 1 } of faults) {
    if (at >= start + SLOT_MS) break;
    if (at > start) best = Math.max(best, share);
    if (kind === "crash") share = 0;
    if (kind === "restart") share = 1;
    if (kind === "slow") share = 1 / factor;
  }
  return Math.max(best, share);
}

function weightOf({ tier }: Job): number {
  return TIER_LOADS.find((load) => load.tier === tier)!.weight;
}
