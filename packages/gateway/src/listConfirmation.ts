import type {
  HostId,
  Incarnation,
  Milliseconds,
  Timer,
  TimerSubscription,
} from "@wasabivane/common";
import { CoalescedCalls } from "./coalescedCalls.ts";
import type {
  ConfirmationQuery,
  ConfirmationReply,
} from "./confirmationMessage.ts";
import type { SnapshotVersions } from "./operatorEndpoints.ts";
import type { PeerMessage } from "./peerMessage.ts";

/** Time after which nothing counts as confirmed. */
const TIMEOUT_MS: Milliseconds = 1_000;
/** Time between the starts of two confirmations, to bound the store's load. */
const MINIMUM_INTERVAL_MS: Milliseconds = 50;
/** Readers that are asked, one after the other. */
const ASKED_READERS = 3;
/** Time after which the next reader is asked, too. */
const READER_TIMEOUT_MS: Milliseconds = 60;
/** Time after which readers are no longer waited for. */
const READERS_TIMEOUT_MS: Milliseconds = 300;
/** Interval at which a host looks whether it has what a reader has. */
const POLL_MS: Milliseconds = 10;
const NOTHING_SHOWN: SnapshotVersions = { listRevision: 0, policyVersion: 0 };

/**
 * Applies the changes in the store; returns whether upstreams and policy were as
 * in the store at some time after the call.
 */
export type StoreCheck = () => Promise<boolean>;

/** Options of a {@link ListConfirmation}. */
export interface ListConfirmationOptions {
  readonly host: HostId;
  readonly incarnation: Incarnation;
  readonly timer: Timer;
  /** Returns the list and policy that this host has. */
  readonly versions: () => SnapshotVersions;
  /** Whether this host reads the store. */
  readonly isReading: () => boolean;
  /** Returns live peers that can read the store, the first to ask first. */
  readonly readers: () => readonly HostId[];
  readonly send: (to: HostId, message: PeerMessage) => void;
  /** Called with the list and policy of a reader if one of them is newer. */
  readonly onNewer: (reader: HostId, versions: SnapshotVersions) => void;
}

/** A question to readers that none has answered. */
interface PendingQuery {
  readonly query: ConfirmationQuery;
  readonly unasked: HostId[];
  /** Readers that were asked and have not replied. */
  readonly waitingFor: Set<HostId>;
  readonly resolve: (isConfirmed: boolean) => void;
  nextReader?: TimerSubscription;
  timeout?: TimerSubscription;
}

/**
 * Shows that upstreams and policy are as in the store at the time of a call. The
 * age of their last confirmation cannot show that: a change takes a while to
 * arrive, and a host that is cut off or stood still does not know it.
 *
 * A host that reads the store asks it, others ask those that read it. One
 * confirmation serves all calls that came before it began.
 */
export class ListConfirmation {
  readonly #options: ListConfirmationOptions;
  readonly #confirmations: CoalescedCalls<boolean>;
  readonly #storeChecks: CoalescedCalls<boolean>;
  #checkStore: StoreCheck = () => Promise.resolve(false);
  #queryCount = 0;
  readonly #pending = new Map<string, PendingQuery>();

  constructor(options: ListConfirmationOptions) {
    this.#options = options;
    const bounds = { timer: options.timer, interval: MINIMUM_INTERVAL_MS };
    this.#confirmations = new CoalescedCalls({
      ...bounds,
      run: () => this.#askAll(),
    });
    this.#storeChecks = new CoalescedCalls({
      ...bounds,
      run: () => this.#checkStore(),
    });
  }

  /** Sets how this host asks the store. */
  setStoreCheck(checkStore: StoreCheck): void {
    this.#checkStore = checkStore;
  }

  /** Whether this host, or a peer that it hears, can read the store. */
  get isPossible(): boolean {
    const { isReading, readers } = this.#options;
    return isReading() || readers().length > 0;
  }

  /**
   * Returns whether this host's upstreams and policy were as in the store at some
   * time after the call; false if that was not shown in time.
   */
  confirm(): Promise<boolean> {
    return new Promise((resolve) => {
      const timeout = this.#options.timer.after(
        TIMEOUT_MS,
        () => resolve(false),
      );
      void this.#confirmations.call().then((isConfirmed) => {
        timeout.cancel();
        resolve(isConfirmed);
      }, () => {
        timeout.cancel();
        resolve(false);
      });
    });
  }

  /** Replies to a peer once the store has answered. */
  async reply({ host: asking, query }: ConfirmationQuery): Promise<void> {
    const { host, send, versions } = this.#options;
    const isConfirmed = await this.#storeChecks.call();
    const shown = isConfirmed ? versions() : NOTHING_SHOWN;
    send(asking, { kind: "confirmed", reply: { host, query, ...shown } });
  }

  /** Applies a reader's reply. */
  receive({ host, query, ...shown }: ConfirmationReply): void {
    const pending = this.#pending.get(query);
    if (pending === undefined) return;
    pending.waitingFor.delete(host);
    if (shown.listRevision === 0) return this.#askNext(pending);
    if (!this.#has(shown)) this.#options.onNewer(host, shown);
    this.#awaitVersions(pending, shown);
  }

  /** Gives up all questions to readers. */
  close(): void {
    for (const pending of [...this.#pending.values()]) {
      this.#settle(pending, false);
    }
  }

  /** Hosts that rely on readers ask the store themselves only at last. */
  async #askAll(): Promise<boolean> {
    const isReading = this.#options.isReading();
    if (isReading && await this.#storeChecks.call()) return true;
    if (await this.#askReaders()) return true;
    return !isReading && await this.#storeChecks.call();
  }

  #askReaders(): Promise<boolean> {
    const { host, incarnation, timer, readers } = this.#options;
    const query = { host, query: `${incarnation}-${++this.#queryCount}` };
    return new Promise((resolve) => {
      const pending: PendingQuery = {
        query,
        unasked: readers().slice(0, ASKED_READERS),
        waitingFor: new Set(),
        resolve,
      };
      this.#pending.set(query.query, pending);
      pending.timeout = timer.after(
        READERS_TIMEOUT_MS,
        () => this.#settle(pending, false),
      );
      this.#askNext(pending);
    });
  }

  #askNext(pending: PendingQuery): void {
    pending.nextReader?.cancel();
    const reader = pending.unasked.shift();
    if (reader === undefined) {
      if (pending.waitingFor.size === 0) this.#settle(pending, false);
      return;
    }
    const { timer, send } = this.#options;
    pending.waitingFor.add(reader);
    send(reader, { kind: "confirm", query: pending.query });
    pending.nextReader = timer.after(
      READER_TIMEOUT_MS,
      () => this.#askNext(pending),
    );
  }

  /** The changes that a reader has may still be on their way. */
  #awaitVersions(pending: PendingQuery, shown: SnapshotVersions): void {
    if (!this.#pending.has(pending.query.query)) return;
    if (this.#has(shown)) return this.#settle(pending, true);
    this.#options.timer.after(
      POLL_MS,
      () => this.#awaitVersions(pending, shown),
    );
  }

  #has({ listRevision, policyVersion }: SnapshotVersions): boolean {
    const own = this.#options.versions();
    return own.listRevision >= listRevision &&
      own.policyVersion >= policyVersion;
  }

  #settle(pending: PendingQuery, isConfirmed: boolean): void {
    pending.nextReader?.cancel();
    pending.timeout?.cancel();
    this.#pending.delete(pending.query.query);
    pending.resolve(isConfirmed);
  }
}
