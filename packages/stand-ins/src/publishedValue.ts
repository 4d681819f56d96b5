import type {
  Milliseconds,
  Timer,
  TimerSubscription,
} from "@wasabivane/common";

/** Whether a value can be read, and whether what is read is the newest. */
export type PublicationMode = "up" | "down" | "stale";

/** A value with its revision, as readers get it. */
export interface PublishedRevision {
  readonly revision: number;
  readonly value: unknown;
}

/** What became of one read. */
export type PublishedReadResult =
  | { readonly kind: "value"; readonly published: PublishedRevision }
  | { readonly kind: "nothing-newer" }
  | { readonly kind: "down" };

/** Options of a {@link PublishedValue}. */
export interface PublishedValueOptions {
  timer: Timer;
  /** Time from a set to the moment when readers see it. */
  lagMs: Milliseconds;
}

/** Options of one read. */
export interface PublishedReadOptions {
  /** Revision that the reader has. */
  readonly after: number;
  readonly waitMs: Milliseconds;
  /** Ends the waiting when the reader is gone. */
  readonly signal?: AbortSignal;
}

/** A value that readers read and watch. */
export class PublishedValue {
  readonly #timer: Timer;
  readonly #lagMs: Milliseconds;
  readonly #wakers = new Set<() => void>();
  readonly #lagging = new Map<PublishedRevision, TimerSubscription>();
  #mode: PublicationMode = "up";
  #revision = 0;
  /** What readers would see if the mode were up. */
  #newest: PublishedRevision | undefined;
  #shown: PublishedRevision | undefined;

  constructor({ timer, lagMs }: PublishedValueOptions) {
    this.#timer = timer;
    this.#lagMs = lagMs;
  }

  get mode(): PublicationMode {
    return this.#mode;
  }

  /** Sets the value; returns its revision. */
  set(value: unknown): number {
    const published = { revision: ++this.#revision, value };
    if (this.#lagMs === 0) this.#publish(published);
    else this.#publishLater(published);
    return published.revision;
  }

  /** Publishes at once what still lags, and leaves no timer behind. */
  publishPending(): void {
    for (const [published, subscription] of this.#lagging) {
      subscription.cancel();
      this.#publish(published);
    }
    this.#lagging.clear();
  }

  setMode(mode: PublicationMode): void {
    this.#mode = mode;
    if (mode === "up") this.#shown = this.#newest;
    this.#wake();
  }

  /** The value past a revision, waiting for it at most `waitMs`. */
  read(
    { after, waitMs, signal }: PublishedReadOptions,
  ): Promise<PublishedReadResult> {
    return new Promise((resolve) => {
      const giveUp = (): void => finish({ kind: "nothing-newer" });
      const finish = (read: PublishedReadResult): void => {
        signal?.removeEventListener("abort", giveUp);
        this.#wakers.delete(check);
        timeout.cancel();
        resolve(read);
      };
      const check = (): void => {
        const read = this.#readNow(after);
        if (read.kind !== "nothing-newer") finish(read);
      };
      const timeout = this.#timer.after(waitMs, giveUp);
      signal?.addEventListener("abort", giveUp);
      this.#wakers.add(check);
      check();
      if (waitMs === 0 || signal?.aborted) giveUp();
    });
  }

  #readNow(after: number): PublishedReadResult {
    if (this.#mode === "down") return { kind: "down" };
    const published = this.#shown;
    if (published === undefined || published.revision <= after) {
      return { kind: "nothing-newer" };
    }
    return { kind: "value", published };
  }

  #publishLater(published: PublishedRevision): void {
    const subscription = this.#timer.after(this.#lagMs, () => {
      this.#lagging.delete(published);
      this.#publish(published);
    });
    this.#lagging.set(published, subscription);
  }

  #publish(published: PublishedRevision): void {
    this.#newest = published;
    if (this.#mode === "stale") return;
    this.#shown = published;
    this.#wake();
  }

  #wake(): void {
    for (const check of [...this.#wakers]) check();
  }
}
