import type {
  FailureDomain,
  Milliseconds,
  Random,
  UpstreamId,
} from "@wasabivane/common";
import type { FleetLoad } from "./fleetLoad.ts";
import type { PrefixCacheIndex } from "./prefixCacheIndex.ts";
import type { StartLimit } from "./startLimit.ts";
import type { PromptPart, Upstream } from "./types.ts";
import type { UpstreamStats } from "./upstreamStats.ts";

/** An upstream with no work at all still has half the cost of a full one. */
const IDLE_COST = 0.5;
/** Bytes between failure domains are charged; so little more load is taken for them. */
const OTHER_DOMAIN_FACTOR = 1.1;
/**
 * An upstream that holds the whole prompt costs so much less than one that holds
 * nothing of it: what is read again takes its time from the streams beside it.
 */
const HELD_DISCOUNT = 0.75;
/**
 * A request waits for an upstream that holds its prompt up to so many times what reading
 * it again would take: once for its own first event, once for the streams beside it.
 */
const READING_WORTH = 2;
/** An upstream that fails every request costs so many times more than one that fails none. */
const FAILURE_COST = 4;
/** An upstream whose first event takes all the time to the target costs twice one that answers at once. */
const LATENCY_COST = 1;
/** A last place may be taken by a peer at the same moment; so many times dearer. */
const LAST_PLACE_FACTOR = 1.6;
const LAST_BUT_ONE_FACTOR = 1.15;
/** A cold upstream takes longer for each request; warm ones come first. */
const COLD_FACTOR = 2;
/** Greatest chance of a late pause with which a place still counts as good. */
const GOOD_PAUSE_RISK = 0.15;
/** Answers may take so many times as long as expected; callers' hints are often far off. */
const LENGTH_MARGIN = 1.5;
/** Hosts that see the same loads must not all pick the same upstream. */
const JITTER = 0.08;

/** What a request looks for. */
export interface PlacementCriteria {
  /** Where the host is that sends it. */
  readonly failureDomain: FailureDomain;
  /** When it arrived. */
  readonly since: Milliseconds;
  /** Prompt tokens that have to be read before its first event. */
  readonly promptTokens: number;
  /** Its first event, or its whole plain answer, is on time until then. */
  readonly dueAt: Milliseconds;
  /** Time from arrival until it is due. */
  readonly target: Milliseconds;
  /** When the whole answer must have been given. */
  readonly deadline: Milliseconds;
  /** Expected time from the first event to the end at the service's mean upstream. */
  readonly responseDuration: Milliseconds;
  /** Longest pause of a stream that is on time; 0 where pauses do not count. */
  readonly pauseTarget: Milliseconds;
  /** Parts of the prompt, in order; engines keep those that they have read. */
  readonly parts: readonly PromptPart[];
  /** Upstreams that this request was sent to before. */
  readonly excluded?: ReadonlySet<UpstreamId>;
}

/** An upstream where a request could start. */
interface Option {
  readonly upstream: Upstream;
  /** Tokens of the prompt that it likely holds. */
  readonly held: number;
  readonly isGood: boolean;
}

/** What {@link Placement} reads. */
export interface PlacementOptions {
  readonly load: FleetLoad;
  readonly stats: UpstreamStats;
  readonly prefixCaches: PrefixCacheIndex;
  readonly random: Random;
  readonly starts: StartLimit;
  /** Requests that an upstream may have from all hosts together. */
  readonly limitOf: (upstream: Upstream) => number;
}

/**
 * Picks the upstream for one request: free places first, then whether the answer
 * would be good there, speed, load, failures, nearness and a prompt that was read
 * there before. A request that would not be good at any free place, but at another
 * upstream, leaves the place to others while it can still be on time.
 *
 * A place is good where the first event comes in time, the answer ends before the
 * caller's deadline, no pause makes it late, and reading its prompt makes none of the
 * streams beside it late. At a slow engine that is so for short work only: a long
 * answer runs into its deadline there and a long prompt holds up everybody else.
 *
 * What an upstream holds of the prompt is not read again: its first event comes
 * sooner, and the streams beside it pause less.
 */
