/** Holds callers back while it is closed, as a paused process does. */
export class Gate {
  #passed: Promise<void> = Promise.resolve();
  #open: () => void = () => {};
  #isClosed = false;

  close(): void {
    if (this.#isClosed) return;
    this.#isClosed = true;
    this.#passed = new Promise((resolve) => (this.#open = resolve));
  }

  open(): void {
    this.#isClosed = false;
    this.#open();
  }

  /** Resolves once the gate is open. */
  whenOpen(): Promise<void> {
    return this.#passed;
  }
}
