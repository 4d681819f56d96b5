import {
  type ClientAccountId,
  Heap,
  type HostId,
  type Milliseconds,
  type RequestId,
  type Tier,
} from "@wasabivane/common";
import type { PlacementRequest } from "./types.ts";
import type { QueuedRequest } from "./accountQueue.ts";
import { type StartEligibility, TierQueue } from "./tierQueue.ts";

/** What is known of a request when it starts to wait. */
export interface QueuedRequestDetails {
  readonly now: Milliseconds;
  /** Prompt and expected output. */
  readonly expectedTokens: number;
  /** Expected time at an upstream. */
  readonly expectedMs: Milliseconds;
  /** Expected time of an upstream that it takes from others. */
  readonly costMs: Milliseconds;
  /** The last moment at which a start can still meet the deadline. */
  readonly latestStart: Milliseconds;
}

/** Options of a {@link WaitQueue}. */
export interface WaitQueueOptions {
  readonly maximumTokens: number;
  readonly maximumBytes: number;
  /** How many times its own cost a request gives way to shorter ones. */
  readonly costMultiplier?: number;
}

/** A request has given way to shorter ones when it waited so many times its own cost. */
const DEFAULT_STRETCH = 1_000;

/**
 * Answers the load patterns of a burst, a hot account, long jobs among short
 * ones and overload. Order: tier; then the account with the fewest served tokens;
 * then arrival plus a multiple of the expected cost, so that short requests
 * overtake long ones but not for ever. A full queue sheds the lowest tier first,
 * there the request with the most expected tokens. Without it, whoever sends
 * most is served most, and one long job delays a hundred short ones.
 *
 * Grounds: an account that was idle starts at the count of the one that is next
 * to be served, so idleness saves up nothing; served tokens rather than requests
 * count, since lengths differ a hundredfold.
 */
