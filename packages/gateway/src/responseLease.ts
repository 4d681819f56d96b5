import type { MemoryBudget, MemoryLease } from "@wasabivane/common";

/**
 * Bytes that each response may hold without a reservation, so that large ones
 * leave no small one without memory; the requests in progress bound their sum.
 */
const UNRESERVED_BYTES = 64 * 1_024;

/** What one response holds of the budget for all responses. */
export class ResponseLease {
  readonly #budget: MemoryBudget;
  readonly #unreserved: number;
  #lease: MemoryLease | undefined;

  constructor(
    budget: MemoryBudget,
    { unreserved = UNRESERVED_BYTES }: { unreserved?: number } = {},
  ) {
    this.#budget = budget;
    this.#unreserved = unreserved;
  }

  /** Whether bytes are reserved. */
  get isHolding(): boolean {
    return this.#lease !== undefined && this.#lease.bytes > 0;
  }

  /** Sets what the response holds; returns false if that does not fit. */
  hold(bytes: number): boolean {
    const reserved = bytes - this.#unreserved;
    if (reserved <= 0) {
      this.release();
      return true;
    }
    this.#lease ??= this.#budget.reserve(0);
    return this.#lease?.resize(reserved) ?? false;
  }

  release(): void {
    this.#lease?.release();
    this.#lease = undefined;
  }
}
