import type { Milliseconds } from "@wasabivane/common";

/** Time constant with which the peak decays. */
const PEAK_DECAY_MS: Milliseconds = 200;
/**
 * Window whose minimum lateness distinguishes a sustained backlog from a single
 * stall; matches the period of CPU quotas.
 */
const WINDOW_MS: Milliseconds = 100;
/** A single stall affects fewer timers than this. */
const MINIMUM_SAMPLES = 4;
/** Samples older than this are dropped; timers of an idle host run rarely. */
const MAXIMUM_SAMPLE_AGE_MS: Milliseconds = 1_500;

/** One measured lateness. */
interface Sample {
  readonly late: Milliseconds;
  readonly at: Milliseconds;
}

/**
 * Measures by how late its timers run how far the event loop of this host is
 * behind.
 *
 * The peak bounds how old the input is that is read now. The sustained lag, the
 * minimum over a window, tells whether there is a backlog: a process that its
 * CPU quota suspends has a peak but no sustained lag.
 */
export class EventLoopLag {
  #peak: Milliseconds = 0;
  #peakAt: Milliseconds = -Infinity;
  readonly #samples: Sample[] = [];

  /** Records how much later than planned a timer ran. */
  observe(lateness: Milliseconds, now: Milliseconds): void {
    const late = Math.max(0, lateness);
    this.#peak = Math.max(late, this.peak(now));
    this.#peakAt = now;
    this.#samples.push({ late, at: now });
    while (this.#isOutdated(this.#samples[0]!, now)) this.#samples.shift();
  }

  /** Returns by how much input that is read now may be outdated. */
  peak(now: Milliseconds): Milliseconds {
    const age = Math.max(0, now - this.#peakAt);
    return this.#peak * Math.exp(-age / PEAK_DECAY_MS);
  }

  /** Minimum lateness over the last window; 0 until enough timers have run. */
  get sustained(): Milliseconds {
    if (this.#samples.length < MINIMUM_SAMPLES) return 0;
    let least = Infinity;
    for (const { late } of this.#samples) least = Math.min(least, late);
    return least;
  }

  #isOutdated({ at }: Sample, now: Milliseconds): boolean {
    const age = now - at;
    if (age > MAXIMUM_SAMPLE_AGE_MS) return true;
    return age > WINDOW_MS && this.#samples.length > MINIMUM_SAMPLES;
  }
}
