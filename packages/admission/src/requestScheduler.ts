import type {
  HostId,
  Milliseconds,
  Random,
  RequestId,
  ServiceId,
} from "@wasabivane/common";
import { isEligible } from "./eligibility.ts";
import { FleetLoad } from "./fleetLoad.ts";
import {
  Placement,
  type PlacementCriteria,
  type SlotUse,
} from "./placement.ts";
import { PrefixCacheIndex } from "./prefixCacheIndex.ts";
import type { RejectionTolerances } from "./rejectionTolerances.ts";
import type { StartLimit } from "./startLimit.ts";
import type { SoftwareVersion, Upstream } from "./types.ts";
import type { UpstreamHealth } from "./upstreamHealth.ts";
import type { UpstreamStats } from "./upstreamStats.ts";
import type { AccountUse } from "./accountUse.ts";
import type { QueueEstimate } from "./queueEstimator.ts";
import { RequestQueue } from "./requestQueue.ts";
import type { QueuedRequest } from "./requestRanks.ts";

/**
 * Minimum time from the end of a response until the next queued request is at
 * its upstream.
 */
const MINIMUM_REFILL_MS: Milliseconds = 8;
const REFILL_WEIGHT = 0.02;
/**
 * Share of its slots that an upstream may hold in queued requests at most, as
 * upstreams ignore tiers.
 */
const MAXIMUM_EXCESS_SHARE = 0.5;
/**
 * Queued requests that are considered for free slots at most, which bounds the
 * time spent on long queues.
 */
const MAXIMUM_CONSIDERED = 48;
/** Estimate until a service has samples. */
const INITIAL_RESIDENCE_MS: Milliseconds = 300;
const RESIDENCE_WEIGHT = 0.05;

/** A request that needs an upstream. */
export interface PendingRequest extends QueuedRequest, PlacementCriteria {
  readonly service: ServiceId;
  /** Extra time by which it starts earlier while the queue is backlogged. */
  readonly margin?: Milliseconds;
  /** Called once unless the request is withdrawn. */
  readonly decide: (decision: PlacementDecision) => void;
}

/** Why a {@link PendingRequest} gets no slot. */
export type PlacementRefusal =
  | "line-too-long"
  | "waited-out"
  /** It was already sent to every upstream that it may go to, or there is none. */
  | "no-other-upstream"
  /** Its host backs off from every upstream of the service for too long. */
  | "backoff"
  /** Every upstream of the service is in an evacuated failure domain. */
  | "evacuated";

/** Decision about a {@link PendingRequest}. */
export type PlacementDecision =
  | {
    readonly kind: "place";
    readonly upstream: Upstream;
    /** Coordinator that made the decision; `undefined` if this host did. */
    readonly coordinator?: HostId;
    /** Other requests at the upstream, as far as the scheduler knows. */
    readonly inFlight: number;
    /**
     * Prompt tokens that the upstream processes before those of the request.
     */
    readonly pendingPrefillTokens: number;
  }
  | {
    readonly kind: "refuse";
    readonly reason: PlacementRefusal;
    /** State of the queue when the decision was made. */
    readonly estimate: QueueEstimate;
    /** Present if it would have started in time without shares of accounts. */
    readonly by?: "share";
  };

/** Provides the upstreams of a service that accept requests. */
export interface UpstreamSource {
  of(service: ServiceId): readonly Upstream[];
}

/** Dependencies of a {@link RequestScheduler}. */
export interface RequestSchedulerOptions {
  readonly upstreams: UpstreamSource;
  readonly stats: UpstreamStats;
  /** Ejections that hold for all requests. */
  readonly health: UpstreamHealth;
  readonly random: Random;
  readonly starts: StartLimit;
}

interface ServiceQueue {
  readonly queue: RequestQueue<PendingRequest>;
  residence: Milliseconds;
}

/** Slots and queued requests of a group of upstreams. */
export interface SlotCounts {
  readonly capacity: number;
  readonly free: number;
  readonly waiting: number;
}

/**
 * Decides for a group of upstreams which request goes to which upstream, which
 * waits and which is refused.
 *
 * Upstreams start requests in order of arrival and ignore tiers. Requests are
 * therefore queued here by tier, and upstreams get hardly more than they run at
 * once, counting the requests of all hosts.
 */
export class RequestScheduler {
  readonly load = new FleetLoad();
  readonly #upstreams: UpstreamSource;
  readonly #starts: StartLimit;
  readonly #tolerances: RejectionTolerances;
  readonly #prefixCaches = new PrefixCacheIndex();
  readonly #placement: Placement;
  /** Mean time to fill a slot that has become free. */
  #refillTime: Milliseconds = MINIMUM_REFILL_MS;
  readonly #queues = new Map<ServiceId, ServiceQueue>();

