import type {
  FailureDomain,
  Milliseconds,
  Random,
  UpstreamId,
} from "@wasabivane/common";
import type { FirstEventModel } from "./firstEventModel.ts";
import type { FleetLoad } from "./fleetLoad.ts";
import type { Upstream } from "./types.ts";
import type { UpstreamHealth } from "./upstreamHealth.ts";
import type { UpstreamSpeed } from "./upstreamSpeed.ts";

/** An upstream with no work at all still has half the cost of a full one. */
const IDLE_COST = 0.5;
/** Bytes between failure domains are charged; so little more load is taken for them. */
const OTHER_DOMAIN_FACTOR = 1.04;
/** An engine that read the prompt's last part before saves its prefill. */
const AFFINITY_FACTOR = 0.8;
/** An upstream that fails every request costs so many times more than one that fails none. */
const FAILURE_COST = 4;
/** A last place may be taken by a peer at the same moment; so many times dearer. */
const LAST_PLACE_FACTOR = 1.6;
const LAST_BUT_ONE_FACTOR = 1.15;
/** Hosts that see the same loads must not all pick the same upstream. */
const JITTER = 0.08;

/**
 * An upstream whose first event uses up the whole time to the target costs twice
 * one that answers at once.
 */
const LATENCY_COST = 1;

/** What a request looks for. */
export interface Wish {
  /** Prompt tokens that have to be read before its first event. */
  readonly promptTokens: number;
  /** Its first event, or its whole plain answer, is on time until then. */
  readonly dueAt: Milliseconds;
  /** Time from arrival until it is due. */
  readonly target: Milliseconds;
  /** Same for requests that share most of their prompt. */
  readonly affinity?: string;
  /** Upstreams that this request was sent to before. */
  readonly excluded?: ReadonlySet<UpstreamId>;
}

/** What {@link Placement} reads. */
export interface PlacementOptions {
  readonly load: FleetLoad;
  readonly health: UpstreamHealth;
  readonly speed: UpstreamSpeed;
  readonly firstEvents: FirstEventModel;
  readonly random: Random;
  /** Failure domain of this host. */
  readonly failureDomain: FailureDomain;
  /** Requests that an upstream may have from all hosts together. */
  readonly limitOf: (upstream: Upstream) => number;
}

/**
 * Picks the upstream for one request: free places first, then whether its first
 * event would be on time there, speed, load, failures, nearness and a prompt that
 * was read there before. A request that would be late at every free place, but on
 * time at a faster upstream, leaves the place to others.
 *
 * Affinity is by rendezvous weight of the prompt's last part, so that all hosts
 * agree on where it was read without telling each other.
 */
export class Placement {
  readonly #options: PlacementOptions;

  constructor(options: PlacementOptions) {
    this.#options = options;
  }

  /** Places that the upstreams have left, over all hosts. */
  freePlaces(upstreams: readonly Upstream[], now: Milliseconds): number {
    let free = 0;
    for (const upstream of upstreams) free += this.#freeAt(upstream, now);
    return free;
  }

  /** The best upstream with a free place, or `undefined` when none should be taken. */
  pick(
    upstreams: readonly Upstream[],
    wish: Wish,
    now: Milliseconds,
  ): Upstream | undefined {
    const { affinity, excluded } = wish;
    const favourite = affinity === undefined
      ? undefined
      : favouriteOf(affinity, upstreams);
    let best: Upstream | undefined;
    let leastCost = Infinity;
    let isBestOnTime = false;
    for (const upstream of upstreams) {
      if (excluded?.has(upstream.upstream)) continue;
      if (this.#freeAt(upstream, now) <= 0) continue;
      const latency = this.#latencyAt(upstream, wish);
      const isOnTime = now + latency <= wish.dueAt;
      if (isBestOnTime && !isOnTime) continue;
      const cost = this.#costOf(upstream, {
        isFavourite: upstream === favourite,
        latencyShare: latency / wish.target,
      });
      if (cost >= leastCost && isOnTime === isBestOnTime) continue;
      leastCost = cost;
      best = upstream;
      isBestOnTime = isOnTime;
    }
    if (best === undefined || isBestOnTime) return best;
    return this.#couldBeOnTime(upstreams, wish, now) ? undefined : best;
  }

  /** Whether the request would be on time if a place came free now at some upstream. */
  #couldBeOnTime(
    upstreams: readonly Upstream[],
    { promptTokens, dueAt, excluded }: Wish,
    now: Milliseconds,
  ): boolean {
    const { health, firstEvents } = this.#options;
    return upstreams.some(({ service, upstream }) =>
      !excluded?.has(upstream) && !health.isEjected(upstream, now) &&
      now + firstEvents.expected(service, { upstream, promptTokens }) <= dueAt
    );
  }

  /** Expected time to the first event behind the prompts that are read there now. */
  #latencyAt(
    { service, upstream }: Upstream,
    { promptTokens }: Wish,
  ): Milliseconds {
    const { load, firstEvents } = this.#options;
    return firstEvents.expected(service, {
      upstream,
      promptTokens: promptTokens + load.unreadTokens(upstream),
    });
  }

  #freeAt(upstream: Upstream, now: Milliseconds): number {
    const { load, health, limitOf } = this.#options;
    if (health.isEjected(upstream.upstream, now)) return 0;
    return Math.max(0, limitOf(upstream) - load.total(upstream.upstream));
  }

  #costOf(
    upstream: Upstream,
    { isFavourite, latencyShare }: {
      isFavourite: boolean;
      latencyShare: number;
    },
  ): number {
    const { load, health, speed, random, failureDomain, limitOf } =
      this.#options;
    const id = upstream.upstream;
    const limit = limitOf(upstream);
    const fill = load.total(id) / limit;
    let cost = (IDLE_COST + fill) * speed.slowness(upstream.service, id);
    cost *= 1 + FAILURE_COST * health.failureShare(id);
    if (upstream.failureDomain !== failureDomain) cost *= OTHER_DOMAIN_FACTOR;
    cost *= 1 + LATENCY_COST * latencyShare;
    cost *= scarcityOf(limit - load.total(id));
    if (isFavourite) cost *= AFFINITY_FACTOR;
    return cost * (1 + JITTER * random.float());
  }
}

function scarcityOf(free: number): number {
  if (free <= 1) return LAST_PLACE_FACTOR;
  return free <= 2 ? LAST_BUT_ONE_FACTOR : 1;
}

/** The upstream with the greatest rendezvous weight for a key. */
function favouriteOf(
  key: string,
  upstreams: readonly Upstream[],
): Upstream | undefined {
  let favourite: Upstream | undefined;
  let greatest = -1;
  for (const upstream of upstreams) {
    const weight = weightOf(key, upstream.upstream);
    if (weight <= greatest) continue;
    greatest = weight;
    favourite = upstream;
  }
  return favourite;
}

/** FNV-1a with a final mix; equal on every host. */
function weightOf(key: string, upstream: string): number {
  let hash = 0x811c9dc5;
  for (const text of [key, upstream]) {
    for (let index = 0; index < text.length; index++) {
      hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193);
    }
  }
  hash = Math.imul(hash ^ (hash >>> 15), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}
