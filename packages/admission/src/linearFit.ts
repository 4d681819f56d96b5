import type { Milliseconds } from "@wasabivane/common";

/** Weight of the newest sample: about fifty are remembered, some seconds of one host's work. */
const SAMPLE_WEIGHT = 0.02;

/**
 * A straight line of times over amounts of work, the newest samples weighing most.
 * While there are few, all weigh alike: the first answers after a start are often
 * slow, and one of them must not stand for the next fifty.
 */
export class LinearFit {
  #samples = 1;
  #meanAmount: number;
  #meanTime: Milliseconds;
  #variance = 0;
  #covariance = 0;

  /** Begins with one sample. */
  constructor(amount: number, time: Milliseconds) {
    this.#meanAmount = amount;
    this.#meanTime = time;
  }

  add(amount: number, time: Milliseconds): void {
    const weight = Math.max(SAMPLE_WEIGHT, 1 / ++this.#samples);
    const amountOff = amount - this.#meanAmount;
    const timeOff = time - this.#meanTime;
    this.#meanAmount += weight * amountOff;
    this.#meanTime += weight * timeOff;
    this.#variance = blend(this.#variance, amountOff * amountOff, weight);
    this.#covariance = blend(this.#covariance, amountOff * timeOff, weight);
  }

  /** Expected time of so much work. */
  predict(amount: number): Milliseconds {
    const time = this.#meanTime + this.slope * (amount - this.#meanAmount);
    return Math.max(0, time);
  }

  /** Time of one unit more; more work never takes less. */
  get slope(): Milliseconds {
    if (this.#variance <= 0) return 0;
    return Math.max(0, this.#covariance / this.#variance);
  }
}

/** A moment of the samples with one more of the given weight. */
function blend(moment: number, sample: number, weight: number): number {
  return (1 - weight) * (moment + weight * sample);
}
