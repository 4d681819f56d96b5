import type { ClientAccountId } from "@wasabivane/common";

/** Starts and refusals of one account since they were last taken. */
export interface AccountUse {
  readonly account: ClientAccountId | undefined;
  readonly starts: number;
  readonly refused: number;
  /** Requests that wait now. */
  readonly waiting: number;
}

/** Counts starts and refusals by account for the log. */
export class AccountUseCounter {
  readonly #counts = new Map<
    ClientAccountId | undefined,
    { starts: number; refused: number }
  >();

  recordStart(account: ClientAccountId | undefined): void {
    this.#of(account).starts++;
  }

  recordRefusal(account: ClientAccountId | undefined): void {
    this.#of(account).refused++;
  }

  /**
   * Returns the counts of all accounts, the one with the most requests first,
   * and starts anew.
   */
  take(
    waiting: ReadonlyMap<ClientAccountId | undefined, number>,
  ): readonly AccountUse[] {
    for (const account of waiting.keys()) this.#of(account);
    const uses = [...this.#counts].map(([account, counts]) => ({
      account,
      ...counts,
      waiting: waiting.get(account) ?? 0,
    }));
    this.#counts.clear();
    return uses.toSorted((left, right) => totalOf(right) - totalOf(left));
  }

  #of(
    account: ClientAccountId | undefined,
  ): { starts: number; refused: number } {
    let counts = this.#counts.get(account);
    if (counts === undefined) {
      counts = { starts: 0, refused: 0 };
      this.#counts.set(account, counts);
    }
    return counts;
  }
}

function totalOf({ starts, refused, waiting }: AccountUse): number {
  return starts + refused + waiting;
}
