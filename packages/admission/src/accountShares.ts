import type { ClientAccountId, Milliseconds } from "@wasabivane/common";
import { StartRates } from "./startRates.ts";

/** An account that neither waits nor starts requests for so long is dropped. */
const RETENTION_MS: Milliseconds = 5_000;
const REMOVAL_INTERVAL_MS: Milliseconds = 1_000;

/**
 * Position of an account, or of one of its requests, in the order of received
 * work.
 */
export interface ShareTurn {
  /** Work that the account has received by then. */
  readonly virtualTime: Milliseconds;
  /** Breaks ties; the smaller one goes first. */
  readonly order: number;
}

/** What one account has received from the capacity of a tier. */
export class AccountShare implements ShareTurn {
  readonly account: ClientAccountId | undefined;
  virtualTime: Milliseconds = 0;
  order = 0;
  /** Number of its waiting requests. */
  waiting = 0;
  activeAt: Milliseconds = -Infinity;
  /** How fast its own requests start while it waits. */
  readonly rates = new StartRates();

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
  #joinCount = 0;
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

  /**
   * Counts one more waiting request. Among accounts that have received the same
   * work, the last one that began to wait goes first: accounts under their
   * share begin often, while those above it always wait.
   */
  recordWaiting(share: AccountShare, now: Milliseconds): void {
    share.rates.advance(share.waiting > 0, now);
    if (share.waiting === 0) share.order = -(++this.#joinCount);
    share.waiting++;
    share.activeAt = now;
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
export function isTurnBefore(turn: ShareTurn, other: ShareTurn): boolean {
  return turn.virtualTime < other.virtualTime ||
    (turn.virtualTime === other.virtualTime && turn.order < other.order);
}
