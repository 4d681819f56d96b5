import {
  asId,
  asTier,
  type ClientAccountId,
  type Digest,
  type FailureDomain,
  type HostId,
  type Milliseconds,
  prefixDigests,
  type RequestId,
  SeededRandom,
  type UpstreamId,
} from "@wasabivane/common";
import {
  type Decision,
  type PlacementRequest,
  type PoolPolicy,
  PoolScheduler,
} from "@wasabivane/decisions";
import { minimumProcessorMs, retainedBytes } from "./resourceMeasurement.ts";
import type { SlopePoint } from "./slope.ts";
import { TARGET } from "./slopeTarget.ts";

const UPSTREAM_COUNTS = [16, 100, 857, 3_000, 12_000];
const ACCOUNT_COUNTS = [100, 400, 1_100];
const WAITING_COUNTS = [1_000, 2_000, 4_000];
const RUNNING_COUNTS = [1_000, 2_000, 4_000];
const GENERATIONS = 3;
const TIERS = [1, 2, 3, 4];
/** Requests that run at each upstream while decisions are timed. */
const RUNNING_PER_UPSTREAM = 2;
const TIMED_DECISIONS = 2_000;
const TIMED_ROUNDS = 4;
/** A prompt of 4 KiB, hence 16 digests. */
const PROMPT_BYTES = 4_096;
const MICROSECONDS = 1_000;
/** 1,000 requests a second, each for a tenth of a second. */
const ARRIVAL_MS = 1;
const RUNNING_AT_ONCE = 100;
/** The first token of a request comes when so many came after it. */
const PREFILLING = 20;
const ARRIVALS_PER_TICK = 50;
const HOUR_MS = 3_600_000;

/** A pool of the target's shape with so many upstreams. */
export function createTargetPolicy(
  upstreams: number,
  { accounts = 0, ...rest }:
    & { accounts?: number }
    & Partial<
      Omit<PoolPolicy, "accounts" | "upstreams">
    > = {},
): PoolPolicy {
  return {
    upstreams: Array.from({ length: upstreams }, (_, index) => ({
      upstream: asId<UpstreamId>(`upstream-${index}`),
      failureDomain: asId<FailureDomain>(
        `domain-${index % TARGET.failureDomains}`,
      ),
      generation: `g${index % GENERATIONS}`,
      isLeaving: false,
    })),
    accounts: Array.from({ length: accounts }, (_, index) => ({
      account: accountId(index),
      requestsPerSecond: 1e6,
      tokensPerSecond: 1e9,
      concurrentRequests: 100_000,
      waitingRequests: 100_000,
    })),
    tiers: TIERS.map(asTier),
    initialConcurrency: 8,
    maximumConcurrency: 64,
    maximumWaitingTokens: 1e9,
    maximumWaitingBytes: 1e12,
    maximumEjectedShare: 0.4,
    domainDistanceMs: 1,
    ...rest,
  };
}

/** A request of the target's shape; its strings are its own, as on arrival. */
export function createTargetRequest(
  number: number,
  { accounts = TARGET.accounts, origin = "entry-1" }: {
    accounts?: number;
    origin?: string;
  } = {},
): PlacementRequest {
  const account = accountId(number % accounts);
  const prompt = `request ${number}`.padEnd(PROMPT_BYTES, " word");
  return {
    request: asId<RequestId>(`request-${number}`),
    origin: asId<HostId>(origin),
    originDomain: asId<FailureDomain>("domain-1"),
    account,
    tier: asTier(TIERS[number % TIERS.length]!),
    promptTokens: PROMPT_BYTES / 4,
    maximumOutputTokens: 400,
    bodyBytes: PROMPT_BYTES,
    deadline: HOUR_MS,
    prefixDigests: prefixDigests(account, prompt),
    fingerprint: asId<Digest>(`fingerprint-${number}`.padEnd(64, "0")),
  };
}

function accountId(index: number): ClientAccountId {
  return asId<ClientAccountId>(`client-account-${index}`);
}

/** Heap of a scheduler by its upstreams. */
export function measureUpstreamMemory(): SlopePoint[] {
  return UPSTREAM_COUNTS.map((count) => {
    const policy = createTargetPolicy(count);
    return [count, retainedBytes(() => schedulerOf(policy))];
  });
}

/** Heap of a scheduler by client accounts that each sent a request. */
export function measureAccountMemory(): SlopePoint[] {
  return ACCOUNT_COUNTS.map((count) => {
    const policy = createTargetPolicy(16, {
      accounts: count,
      initialConcurrency: 1_000,
      maximumConcurrency: 1_000,
    });
    return [
      count,
      retainedBytes(() => {
        const scheduler = schedulerOf(policy);
        serve(scheduler, asksFrom(0, count, { accounts: count }));
        return scheduler;
      }),
    ];
  });
}

