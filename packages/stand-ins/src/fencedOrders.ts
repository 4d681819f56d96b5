/** An order as it was taken. */
export interface AcceptedOrder {
  readonly order: unknown;
  readonly fencing: number;
}

/** The orders that an engine took; with fencing checked, an old number is refused. */
export class FencedOrders {
  readonly accepted: AcceptedOrder[] = [];
  readonly #isChecked: boolean;
  #highest = -Infinity;

  constructor(fencing: "checked" | "ignored") {
    this.#isChecked = fencing === "checked";
  }

  /** False when the number is older than one taken before. */
  accept(order: AcceptedOrder): boolean {
    if (this.#isChecked && order.fencing < this.#highest) return false;
    this.#highest = Math.max(this.#highest, order.fencing);
    this.accepted.push(order);
    return true;
  }
}
