import {
  MemoryBudget,
  type MemoryLease,
  type Milliseconds,
  type Timer,
} from "@wasabivane/common";
import type { GatewayMetrics } from "./gatewayMetrics.ts";

/** Longer bodies are large. */
export const SMALL_BODY_BYTES = 64 * 1_024;
/** Share of the budget for large bodies; the rest is kept for small ones. */
const LARGE_SHARE = 0.75;
/** While the budget is short, a body has to receive so many bytes in this time. */
const PROGRESS_MS: Milliseconds = 1_000;
const PROGRESS_BYTES = 32 * 1_024;

/** Options of {@link BodyLeases}. */
export interface BodyLeasesOptions {
  /** Bound of all bodies. */
  readonly budget: MemoryBudget;
  readonly timer: Timer;
  readonly metrics: GatewayMetrics;
}

/**
 * Leases memory to the bodies of requests. If it is short, the body whose sender
 * has stalled for the longest time gives way.
 */
export class BodyLeases {
  readonly #options: BodyLeasesOptions;
  readonly #large: MemoryBudget;
  /** Leases of bodies that are still received. */
  readonly #receiving = new Set<BodyLease>();

  constructor(options: BodyLeasesOptions) {
    this.#options = options;
    this.#large = new MemoryBudget({
      limit: LARGE_SHARE * options.budget.limit,
    });
  }

  /**
   * Leases memory for a body that is about to be received; `undefined` if it does
   * not fit. `onGiveWay` has to end the reception and to release the lease.
   */
  open(bytes: number, onGiveWay: () => void): BodyLease | undefined {
    const lease = new BodyLease({
      all: this.#options.budget.reserve(0)!,
      large: this.#large.reserve(0)!,
      timer: this.#options.timer,
      onGiveWay,
      makeRoom: (arriving) => this.#makeRoom(arriving),
      onReceived: (received) => this.#receiving.delete(received),
    });
    if (!lease.resize(bytes)) return undefined;
    this.#receiving.add(lease);
    return lease;
  }

  /** Ends the reception of one body; returns false if all make progress. */
  #makeRoom(arriving: BodyLease): boolean {
    let stalled: BodyLease | undefined;
    const latest = this.#options.timer.now() - PROGRESS_MS;
    for (const lease of this.#receiving) {
      if (lease === arriving || lease.progressedAt > latest) continue;
      const isLonger = stalled === undefined ||
        lease.progressedAt < stalled.progressedAt;
      if (isLonger) stalled = lease;
    }
    if (stalled === undefined) return false;
    this.#options.metrics.count("bodies_given_way");
    stalled.giveWay();
    return true;
  }
}

interface BodyLeaseOptions {
  readonly all: MemoryLease;
  readonly large: MemoryLease;
  readonly timer: Timer;
  readonly onGiveWay: () => void;
  readonly makeRoom: (arriving: BodyLease) => boolean;
  readonly onReceived: (lease: BodyLease) => void;
}

/** Memory of one body, until its request has ended. */
export class BodyLease {
  readonly #options: BodyLeaseOptions;
  #progressedAt: Milliseconds;
  /** Bytes since then. */
  #received = 0;

  constructor(options: BodyLeaseOptions) {
    this.#options = options;
    this.#progressedAt = options.timer.now();
  }

  /** Leased bytes. */
  get bytes(): number {
    return this.#options.all.bytes;
  }

  /** Time until which the sender has sent fast enough. */
  get progressedAt(): Milliseconds {
    return this.#progressedAt;
  }

  /** Changes the size; returns false, and changes nothing, if that does not fit. */
  resize(bytes: number): boolean {
    while (!this.#tryResize(bytes)) {
      if (!this.#options.makeRoom(this)) return false;
    }
    return true;
  }

  #tryResize(bytes: number): boolean {
    const { all, large } = this.#options;
    const former = large.bytes;
    if (!large.resize(bytes > SMALL_BODY_BYTES ? bytes : 0)) return false;
    if (all.resize(bytes)) return true;
    large.resize(former);
    return false;
  }

  recordBytes(bytes: number): void {
    this.#received += bytes;
    if (this.#received < PROGRESS_BYTES) return;
    this.#received = 0;
    this.#progressedAt = this.#options.timer.now();
  }

  giveWay(): void {
    this.endReception();
    this.#options.onGiveWay();
  }

  /** The body no longer depends on its sender. */
  endReception(): void {
    this.#options.onReceived(this);
  }

  /** Gives the memory back; idempotent. */
  release(): void {
    this.endReception();
    this.#options.all.release();
    this.#options.large.release();
  }
}
