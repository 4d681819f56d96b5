import { type Milliseconds, sleep, type Timer } from "@wasabivane/common";

/** Options of {@link CoalescedCalls}. */
export interface CoalescedCallsOptions<Value> {
  readonly timer: Timer;
  /** Time between the starts of two runs. */
  readonly interval: Milliseconds;
  readonly run: () => Promise<Value>;
}

/**
 * Runs an action for all callers that came before it began, one run at a time.
 * Callers that come during a run share the next one.
 */
export class CoalescedCalls<Value> {
  readonly #options: CoalescedCallsOptions<Value>;
  #running: Promise<unknown> = Promise.resolve();
  #next: Promise<Value> | undefined;
  #startedAt: Milliseconds = -Infinity;

  constructor(options: CoalescedCallsOptions<Value>) {
    this.#options = options;
  }

  /** Returns the result of a run that begins after the call. */
  call(): Promise<Value> {
    this.#next ??= this.#startNext();
    return this.#next;
  }

  async #startNext(): Promise<Value> {
    const { timer, interval, run } = this.#options;
    await this.#running;
    const wait = this.#startedAt + interval - timer.now();
    if (wait > 0) await sleep(timer, wait);
    this.#next = undefined;
    this.#startedAt = timer.now();
    const running = run();
    this.#running = running.catch(() => {});
    return await running;
  }
}
