import type { Milliseconds } from "@wasabivane/common";

/** A stall counts for less as time goes by; after this time for a third. */
const MEMORY_MS: Milliseconds = 200;
/**
 * Span whose least lateness tells a standing backlog from a single stall: as long as the
 * one in which a machine's share of its processor is dealt out.
 */
const SPAN_MS: Milliseconds = 100;
/** A single stall is seen by few timers, however long it was. */
const LEAST_SAMPLES = 4;
/** Samples older than this say nothing; an idle host's timers run seldom. */
const OLDEST_MS: Milliseconds = 1_500;

/** A timer that is so late was held up by a long turn of the loop. */
const LONG_TURN_MS: Milliseconds = 100;
/** What came in during long turns may have waited for about so long. */
const AFTERMATH_MS: Milliseconds = 5_000;

/** One lateness that was observed. */
interface Sample {
  readonly late: Milliseconds;
  readonly at: Milliseconds;
}

/**
 * How far this host is behind its own work, by how late its timers run.
 *
 * Answers the load pattern of a burst that takes more than the host's processor gives:
 * timers, callers' closes and answers wait for each other, and each step of a request
 * comes later than the last. Two figures: the peak says by how much anything that is read
 * now may be old; the standing lag, the least of a span, says whether there is a backlog
 * at all. A machine that stands still for a moment, because its share of a tenth of a
 * second is used up, has a peak and no standing lag.
 */
export class EventLoopLag {
  #peak: Milliseconds = 0;
  #peakAt: Milliseconds = -Infinity;
  #longTurnAt: Milliseconds = -Infinity;
  readonly #samples: Sample[] = [];

  /** A timer ran so much later than planned. */
  observe(lateness: Milliseconds, now: Milliseconds): void {
    const late = Math.max(0, lateness);
    this.#peak = Math.max(late, this.peak(now));
    this.#peakAt = now;
    if (late >= LONG_TURN_MS) this.#longTurnAt = now;
    this.#samples.push({ late, at: now });
    while (this.#isOutdated(this.#samples[0]!, now)) this.#samples.shift();
  }

  /** By how much what is read now may be old. */
  peak(now: Milliseconds): Milliseconds {
    const age = Math.max(0, now - this.#peakAt);
    return this.#peak * Math.exp(-age / MEMORY_MS);
  }

  /** Whether turns were so long lately that what came in meanwhile may still wait. */
  hasRecentLongIteration(now: Milliseconds): boolean {
    return now - this.#longTurnAt < AFTERMATH_MS;
  }

  /** The least lateness of the last span; 0 as long as too few timers have run. */
  get sustained(): Milliseconds {
    if (this.#samples.length < LEAST_SAMPLES) return 0;
    let least = Infinity;
    for (const { late } of this.#samples) least = Math.min(least, late);
    return least;
  }

  #isOutdated({ at }: Sample, now: Milliseconds): boolean {
    const age = now - at;
    if (age > OLDEST_MS) return true;
    return age > SPAN_MS && this.#samples.length > LEAST_SAMPLES;
  }
}
