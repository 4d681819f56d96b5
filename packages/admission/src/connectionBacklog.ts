/**
 * Consecutive event-loop iterations with an accepted connection that indicate a
 * backlog.
 */
const BACKLOG_ITERATIONS = 4;

/**
 * Detects whether connections wait to be accepted.
 *
 * The runtime accepts one connection per iteration of the event loop, so slow
 * iterations leave connections waiting for seconds. The waiting time is not
 * visible, but a connection in each of several iterations means that more are
 * waiting.
 */
export class ConnectionBacklog {
  #iterations = 0;
  #hasAccepted = false;

  /** Records that a connection was accepted in this iteration. */
  recordAccept(): void {
    if (!this.#hasAccepted) this.#iterations++;
    this.#hasAccepted = true;
  }

  /**
   * Ends an iteration; returns whether the next one must be observed as well.
   */
  endIteration(): boolean {
    if (!this.#hasAccepted) this.#iterations = 0;
    this.#hasAccepted = false;
    return this.#iterations > 0;
  }

  /** Whether the last accepted connection had to wait behind others. */
  get hasBacklog(): boolean {
    return this.#iterations >= BACKLOG_ITERATIONS;
  }
}
