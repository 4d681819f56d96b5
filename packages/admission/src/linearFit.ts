import type { Milliseconds } from "@wasabivane/common";

/** Weight of the newest sample once there are enough. */
const SAMPLE_WEIGHT = 0.02;

/**
 * Exponentially weighted linear regression of time over an amount of work. The
 * first samples weigh equally, so that a slow first response does not dominate
 * the fit.
 */
export class LinearFit {
  #samples = 1;
  #meanAmount: number;
  #meanTime: Milliseconds;
  #variance = 0;
  #covariance = 0;

  /** Creates a fit from a first sample. */
  constructor(amount: number, time: Milliseconds) {
    this.#meanAmount = amount;
    this.#meanTime = time;
  }

  add(amount: number, time: Milliseconds): void {
    const weight = Math.max(SAMPLE_WEIGHT, 1 / ++this.#samples);
    const amountDeviation = amount - this.#meanAmount;
    const timeDeviation = time - this.#meanTime;
    this.#meanAmount += weight * amountDeviation;
    this.#meanTime += weight * timeDeviation;
    this.#variance = blend(
      this.#variance,
      amountDeviation * amountDeviation,
      weight,
    );
    this.#covariance = blend(
      this.#covariance,
      amountDeviation * timeDeviation,
      weight,
    );
  }

  /** Returns the expected time for an amount of work. */
  predict(amount: number): Milliseconds {
    const time = this.#meanTime + this.slope * (amount - this.#meanAmount);
    return Math.max(0, time);
  }

  /** Time per unit of work; never negative. */
  get slope(): Milliseconds {
    if (this.#variance <= 0) return 0;
    return Math.max(0, this.#covariance / this.#variance);
  }
}

/** Updates a weighted moment with one sample. */
function blend(moment: number, sample: number, weight: number): number {
  return (1 - weight) * (moment + weight * sample);
}