/** Heap of a scheduler by requests that wait. */
export function measureQueueMemory(): SlopePoint[] {
  return WAITING_COUNTS.map((count) => [
    count,
    retainedBytes(() => {
      const scheduler = schedulerOf(
        createTargetPolicy(1, { initialConcurrency: 1, maximumConcurrency: 1 }),
      );
      for (let number = 0; number <= count; number++) {
        scheduler.submit(createTargetRequest(number), number / 100);
      }
      return scheduler;
    }),
  ]);
}

/** Heap of a scheduler by requests that run. */
export function measureRunningMemory(): SlopePoint[] {
  return RUNNING_COUNTS.map((count) => [
    count,
    retainedBytes(() => {
      const scheduler = schedulerOf(createTargetPolicy(857));
      start(scheduler, { from: 0, count });
      return scheduler;
    }),
  ]);
}

/** Processor time of one request at the keeper: ask, grant, first token, end. */
export function measureDecisionTime(): SlopePoint[] {
  return UPSTREAM_COUNTS.map((count) => {
    const scheduler = schedulerOf(
      createTargetPolicy(count, { accounts: TARGET.accounts }),
    );
    const running = RUNNING_PER_UPSTREAM * count;
    start(scheduler, { from: 0, count: running });
    const rounds = Array.from(
      { length: TIMED_ROUNDS },
      (_, round) =>
        asksFrom(running + round * TIMED_DECISIONS, TIMED_DECISIONS),
    );
    let now = 0;
    const least = minimumProcessorMs(() => {
      now = serve(scheduler, rounds.pop()!, { from: now });
    }, { rounds: TIMED_ROUNDS });
    return [count, least / TIMED_DECISIONS * MICROSECONDS];
  });
}

/** Processor time of a new policy at the keeper, by upstreams of the pool. */
export function measurePolicyTime(): SlopePoint[] {
  return UPSTREAM_COUNTS.map((count) => {
    const scheduler = schedulerOf(createTargetPolicy(count));
    const next = createTargetPolicy(count);
    return [count, minimumProcessorMs(() => void scheduler.setPolicy(next, 1))];
  });
}

function schedulerOf(policy: PoolPolicy): PoolScheduler {
  return new PoolScheduler(policy, { random: new SeededRandom(1) });
}

function asksFrom(
  from: number,
  count: number,
  options: { accounts?: number } = {},
): PlacementRequest[] {
  return Array.from(
    { length: count },
    (_, index) => createTargetRequest(from + index, options),
  );
}

/** Starts requests that stay, each past its first token. */
function start(
  scheduler: PoolScheduler,
  { from, count }: { from: number; count: number },
): void {
  for (const ask of asksFrom(from, count)) {
    scheduler.submit(ask, 0);
    scheduler.recordFirstToken(ask.request, 0);
  }
}

/**
 * Runs requests from their ask to their end, some at once, and gives the time of
 * the last end. A scheduler may let one wait; what waits at the end is withdrawn.
 */
function serve(
  scheduler: PoolScheduler,
  asks: readonly PlacementRequest[],
  { from = 0 }: { from?: Milliseconds } = {},
): Milliseconds {
  let now = from;
  const running: Grant[] = [];
  const endOldest = (): void => {
    const { placementRequest: ask, upstream } = running.shift()!;
    const { request } = ask;
    const outcome = "whole";
    running.push(...grantsOf(
      scheduler.finish({ request, upstream, outcome, outputTokens: 200 }, now),
    ));
  };
  for (const [index, ask] of asks.entries()) {
    now += ARRIVAL_MS;
    const due = { ...ask, deadline: now + HOUR_MS };
    running.push(...grantsOf(scheduler.submit(due, now)));
    const youngest = running.at(-PREFILLING);
    if (youngest !== undefined) {
      scheduler.recordFirstToken(youngest.placementRequest.request, now);
    }
    if (running.length > RUNNING_AT_ONCE) endOldest();
    if (index % ARRIVALS_PER_TICK !== 0) continue;
    running.push(...grantsOf(scheduler.tick(now)));
  }
  while (running.length > 0) endOldest();
  for (const { request } of asks) scheduler.withdraw(request, now);
  return now;
}

type Grant = Extract<Decision, { kind: "grant" }>;

function grantsOf(decisions: readonly Decision[]): Grant[] {
  return decisions.map((decision) => {
    if (decision.kind === "grant") return decision;
    throw new Error(`A request was refused: ${JSON.stringify(decision)}`);
  });
}
