/** Sort key of an item; `order` breaks ties. */
export interface SortKey {
  readonly priority: number;
  readonly order: number;
}

/**
 * Queue sorted by a number that does not change while an item is queued.
 * Insertion and counting use binary search.
 */
export class SortedQueue<Item> {
  readonly #items: Item[] = [];
  readonly #keys: SortKey[] = [];

  get size(): number {
    return this.#items.length;
  }

  /** All items, the next one first; a live view. */
  get items(): readonly Item[] {
    return this.#items;
  }

  /** Adds an item; among equal priorities the smaller order goes first. */
  add(item: Item, priority: number, order: number): void {
    const index = this.#find(priority, order);
    this.#items.splice(index, 0, item);
    this.#keys.splice(index, 0, { priority, order });
  }

  /** Removes the item that was added with this priority and order. */
  remove(priority: number, order: number): void {
    const index = this.#find(priority, order);
    const key = this.#keys[index];
    if (key?.priority !== priority || key.order !== order) return;
    this.#items.splice(index, 1);
    this.#keys.splice(index, 1);
  }

  /** Returns the key of the item at an index; `undefined` past the end. */
  keyAt(index: number): SortKey | undefined {
    return this.#keys[index];
  }

  /** Returns the number of items up to this priority. */
  countUpTo(priority: number): number {
    return this.#find(priority, Infinity);
  }

  /** Returns the index of the first item that is not before the given key. */
  #find(priority: number, order: number): number {
    let low = 0;
    let high = this.#keys.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      const key = this.#keys[middle]!;
      const isBefore = key.priority < priority ||
        (key.priority === priority && key.order < order);
      if (isBefore) low = middle + 1;
      else high = middle;
    }
    return low;
  }
}
