import type { Milliseconds, ServiceId } from "@wasabivane/common";

const BUCKET_MS: Milliseconds = 1_000;
/** Part of the shared budget that hosts use; the rest covers uneven counting. */
const USED_SHARE = 0.75;

/** The budget that all hosts share. */
export interface RetryBudgetOptions {
  /** Further sends that are allowed for each first one. */
  readonly ratio: number;
  /** Further sends that are allowed besides, over all hosts. */
  readonly slack: number;
  /** Span over which both are counted. */
  readonly window: Milliseconds;
}

/** Who shares the budget, and when it is asked for. */
export interface RetryBudgetContext {
  readonly hosts: number;
  readonly now: Milliseconds;
}

interface Bucket {
  readonly startedAt: Milliseconds;
  first: number;
  further: number;
}

/**
 * Bounds how often requests are sent to a second upstream, for each service over
 * all hosts. Each host spends by what it sent itself and by its part of the slack.
 *
 * Answers the load pattern of a service that fails half of its requests: repeats
 * then double the load on what is left, which fails more in turn.
 */
export class RetryBudget {
  readonly #options: RetryBudgetOptions;
  readonly #buckets = new Map<ServiceId, Bucket[]>();

  constructor(options: RetryBudgetOptions) {
    this.#options = options;
  }

  /** A request is sent for the first time. */
  countInitial(service: ServiceId, now: Milliseconds): void {
    this.#current(service, now).first++;
  }

  /** Whether one further send is left. */
  hasRetry(service: ServiceId, situation: RetryBudgetContext): boolean {
    this.#current(service, situation.now);
    let first = 0;
    let further = 0;
    for (const bucket of this.#buckets.get(service)!) {
      first += bucket.first;
      further += bucket.further;
    }
    const { ratio, slack } = this.#options;
    const own = slack / Math.max(1, situation.hosts);
    return further + 1 <= USED_SHARE * (ratio * first + own);
  }

  /** Takes one further send, or says that there is none left. */
  takeRetry(service: ServiceId, situation: RetryBudgetContext): boolean {
    if (!this.hasRetry(service, situation)) return false;
    this.#current(service, situation.now).further++;
    return true;
  }

  #current(service: ServiceId, now: Milliseconds): Bucket {
    const known = this.#buckets.get(service) ?? [];
    const kept = known.filter(({ startedAt }) =>
      now - startedAt < this.#options.window
    );
    let current = kept.at(-1);
    if (current === undefined || now - current.startedAt >= BUCKET_MS) {
      current = { startedAt: now, first: 0, further: 0 };
      kept.push(current);
    }
    this.#buckets.set(service, kept);
    return current;
  }
}
