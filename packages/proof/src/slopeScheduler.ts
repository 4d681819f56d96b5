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
const QUEUED_COUNTS = [1_000, 2_000, 4_000];
const RUNNING_COUNTS = [1_000, 2_000, 4_000];
const GENERATIONS = 3;
const TIERS = [1, 2, 3, 4];
/** Running requests per upstream while decisions are timed. */
const RUNNING_PER_UPSTREAM = 2;
const TIMED_DECISIONS = 2_000;
const TIMED_ROUNDS = 4;
/** Prompt size that results in 16 prefix digests. */
const PROMPT_BYTES = 4_096;
const MICROSECONDS_PER_MS = 1_000;
const ARRIVAL_INTERVAL_MS = 1;
const MAX_RUNNING_REQUESTS = 100;
/** Number of later grants after which a request gets its first token. */
const PREFILLING_REQUESTS = 20;
const ARRIVALS_PER_TICK = 50;
const HOUR_MS = 3_600_000;

/** Creates a pool policy of the target deployment with the given upstreams. */
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

/** Creates a placement request of the target with unshared strings. */
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

/** Measures the heap of a scheduler by the number of upstreams. */
export function measureUpstreamMemory(): SlopePoint[] {
  return UPSTREAM_COUNTS.map((count) => {
    const policy = createTargetPolicy(count);
    return [count, retainedBytes(() => createScheduler(policy))];
  });
}

/** Measures the heap of a scheduler by the number of active client accounts. */
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
        const scheduler = createScheduler(policy);
        runRequests(scheduler, createRequests(0, count, { accounts: count }));
        return scheduler;
      }),
    ];
  });
}

/** Measures the heap of a scheduler by the number of queued requests. */
export function measureQueueMemory(): SlopePoint[] {
  return QUEUED_COUNTS.map((count) => [
    count,
    retainedBytes(() => {
      const scheduler = createScheduler(
        createTargetPolicy(1, { initialConcurrency: 1, maximumConcurrency: 1 }),
      );
      for (let number = 0; number <= count; number++) {
        scheduler.submit(createTargetRequest(number), number / 100);
      }
      return scheduler;
    }),
  ]);
}

/** Measures the heap of a scheduler by the number of running requests. */
export function measureRunningMemory(): SlopePoint[] {
  return RUNNING_COUNTS.map((count) => [
    count,
    retainedBytes(() => {
      const scheduler = createScheduler(createTargetPolicy(857));
      startRequests(scheduler, { from: 0, count });
      return scheduler;
    }),
  ]);
}

/** Measures the scheduling time over a request's lifecycle by pool size. */
export function measureDecisionTime(): SlopePoint[] {
  return UPSTREAM_COUNTS.map((count) => {
    const scheduler = createScheduler(
      createTargetPolicy(count, { accounts: TARGET.accounts }),
    );
    const running = RUNNING_PER_UPSTREAM * count;
    startRequests(scheduler, { from: 0, count: running });
    const rounds = Array.from(
      { length: TIMED_ROUNDS },
      (_, round) =>
        createRequests(running + round * TIMED_DECISIONS, TIMED_DECISIONS),
    );
    let now = 0;
    const minimumMs = minimumProcessorMs(() => {
      now = runRequests(scheduler, rounds.pop()!, { from: now });
    }, { rounds: TIMED_ROUNDS });
    return [count, minimumMs / TIMED_DECISIONS * MICROSECONDS_PER_MS];
  });
}

/** Measures the processor time of a policy update by pool size. */
export function measurePolicyTime(): SlopePoint[] {
  return UPSTREAM_COUNTS.map((count) => {
    const scheduler = createScheduler(createTargetPolicy(count));
    const next = createTargetPolicy(count);
    return [count, minimumProcessorMs(() => void scheduler.setPolicy(next, 1))];
  });
}

function createScheduler(policy: PoolPolicy): PoolScheduler {
  return new PoolScheduler(policy, { random: new SeededRandom(1) });
}

function createRequests(
  from: number,
  count: number,
  options: { accounts?: number } = {},
): PlacementRequest[] {
  return Array.from(
    { length: count },
    (_, index) => createTargetRequest(from + index, options),
  );
}

/** Starts requests that keep running after their first token. */
function startRequests(
  scheduler: PoolScheduler,
  { from, count }: { from: number; count: number },
): void {
  for (const request of createRequests(from, count)) {
    scheduler.submit(request, 0);
    scheduler.recordFirstToken(request.request, 0);
  }
}

/**
 * Runs requests to their end and returns the time of the last one. Requests
 * that are still queued then are withdrawn.
 */
function runRequests(
  scheduler: PoolScheduler,
  requests: readonly PlacementRequest[],
  { from = 0 }: { from?: Milliseconds } = {},
): Milliseconds {
  let now = from;
  const running: Grant[] = [];
  const endOldest = (): void => {
    const { placementRequest, upstream } = running.shift()!;
    const { request } = placementRequest;
    const outcome = "whole";
    running.push(...grantsOf(
      scheduler.finish({ request, upstream, outcome, outputTokens: 200 }, now),
    ));
  };
  for (const [index, request] of requests.entries()) {
    now += ARRIVAL_INTERVAL_MS;
    const placementRequest = { ...request, deadline: now + HOUR_MS };
    running.push(...grantsOf(scheduler.submit(placementRequest, now)));
    const prefilled = running.at(-PREFILLING_REQUESTS);
    if (prefilled !== undefined) {
      scheduler.recordFirstToken(prefilled.placementRequest.request, now);
    }
    if (running.length > MAX_RUNNING_REQUESTS) endOldest();
    if (index % ARRIVALS_PER_TICK !== 0) continue;
    running.push(...grantsOf(scheduler.tick(now)));
  }
  while (running.length > 0) endOldest();
  for (const { request } of requests) scheduler.withdraw(request, now);
  return now;
}

type Grant = Extract<Decision, { kind: "grant" }>;

function grantsOf(decisions: readonly Decision[]): Grant[] {
  return decisions.map((decision) => {
    if (decision.kind === "grant") return decision;
    throw new Error(`Request was refused: ${JSON.stringify(decision)}`);
  });
}
