/** Implements a binary heap; `isBefore` decides which item is popped first. */
export class Heap<Item> {
  readonly #items: Item[] = [];
  readonly #isBefore: (left: Item, right: Item) => boolean;

  constructor(isBefore: (left: Item, right: Item) => boolean) {
    this.#isBefore = isBefore;
  }

  get size(): number {
    return this.#items.length;
  }

  peek(): Item | undefined {
    return this.#items[0];
  }

  push(item: Item): void {
    this.#items.push(item);
    this.#siftUp(this.#items.length - 1);
  }

  pop(): Item | undefined {
    const first = this.#items[0];
    const last = this.#items.pop();
    if (this.#items.length > 0 && last !== undefined) {
      this.#items[0] = last;
      this.#siftDown(0);
    }
    return first;
  }

  #siftUp(start: number): void {
    let index = start;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!this.#isBefore(this.#items[index]!, this.#items[parent]!)) return;
      this.#swap(index, parent);
      index = parent;
    }
  }

  #siftDown(start: number): void {
    let index = start;
    while (true) {
      const next = this.#firstChild(index);
      if (next === undefined) return;
      if (!this.#isBefore(this.#items[next]!, this.#items[index]!)) return;
      this.#swap(index, next);
      index = next;
    }
  }

  #firstChild(index: number): number | undefined {
    const left = 2 * index + 1;
    const right = left + 1;
    if (left >= this.#items.length) return undefined;
    if (right >= this.#items.length) return left;
    return this.#isBefore(this.#items[right]!, this.#items[left]!)
      ? right
      : left;
  }

  #swap(left: number, right: number): void {
    const item = this.#items[left]!;
    this.#items[left] = this.#items[right]!;
    this.#items[right] = item;
  }
}
