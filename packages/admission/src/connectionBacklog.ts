import type { Milliseconds } from "@wasabivane/common";

/**
 * Consecutive event-loop iterations with an accepted connection that indicate a
 * backlog.
 */
const BACKLOG_ITERATIONS = 4;
/**
 * Time after which a backlog does not clear by itself, and iterations, so that a
 * host that was only held up for a while serves the few that came meanwhile.
 */
const OVERRUN_SPAN_MS: Milliseconds = 200;
const OVERRUN_ITERATIONS = 25;

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
  /** When the first of these iterations was. */
  #since: Milliseconds = 0;

  /** Records that a connection was accepted in this iteration. */
  recordAccept(now: Milliseconds): void {
    if (this.#hasAccepted) return;
    this.#hasAccepted = true;
    if (this.#iterations === 0) this.#since = now;
    this.#iterations++;
  }

  /**
   * Ends an iteration; returns whether the next one must be observed as well.
   */
  endIteration(): boolean {
    if (!this.#hasAccepted) this.#iterations = 0;
    this.#hasAccepted = false;
    return this.#iterations > 0;
  }

  /** Starts anew once nothing waits. */
  reset(): void {
    this.#iterations = 0;
    this.#hasAccepted = false;
  }

  /** Whether the last accepted connection had to wait behind others. */
  get hasBacklog(): boolean {
    return this.#iterations >= BACKLOG_ITERATIONS;
  }

  /**
   * Whether more connections come than this host can serve, so that those which
   * wait have to go elsewhere until none does.
   */
  isOverrun(now: Milliseconds): boolean {
    return this.#iterations >= OVERRUN_ITERATIONS &&
      now - this.#since >= OVERRUN_SPAN_MS;
  }

  /** Longest time for which the last accepted connection may have waited. */
  longestWait(now: Milliseconds): Milliseconds {
    return this.hasBacklog ? now - this.#since : 0;
  }
}
