import type { FailureDomain, Milliseconds, Random } from "@wasabivane/common";
import { type Eligibility, isEligible } from "./eligibility.ts";
import type { FleetLoad } from "./fleetLoad.ts";
import type { PrefixCacheIndex } from "./prefixCacheIndex.ts";
import type { StartLimit } from "./startLimit.ts";
import type { PromptPart, Upstream } from "./types.ts";
import type { UpstreamBackoffs } from "./upstreamBackoffs.ts";
import type { UpstreamHealth } from "./upstreamHealth.ts";
import type { UpstreamStats } from "./upstreamStats.ts";

/** Cost of an idle upstream, as a share of the cost of a full one. */
const IDLE_COST = 0.5;
/**
 * Cost factor of an upstream in another failure domain, as traffic between
 * domains is charged.
 */
const OTHER_DOMAIN_FACTOR = 1.1;
/**
 * Share by which the cost falls at an upstream that has the whole prompt
 * cached.
 */
const CACHED_DISCOUNT = 0.75;
/**
 * Multiple of the prefill time saved for which a request waits for an upstream
 * that has its prompt cached: prefill delays both the request and the streams
 * beside it.
 */
const PREFILL_WAIT_FACTOR = 2;
/**
 * Share of its target for which a request waits for an upstream that is not
 * slowed down at the moment.
 */
const MAXIMUM_SLOWDOWN_WAIT_SHARE = 0.25;
/** Relative cost added at an upstream that fails every request. */
const FAILURE_COST = 4;
/** Relative cost added where the first event takes the whole target. */
const LATENCY_COST = 1;
/**
 * Cost factors of the last free slots, which another host may take at the same
 * time.
 */
const LAST_SLOT_FACTOR = 1.6;
const SECOND_LAST_SLOT_FACTOR = 1.15;
/** Cost factor of an upstream that is warming up, which is slower. */
const WARMUP_FACTOR = 2;
/** Highest probability of a late pause at which an upstream is suitable. */
const MAXIMUM_PAUSE_RISK = 0.15;
/**
 * Factor by which responses may exceed their expected duration, as callers'
 * hints are often inaccurate.
 */
const DURATION_MARGIN = 1.5;
/**
 * Random cost that keeps hosts with the same loads from picking the same
 * upstream.
 */
const JITTER = 0.08;

/** What the placement of a request depends on. */
export interface PlacementCriteria extends Eligibility {
  /** Failure domain of the host that sends it. */
  readonly failureDomain: FailureDomain;
  /** Arrival time. */
  readonly since: Milliseconds;
  /** Prompt tokens to process before its first event. */
  readonly promptTokens: number;
  /**
   * Its first event, or its complete response without streaming, is on time
   * until then.
   */
  readonly dueAt: Milliseconds;
  /** Time from arrival until it is due. */
  readonly target: Milliseconds;
  /** When the complete response must have been delivered. */
  readonly deadline: Milliseconds;
  /**
   * Expected time from the first event to the end at an upstream of the
   * service's mean speed.
   */
  readonly responseDuration: Milliseconds;
  /** Longest pause of a stream that is on time; 0 if pauses do not count. */
  readonly pauseTarget: Milliseconds;
  /**
   * Parts of the prompt, in order; upstreams cache those that they have
   * processed.
   */
  readonly parts: readonly PromptPart[];
  /** Upstreams that its host backs off from. */
  readonly backoffs?: UpstreamBackoffs;
}

/** An upstream at which a request could start. */
interface UpstreamCandidate {
  readonly upstream: Upstream;
  /** Tokens of the prompt that it has probably cached. */
  readonly cachedTokens: number;
  readonly isSuitable: boolean;
}

/** What the slots of a group of upstreams are used for. */
export interface SlotUse {
  /** Slots with a request. */
  readonly taken: number;
  /** Empty slots of ejected upstreams. */
  readonly ejected: number;
  /** Empty slots of upstreams where nothing may start now. */
  readonly limited: number;
  readonly free: number;
}

/** Dependencies of a {@link Placement}. */
export interface PlacementOptions {
  readonly load: FleetLoad;
  readonly stats: UpstreamStats;
  /** Ejections that hold for all requests. */
  readonly health: UpstreamHealth;
  readonly prefixCaches: PrefixCacheIndex;
  readonly random: Random;
  readonly starts: StartLimit;
  /** Maximum number of requests of all hosts at an upstream. */
  readonly limitOf: (upstream: Upstream) => number;
}

