import type { Milliseconds, UpstreamId } from "@wasabivane/common";

/**
 * Time for which an upstream counts as warming up after an ejection, as it may
 * have restarted before its entry says so.
 */
const RETURNED_WARMUP_MS: Milliseconds = 3_000;
/**
 * Shortest time for which a newly listed upstream counts as warming up, as its
 * entry may be outdated.
 */
const NEW_WARMUP_MS: Milliseconds = 1_000;

/** Warm-up state of an upstream. */
interface WarmupState {
  /** Value of the last entry; a repeated entry does not restart the warm-up. */
  coldFor: Milliseconds;
  warmupUntil: Milliseconds;
}

/**
 * Tracks which upstreams are warming up: they have just started and can take
 * few requests yet.
 */
export class UpstreamWarmup {
  readonly #states = new Map<UpstreamId, WarmupState>();

  /** Applies the remaining warm-up time of an upstream's entry. */
  update(
    upstream: UpstreamId,
    { coldFor, now }: { coldFor: Milliseconds; now: Milliseconds },
  ): void {
    const known = this.#states.get(upstream);
    if (known === undefined) {
      const warmupUntil = now + Math.max(NEW_WARMUP_MS, coldFor);
      this.#states.set(upstream, { coldFor, warmupUntil });
      return;
    }
    if (known.coldFor === coldFor) return;
    known.coldFor = coldFor;
    known.warmupUntil = now + coldFor;
  }

  /**
   * Records that an upstream was lost and will be used again at the given time,
   * possibly after a restart.
   */
  recordLoss(upstream: UpstreamId, backAt: Milliseconds): void {
    const known = this.#states.get(upstream);
    const warmupUntil = backAt + RETURNED_WARMUP_MS;
    if (known === undefined) {
      this.#states.set(upstream, { coldFor: 0, warmupUntil });
    } else known.warmupUntil = Math.max(known.warmupUntil, warmupUntil);
  }

  isWarmingUp(upstream: UpstreamId, now: Milliseconds): boolean {
    return (this.#states.get(upstream)?.warmupUntil ?? 0) > now;
  }

  forget(upstream: UpstreamId): void {
    this.#states.delete(upstream);
  }
}
