/** Blocks asynchronous callers while it is closed. */
export class Gate {
  #whenOpen: Promise<void> = Promise.resolve();
  #resolve: () => void = () => {};
  #isClosed = false;

  close(): void {
    if (this.#isClosed) return;
    this.#isClosed = true;
    this.#whenOpen = new Promise((resolve) => (this.#resolve = resolve));
  }

  open(): void {
    this.#isClosed = false;
    this.#resolve();
  }

  /** Resolves when the gate is open. */
  whenOpen(): Promise<void> {
    return this.#whenOpen;
  }
}
