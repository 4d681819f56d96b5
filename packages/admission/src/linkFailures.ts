import type { Milliseconds, UpstreamId } from "@wasabivane/common";
import type { UpstreamOutcome } from "./types.ts";

/**
 * Upstreams that a host must fail at in a row, without a response from any, to
 * count as cut off.
 */
const CUT_OFF_UPSTREAMS = 2;
/** Time for which a failure counts. */
const RETENTION_MS: Milliseconds = 3_000;

const FAILURES: ReadonlySet<UpstreamOutcome> = new Set([
  "unreachable",
  "broken",
  "silent",
]);
const INCONCLUSIVE: ReadonlySet<UpstreamOutcome> = new Set([
  "cancelled",
  "unsent",
]);

/**
 * Tells whether one host has lost its links to the upstreams. An upstream that
 * is lost fails alone, while a host without links fails wherever it sends
 * something, so what such a host reports says nothing about the upstreams.
 */
export class LinkFailures {
  /** Times of the last failures at upstreams that have not responded since. */
  readonly #failedAt = new Map<UpstreamId, Milliseconds>();
  /** Upstreams that failed since the last response from any. */
  readonly #streak = new Set<UpstreamId>();
  #lastFailureAt: Milliseconds = -Infinity;

  observe(
    upstream: UpstreamId,
    outcome: UpstreamOutcome,
    now: Milliseconds,
  ): void {
    if (INCONCLUSIVE.has(outcome)) return;
    if (!FAILURES.has(outcome)) {
      this.#failedAt.delete(upstream);
      return this.#streak.clear();
    }
    if (!this.#isRecent(this.#lastFailureAt, now)) this.#forgetAll();
    this.#failedAt.set(upstream, now);
    this.#streak.add(upstream);
    this.#lastFailureAt = now;
  }

  /** Whether the host reaches no upstream. */
  isCutOff(now: Milliseconds): boolean {
    return this.#streak.size >= CUT_OFF_UPSTREAMS &&
      this.#isRecent(this.#lastFailureAt, now);
  }

  /** Whether the host's last attempt at an upstream has just failed. */
  isFailing(upstream: UpstreamId, now: Milliseconds): boolean {
    return this.#isRecent(this.#failedAt.get(upstream) ?? -Infinity, now);
  }

  #isRecent(at: Milliseconds, now: Milliseconds): boolean {
    return now - at <= RETENTION_MS;
  }

  #forgetAll(): void {
    this.#failedAt.clear();
    this.#streak.clear();
  }
}
