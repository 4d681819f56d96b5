/** Order accepted by an engine, with its fencing token. */
export interface AcceptedOrder {
  readonly order: unknown;
  readonly fencing: number;
}

/** Orders accepted by an engine; can reject outdated fencing tokens. */
export class FencedOrders {
  readonly accepted: AcceptedOrder[] = [];
  readonly #shouldCheckFencing: boolean;
  #highestFencing = -Infinity;

  constructor(fencing: "checked" | "ignored") {
    this.#shouldCheckFencing = fencing === "checked";
  }

  /** Accepts an order; returns false if its fencing token is outdated. */
  accept(order: AcceptedOrder): boolean {
    if (this.#shouldCheckFencing && order.fencing < this.#highestFencing) {
      return false;
    }
    this.#highestFencing = Math.max(this.#highestFencing, order.fencing);
    this.accepted.push(order);
    return true;
  }
}