export class WaitQueue {
  readonly #tiers = new Map<Tier, TierQueue>();
  #order: TierQueue[] = [];
  readonly #waiting = new Map<RequestId, QueuedRequest>();
  readonly #stretch: number;
  #maximumTokens: number;
  #maximumBytes: number;
  #tokens = 0;
  #bytes = 0;
  #byLatestStart = new Heap<QueuedRequest>((left, right) =>
    left.latestStart < right.latestStart
  );

  constructor(
    { maximumTokens, maximumBytes, costMultiplier: stretch = DEFAULT_STRETCH }:
      WaitQueueOptions,
  ) {
    this.#maximumTokens = maximumTokens;
    this.#maximumBytes = maximumBytes;
    this.#stretch = stretch;
  }

  get size(): number {
    return this.#waiting.size;
  }

  get tokens(): number {
    return this.#tokens;
  }

  /** Replaces the bounds; requests beyond them are shed by the next push. */
  setLimits(maximumTokens: number, maximumBytes: number): void {
    this.#maximumTokens = maximumTokens;
    this.#maximumBytes = maximumBytes;
  }

  /** Takes a request in and returns those shed for it, perhaps itself. */
  push(ask: PlacementRequest, details: QueuedRequestDetails): QueuedRequest[] {
    const waiting: QueuedRequest = {
      placementRequest: ask,
      expectedTokens: details.expectedTokens,
      expectedMs: details.expectedMs,
      latestStart: details.latestStart,
      orderKey: details.now + this.#stretch * details.costMs,
      enqueuedAt: details.now,
      isRemoved: false,
      timesBlocked: 0,
      blockedGroupMask: 0,
      blockedUntil: 0,
    };
    this.#waiting.set(ask.request, waiting);
    this.#tokens += waiting.expectedTokens;
    this.#bytes += ask.bodyBytes;
    this.#tier(ask.tier).add(waiting);
    this.#byLatestStart.push(waiting);
    return this.#shedOverflow();
  }

  /** Takes a request out; undefined when it does not wait. */
  remove(request: RequestId): QueuedRequest | undefined {
    const waiting = this.#waiting.get(request);
    if (waiting !== undefined) this.#leave(waiting);
    return waiting;
  }

  /** Takes out every request, or every one of an origin. */
  removeAll(origin?: HostId): QueuedRequest[] {
    const found = [...this.#waiting.values()].filter((
      { placementRequest: ask },
    ) => origin === undefined || ask.origin === origin);
    found.forEach((waiting) => this.#leave(waiting));
    return found;
  }

  /** Sets the latest start of every request anew. */
  updateLatestStarts(revise: (waiting: QueuedRequest) => Milliseconds): void {
    for (const waiting of this.#waiting.values()) {
      waiting.latestStart = revise(waiting);
    }
    this.#rebuildByLatestStart();
  }

  /** Takes out the requests whose latest start has passed. */
  removeExpired(now: Milliseconds): QueuedRequest[] {
    const late: QueuedRequest[] = [];
    let next = this.#byLatestStart.peek();
    while (next !== undefined && (next.isRemoved || next.latestStart < now)) {
      this.#byLatestStart.pop();
      if (!next.isRemoved) {
        this.#leave(next);
        late.push(next);
      }
      next = this.#byLatestStart.peek();
    }
    return late;
  }

  /**
   * Takes out the first request, in order, that can start. Blocked ones are
   * passed by and stay; a few in each tier, so that one call stays cheap.
   */
  take(
    accept: (waiting: QueuedRequest) => StartEligibility,
  ): QueuedRequest | undefined {
    for (const tier of this.#order) {
      const found = tier.take(accept);
      if (found === undefined) continue;
      this.#leave(found);
      return found;
    }
    return undefined;
  }

  /** Corrects an account's served tokens once the real length is known. */
  correctServedTokens(
    tier: Tier,
    account: ClientAccountId,
    tokens: number,
  ): void {
    this.#tiers.get(tier)?.addServedTokens(account, tokens);
  }

  /** Expected tokens that would be served before a request of this tier, account and length. */
  tokensAhead(ask: PlacementRequest, expectedTokens: number): number {
    let ahead = 0;
    for (const tier of this.#order) {
      if (tier.tier < ask.tier) ahead += tier.tokens;
      if (tier.tier === ask.tier) {
        ahead += tier.tokensAhead(ask.account, expectedTokens);
      }
    }
    return ahead;
  }

  /** Waiting requests by tier and account. */
  counts(): { tier: Tier; account: ClientAccountId; requests: number }[] {
    return this.#order.flatMap((tier) => tier.counts());
  }

  /** The least urgent tier that has a waiting request. */
  lowestTier(): Tier | undefined {
    return this.#order.findLast(({ size }) => size > 0)?.tier;
  }

  #shedOverflow(): QueuedRequest[] {
    const shed: QueuedRequest[] = [];
    while (
      this.#tokens > this.#maximumTokens || this.#bytes > this.#maximumBytes
    ) {
      const victim = this.#order.findLast(({ size }) => size > 0)?.largest();
      if (victim === undefined) break;
      this.#leave(victim);
      shed.push(victim);
    }
    return shed;
  }

  #leave(waiting: QueuedRequest): void {
    waiting.isRemoved = true;
    this.#waiting.delete(waiting.placementRequest.request);
    this.#tokens -= waiting.expectedTokens;
    this.#bytes -= waiting.placementRequest.bodyBytes;
    this.#tiers.get(waiting.placementRequest.tier)!.remove(waiting);
    if (this.#byLatestStart.size > 64 + 2 * this.#waiting.size) {
      this.#rebuildByLatestStart();
    }
  }

  #rebuildByLatestStart(): void {
    this.#byLatestStart = new Heap((left, right) =>
      left.latestStart < right.latestStart
    );
    for (const waiting of this.#waiting.values()) {
      this.#byLatestStart.push(waiting);
    }
  }

  #tier(tier: Tier): TierQueue {
    const known = this.#tiers.get(tier);
    if (known !== undefined) return known;
    const added = new TierQueue(tier);
    this.#tiers.set(tier, added);
    this.#order = [...this.#tiers.values()]
      .sort((left, right) => left.tier - right.tier);
    return added;
  }
}
