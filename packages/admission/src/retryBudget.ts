import type { Milliseconds, ServiceId } from "@wasabivane/common";

const BUCKET_WIDTH_MS: Milliseconds = 1_000;
/** Share of the budget that hosts use; the rest covers uneven counting. */
const USED_SHARE = 0.75;

/** Retry budget that all hosts share. */
export interface RetryBudgetOptions {
  /** Retries allowed per initial send. */
  readonly ratio: number;
  /** Additional retries allowed over all hosts. */
  readonly slack: number;
  /** Window over which both are counted. */
  readonly window: Milliseconds;
}

/** Number of hosts that share the budget, and the current time. */
export interface RetryBudgetContext {
  /** `Infinity` leaves the slack to others. */
  readonly hosts: number;
  readonly now: Milliseconds;
}

interface Bucket {
  readonly startedAt: Milliseconds;
  initial: number;
  retries: number;
}

/**
 * Limits the retries of each service over all hosts. Each host spends in
 * proportion to its own initial sends, plus its part of the slack.
 *
 * When a service fails many requests, unlimited retries would add load and
 * cause more failures.
 */
export class RetryBudget {
  readonly #options: RetryBudgetOptions;
  readonly #buckets = new Map<ServiceId, Bucket[]>();

  constructor(options: RetryBudgetOptions) {
    this.#options = options;
  }

  /** Counts the initial send of a request. */
  countInitial(service: ServiceId, now: Milliseconds): void {
    this.#current(service, now).initial++;
  }

  /** Whether a retry is available. */
  hasRetry(service: ServiceId, context: RetryBudgetContext): boolean {
    this.#current(service, context.now);
    let initial = 0;
    let retries = 0;
    for (const bucket of this.#buckets.get(service)!) {
      initial += bucket.initial;
      retries += bucket.retries;
    }
    const { ratio, slack } = this.#options;
    const ownSlack = slack / Math.max(1, context.hosts);
    return retries + 1 <= USED_SHARE * (ratio * initial + ownSlack);
  }

  /** Takes a retry; returns whether one was available. */
  takeRetry(service: ServiceId, context: RetryBudgetContext): boolean {
    if (!this.hasRetry(service, context)) return false;
    this.#current(service, context.now).retries++;
    return true;
  }

  #current(service: ServiceId, now: Milliseconds): Bucket {
    const known = this.#buckets.get(service) ?? [];
    const recent = known.filter(({ startedAt }) =>
      now - startedAt < this.#options.window
    );
    let current = recent.at(-1);
    if (current === undefined || now - current.startedAt >= BUCKET_WIDTH_MS) {
      current = { startedAt: now, initial: 0, retries: 0 };
      recent.push(current);
    }
    this.#buckets.set(service, recent);
    return current;
  }
}
