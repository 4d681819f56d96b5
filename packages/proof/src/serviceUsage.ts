import type { EpochMilliseconds } from "@wasabivane/common";
import type { LoggedOutcome, LoggedRequest } from "./loggedRequests.ts";
import { allocateGreedily, type WindowedJob } from "./allocateGreedily.ts";

/** Time windows are rounded outwards to steps, so the bound stays valid. */
const TIME_STEP_MS = 1_000;

/** Outcomes of a tier's requests and the bound on those served on time. */
export interface TierUsage {
  readonly tier: number;
  readonly requestCount: number;
  readonly outcomes: ReadonlyMap<LoggedOutcome, number>;
  /** Upper bound on the requests that any schedule could serve on time. */
  readonly bound: number;
}

/** Use of a service's upstream slots. */
export interface ServiceUsage {
  readonly tiers: readonly TierUsage[];
  /** Available slot time in milliseconds, scaled to the fastest upstream. */
  readonly capacity: number;
  /** Occupied slot time in the same unit. */
  readonly used: number;
}

/** Properties of an upstream that are derived from its requests. */
interface UpstreamUsage {
  readonly slots: number;
  /** Ratio of its event interval to that of the fastest upstream. */
  readonly slowness: number;
  readonly from: EpochMilliseconds;
  until: EpochMilliseconds;
}

/**
 * Computes the slot usage of a service and, for each tier, an upper bound on
 * the requests that an offline schedule could serve on time.
 *
 * Work is measured in slot time at the fastest upstream. An upstream counts as
 * up from its first request to its last; refused requests count with the
 * duration that their host expected. The bound assumes preemption, strict tier
 * priority and, within a tier, shortest requests first.
 */
export function analyzeServiceUsage(
  requests: readonly LoggedRequest[],
): ServiceUsage {
  const upstreams = collectUpstreams(requests);
  const start = Math.min(...requests.map(({ at }) => at));
  const jobs = requests
    .map((request) => ({
      request,
      job: createJob(request, { upstreams, start }),
    }))
    .sort((left, right) =>
      left.request.tier - right.request.tier || left.job.work - right.job.work
    );
  const end = Math.max(
    ...jobs.map(({ job }) => job.due),
    ...[...upstreams.values()].map(({ until }) =>
      Math.floor((until - start) / TIME_STEP_MS)
    ),
  );
  const steps = 1 + end;
  const capacity = capacityByStep(upstreams, { start, steps });
  const shares = allocateGreedily(jobs.map(({ job }) => job), capacity);
  const tiers = new Map<number, { bound: number; requests: LoggedRequest[] }>();
  for (const [index, { request }] of jobs.entries()) {
    const tier = tiers.get(request.tier) ?? { bound: 0, requests: [] };
    tier.bound += shares[index]!;
    tier.requests.push(request);
    tiers.set(request.tier, tier);
  }
  return {
    tiers: [...tiers].map(([tier, { bound, requests }]) => ({
      tier,
      requestCount: requests.length,
      outcomes: countOutcomes(requests),
      bound,
    })),
    capacity: capacity.reduce((sum, step) => sum + step, 0),
    used: jobs.reduce(
      (sum, { request, job }) =>
        sum + (request.upstream === undefined ? 0 : job.work),
      0,
    ),
  };
}

function collectUpstreams(
  requests: readonly LoggedRequest[],
): Map<string, UpstreamUsage> {
  const paces = new Map<string, number[]>();
  for (const { upstream, pace } of requests) {
    if (upstream === undefined || pace === undefined) continue;
    paces.set(upstream, [...paces.get(upstream) ?? [], pace]);
  }
  const medianPaces = new Map(
    [...paces].map(([upstream, values]) => [upstream, median(values)]),
  );
  const fastest = Math.min(...medianPaces.values());
  const upstreams = new Map<string, UpstreamUsage>();
  for (const { upstream, slots, at, held } of requests) {
    if (upstream === undefined) continue;
    const existing = upstreams.get(upstream);
    if (existing === undefined) {
      const pace = medianPaces.get(upstream) ?? fastest;
      const slowness = Number.isFinite(fastest) && fastest > 0
        ? Math.max(1, pace / fastest)
        : 1;
      upstreams.set(upstream, { slots, slowness, from: at, until: at + held });
    } else existing.until = Math.max(existing.until, at + held);
  }
  return upstreams;
}

function createJob(
  { at, target, held, upstream }: LoggedRequest,
  { upstreams, start }: {
    upstreams: ReadonlyMap<string, UpstreamUsage>;
    start: EpochMilliseconds;
  },
): WindowedJob {
  const slowness = upstream === undefined
    ? meanSlowness(upstreams)
    : upstreams.get(upstream)!.slowness;
  const work = Math.max(1, held / slowness);
  return {
    work,
    release: Math.max(0, Math.floor((at - start) / TIME_STEP_MS)),
    due: Math.max(0, Math.floor((at - start + target + work) / TIME_STEP_MS)),
  };
}

/** Refused requests carry the duration expected at a mean upstream. */
function meanSlowness(upstreams: ReadonlyMap<string, UpstreamUsage>): number {
  let sum = 0;
  for (const { slowness } of upstreams.values()) sum += slowness;
  return upstreams.size === 0 ? 1 : sum / upstreams.size;
}

function capacityByStep(
  upstreams: ReadonlyMap<string, UpstreamUsage>,
  { start, steps }: { start: EpochMilliseconds; steps: number },
): Float64Array {
  const capacity = new Float64Array(steps);
  for (const { slots, slowness, from, until } of upstreams.values()) {
    for (let step = 0; step < steps; step++) {
      const begin = Math.max(from - start, step * TIME_STEP_MS);
      const end = Math.min(until - start, (step + 1) * TIME_STEP_MS);
      capacity[step]! += slots * Math.max(0, end - begin) / slowness;
    }
  }
  return capacity;
}

function countOutcomes(
  requests: readonly LoggedRequest[],
): Map<LoggedOutcome, number> {
  const counts = new Map<LoggedOutcome, number>();
  for (const { outcome } of requests) {
    counts.set(outcome, (counts.get(outcome) ?? 0) + 1);
  }
  return counts;
}

function median(values: readonly number[]): number {
  const sorted = values.toSorted((left, right) => left - right);
  return sorted[Math.floor(sorted.length / 2)]!;
}
