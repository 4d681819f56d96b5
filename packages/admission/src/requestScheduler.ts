import type {
  Milliseconds,
  Random,
  RequestId,
  ServiceId,
} from "@wasabivane/common";
import { FleetLoad } from "./fleetLoad.ts";
import { Placement, type PlacementCriteria } from "./placement.ts";
import { PrefixCacheIndex } from "./prefixCacheIndex.ts";
import type { StartLimit } from "./startLimit.ts";
import type { Upstream } from "./types.ts";
import type { UpstreamStats } from "./upstreamStats.ts";
import {
  isDueWithin,
  type QueuedRequest,
  type QueueEstimate,
  RequestQueue,
} from "./requestQueue.ts";

/**
 * Least time from an answer's end until the next request of the line is at its upstream:
 * three messages among hosts, some of another failure domain.
 */
const LEAST_REFILL_MS: Milliseconds = 8;
const REFILL_WEIGHT = 0.02;
/** Requests that wait at an upstream know no tiers; so many of its places at most. */
const MOST_AHEAD_SHARE = 0.5;
/**
 * Requests looked at for the places that are free: in a long line of those that would
 * rather wait for another engine, looking at all would take longer than a place is free.
 */
const MAXIMUM_LOOKS = 48;
/** Assumed residence of a request before any was seen. */
const FIRST_RESIDENCE_MS: Milliseconds = 300;
const RESIDENCE_WEIGHT = 0.05;

/** A request that wants an upstream. */
export interface PendingRequest extends QueuedRequest, PlacementCriteria {
  readonly service: ServiceId;
  /** By how much it starts sooner than need be while the line stands, to be on time likely. */
  readonly margin?: Milliseconds;
  /** Called once unless the candidate is withdrawn. */
  readonly decide: (verdict: PlacementDecision) => void;
}

/** Why a {@link PendingRequest} gets no place. */
export type PlacementRefusal =
  | "line-too-long"
  | "waited-out"
  /** It was sent to every upstream of the service before. */
  | "no-other-upstream"
  /** Every upstream of the service is in a failure domain that operators have evacuated. */
  | "evacuated";

/** What was decided about a {@link PendingRequest}. */
export type PlacementDecision =
  | {
    readonly kind: "place";
    readonly upstream: Upstream;
    /** Requests that the upstream has besides, as far as whoever decided knows. */
    readonly inFlight: number;
    /** Prompt tokens that it reads before this one's. */
    readonly pendingPrefillTokens: number;
  }
  | {
    readonly kind: "refuse";
    readonly reason: PlacementRefusal;
    /** What the line promised when it was decided. */
    readonly estimate: QueueEstimate;
  };

/** Which upstreams of a service may get work. */
export interface UpstreamSource {
  of(service: ServiceId): readonly Upstream[];
}

/** What a {@link RequestScheduler} is built from. */
export interface RequestSchedulerOptions {
  readonly upstreams: UpstreamSource;
  readonly stats: UpstreamStats;
  readonly random: Random;
  readonly starts: StartLimit;
}

interface ServiceLine {
  readonly line: RequestQueue<PendingRequest>;
  residence: Milliseconds;
}

/** Places and waiting requests of some upstreams. */
export interface SlotCounts {
  readonly capacity: number;
  readonly free: number;
  readonly waiting: number;
}

/**
 * Decides which request goes to which upstream, which waits and which is refused,
 * for all upstreams that it is given.
 *
 * Answers the load pattern of many hosts before few engines that admit in order of
 * arrival and know no tiers. Requests wait here, in order of tier, and engines get
 * no more than they run at once, over all hosts that tell of their work.
 */
export class RequestScheduler {
  readonly load = new FleetLoad();
  readonly #upstreams: UpstreamSource;
  readonly #starts: StartLimit;
  readonly #prompts = new PrefixCacheIndex();
  readonly #placement: Placement;
  /** What it takes to fill a place that came free, on the mean. */
  #refill: Milliseconds = LEAST_REFILL_MS;
  readonly #services = new Map<ServiceId, ServiceLine>();