/**
 * Picks the upstream for a request by free slots, suitability, speed, load,
 * failures, failure domain and cached prompt. A request that no upstream with a
 * free slot suits, but another upstream would, waits while it can still be on
 * time.
 *
 * An upstream is suitable if the first event comes in time, the response ends
 * before the deadline, no pause makes the stream late, and processing the
 * prompt delays no stream beside it. Slow upstreams are therefore suitable for
 * short requests only.
 *
 * Cached parts of a prompt are not processed again, so the first event comes
 * sooner and other streams pause less.
 */
export class Placement {
  readonly #options: PlacementOptions;

  constructor(options: PlacementOptions) {
    this.#options = options;
  }

  /**
   * Returns the number of free slots of the upstreams, counting the requests of
   * all hosts.
   */
  freeSlots(upstreams: readonly Upstream[], now: Milliseconds): number {
    let free = 0;
    for (const upstream of upstreams) free += this.#freeSlotsAt(upstream, now);
    return free;
  }

  /** Returns what the slots of the upstreams are used for. */
  slotUse(upstreams: readonly Upstream[], now: Milliseconds): SlotUse {
    const { load, limitOf, starts, health } = this.#options;
    const use = { taken: 0, ejected: 0, limited: 0, free: 0 };
    for (const upstream of upstreams) {
      const limit = limitOf(upstream);
      const taken = Math.min(limit, load.total(upstream.upstream));
      use.taken += taken;
      const remaining = limit - taken;
      if (health.isEjected(upstream.upstream, now)) {
        use.ejected += remaining;
      } else if (!starts.isOpen(upstream, now)) use.limited += remaining;
      else use.free += remaining;
    }
    return use;
  }

  /**
   * Returns the best upstream with a free slot, or `undefined` if the request
   * should wait.
   */
  pick(
    upstreams: readonly Upstream[],
    request: PlacementCriteria,
    now: Milliseconds,
  ): Upstream | undefined {
    const best = this.#bestFree(upstreams, request, now);
    if (best === undefined) return undefined;
    if (this.#shouldWaitForCache(request, { upstreams, best, now })) {
      return undefined;
    }
    if (best.isSuitable) return best.upstream;
    // In a queue, slots that stay empty for a slowdown of the moment cost more
    // responses than it makes late.
    const hasQueued = now - request.since >=
      MAXIMUM_SLOWDOWN_WAIT_SHARE * request.target;
    if (hasQueued && this.#isUsuallySuitable(best.upstream, request, now)) {
      return best.upstream;
    }
    return this.#isAnySuitable(upstreams, request, now)
      ? undefined
      : best.upstream;
  }

