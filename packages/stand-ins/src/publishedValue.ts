import type {
  Milliseconds,
  Timer,
  TimerSubscription,
} from "@wasabivane/common";

/** Whether a value is served (`up`), unavailable or frozen (`stale`). */
export type PublicationMode = "up" | "down" | "stale";

/** Value with its revision. */
export interface PublishedRevision {
  readonly revision: number;
  readonly value: unknown;
}

/** Result of a read. */
export type PublishedReadResult =
  | { readonly kind: "value"; readonly published: PublishedRevision }
  | { readonly kind: "nothing-newer" }
  | { readonly kind: "down" };

/** Options of a {@link PublishedValue}. */
export interface PublishedValueOptions {
  timer: Timer;
  /** Delay before a new value becomes visible to readers. */
  lagMs: Milliseconds;
}

/** Options of one read. */
export interface PublishedReadOptions {
  /** Revision that the reader already has. */
  readonly after: number;
  readonly waitMs: Milliseconds;
  /** Ends the wait when the reader disconnects. */
  readonly signal?: AbortSignal;
}

/** Versioned value that is read by long polling. */
export class PublishedValue {
  readonly #timer: Timer;
  readonly #lagMs: Milliseconds;
  readonly #waitingReads = new Set<() => void>();
  readonly #pending = new Map<PublishedRevision, TimerSubscription>();
  #mode: PublicationMode = "up";
  #revision = 0;
  /** Revision served in mode `up`. */
  #newest: PublishedRevision | undefined;
  #visible: PublishedRevision | undefined;

  constructor({ timer, lagMs }: PublishedValueOptions) {
    this.#timer = timer;
    this.#lagMs = lagMs;
  }

  get mode(): PublicationMode {
    return this.#mode;
  }

  /** Sets the value and returns its revision. */
  set(value: unknown): number {
    const published = { revision: ++this.#revision, value };
    if (this.#lagMs === 0) this.#publish(published);
    else this.#publishLater(published);
    return published.revision;
  }

  /** Publishes all pending values immediately and cancels their timers. */
  publishPending(): void {
    for (const [published, subscription] of this.#pending) {
      subscription.cancel();
      this.#publish(published);
    }
    this.#pending.clear();
  }

  setMode(mode: PublicationMode): void {
    this.#mode = mode;
    if (mode === "up") this.#visible = this.#newest;
    this.#checkWaitingReads();
  }

  /** Returns a revision newer than `after`, waiting up to `waitMs` for it. */
  read(
    { after, waitMs, signal }: PublishedReadOptions,
  ): Promise<PublishedReadResult> {
    return new Promise((resolve) => {
      const endWait = (): void => finish({ kind: "nothing-newer" });
      const finish = (read: PublishedReadResult): void => {
        signal?.removeEventListener("abort", endWait);
        this.#waitingReads.delete(check);
        timeout.cancel();
        resolve(read);
      };
      const check = (): void => {
        const read = this.#readVisible(after);
        if (read.kind !== "nothing-newer") finish(read);
      };
      const timeout = this.#timer.after(waitMs, endWait);
      signal?.addEventListener("abort", endWait);
      this.#waitingReads.add(check);
      check();
      if (waitMs === 0 || signal?.aborted) endWait();
    });
  }

  #readVisible(after: number): PublishedReadResult {
    if (this.#mode === "down") return { kind: "down" };
    const published = this.#visible;
    if (published === undefined || published.revision <= after) {
      return { kind: "nothing-newer" };
    }
    return { kind: "value", published };
  }

  #publishLater(published: PublishedRevision): void {
    const subscription = this.#timer.after(this.#lagMs, () => {
      this.#pending.delete(published);
      this.#publish(published);
    });
    this.#pending.set(published, subscription);
  }

  #publish(published: PublishedRevision): void {
    this.#newest = published;
    if (this.#mode === "stale") return;
    this.#visible = published;
    this.#checkWaitingReads();
  }

  #checkWaitingReads(): void {
    for (const check of [...this.#waitingReads]) check();
  }
}