export class Placement {
  readonly #options: PlacementOptions;

  constructor(options: PlacementOptions) {
    this.#options = options;
  }

  /** Places that the upstreams have left, over all hosts. */
  freeSlots(upstreams: readonly Upstream[], now: Milliseconds): number {
    let free = 0;
    for (const upstream of upstreams) free += this.#freeAt(upstream, now);
    return free;
  }

  /** The best upstream with a free place, or `undefined` when none should be taken. */
  pick(
    upstreams: readonly Upstream[],
    wish: PlacementCriteria,
    now: Milliseconds,
  ): Upstream | undefined {
    const best = this.#bestFree(upstreams, wish, now);
    if (best === undefined) return undefined;
    if (this.#shouldWaitForHolder(wish, { upstreams, best, now })) {
      return undefined;
    }
    if (best.isGood) return best.upstream;
    return this.#couldBeGood(upstreams, wish, now) ? undefined : best.upstream;
  }

  #bestFree(
    upstreams: readonly Upstream[],
    wish: PlacementCriteria,
    now: Milliseconds,
  ): Option | undefined {
    const { excluded, parts, promptTokens } = wish;
    const { stats: knowledge } = this.#options;
    let best: Option | undefined;
    let leastCost = Infinity;
    for (const upstream of upstreams) {
      if (excluded?.has(upstream.upstream)) continue;
      if (this.#freeAt(upstream, now) <= 0) continue;
      const held = this.#options.prefixCaches.cachedTokens(
        upstream.upstream,
        parts,
        now,
      );
      const latency = this.#latencyAt(upstream, promptTokens - held);
      const isGood = this.#isGood(upstream, { wish, latency, now });
      if (best?.isGood && !isGood) continue;
      const cost = this.#costOf(upstream, {
        heldShare: Math.min(1, held / Math.max(1, promptTokens)),
        latencyShare: latency / wish.target,
        failureDomain: wish.failureDomain,
        isCold: knowledge.warmup.isCold(upstream.upstream, now),
      });
      if (cost >= leastCost && isGood === best?.isGood) continue;
      leastCost = cost;
      best = { upstream, held, isGood };
    }
    return best;
  }

  /** Whether the request would be good if a place came free now at some upstream. */
  #couldBeGood(
    upstreams: readonly Upstream[],
    wish: PlacementCriteria,
    now: Milliseconds,
  ): boolean {
    const { health, firstEvents } = this.#options.stats;
    const { promptTokens, excluded } = wish;
    return upstreams.some((upstream) => {
      const { service, upstream: id } = upstream;
      if (excluded?.has(id) || health.isEjected(id, now)) return false;
      const latency = firstEvents.expected(service, {
        upstream: id,
        promptTokens,
      });
      return this.#isGood(upstream, { wish, latency, now });
    });
  }

  /**
   * What it is worth that an upstream gets another request than the next one, because
   * it holds more of its prompt; 0 where it does not or the other had better not go there.
   */
  prefillTimeSaved(
    upstream: Upstream,
    { next, other, now }: {
      next: PlacementCriteria;
      other: PlacementCriteria;
      now: Milliseconds;
    },
  ): Milliseconds {
    const { prefixCaches: prompts } = this.#options;
    const id = upstream.upstream;
    if (other.excluded?.has(id)) return 0;
    const held = prompts.cachedTokens(id, other.parts, now);
    const more = held - prompts.cachedTokens(id, next.parts, now);
    if (more <= 0) return 0;
    const latency = this.#latencyAt(upstream, other.promptTokens - held);
    if (!this.#isGood(upstream, { wish: other, latency, now })) return 0;
    return this.#worthOfReading(upstream, more);
  }

  /** What it costs, for itself and those beside it, that an upstream reads so much. */
  #worthOfReading(
    { service, upstream }: Upstream,
    promptTokens: number,
  ): Milliseconds {
    const { firstEvents } = this.#options.stats;
    return READING_WORTH *
      firstEvents.prefillTime(service, { upstream, promptTokens });
  }

  /** Whether a place that is likely free soon, where the prompt is held, is worth waiting for. */
  #shouldWaitForHolder(
    wish: PlacementCriteria,
    { upstreams, best, now }: {
      upstreams: readonly Upstream[];
      best: Option;
      now: Milliseconds;
    },
  ): boolean {
    const { prefixCaches: prompts, stats: knowledge } = this.#options;
    const { parts, excluded } = wish;
    const holders = prompts.upstreamsCaching(parts);
    if (holders.size === 0) return false;
    let most = best.held;
    for (const upstream of upstreams) {
      const id = upstream.upstream;
      if (!holders.has(id) || excluded?.has(id)) continue;
      const isFull = !knowledge.health.isEjected(id, now) &&
        this.#freeAt(upstream, now) <= 0;
      if (isFull) most = Math.max(most, prompts.cachedTokens(id, parts, now));
    }
    if (most === best.held) return false;
    const span = this.#worthOfReading(best.upstream, most - best.held);
    const latency = this.#latencyAt(best.upstream, wish.promptTokens);
    return now < wish.since + span && now + span + latency <= wish.dueAt;
  }

  #isGood(
    { service, upstream }: Upstream,
    { wish, latency, now }: {
      wish: PlacementCriteria;
      latency: Milliseconds;
      now: Milliseconds;
    },
  ): boolean {
    const { load, stats: { speed, pauseRisks: pauses, firstEvents } } =
      this.#options;
    if (now + latency > wish.dueAt) return false;
    const duration = wish.responseDuration * speed.slowness(service, upstream);
    if (now + latency + LENGTH_MARGIN * duration > wish.deadline) return false;
    if (wish.pauseTarget <= 0) return true;
    const risk = pauses.risk({ service, upstream, duration });
    if (risk > GOOD_PAUSE_RISK) return false;
    const { promptTokens } = wish;
    const reading = firstEvents.prefillTime(service, {
      upstream,
      promptTokens,
    });
    return reading <= wish.pauseTarget || load.total(upstream) === 0;
  }

  /** Expected time to the first event behind the prompts that are read there now. */
  #latencyAt(
    { service, upstream }: Upstream,
    promptTokens: number,
  ): Milliseconds {
    const { load, stats: knowledge } = this.#options;
    return knowledge.firstEvents.expected(service, {
      upstream,
      promptTokens: Math.max(0, promptTokens) +
        load.pendingPrefillTokens(upstream),
    });
  }

  #freeAt(upstream: Upstream, now: Milliseconds): number {
    const { load, stats: knowledge, limitOf, starts } = this.#options;
    if (knowledge.health.isEjected(upstream.upstream, now)) return 0;
    if (!starts.isOpen(upstream, now)) return 0;
    return Math.max(0, limitOf(upstream) - load.total(upstream.upstream));
  }

  #costOf(
    upstream: Upstream,
    { heldShare, latencyShare, failureDomain, isCold }: {
      heldShare: number;
      latencyShare: number;
      failureDomain: FailureDomain;
      isCold: boolean;
    },
  ): number {
    const { load, random, limitOf } = this.#options;
    const { health, speed } = this.#options.stats;
    const id = upstream.upstream;
    const limit = limitOf(upstream);
    const fill = load.total(id) / limit;
    let cost = (IDLE_COST + fill) * speed.slowness(upstream.service, id);
    cost *= 1 + FAILURE_COST * health.failureShare(id);
    if (upstream.failureDomain !== failureDomain) cost *= OTHER_DOMAIN_FACTOR;
    cost *= 1 + LATENCY_COST * latencyShare;
    if (isCold) cost *= COLD_FACTOR;
    cost *= scarcityOf(limit - load.total(id));
    cost *= 1 - HELD_DISCOUNT * heldShare;
    return cost * (1 + JITTER * random.float());
  }
}

function scarcityOf(free: number): number {
  if (free <= 1) return LAST_PLACE_FACTOR;
  return free <= 2 ? LAST_BUT_ONE_FACTOR : 1;
}
