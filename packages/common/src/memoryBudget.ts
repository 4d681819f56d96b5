/**
 * Bounds the bytes that all items of one kind hold in a process at the same time.
 * An item that is alone always fits, so that no size is refused for good.
 */
export class MemoryBudget {
  /** Bytes; `Infinity` for no limit. */
  readonly limit: number;
  #used = 0;

  constructor({ limit = Infinity }: { limit?: number } = {}) {
    this.limit = limit;
  }

  /** Reserved bytes. */
  get used(): number {
    return this.#used;
  }

  /** Reserves bytes until the lease is released; `undefined` if they do not fit. */
  reserve(bytes: number): MemoryLease | undefined {
    const lease = new MemoryLease((change, held) => this.#add(change, held));
    return lease.resize(bytes) ? lease : undefined;
  }

  #add(change: number, held: number): boolean {
    const isAlone = this.#used === held;
    if (change > 0 && !isAlone && this.#used + change > this.limit) {
      return false;
    }
    this.#used += change;
    return true;
  }
}

/** Bytes of a {@link MemoryBudget} that one item holds. */
export class MemoryLease {
  readonly #add: (change: number, held: number) => boolean;
  #bytes = 0;
  #isReleased = false;

  constructor(add: (change: number, held: number) => boolean) {
    this.#add = add;
  }

  /** Bytes that the item holds. */
  get bytes(): number {
    return this.#bytes;
  }

  /**
   * Changes what the item holds; returns false, and changes nothing, if that does
   * not fit or the lease is released.
   */
  resize(bytes: number): boolean {
    if (this.#isReleased) return false;
    if (!this.#add(bytes - this.#bytes, this.#bytes)) return false;
    this.#bytes = bytes;
    return true;
  }

  /** Gives all bytes back; later calls have no effect. */
  release(): void {
    this.resize(0);
    this.#isReleased = true;
  }
}
