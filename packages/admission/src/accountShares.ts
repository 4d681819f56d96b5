import type { ClientAccountId, Milliseconds } from "@wasabivane/common";

/** An account that neither waits nor starts requests for so long is dropped. */
const RETENTION_MS: Milliseconds = 5_000;
const REMOVAL_INTERVAL_MS: Milliseconds = 1_000;

/** Place of a request among those of all accounts of its rank. */
export interface Turn {
  /** Step of the work that its account has received by then. */
  readonly step: number;
  /** Priority value within the step. */
  readonly priority: Milliseconds;
  /** Order of arrival, which breaks ties. */
  readonly order: number;
}

/** What one account has received from the capacity of a tier. */
export class AccountShare {
  readonly account: ClientAccountId | undefined;
  /** Received work, in virtual time. */
  virtualTime: Milliseconds = 0;
  /** Number of its waiting requests. */
  waiting = 0;
  activeAt: Milliseconds = -Infinity;

  constructor(account: ClientAccountId | undefined) {
    this.account = account;
  }
}

/**
 * Work that each account has received, in start-time fair queueing with equal
 * weights. Accounts that neither wait nor start requests are dropped.
 */
export class AccountShares {
  readonly #shares = new Map<ClientAccountId | undefined, AccountShare>();
  #checkedAt: Milliseconds = -Infinity;

  /** Number of accounts that wait or have started requests recently. */
  get size(): number {
    return this.#shares.size;
  }

  find(account: ClientAccountId | undefined): AccountShare | undefined {
    return this.#shares.get(account);
  }

  /** Returns the share of an account, which joins if it is unknown. */
  of(account: ClientAccountId | undefined): AccountShare {
    let share = this.#shares.get(account);
    if (share === undefined) {
      share = new AccountShare(account);
      this.#shares.set(account, share);
    }
    return share;
  }

  /** Drops the accounts that have been idle for some seconds. */
  removeIdle(now: Milliseconds): void {
    if (now - this.#checkedAt < REMOVAL_INTERVAL_MS) return;
    this.#checkedAt = now;
    for (const [account, { waiting, activeAt }] of this.#shares) {
      const isIdle = waiting === 0 && now - activeAt > RETENTION_MS;
      if (isIdle) this.#shares.delete(account);
    }
  }
}

/** Whether one turn comes before another one. */
export function isTurnBefore(turn: Turn, other: Turn): boolean {
  if (turn.step !== other.step) return turn.step < other.step;
  if (turn.priority !== other.priority) return turn.priority < other.priority;
  return turn.order < other.order;
}
