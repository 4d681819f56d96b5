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

/** Holds the estimates for a request that is added to the queue. */
export interface QueuedRequestDetails {
  readonly now: Milliseconds;
  /** Prompt tokens and expected output tokens. */
  readonly expectedTokens: number;
  /** Expected time from its start to its complete response. */
  readonly expectedMs: Milliseconds;
  /** Expected upstream time that it uses, given its share of the batch. */
  readonly costMs: Milliseconds;
  /** Latest start that can still meet the deadline. */
  readonly latestStart: Milliseconds;
}

/** Options of a {@link WaitQueue}. */
export interface WaitQueueOptions {
  readonly maximumTokens: number;
  readonly maximumBytes: number;
  /**
   * Wait, as a multiple of its cost, for which shorter requests may overtake.
   */
  readonly costMultiplier?: number;
}

const DEFAULT_COST_MULTIPLIER = 1_000;

/**
 * Orders waiting requests by tier, then by the served tokens of their account,
 * then by arrival time plus a multiple of the expected cost, so that short
 * requests overtake long ones without starving them. An account that becomes
 * active starts at the served tokens of the account served last, so that it
 * gains no credit for idle time. A full queue sheds requests of the lowest
 * tier, the largest first.
 */
export class WaitQueue {
  readonly #tierQueues = new Map<Tier, TierQueue>();
  #tiersInOrder: TierQueue[] = [];
  readonly #requests = new Map<RequestId, QueuedRequest>();
  readonly #costMultiplier: number;
  #maximumTokens: number;
  #maximumBytes: number;
  #tokens = 0;
  #bytes = 0;
  #byLatestStart = new Heap<QueuedRequest>((left, right) =>
    left.latestStart < right.latestStart
  );

  constructor(
    {
      maximumTokens,
      maximumBytes,
      costMultiplier = DEFAULT_COST_MULTIPLIER,
    }: WaitQueueOptions,
  ) {
    this.#maximumTokens = maximumTokens;
    this.#maximumBytes = maximumBytes;
    this.#costMultiplier = costMultiplier;
  }

  /** Returns the number of waiting requests. */
  get size(): number {
    return this.#requests.size;
  }

  /** Returns the expected tokens of all waiting requests. */
  get tokens(): number {
    return this.#tokens;
  }

  /** Replaces the limits; the next push sheds requests that exceed them. */
  setLimits(maximumTokens: number, maximumBytes: number): void {
    this.#maximumTokens = maximumTokens;
    this.#maximumBytes = maximumBytes;
  }

  /**
   * Adds a request; returns the requests that are shed, possibly including it.
   */
  push(
    placementRequest: PlacementRequest,
    details: QueuedRequestDetails,
  ): QueuedRequest[] {
    const queued: QueuedRequest = {
      placementRequest,
      expectedTokens: details.expectedTokens,
      expectedMs: details.expectedMs,
      latestStart: details.latestStart,
      orderKey: details.now + this.#costMultiplier * details.costMs,
      enqueuedAt: details.now,
      isRemoved: false,
      timesBlocked: 0,
      blockedGroupMask: 0,
      blockedUntil: 0,
    };
    this.#requests.set(placementRequest.request, queued);
    this.#tokens += queued.expectedTokens;
    this.#bytes += placementRequest.bodyBytes;
    this.#tierQueueOf(placementRequest.tier).add(queued);
    this.#byLatestStart.push(queued);
    return this.#shedOverflow();
  }

  /** Removes a request; returns `undefined` if it is not waiting. */
  remove(request: RequestId): QueuedRequest | undefined {
    const queued = this.#requests.get(request);
    if (queued !== undefined) this.#remove(queued);
    return queued;
  }

  /** Removes and returns all requests, or those of one entry host. */
  removeAll(origin?: HostId): QueuedRequest[] {
    const found = [...this.#requests.values()].filter((
      { placementRequest },
    ) => origin === undefined || placementRequest.origin === origin);
    found.forEach((queued) => this.#remove(queued));
    return found;
  }

  /** Recomputes the latest start of every request. */
  updateLatestStarts(
    latestStartOf: (queued: QueuedRequest) => Milliseconds,
  ): void {
    for (const queued of this.#requests.values()) {
      queued.latestStart = latestStartOf(queued);
    }
    this.#rebuildByLatestStart();
  }

  /** Removes and returns the requests whose latest start has passed. */
  removeExpired(now: Milliseconds): QueuedRequest[] {
    const expired: QueuedRequest[] = [];
    let next = this.#byLatestStart.peek();
    while (next !== undefined && (next.isRemoved || next.latestStart < now)) {
      this.#byLatestStart.pop();
      if (!next.isRemoved) {
        this.#remove(next);
        expired.push(next);
      }
      next = this.#byLatestStart.peek();
    }
    return expired;
  }

  /**
   * Removes and returns the first request that can start. Blocked requests are
   * skipped; the number of tries in each tier is limited.
   */
  take(
    check: (queued: QueuedRequest) => StartEligibility,
  ): QueuedRequest | undefined {
    for (const tier of this.#tiersInOrder) {
      const found = tier.take(check);
      if (found === undefined) continue;
      this.#remove(found);
      return found;
    }
    return undefined;
  }

  /** Corrects an account's served tokens once the actual length is known. */
  correctServedTokens(
    tier: Tier,
    account: ClientAccountId,
    tokens: number,
  ): void {
    this.#tierQueues.get(tier)?.addServedTokens(account, tokens);
  }

  /** Returns the expected tokens that would be served before this request. */
  tokensAhead(
    placementRequest: PlacementRequest,
    expectedTokens: number,
  ): number {
    let tokensAhead = 0;
    for (const tier of this.#tiersInOrder) {
      if (tier.tier < placementRequest.tier) tokensAhead += tier.tokens;
      if (tier.tier === placementRequest.tier) {
        tokensAhead += tier.tokensAhead(
          placementRequest.account,
          expectedTokens,
        );
      }
    }
    return tokensAhead;
  }

  /** Returns the number of waiting requests by tier and account. */
  counts(): { tier: Tier; account: ClientAccountId; requests: number }[] {
    return this.#tiersInOrder.flatMap((tier) => tier.counts());
  }

  /** Returns the least urgent tier that has a waiting request. */
  lowestTier(): Tier | undefined {
    return this.#tiersInOrder.findLast(({ size }) => size > 0)?.tier;
  }

  #shedOverflow(): QueuedRequest[] {
    const shed: QueuedRequest[] = [];
    while (
      this.#tokens > this.#maximumTokens || this.#bytes > this.#maximumBytes
    ) {
      const largest = this.#tiersInOrder.findLast(({ size }) => size > 0)
        ?.largest();
      if (largest === undefined) break;
      this.#remove(largest);
      shed.push(largest);
    }
    return shed;
  }

  #remove(queued: QueuedRequest): void {
    queued.isRemoved = true;
    this.#requests.delete(queued.placementRequest.request);
    this.#tokens -= queued.expectedTokens;
    this.#bytes -= queued.placementRequest.bodyBytes;
    this.#tierQueues.get(queued.placementRequest.tier)!.remove(queued);
    if (this.#byLatestStart.size > 64 + 2 * this.#requests.size) {
      this.#rebuildByLatestStart();
    }
  }

  #rebuildByLatestStart(): void {
    this.#byLatestStart = new Heap((left, right) =>
      left.latestStart < right.latestStart
    );
    for (const queued of this.#requests.values()) {
      this.#byLatestStart.push(queued);
    }
  }

  #tierQueueOf(tier: Tier): TierQueue {
    const existing = this.#tierQueues.get(tier);
    if (existing !== undefined) return existing;
    const created = new TierQueue(tier);
    this.#tierQueues.set(tier, created);
    this.#tiersInOrder = [...this.#tierQueues.values()]
      .sort((left, right) => left.tier - right.tier);
    return created;
  }
}
