import {
  asId,
  asTier,
  type ClientAccountId,
  type Digest,
  type FailureDomain,
  type Milliseconds,
  type Random,
  SeededRandom,
  type Tier,
  type UpstreamId,
} from "@wasabivane/common";
import {
  type EngineProfile,
  HARDWARE_GENERATIONS,
  type HardwareGeneration,
  TOKENS_PER_BLOCK,
} from "@wasabivane/engine-model";

/** Example deployment whose load the experiments simulate. */
export type Deployment = "fukuoka" | "cairo";

/** A simulated request, with its actual output length in `outputTokens`. */
export interface Arrival {
  readonly id: string;
  readonly at: Milliseconds;
  readonly deadline: Milliseconds;
  readonly account: ClientAccountId;
  readonly tier: Tier;
  readonly originDomain: FailureDomain;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly maximumOutputTokens: number;
  readonly prefixDigests: readonly Digest[];
  /** Whether the caller resends it after its upstream is lost. */
  readonly isIdempotent: boolean;
  /** Whether it crashes every engine that runs it. */
  readonly isPoison: boolean;
}

/** A fault of an upstream, or its recovery, at a given time. */
export interface UpstreamFault {
  readonly at: Milliseconds;
  readonly upstream: number;
  readonly kind: "slow" | "crash" | "restart" | "leave";
  /** Multiplier of the duration of each engine step, for `slow`. */
  readonly factor?: number;
}

/** A simulated engine of the fleet. */
export interface FleetMember {
  readonly upstream: UpstreamId;
  readonly failureDomain: FailureDomain;
  readonly generation: HardwareGeneration;
  readonly profile: EngineProfile;
}

/** Input that an experiment replays for each policy. */
export interface ExperimentScenario {
  readonly fleet: readonly FleetMember[];
  readonly arrivals: readonly Arrival[];
  readonly faults: readonly UpstreamFault[];
  readonly reportLagMs: Milliseconds;
  readonly cacheEventLagMs: Milliseconds;
  readonly domainDistanceMs: Milliseconds;
}

/** Load over time, and how its requests differ from the default mix. */
export interface LoadShape {
  /** Load at a given time as a share of the fleet's capacity. */
  readonly load: (at: Milliseconds) => number;
  /** Share of the requests sent by a single hot account. */
  readonly hotAccountShare?: number;
  /** Share of the requests that start with a prefix of their account. */
  readonly sharedPrefixShare?: number;
  /** Share of the requests with a long prompt. */
  readonly longShare?: number;
}

/** End of the arrivals; the last deadline is up to a minute later. */
export const ARRIVALS_END_MS = 90_000;
/** Share of the requests, deadline and goodput weight of each tier. */
export const TIER_LOADS = [
  { tier: asTier(1), share: 0.15, deadlineMs: 20_000, weight: 8 },
  { tier: asTier(2), share: 0.25, deadlineMs: 30_000, weight: 4 },
  { tier: asTier(3), share: 0.3, deadlineMs: 40_000, weight: 2 },
  { tier: asTier(4), share: 0.3, deadlineMs: 60_000, weight: 1 },
] as const;
/** Output token limit that callers set. */
export const MAXIMUM_OUTPUT_TOKENS = 1_024;

const ACCOUNT_SHARES = [0.4, 0.3, 0.15, 0.1, 0.05];
const FLEET: readonly HardwareGeneration[] = [
  ...["g3", "g3", "g3", "g3"] as const,
  ...["g2", "g2", "g2", "g2", "g2", "g2"] as const,
  ...["g1", "g1", "g1", "g1", "g1", "g1"] as const,
];
const DEPLOYMENTS = {
  fukuoka: {
    domains: ["hakata", "tenjin", "momochi"],
    distanceMs: 1,
    prompt: { median: 500, spread: 1.2 },
    output: { median: 150, spread: 0.9 },
  },
  cairo: {
    domains: ["obour-hall", "smart-village", "tenth-ramadan"],
    distanceMs: 1.5,
    prompt: { median: 1_200, spread: 1.3 },
    output: { median: 100, spread: 0.9 },
  },
} as const;
const PROMPT_LIMITS = { minimum: 40, maximum: 16_000 };
const LONG_PROMPT = { median: 10_000, spread: 0.3 };
const PREFIXES_PER_ACCOUNT = 4;
const PREFIX_BLOCKS = 32;
const IDEMPOTENT_SHARE = 0.7;

/** Builds 16 engines of three generations in three failure domains. */
export function buildFleet(deployment: Deployment): FleetMember[] {
  const { domains } = DEPLOYMENTS[deployment];
  return FLEET.map((generation, index) => ({
    upstream: asId<UpstreamId>(`${deployment}-${index}`),
    failureDomain: asId<FailureDomain>(domains[index % domains.length]!),
    generation,
    profile: HARDWARE_GENERATIONS[generation],
  }));
}

