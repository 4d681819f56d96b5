import type { EpochMilliseconds } from "@wasabivane/common";
import type { LoggedOutcome, LoggedRequest } from "./loggedRequests.ts";
import { allocateGreedily, type WindowedJob } from "./allocateGreedily.ts";

/** Windows are widened to whole slots, which keeps the bound a bound. */
const SLOT_MS = 1_000;

/** One tier of a service: what its callers saw, and how many could have been on time. */
export interface TierUsage {
  readonly tier: number;
  readonly requestCount: number;
  readonly outcomes: ReadonlyMap<LoggedOutcome, number>;
  /** Most requests that any order and placement could have served on time. */
  readonly bound: number;
}

/** What one service's places were used for. */
export interface ServiceUsage {
  readonly tiers: readonly TierUsage[];
  /** Time in places at the speed of the fastest upstream, in milliseconds. */
  readonly capacity: number;
  readonly used: number;
}

/** What is known of an upstream from its requests. */
interface Place {
  readonly slots: number;
  /** How many times as long as the fastest one it takes. */
  readonly slowness: number;
  readonly from: EpochMilliseconds;
  until: EpochMilliseconds;
}

/**
 * Works out what a service's places were used for, and how many requests of each
 * tier could have been on time if all had been known beforehand.
 *
 * Places bind before tokens do where answers are long, so that work is counted in
 * time that a place is held at the fastest upstream. An upstream counts as up from
 * its first request to its last; refused requests count by the time that their host
 * expected. Work is cut into parts at will and higher tiers go first, each with its
 * shortest requests first: no schedule that keeps the order of tiers does better.
 */
export function analyzeServiceUsage(
  requests: readonly LoggedRequest[],
): ServiceUsage {
  const places = placesOf(requests);
  const start = Math.min(...requests.map(({ at }) => at));
  const jobs = requests
    .map((request) => ({ request, job: jobOf(request, { places, start }) }))
    .sort((left, right) =>
      left.request.tier - right.request.tier || left.job.work - right.job.work
    );
  const end = Math.max(
    ...jobs.map(({ job }) => job.due),
    ...[...places.values()].map(({ until }) =>
      Math.floor((until - start) / SLOT_MS)
    ),
  );
  const slots = 1 + end;
  const capacity = capacityBySlot(places, { start, slots });
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
      outcomes: countEndings(requests),
      bound,
    })),
    capacity: capacity.reduce((sum, slot) => sum + slot, 0),
    used: jobs.reduce(
      (sum, { request, job }) =>
        sum + (request.upstream === undefined ? 0 : job.work),
      0,
    ),
  };
}

function placesOf(requests: readonly LoggedRequest[]): Map<string, Place> {
  const paces = new Map<string, number[]>();
  for (const { upstream, pace } of requests) {
    if (upstream === undefined || pace === undefined) continue;
    paces.set(upstream, [...paces.get(upstream) ?? [], pace]);
  }
  const usual = new Map(
    [...paces].map(([upstream, values]) => [upstream, medianOf(values)]),
  );
  const fastest = Math.min(...usual.values());
  const places = new Map<string, Place>();
  for (const { upstream, slots, at, held } of requests) {
    if (upstream === undefined) continue;
    const known = places.get(upstream);
    if (known === undefined) {
      const pace = usual.get(upstream) ?? fastest;
      const slowness = Number.isFinite(fastest) && fastest > 0
        ? Math.max(1, pace / fastest)
        : 1;
      places.set(upstream, { slots, slowness, from: at, until: at + held });
    } else known.until = Math.max(known.until, at + held);
  }
  return places;
}

function jobOf(
  { at, target, held, upstream }: LoggedRequest,
  { places, start }: {
    places: ReadonlyMap<string, Place>;
    start: EpochMilliseconds;
  },
): WindowedJob {
  const slowness = upstream === undefined
    ? meanSlowness(places)
    : places.get(upstream)!.slowness;
  const work = Math.max(1, held / slowness);
  return {
    work,
    release: Math.max(0, Math.floor((at - start) / SLOT_MS)),
    due: Math.max(0, Math.floor((at - start + target + work) / SLOT_MS)),
  };
}

/** Refused requests carry the time expected at the mean upstream. */
function meanSlowness(places: ReadonlyMap<string, Place>): number {
  let sum = 0;
  for (const { slowness } of places.values()) sum += slowness;
  return places.size === 0 ? 1 : sum / places.size;
}

function capacityBySlot(
  places: ReadonlyMap<string, Place>,
  { start, slots }: { start: EpochMilliseconds; slots: number },
): Float64Array {
  const capacity = new Float64Array(slots);
  for (const { slots: own, slowness, from, until } of places.values()) {
    for (let slot = 0; slot < slots; slot++) {
      const begin = Math.max(from - start, slot * SLOT_MS);
      const end = Math.min(until - start, (slot + 1) * SLOT_MS);
      capacity[slot]! += own * Math.max(0, end - begin) / slowness;
    }
  }
  return capacity;
}

function countEndings(
  requests: readonly LoggedRequest[],
): Map<LoggedOutcome, number> {
  const counts = new Map<LoggedOutcome, number>();
  for (const { outcome: ending } of requests) {
    counts.set(ending, (counts.get(ending) ?? 0) + 1);
  }
  return counts;
}

function medianOf(values: readonly number[]): number {
  const sorted = values.toSorted((left, right) => left - right);
  return sorted[Math.floor(sorted.length / 2)]!;
}
