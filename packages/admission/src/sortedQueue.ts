/** Where an item stands: by its turn, equals by their order. */
interface Key {
  readonly turn: number;
  readonly order: number;
}

/**
 * Items by a number that does not change while they are queued. Finding a place and
 * counting what goes before a number take the logarithm of the length.
 */
export class SortedQueue<Item> {
  readonly #items: Item[] = [];
  readonly #keys: Key[] = [];

  get size(): number {
    return this.#items.length;
  }

  /** All of them, the next one first; it changes with the queue. */
  get items(): readonly Item[] {
    return this.#items;
  }

  /** Adds an item; of equal turns the smaller order goes first. */
  add(item: Item, turn: number, order: number): void {
    const index = this.#find(turn, order);
    this.#items.splice(index, 0, item);
    this.#keys.splice(index, 0, { turn, order });
  }

  /** Takes an item out that was added with this turn and order. */
  remove(turn: number, order: number): void {
    const index = this.#find(turn, order);
    const key = this.#keys[index];
    if (key?.turn !== turn || key.order !== order) return;
    this.#items.splice(index, 1);
    this.#keys.splice(index, 1);
  }

  /** Items whose turn comes no later than this one. */
  countUpTo(turn: number): number {
    return this.#find(turn, Infinity);
  }

  /** Place of the first item that does not go before the given key. */
  #find(turn: number, order: number): number {
    let low = 0;
    let high = this.#keys.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      const key = this.#keys[middle]!;
      const isBefore = key.turn < turn ||
        (key.turn === turn && key.order < order);
      if (isBefore) low = middle + 1;
      else high = middle;
    }
    return low;
  }
}
