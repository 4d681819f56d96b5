import type { Milliseconds } from "@wasabivane/common";
import type { RefusalReason } from "./requestAdmission.ts";

/** One in this many refusals of a reason is logged. */
const SAMPLE = 10;
const PERIOD_MS: Milliseconds = 1_000;
/**
 * Reasons that are found before a request is complete. Callers repeat such
 * requests, and a log line for each costs more than the refusal.
 */
const SAMPLED_REASONS: ReadonlySet<RefusalReason> = new Set<RefusalReason>([
  "no-policy",
  "policy-behind",
  "no-route",
  "no-account",
  "malformed",
  "fields-too-large",
  "over-quota",
  "host-behind",
  "stopping",
  "memory",
  "body-fragmented",
]);

interface ReasonCount {
  period: number;
  /** Refusals since the last one that was logged. */
  unlogged: number;
}

/**
 * Selects the refusals to log: of each reason the first one of every second and
 * then one in ten. Refusals of other reasons are all logged.
 */
export class RefusalSampler {
  readonly #counts = new Map<RefusalReason, ReasonCount>();

  /**
   * Returns how many refusals of a reason were not logged since the last one
   * that was, or `undefined` if this one is not logged either.
   */
  select(reason: RefusalReason, now: Milliseconds): number | undefined {
    if (!SAMPLED_REASONS.has(reason)) return 0;
    const period = Math.floor(now / PERIOD_MS);
    const count = this.#counts.get(reason);
    if (count === undefined) {
      this.#counts.set(reason, { period, unlogged: 0 });
      return 0;
    }
    if (count.period === period && count.unlogged < SAMPLE - 1) {
      count.unlogged++;
      return undefined;
    }
    const { unlogged } = count;
    count.period = period;
    count.unlogged = 0;
    return unlogged;
  }
}
