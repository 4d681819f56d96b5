import type { Milliseconds } from "@wasabivane/common";

const MEAN_WEIGHT = 0.05;
const INITIAL_SIZE_MS: Milliseconds = 256;
/** Range of the mean slot time, in steps, in which the size is kept. */
const LOWER_BOUND = 0.4;
const UPPER_BOUND = 1.25;

/**
 * Steps in which the received work of accounts is compared, about the slot time
 * of one request long. Accounts in the same step start by due time.
 *
 * With smaller steps, requests of accounts that send rarely pass others that
 * are due before them, and more of these are late. With larger ones, accounts
 * under their share wait while each large account starts several requests.
 */
export class WorkSteps {
  #size: Milliseconds = INITIAL_SIZE_MS;
  #mean: Milliseconds | undefined;

  /** Returns the step of received work. */
  of(work: Milliseconds): number {
    return Math.floor(work / this.#size);
  }

  /** Returns the work that is received before a step. */
  workBefore(step: number): Milliseconds {
    return step * this.#size;
  }

  /** Records the slot time of a start; returns whether the size changes. */
  recordStart(slotTime: Milliseconds): boolean {
    const mean = this.#mean ?? slotTime;
    this.#mean = mean + MEAN_WEIGHT * (slotTime - mean);
    const ratio = this.#mean / this.#size;
    if (ratio >= LOWER_BOUND && ratio <= UPPER_BOUND) return false;
    this.#size = 2 ** Math.ceil(Math.log2(this.#mean));
    return true;
  }
}