  #bestFree(
    upstreams: readonly Upstream[],
    request: PlacementCriteria,
    now: Milliseconds,
  ): UpstreamCandidate | undefined {
    const { parts, promptTokens } = request;
    const { stats } = this.#options;
    let best: UpstreamCandidate | undefined;
    let leastCost = Infinity;
    for (const upstream of upstreams) {
      if (isUnavailable(request, upstream, now)) continue;
      if (this.#freeSlotsAt(upstream, now) <= 0) continue;
      const cached = this.#options.prefixCaches.cachedTokens(
        upstream.upstream,
        parts,
        now,
      );
      const slowdown = this.#slowdownAt(upstream, now);
      const latency = this.#latencyAt(upstream, {
        promptTokens: promptTokens - cached,
        slowdown,
      });
      const isSuitable = this.#isSuitable(upstream, {
        request,
        latency,
        slowdown,
        now,
      });
      if (best?.isSuitable && !isSuitable) continue;
      const cost = this.#costOf(upstream, {
        cachedShare: Math.min(1, cached / Math.max(1, promptTokens)),
        slowdown,
        latencyShare: latency / request.target,
        failureDomain: request.failureDomain,
        isWarmingUp: stats.warmup.isWarmingUp(upstream.upstream, now),
      });
      if (cost >= leastCost && isSuitable === best?.isSuitable) continue;
      leastCost = cost;
      best = { upstream, cachedTokens: cached, isSuitable };
    }
    return best;
  }

  /** Whether some upstream would suit the request if it had a free slot now. */
  #isAnySuitable(
    upstreams: readonly Upstream[],
    request: PlacementCriteria,
    now: Milliseconds,
  ): boolean {
    const { health, stats: { firstEvents } } = this.#options;
    const { promptTokens } = request;
    return upstreams.some((upstream) => {
      const { service, upstream: id } = upstream;
      if (isUnavailable(request, upstream, now)) return false;
      if (health.isEjected(id, now)) return false;
      const slowdown = this.#slowdownAt(upstream, now);
      const latency = slowdown *
        firstEvents.expected(service, { upstream: id, promptTokens });
      return this.#isSuitable(upstream, { request, latency, slowdown, now });
    });
  }

  /** Whether an upstream would suit a request at its usual speed. */
  #isUsuallySuitable(
    upstream: Upstream,
    request: PlacementCriteria,
    now: Milliseconds,
  ): boolean {
    const { prefixCaches } = this.#options;
    const { parts, promptTokens } = request;
    const cached = prefixCaches.cachedTokens(upstream.upstream, parts, now);
    const slowdown = 1;
    const latency = this.#latencyAt(upstream, {
      promptTokens: promptTokens - cached,
      slowdown,
    });
    return this.#isSuitable(upstream, { request, latency, slowdown, now });
  }

  /**
   * Returns the value of giving the slot to `other` instead of `next`, because
   * the upstream has more of its prompt cached; 0 if it has not, or does not
   * suit `other`.
   */
  prefillTimeSaved(
    upstream: Upstream,
    { next, other, now }: {
      next: PlacementCriteria;
      other: PlacementCriteria;
      now: Milliseconds;
    },
  ): Milliseconds {
    const { prefixCaches } = this.#options;
    const id = upstream.upstream;
    if (isUnavailable(other, upstream, now)) return 0;
    const cached = prefixCaches.cachedTokens(id, other.parts, now);
    const additional = cached - prefixCaches.cachedTokens(id, next.parts, now);
    if (additional <= 0) return 0;
    const slowdown = this.#slowdownAt(upstream, now);
    const latency = this.#latencyAt(upstream, {
      promptTokens: other.promptTokens - cached,
      slowdown,
    });
    const isSuitable = this.#isSuitable(upstream, {
      request: other,
      latency,
      slowdown,
      now,
    });
    if (!isSuitable) return 0;
    return this.#prefillCost(upstream, { promptTokens: additional, slowdown });
  }

  /**
   * Returns the cost of processing the tokens, for the request and for the
   * streams beside it.
   */
  #prefillCost(
    upstream: Upstream,
    work: { promptTokens: number; slowdown: number },
  ): Milliseconds {
    return PREFILL_WAIT_FACTOR * this.#prefillTimeAt(upstream, work);
  }

  /**
   * Whether to wait for a full upstream that has the prompt cached and will
   * likely have a free slot soon.
   */
  #shouldWaitForCache(
    request: PlacementCriteria,
    { upstreams, best, now }: {
      upstreams: readonly Upstream[];
      best: UpstreamCandidate;
      now: Milliseconds;
    },
  ): boolean {
    const { prefixCaches, health } = this.#options;
    const { parts } = request;
    const caching = prefixCaches.upstreamsCaching(parts);
    if (caching.size === 0) return false;
    let mostCached = best.cachedTokens;
    for (const upstream of upstreams) {
      const id = upstream.upstream;
      if (!caching.has(id) || isUnavailable(request, upstream, now)) continue;
      if (this.#isSlowerThan(best, { upstream, request, now })) continue;
      const isFull = !health.isEjected(id, now) &&
        this.#freeSlotsAt(upstream, now) <= 0;
      if (isFull) {
        mostCached = Math.max(
          mostCached,
          prefixCaches.cachedTokens(id, parts, now),
        );
      }
    }
    if (mostCached === best.cachedTokens) return false;
    const slowdown = this.#slowdownAt(best.upstream, now);
    const span = this.#prefillCost(best.upstream, {
      promptTokens: mostCached - best.cachedTokens,
      slowdown,
    });
    const { promptTokens } = request;
    const latency = this.#latencyAt(best.upstream, { promptTokens, slowdown });
    return now < request.since + span && now + span + latency <= request.dueAt;
  }

  /**
   * Whether an upstream that has more of the prompt cached is slowed down so
   * much that its response would take longer than that of the best one.
   */
  #isSlowerThan(
    best: UpstreamCandidate,
    { upstream, request, now }: {
      upstream: Upstream;
      request: PlacementCriteria;
      now: Milliseconds;
    },
  ): boolean {
    const { prefixCaches } = this.#options;
    const { parts, promptTokens } = request;
    const slowdown = this.#slowdownAt(upstream, now);
    const leastSlowdown = this.#slowdownAt(best.upstream, now);
    if (slowdown <= leastSlowdown) return false;
    const cached = prefixCaches.cachedTokens(upstream.upstream, parts, now);
    const time = this.#latencyAt(upstream, {
      promptTokens: promptTokens - cached,
      slowdown,
    }) + this.#durationAt(upstream, { request, slowdown });
    const leastTime = this.#latencyAt(best.upstream, {
      promptTokens: promptTokens - best.cachedTokens,
      slowdown: leastSlowdown,
    }) + this.#durationAt(best.upstream, { request, slowdown: leastSlowdown });
    return time > leastTime;
  }

  #isSuitable(
    candidate: Upstream,
    { request, latency, slowdown, now }: {
      request: PlacementCriteria;
      latency: Milliseconds;
      slowdown: number;
      now: Milliseconds;
    },
  ): boolean {
    const { load, stats: { pauseRisks } } = this.#options;
    const { service, upstream } = candidate;
    if (now + latency > request.dueAt) return false;
    const duration = this.#durationAt(candidate, { request, slowdown });
    if (now + latency + DURATION_MARGIN * duration > request.deadline) {
      return false;
    }
    if (request.pauseTarget <= 0) return true;
    const risk = pauseRisks.risk({ service, upstream, duration });
    if (risk > MAXIMUM_PAUSE_RISK) return false;
    const { promptTokens } = request;
    const prefillTime = this.#prefillTimeAt(candidate, {
      promptTokens,
      slowdown,
    });
    return prefillTime <= request.pauseTarget || load.total(upstream) === 0;
  }

  /**
   * Returns the expected time to the first event behind the prompts that the
   * upstream processes now.
   */
  #latencyAt(
    { service, upstream }: Upstream,
    { promptTokens, slowdown }: { promptTokens: number; slowdown: number },
  ): Milliseconds {
    const { load, stats } = this.#options;
    const expected = stats.firstEvents.expected(service, {
      upstream,
      promptTokens: Math.max(0, promptTokens) +
        load.pendingPrefillTokens(upstream),
    });
    return expected * slowdown;
  }

  /** Returns how long work takes now, relative to the service's upstreams. */
  #slowdownAt(upstream: Upstream, now: Milliseconds): number {
    return this.#options.stats.slowdowns.relative(upstream, now);
  }

  /** Returns the expected time from the first event to the end. */
  #durationAt(
    { service, upstream }: Upstream,
    { request, slowdown }: { request: PlacementCriteria; slowdown: number },
  ): Milliseconds {
    const { speed } = this.#options.stats;
    return request.responseDuration * speed.slowness(service, upstream) *
      slowdown;
  }

  /** Returns the expected time in which the upstream processes the tokens. */
  #prefillTimeAt(
    { service, upstream }: Upstream,
    { promptTokens, slowdown }: { promptTokens: number; slowdown: number },
  ): Milliseconds {
    const { firstEvents } = this.#options.stats;
    return firstEvents.prefillTime(service, { upstream, promptTokens }) *
      slowdown;
  }

  #freeSlotsAt(upstream: Upstream, now: Milliseconds): number {
    const { load, health, limitOf, starts } = this.#options;
    if (health.isEjected(upstream.upstream, now)) return 0;
    if (!starts.isOpen(upstream, now)) return 0;
    return Math.max(0, limitOf(upstream) - load.total(upstream.upstream));
  }

  #costOf(
    upstream: Upstream,
    { cachedShare, slowdown, latencyShare, failureDomain, isWarmingUp }: {
      cachedShare: number;
      slowdown: number;
      latencyShare: number;
      failureDomain: FailureDomain;
      isWarmingUp: boolean;
    },
  ): number {
    const { load, random, limitOf, health, stats: { speed } } = this.#options;
    const id = upstream.upstream;
    const limit = limitOf(upstream);
    const fill = load.total(id) / limit;
    let cost = (IDLE_COST + fill) * speed.slowness(upstream.service, id);
    cost *= slowdown;
    cost *= 1 + FAILURE_COST * health.failureShare(id);
    if (upstream.failureDomain !== failureDomain) cost *= OTHER_DOMAIN_FACTOR;
    cost *= 1 + LATENCY_COST * latencyShare;
    if (isWarmingUp) cost *= WARMUP_FACTOR;
    cost *= scarcityOf(limit - load.total(id));
    cost *= 1 - CACHED_DISCOUNT * cachedShare;
    return cost * (1 + JITTER * random.float());
  }
}

/** Whether a request may not be sent to an upstream now. */
function isUnavailable(
  request: PlacementCriteria,
  upstream: Upstream,
  now: Milliseconds,
): boolean {
  return !isEligible(upstream, request) ||
    request.backoffs?.has(upstream.upstream, now) === true;
}

function scarcityOf(free: number): number {
  if (free <= 1) return LAST_SLOT_FACTOR;
  return free <= 2 ? SECOND_LAST_SLOT_FACTOR : 1;
}