  constructor(options: RequestSchedulerOptions) {
    const { upstreams, stats: knowledge, random, starts } = options;
    this.#upstreams = upstreams;
    this.#starts = starts;
    this.#placement = new Placement({
      load: this.load,
      stats: knowledge,
      prefixCaches: this.#prompts,
      random,
      starts,
      limitOf: (upstream) => this.#limitOf(upstream),
    });
  }

  /** Takes a candidate in and fills free places; it may be decided before the call returns. */
  submit(candidate: PendingRequest, now: Milliseconds): void {
    this.enqueue(candidate, now);
    this.fillSlots(candidate.service, now);
  }

  /** Takes a candidate in; it may be refused before the call returns. */
  enqueue(candidate: PendingRequest, now: Milliseconds): void {
    const { line } = this.#stateOf(candidate.service);
    if (this.#hasNoOther(candidate)) {
      return refuse(candidate, "no-other-upstream", { line, now });
    }
    if (line.shouldRefuse(candidate, now)) {
      return refuse(candidate, "line-too-long", { line, now });
    }
    line.push(line.isBacklogged ? withMargin(candidate) : candidate, now);
  }

  /** Takes back a candidate that still waits. */
  withdraw(service: ServiceId, request: RequestId): void {
    this.#services.get(service)?.line.remove(request);
  }

  /** An attempt that answered whole held its place for so long. */
  recordResidence(service: ServiceId, residence: Milliseconds): void {
    const state = this.#stateOf(service);
    state.residence += RESIDENCE_WEIGHT * (residence - state.residence);
  }

  /**
   * A host says what it takes to be answered: from an end that it tells to a start that
   * it is told of. Hosts that are slow themselves leave places empty for so long.
   */
  recordTurnaround(span: Milliseconds): void {
    if (span <= 0) return;
    this.#refill += REFILL_WEIGHT * (span - this.#refill);
  }

  /** Looks at every line again: upstreams or hosts' work have changed, or time went by. */
  review(now: Milliseconds): void {
    for (const [service, { line }] of this.#services) {
      for (const candidate of line.removeUnservable(now)) {
        refuse(candidate, "waited-out", { line, now });
      }
      this.fillSlots(service, now);
    }
  }

  /** Requests that wait. */
  get waitingTotal(): number {
    let total = 0;
    for (const { line } of this.#services.values()) total += line.size;
    return total;
  }

  /** Places of a service, those that are free and the requests that wait. */
  counts(service: ServiceId, now: Milliseconds): SlotCounts {
    const upstreams = this.#upstreams.of(service);
    let places = 0;
    for (const upstream of upstreams) places += this.#limitOf(upstream);
    return {
      capacity: places,
      free: this.#placement.freeSlots(upstreams, now),
      waiting: this.#services.get(service)?.line.size ?? 0,
    };
  }

  /** Fills free places in order of the line. */
  fillSlots(service: ServiceId, now: Milliseconds): void {
    const { line } = this.#stateOf(service);
    if (line.size === 0) return;
    const upstreams = this.#upstreams.of(service);
    let left = this.#placement.freeSlots(upstreams, now);
    if (left <= 0) return;
    const order = line.inOrder(now, MAXIMUM_LOOKS);
    for (let next = order.shift(); next !== undefined; next = order.shift()) {
      if (left <= 0) return;
      const upstream = this.#placement.pick(upstreams, next, now);
      if (upstream === undefined) continue;
      const chosen = this.#bestFor(upstream, { next, order, now });
      if (chosen !== next) {
        order.splice(order.indexOf(chosen), 1);
        order.unshift(next);
      }
      // A verdict may end a request at once and fill places anew from within; who
      // was placed meanwhile must not be placed twice.
      if (line.start(chosen.request, now) === undefined) continue;
      left--;
      this.#place(chosen, upstream, now);
    }
  }

  /**
   * Who gets the place that the next in order would take: one that is as urgent and
   * due only a little later, if the upstream holds more of its prompt. When every place
   * is taken, one comes free at a time, seldom where the next one's prompt is held.
   */
  #bestFor(
    upstream: Upstream,
    { next, order, now }: {
      next: PendingRequest;
      order: readonly PendingRequest[];
      now: Milliseconds;
    },
  ): PendingRequest {
    // The room for short work is its own: nobody else takes the place that it pays for.
    const isPassing = order.some(({ tier }) => tier < next.tier);
    if (isPassing) return next;
    let best = next;
    let mostSaved = 0;
    for (const other of order) {
      const saved = this.#placement.prefillTimeSaved(upstream, {
        next,
        other,
        now,
      });
      if (saved <= mostSaved) continue;
      if (!isDueWithin(saved, { first: next, other, now })) continue;
      best = other;
      mostSaved = saved;
    }
    return best;
  }

  #place(
    { parts, decide }: PendingRequest,
    upstream: Upstream,
    now: Milliseconds,
  ): void {
    const id = upstream.upstream;
    this.#prompts.recordPrompt(id, parts, now);
    this.#starts.recordStart(upstream, now);
    decide({
      kind: "place",
      upstream,
      inFlight: this.load.total(id),
      pendingPrefillTokens: this.load.pendingPrefillTokens(id),
    });
  }

  #hasNoOther({ service, excluded }: PendingRequest): boolean {
    const upstreams = this.#upstreams.of(service);
    return upstreams.length > 0 &&
      upstreams.every(({ upstream }) => excluded?.has(upstream));
  }

  /**
   * A place stays empty while the next request is on its way. Where that is a good
   * part of the time for which a request stays, more of them keep an upstream busy.
   */
  #limitOf({ service, slots }: Upstream): number {
    const residence = this.#services.get(service)?.residence ??
      FIRST_RESIDENCE_MS;
    const refill = Math.max(LEAST_REFILL_MS, this.#refill);
    const onTheWay = slots * refill / Math.max(residence, 1);
    const most = Math.max(1, MOST_AHEAD_SHARE * slots);
    return slots + Math.floor(Math.min(most, onTheWay));
  }

  #stateOf(service: ServiceId): ServiceLine {
    let state = this.#services.get(service);
    if (state === undefined) {
      state = {
        line: new RequestQueue(),
        residence: FIRST_RESIDENCE_MS,
      };
      this.#services.set(service, state);
    }
    return state;
  }
}

/** The candidate, due sooner by its margin. */
function withMargin(candidate: PendingRequest): PendingRequest {
  const { onTimeUntil, margin = 0 } = candidate;
  return { ...candidate, onTimeUntil: onTimeUntil - margin };
}

function refuse(
  candidate: PendingRequest,
  reason: PlacementRefusal,
  { line, now }: { line: RequestQueue<PendingRequest>; now: Milliseconds },
): void {
  const outlook = line.estimate(candidate, now);
  candidate.decide({ kind: "refuse", reason, estimate: outlook });
}