/** Returns the one-way latency between failure domains. */
export function domainLatency(deployment: Deployment): Milliseconds {
  return DEPLOYMENTS[deployment].distanceMs;
}

/** Generates the requests of an experiment in order of arrival. */
export function buildArrivals(
  { deployment, seed, shape }: {
    deployment: Deployment;
    seed: number;
    shape: LoadShape;
  },
): Arrival[] {
  const random = new SeededRandom(seed);
  const perSecond = capacityPerSecond(deployment);
  const arrivals: Arrival[] = [];
  let at = 0;
  while (true) {
    const load = Math.max(0.01, shape.load(at));
    at += random.exponential(1_000 / (perSecond * load));
    if (at >= ARRIVALS_END_MS) return arrivals;
    const id = `r${arrivals.length}`;
    arrivals.push(drawArrival({ id, at, deployment, shape, random }));
  }
}

/**
 * Estimates the fleet's capacity in default requests per second, from the cost
 * of prompt and output tokens on each engine with a full batch.
 */
function capacityPerSecond(deployment: Deployment): number {
  const { prompt, output } = DEPLOYMENTS[deployment];
  const random = new SeededRandom(0);
  const samples = Array.from({ length: 4_000 }, () => ({
    prompt: drawPrompt(random, prompt),
    output: drawOutput(random, output),
  }));
  const promptTokens = mean(samples.map((sample) => sample.prompt));
  const outputTokens = mean(samples.map((sample) => sample.output));
  return FLEET.reduce((sum, generation) => {
    const profile = HARDWARE_GENERATIONS[generation];
    const seconds = promptTokens / profile.prefillTokensPerSecond +
      outputTokens * fullBatchStepMs(profile) / 1_000;
    return sum + 1 / seconds;
  }, 0);
}

/** Returns the decode time per output token with a full batch. */
export function fullBatchStepMs(profile: EngineProfile): Milliseconds {
  return profile.decodeStepMs / profile.maximumBatch +
    profile.decodeStepPerRequestMs;
}

function drawArrival(
  { id, at, deployment, shape, random }: {
    id: string;
    at: Milliseconds;
    deployment: Deployment;
    shape: LoadShape;
    random: Random;
  },
): Arrival {
  const { domains, prompt, output } = DEPLOYMENTS[deployment];
  const { tier, deadlineMs } = drawByShare(random, TIER_LOADS);
  const account = drawAccount(random, shape.hotAccountShare ?? 0);
  const isLong = random.float() < (shape.longShare ?? 0);
  const ownTokens = drawPrompt(random, isLong ? LONG_PROMPT : prompt);
  const prefixDigests = random.float() < (shape.sharedPrefixShare ?? 0.2)
    ? prefixOf(account, random.int(PREFIXES_PER_ACCOUNT))
    : [];
  return {
    id,
    at,
    deadline: at + deadlineMs,
    account,
    tier,
    originDomain: asId<FailureDomain>(random.pick(domains)),
    promptTokens: prefixDigests.length * TOKENS_PER_BLOCK + ownTokens,
    outputTokens: drawOutput(random, output),
    maximumOutputTokens: MAXIMUM_OUTPUT_TOKENS,
    prefixDigests,
    isIdempotent: random.float() < IDEMPOTENT_SHARE,
    isPoison: false,
  };
}

function drawAccount(random: Random, hotShare: number): ClientAccountId {
  if (random.float() < hotShare) return asId<ClientAccountId>("account-4");
  const shares = ACCOUNT_SHARES.map((share, index) => ({ share, index }));
  return asId<ClientAccountId>(`account-${drawByShare(random, shares).index}`);
}

function drawByShare<Item extends { readonly share: number }>(
  random: Random,
  items: readonly Item[],
): Item {
  let remaining = random.float();
  for (const item of items) {
    remaining -= item.share;
    if (remaining < 0) return item;
  }
  return items.at(-1)!;
}

function prefixOf(account: ClientAccountId, prefix: number): Digest[] {
  return Array.from(
    { length: PREFIX_BLOCKS },
    (_, block) => asId<Digest>(`${account}/${prefix}/${block}`),
  );
}

function drawPrompt(
  random: Random,
  { median, spread }: { median: number; spread: number },
): number {
  const tokens = Math.round(median * Math.exp(spread * random.normal()));
  return Math.min(
    PROMPT_LIMITS.maximum,
    Math.max(PROMPT_LIMITS.minimum, tokens),
  );
}

function drawOutput(
  random: Random,
  { median, spread }: { median: number; spread: number },
): number {
  const tokens = Math.round(median * Math.exp(spread * random.normal()));
  return Math.min(MAXIMUM_OUTPUT_TOKENS, Math.max(8, tokens));
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
