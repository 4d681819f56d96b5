/** An order as it was taken. */
export interface TakenOrder {
  readonly order: unknown;
  readonly fencing: number;
}

/** The orders that an engine took; with fencing checked, an old number is refused. */
export class OrderBook {
  readonly taken: TakenOrder[] = [];
  readonly #isChecked: boolean;
  #highest = -Infinity;

  constructor(fencing: "checked" | "ignored") {
    this.#isChecked = fencing === "checked";
  }

  /** False when the number is older than one taken before. */
  take(order: TakenOrder): boolean {
    if (this.#isChecked && order.fencing < this.#highest) return false;
    this.#highest = Math.max(this.#highest, order.fencing);
    this.taken.push(order);
    return true;
  }
}
