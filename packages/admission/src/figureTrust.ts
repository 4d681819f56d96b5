/** Weight of the prior, by which a figure is trusted before any response. */
const PRIOR_EVIDENCE = 1;
/** Evidence that is kept at most, so that trust can change again. */
const MAXIMUM_EVIDENCE = 6;
/** Longest logarithmic deviation that counts, as response lengths vary. */
const MAXIMUM_DEVIATION = 2;

/**
 * Measures how far the times of an upstream's responses follow the slowdown
 * that it reports. All quantities are natural logarithms.
 *
 * The trust is the slope of a regression through the origin of the deviation
 * from the usual time on the reported slowdown: 1 if work takes as long as
 * reported, 0 if its time has nothing to do with the report. A response under
 * no reported slowdown is no evidence.
 */
export class FigureTrust {
  #explained = PRIOR_EVIDENCE;
  #evidence = PRIOR_EVIDENCE;

  /** Trust, from 0 to 1. */
  get value(): number {
    return Math.min(1, Math.max(0, this.#explained / this.#evidence));
  }

  /**
   * Records a response that took `deviation` longer than usual while the
   * reported slowdown was `reported`.
   */
  observe(reported: number, deviation: number): void {
    const evidence = reported * reported;
    const kept = MAXIMUM_EVIDENCE / (MAXIMUM_EVIDENCE + evidence);
    const bounded = Math.min(
      MAXIMUM_DEVIATION,
      Math.max(-MAXIMUM_DEVIATION, deviation),
    );
    this.#explained = kept * (this.#explained + reported * bounded);
    this.#evidence = kept * (this.#evidence + evidence);
  }
}
