import type { Milliseconds, Tier } from "@wasabivane/common";
import { type EngineProfile, TOKENS_PER_BLOCK } from "@wasabivane/engine-model";
import {
  type Arrival,
  type ExperimentScenario,
  fullBatchStepMs,
  TIER_LOADS,
} from "./arrivals.ts";
import { allocateGreedily, type WindowedJob } from "./allocateGreedily.ts";

/** Upper bounds on goodput in a scenario; see docs/DECISIONS/0003. */
export interface GoodputBound {
  /** Bound for schedulers with strict tier priority. */
  readonly goodputByTier: Readonly<Record<string, number>>;
  /** Bound for any scheduler, weighted by {@link TIER_LOADS}. */
  readonly weightedGoodput: number;
}

/** Time windows are rounded outwards to steps, so the bound stays valid. */
const TIME_STEP_MS = 1_000;
/** Costs of an output token in prompt tokens; each gives a valid bound. */
const OUTPUT_COSTS = [3.8, 4.1, 6];

interface Job extends WindowedJob {
  readonly tier: Tier;
}

/** Computes the tightest goodput bounds over {@link OUTPUT_COSTS}. */
export function computeGoodputBound(
  scenario: ExperimentScenario,
): GoodputBound {
  const bounds = OUTPUT_COSTS.map((outputCost) =>
    computeBoundAt(scenario, outputCost)
  );
  const goodputByTier =
    bounds.reduce((minimum, bound) =>
      bound.byTier[1]! < minimum.byTier[1]! ? bound : minimum
    ).byTier;
  return {
    goodputByTier,
    weightedGoodput: Math.min(...bounds.map(({ weighted }) => weighted)),
  };
}

function computeBoundAt(
  scenario: ExperimentScenario,
  outputCost: number,
): { byTier: Record<string, number>; weighted: number } {
  const sharedBlocks = findSharedBlocks(scenario.arrivals);
  const jobs = scenario.arrivals
    .filter((arrival) => isFeasible(arrival, scenario, sharedBlocks))
    .map((arrival) => buildJob(arrival, { outputCost, sharedBlocks }));
  const steps = Math.max(0, ...jobs.map(({ due }) => due)) + 1;
  const capacity = capacityByStep(scenario, outputCost, steps);
  const byTier = Object.fromEntries(TIER_LOADS.map(({ tier }) => [tier, 0]));
  const byPriority = jobs.toSorted((left, right) =>
    left.tier - right.tier || left.work - right.work
  );
  allocateGreedily(byPriority, capacity).forEach((share, index) => {
    byTier[byPriority[index]!.tier]! += share;
  });
  const byDensity = jobs.toSorted((left, right) =>
    weightOf(right) / right.work - weightOf(left) / left.work
  );
  const weighted = allocateGreedily(byDensity, capacity).reduce(
    (sum, share, index) => sum + share * weightOf(byDensity[index]!),
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
    work: minimumPrefill(arrival, sharedBlocks) +
      outputCost * (arrival.outputTokens - 1),
    release: Math.floor(arrival.at / TIME_STEP_MS),
    due: Math.floor(arrival.deadline / TIME_STEP_MS),
  };
}

/** Prompt tokens to prefill when every shared block is cached. */
function minimumPrefill(
  { promptTokens, prefixDigests }: Arrival,
  sharedBlocks: ReadonlySet<string>,
): number {
  const shared = prefixDigests.filter((digest) => sharedBlocks.has(digest));
  return Math.max(1, promptTokens - shared.length * TOKENS_PER_BLOCK);
}

function findSharedBlocks(arrivals: readonly Arrival[]): Set<string> {
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

/** Whether an idle engine of the fastest kind would meet the deadline. */
function isFeasible(
  arrival: Arrival,
  { fleet }: ExperimentScenario,
  sharedBlocks: ReadonlySet<string>,
): boolean {
  if (arrival.isPoison) return false;
  const prefill = minimumPrefill(arrival, sharedBlocks);
  const minimum = Math.min(
    ...fleet.map(({ profile }) =>
      computeUnloadedTime(profile, prefill, arrival.outputTokens)
    ),
  );
  return arrival.at + minimum <= arrival.deadline;
}

/** Returns the duration of a request on an otherwise idle engine. */
export function computeUnloadedTime(
  profile: EngineProfile,
  promptTokens: number,
  outputTokens: number,
): Milliseconds {
  const decodeStepMs = profile.decodeStepMs + profile.decodeStepPerRequestMs;
  return promptTokens / profile.prefillTokensPerSecond * 1_000 +
    (outputTokens - 1) * decodeStepMs;
}

/** Upper bound on the work of the running engines in each time step. */
function capacityByStep(
  { fleet, faults }: ExperimentScenario,
  outputCost: number,
  steps: number,
): Float64Array {
  const capacity = new Float64Array(steps);
  fleet.forEach(({ profile }, upstream) => {
    const rate = Math.max(
      profile.prefillTokensPerSecond,
      outputCost * 1_000 / fullBatchStepMs(profile),
    );
    const upstreamFaults = faults.filter((fault) =>
      fault.upstream === upstream
    );
    for (let step = 0; step < steps; step++) {
      capacity[step]! += rate * TIME_STEP_MS / 1_000 *
        usableShare(upstreamFaults, step);
    }
  });
  return capacity;
}

/** Highest share of its full speed that an engine reaches in a time step. */
function usableShare(
  faults: readonly { at: Milliseconds; kind: string; factor?: number }[],
  step: number,
): number {
  const start = step * TIME_STEP_MS;
  let share = 1;
  let best = 0;
  for (const { at, kind, factor = 1 } of faults) {
    if (at >= start + TIME_STEP_MS) break;
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
