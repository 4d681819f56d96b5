/** So many turns in a row that each took a connection mean that more are waiting. */
const STANDING_TURNS = 4;

/**
 * Whether callers' connections wait to be taken.
 *
 * Answers the load pattern of a host that falls behind: the runtime takes one connection
 * in each turn of its loop, whatever the turn takes, so that connections wait for seconds
 * behind a few slow turns. Nothing tells how long one has waited; that each turn takes
 * one tells that there are more.
 */
export class ConnectionBacklog {
  #turns = 0;
  #hasTaken = false;

  /** A connection was taken in this turn of the loop. */
  recordAccept(): void {
    if (!this.#hasTaken) this.#turns++;
    this.#hasTaken = true;
  }

  /** A turn is over; gives back whether the next one is to be looked at as well. */
  endIteration(): boolean {
    if (!this.#hasTaken) this.#turns = 0;
    this.#hasTaken = false;
    return this.#turns > 0;
  }

  /** Whether the connection that was taken last had waited behind others. */
  get hasBacklog(): boolean {
    return this.#turns >= STANDING_TURNS;
  }
}
