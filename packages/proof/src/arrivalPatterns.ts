import {
  asId,
  asTier,
  type ClientAccountId,
  type Milliseconds,
  type Random,
  SeededRandom,
} from "@wasabivane/common";
import {
  type Arrival,
  ARRIVALS_END_MS,
  buildArrivals,
  buildFleet,
  type Deployment,
  domainLatency,
  type ExperimentScenario,
  type LoadShape,
  MAXIMUM_OUTPUT_TOKENS,
  type UpstreamFault,
} from "./arrivals.ts";

/** Overrides of the default load that define a pattern. */
interface PatternShape extends Partial<LoadShape> {
  readonly faults?: (random: Random) => UpstreamFault[];
  readonly reportLagMs?: Milliseconds;
  readonly cacheEventLagMs?: Milliseconds;
  readonly hasPoisonRequest?: boolean;
}

const DEFAULT_LOAD = 0.6;
const REPORT_LAG_MS = 1_000;
const CACHE_EVENT_LAG_MS = 1_000;
const FLEET_SIZE = 16;
const RESTART_AFTER_MS = 15_000;
const SLOWDOWN_MS = 25_000;

/** Load patterns by name. */
const PATTERNS = {
  "steady": {},
  "burst": { load: burstLoad },
  "hot-account": { load: () => 1.2, hotAccountShare: 0.5 },
  "hot-prefix": { load: () => 0.9, sharedPrefixShare: 0.8 },
  "slow-upstream": { faults: slowUpstreams },
  "long-among-short": { load: () => 0.4, longShare: 0.1 },
  "overload": { load: () => 2 },
  "stale-reports": {
    load: () => 0.9,
    reportLagMs: 8_000,
    cacheEventLagMs: 5_000,
  },
  "upstream-loss": { load: () => 0.5, faults: crashedUpstreams },
  "poison": { load: () => 0.5, hasPoisonRequest: true },
  "leaving": { load: () => 0.5, faults: leavingUpstreams },
  "mixed": {
    load: burstLoad,
    hotAccountShare: 0.2,
    longShare: 0.02,
    faults: mixedFaults,
    reportLagMs: 4_000,
  },
} as const satisfies Record<string, PatternShape>;

/** Name of a load pattern. */
export type LoadPattern = keyof typeof PATTERNS;

/** All pattern names, in report order. */
export const PATTERN_NAMES = Object.keys(PATTERNS) as LoadPattern[];

/** Generates the requests and faults of a pattern from a seed. */
export function buildExperimentScenario(
  { pattern, deployment, seed }: {
    pattern: LoadPattern;
    deployment: Deployment;
    seed: number;
  },
): ExperimentScenario {
  const shape: PatternShape = PATTERNS[pattern];
  const random = new SeededRandom(seed + 1_000_003);
  const load = shape.load ?? (() => DEFAULT_LOAD);
  const arrivals = buildArrivals({
    deployment,
    seed,
    shape: { ...shape, load },
  });
  if (shape.hasPoisonRequest) arrivals.push(createPoisonRequest());
  return {
    fleet: buildFleet(deployment),
    arrivals: arrivals.sort((left, right) => left.at - right.at),
    faults: shape.faults?.(random) ?? [],
    reportLagMs: shape.reportLagMs ?? REPORT_LAG_MS,
    cacheEventLagMs: shape.cacheEventLagMs ?? CACHE_EVENT_LAG_MS,
    domainDistanceMs: domainLatency(deployment),
  };
}

/** Two ten-second bursts at 150% of the fleet's capacity. */
function burstLoad(at: Milliseconds): number {
  const isBurst = (at >= 20_000 && at < 30_000) ||
    (at >= 55_000 && at < 65_000);
  return isBurst ? 1.5 : 0.5;
}

/** One engine of each generation slows down and recovers. */
function slowUpstreams(random: Random): UpstreamFault[] {
  return [random.int(4), 4 + random.int(6), 10 + random.int(6)]
    .flatMap((upstream) => {
      const at = 15_000 + random.int(30_000);
      return slowFault(upstream, at);
    });
}

/** Two engines crash one at a time, then two almost simultaneously. */
function crashedUpstreams(random: Random): UpstreamFault[] {
  const lost = drawDistinctUpstreams(random, 4);
  const times = [15_000, 35_000, 55_000, 55_200];
  return lost.flatMap((upstream, index) =>
    crashFault(upstream, times[index]! + random.int(100))
  );
}

function leavingUpstreams(random: Random): UpstreamFault[] {
  return drawDistinctUpstreams(random, 4).map((upstream, index) => ({
    at: 15_000 + index * 15_000,
    upstream,
    kind: "leave" as const,
  }));
}

/** A slowdown, a crash and a leaving upstream at random times. */
function mixedFaults(random: Random): UpstreamFault[] {
  const [slow, lost, leaving] = drawDistinctUpstreams(random, 3) as [
    number,
    number,
    number,
  ];
  const drawTime = (): Milliseconds => 10_000 + random.int(60_000);
  return [
    ...slowFault(slow, drawTime()),
    ...crashFault(lost, drawTime()),
    { at: drawTime(), upstream: leaving, kind: "leave" },
  ];
}

function slowFault(upstream: number, at: Milliseconds): UpstreamFault[] {
  return [
    { at, upstream, kind: "slow", factor: 6 },
    { at: at + SLOWDOWN_MS, upstream, kind: "slow", factor: 1 },
  ];
}

function crashFault(upstream: number, at: Milliseconds): UpstreamFault[] {
  return [
    { at, upstream, kind: "crash" },
    { at: at + RESTART_AFTER_MS, upstream, kind: "restart" },
  ];
}

function drawDistinctUpstreams(random: Random, count: number): number[] {
  const chosen = new Set<number>();
  while (chosen.size < count) chosen.add(random.int(FLEET_SIZE));
  return [...chosen];
}

/** A request that crashes its engine and that its caller keeps resending. */
function createPoisonRequest(): Arrival {
  return {
    id: "killer",
    at: 15_000,
    deadline: ARRIVALS_END_MS * 2,
    account: asId<ClientAccountId>("account-1"),
    tier: asTier(2),
    originDomain: buildFleet("fukuoka")[0]!.failureDomain,
    promptTokens: 900,
    outputTokens: 200,
    maximumOutputTokens: MAXIMUM_OUTPUT_TOKENS,
    prefixDigests: [],
    isIdempotent: true,
    isPoison: true,
  };
}