  constructor(options: RequestSchedulerOptions) {
    const { upstreams, stats, health, random, starts } = options;
    this.#upstreams = upstreams;
    this.#starts = starts;
    this.#tolerances = stats.tolerances;
    this.#placement = new Placement({
      load: this.load,
      stats,
      health,
      prefixCaches: this.#prefixCaches,
      random,
      starts,
      limitOf: (upstream) => this.#limitOf(upstream),
    });
  }

  /**
   * Enqueues a request and fills free slots; may decide on it before returning.
   */
  submit(pending: PendingRequest, now: Milliseconds): void {
    this.enqueue(pending, now);
    this.fillSlots(pending.service, now);
  }

  /** Enqueues a request; may refuse it before returning. */
  enqueue(pending: PendingRequest, now: Milliseconds): void {
    const { queue } = this.#queueOf(pending.service);
    if (this.#hasNoAlternative(pending)) {
      return refuse(pending, "no-other-upstream", { queue, now });
    }
    if (queue.shouldRefuse(pending, now)) {
      return refuse(pending, "line-too-long", { queue, now });
    }
    queue.push(queue.isBacklogged ? withMargin(pending) : pending, now);
  }

  /** Removes a request that still waits. */
  withdraw(service: ServiceId, request: RequestId): void {
    this.#queues.get(service)?.queue.remove(request);
  }

  /** Records how long a complete attempt occupied its slot. */
  recordResidence(service: ServiceId, residence: Milliseconds): void {
    const state = this.#queueOf(service);
    state.residence += RESIDENCE_WEIGHT * (residence - state.residence);
  }

  /**
   * Records a host's mean reply time, from the end that it reports to the start
   * that it learns of. Slots stay empty for that time.
   */
  recordTurnaround(span: Milliseconds): void {
    if (span <= 0) return;
    this.#refillTime += REFILL_WEIGHT * (span - this.#refillTime);
  }

  /**
   * Re-evaluates all queues after time has passed or upstreams or loads have
   * changed.
   */
  review(now: Milliseconds): void {
    for (const [service, { queue }] of this.#queues) {
      for (const pending of queue.removeUnservable(now)) {
        refuse(pending, "waited-out", { queue, now });
      }
      const stranded = queue.removeWhere((pending) =>
        pending.softwareVersion !== undefined && this.#hasNoAlternative(pending)
      );
      for (const pending of stranded) {
        refuse(pending, "no-other-upstream", { queue, now });
      }
      this.fillSlots(service, now);
    }
  }

  /** Number of queued requests. */
  get waitingTotal(): number {
    let total = 0;
    for (const { queue } of this.#queues.values()) total += queue.size;
    return total;
  }

  /** Returns the slots of a service and its queued requests. */
  counts(service: ServiceId, now: Milliseconds): SlotCounts {
    const upstreams = this.#upstreams.of(service);
    let capacity = 0;
    for (const upstream of upstreams) capacity += this.#limitOf(upstream);
    return {
      capacity,
      free: this.#placement.freeSlots(upstreams, now),
      waiting: this.#queues.get(service)?.queue.size ?? 0,
    };
  }

  /** Returns what the slots of a service are used for. */
  slotUse(service: ServiceId, now: Milliseconds): SlotUse {
    return this.#placement.slotUse(this.#upstreams.of(service), now);
  }

  /** Returns starts and refusals of a service by account since the last call. */
  takeAccountUse(service: ServiceId): readonly AccountUse[] {
    return this.#queues.get(service)?.queue.takeAccountUse() ?? [];
  }

  /** Number of accounts that wait or have started requests recently. */
  get accountCount(): number {
    let count = 0;
    for (const { queue } of this.#queues.values()) count += queue.accountCount;
    return count;
  }

  /**
   * Reviews all queues and discards what was counted by account, which nobody
   * takes from a scheduler without a log of its own.
   */
  discardAccountUse(now: Milliseconds): void {
    this.review(now);
    for (const service of this.#queues.keys()) this.takeAccountUse(service);
  }

  /** Fills free slots in queue order. */
  fillSlots(service: ServiceId, now: Milliseconds): void {
    const { queue } = this.#queueOf(service);
    if (queue.size === 0) return;
    const upstreams = this.#upstreams.of(service);
    let left = this.#placement.freeSlots(upstreams, now);
    if (left <= 0) return;
    const hasFreeSlot = this.#createVersionCheck(upstreams, now);
    const order = queue.inOrder(now, {
      maximum: MAXIMUM_CONSIDERED,
      canStart: ({ backoffs, softwareVersion }) =>
        hasFreeSlot(softwareVersion) && !backoffs?.coverAll(upstreams, now),
    });
    for (let next = order.shift(); next !== undefined; next = order.shift()) {
      if (left <= 0) return;
      const upstream = this.#placement.pick(upstreams, next, now);
      if (upstream === undefined) continue;
      const chosen = this.#selectFor(upstream, { next, order, queue, now });
      if (chosen !== next) {
        order.splice(order.indexOf(chosen), 1);
        order.unshift(next);
      }
      // Deciding may end a request at once and re-enter this method, so the
      // request may already have started.
      if (queue.start(chosen.request, now) === undefined) continue;
      left--;
      this.#place(chosen, upstream, now);
    }
  }

  /** Returns a check for free slots at a version, which looks once at each. */
  #createVersionCheck(
    upstreams: readonly Upstream[],
    now: Milliseconds,
  ): (softwareVersion: SoftwareVersion | undefined) => boolean {
    const checked = new Map<SoftwareVersion, boolean>();
    return (softwareVersion) => {
      if (softwareVersion === undefined) return true;
      let hasFree = checked.get(softwareVersion);
      if (hasFree === undefined) {
        const ofVersion = upstreams.filter((upstream) =>
          isEligible(upstream, { softwareVersion })
        );
        hasFree = this.#placement.freeSlots(ofVersion, now) > 0;
        checked.set(softwareVersion, hasFree);
      }
      return hasFree;
    };
  }

  /**
   * Returns the request that gets the slot that the next in order would take:
   * an equally urgent one that is due only slightly later, if the upstream has
   * more of its prompt cached. Under full load one slot becomes free at a time,
   * rarely at the upstream that caches the next prompt.
   */
  #selectFor(
    upstream: Upstream,
    { next, order, queue, now }: {
      next: PendingRequest;
      order: readonly PendingRequest[];
      queue: RequestQueue<PendingRequest>;
      now: Milliseconds;
    },
  ): PendingRequest {
    // A slot that the bypass budget pays for goes to no other request.
    const isBypassing = order.some(({ tier }) => tier < next.tier);
    if (isBypassing) return next;
    let best = next;
    let mostSaved = 0;
    for (const other of order) {
      const saved = this.#placement.prefillTimeSaved(upstream, {
        next,
        other,
        now,
      });
      if (saved <= mostSaved) continue;
      if (!queue.isDueWithin(saved, { first: next, other, now })) continue;
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
    this.#prefixCaches.recordPrompt(id, parts, now);
    this.#starts.recordStart(upstream, now);
    decide({
      kind: "place",
      upstream,
      inFlight: this.load.total(id),
      pendingPrefillTokens: this.load.pendingPrefillTokens(id),
    });
  }

  #hasNoAlternative(pending: PendingRequest): boolean {
    const upstreams = this.#upstreams.of(pending.service);
    return upstreams.length > 0 &&
      !upstreams.some((upstream) => isEligible(upstream, pending));
  }

  /**
   * Returns how many requests an upstream may have. A slot stays empty while
   * the next request is on its way, so upstreams with short requests get some
   * more than their slots, unless they fail when they turn requests away.
   */
  #limitOf({ service, slots }: Upstream): number {
    if (this.#tolerances.of(service) !== undefined) return slots;
    const residence = this.#queues.get(service)?.residence ??
      INITIAL_RESIDENCE_MS;
    const refillTime = Math.max(MINIMUM_REFILL_MS, this.#refillTime);
    const inTransit = slots * refillTime / Math.max(residence, 1);
    const maximumExcess = Math.max(1, MAXIMUM_EXCESS_SHARE * slots);
    return slots + Math.floor(Math.min(maximumExcess, inTransit));
  }

  #queueOf(service: ServiceId): ServiceQueue {
    let state = this.#queues.get(service);
    if (state === undefined) {
      state = {
        queue: new RequestQueue(),
        residence: INITIAL_RESIDENCE_MS,
      };
      this.#queues.set(service, state);
    }
    return state;
  }
}

/** Returns the request with its due time moved ahead by its margin. */
function withMargin(pending: PendingRequest): PendingRequest {
  const { onTimeUntil, margin = 0 } = pending;
  return { ...pending, onTimeUntil: onTimeUntil - margin };
}

function refuse(
  pending: PendingRequest,
  reason: PlacementRefusal,
  { queue, now }: { queue: RequestQueue<PendingRequest>; now: Milliseconds },
): void {
  const estimate = queue.estimate(pending, now);
  queue.recordRefusal(pending);
  const isByShare = reason !== "no-other-upstream" &&
    queue.isRefusedByShare(pending, now);
  pending.decide({
    kind: "refuse",
    reason,
    estimate,
    ...isByShare && { by: "share" },
  });
}
