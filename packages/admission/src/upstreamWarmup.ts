import type { Milliseconds, UpstreamId } from "@wasabivane/common";

/**
 * An upstream that was lost may have started again under its name; until its entry
 * says so, it counts as cold for this long after work goes there again.
 */
const RETURNED_COLD_MS: Milliseconds = 3_000;
/** One that is new here counts as cold for a moment, whatever its entry said when it was written. */
const NEW_COLD_MS: Milliseconds = 1_000;

/** What an entry of the list says of an upstream's warming up. */
interface Warmth {
  /** As the entry had it last; an entry that says the same again is no news. */
  coldFor: Milliseconds;
  coldUntil: Milliseconds;
}

/** Which upstreams are cold: they have just started and take little work yet. */
export class UpstreamWarmup {
  readonly #warmth = new Map<UpstreamId, Warmth>();

  /** Takes in how much longer an upstream is cold, as its entry says. */
  update(
    upstream: UpstreamId,
    { coldFor, now }: { coldFor: Milliseconds; now: Milliseconds },
  ): void {
    const known = this.#warmth.get(upstream);
    if (known === undefined) {
      const coldUntil = now + Math.max(NEW_COLD_MS, coldFor);
      this.#warmth.set(upstream, { coldFor, coldUntil });
      return;
    }
    if (known.coldFor === coldFor) return;
    known.coldFor = coldFor;
    known.coldUntil = now + coldFor;
  }

  /** An upstream was lost and gets work again at a time; it may be another start of it. */
  recordLoss(upstream: UpstreamId, backAt: Milliseconds): void {
    const known = this.#warmth.get(upstream);
    const coldUntil = backAt + RETURNED_COLD_MS;
    if (known === undefined) {
      this.#warmth.set(upstream, { coldFor: 0, coldUntil });
    } else known.coldUntil = Math.max(known.coldUntil, coldUntil);
  }

  isCold(upstream: UpstreamId, now: Milliseconds): boolean {
    return (this.#warmth.get(upstream)?.coldUntil ?? 0) > now;
  }

  forget(upstream: UpstreamId): void {
    this.#warmth.delete(upstream);
  }
}
