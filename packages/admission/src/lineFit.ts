import type { Milliseconds } from "@wasabivane/common";

/** Weight of the newest sample: about fifty are remembered, some seconds of one host's work. */
const SAMPLE_WEIGHT = 0.02;

/** A straight line of times over amounts of work, the newest samples weighing most. */
export class LineFit {
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
    const amountOff = amount - this.#meanAmount;
    const timeOff = time - this.#meanTime;
    this.#meanAmount += SAMPLE_WEIGHT * amountOff;
    this.#meanTime += SAMPLE_WEIGHT * timeOff;
    this.#variance = decayed(this.#variance, amountOff * amountOff);
    this.#covariance = decayed(this.#covariance, amountOff * timeOff);
  }

  /** Expected time of so much work. */
  at(amount: number): Milliseconds {
    const time = this.#meanTime + this.slope * (amount - this.#meanAmount);
    return Math.max(0, time);
  }

  /** Time of one unit more; more work never takes less. */
  get slope(): Milliseconds {
    if (this.#variance <= 0) return 0;
    return Math.max(0, this.#covariance / this.#variance);
  }
}

function decayed(moment: number, sample: number): number {
  return (1 - SAMPLE_WEIGHT) * (moment + SAMPLE_WEIGHT * sample);
}
