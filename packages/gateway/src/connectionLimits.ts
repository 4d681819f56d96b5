import type { Socket } from "node:net";
import type {
  MemoryBudget,
  MemoryLease,
  Milliseconds,
  Timer,
} from "@wasabivane/common";
import type { GatewayMetrics } from "./gatewayMetrics.ts";

/** Memory of a connection without what it has sent of a head. */
const CONNECTION_BYTES = 16 * 1_024;
/** What is kept of a head at most. */
const MAXIMUM_HEAD_BYTES = 64 * 1_024;
/** The others are for upstreams, peers and the store. */
const CALLERS_SHARE = 0.5;
/** Interval at which incomplete heads are counted. */
const CHECK_MS: Milliseconds = 200;

/** Options of {@link ConnectionLimits}. */
export interface ConnectionLimitsOptions {
  readonly timer: Timer;
  readonly metrics: GatewayMetrics;
  /** Memory of all connections. */
  readonly budget: MemoryBudget;
  /** Connections that the process may have open. */
  readonly connectionLimit: number;
  /** Whether a connection has a request in progress. */
  readonly isBusy: (socket: Socket) => boolean;
}

interface Connection {
  readonly lease: MemoryLease;
  /** Bytes that do not belong to the head of its next request. */
  readBefore: number;
}

/**
 * Bounds the callers' open connections and what they have sent of incomplete
 * heads. Those without a request in progress are closed first: with an incomplete
 * head before idle ones, and then those whose last request is the longest ago.
 */
export class ConnectionLimits {
  readonly #options: ConnectionLimitsOptions;
  readonly #maximumCount: number;
  /** In order of their last requests. */
  readonly #connections = new Map<Socket, Connection>();
  #isScheduled = false;

  constructor(options: ConnectionLimitsOptions) {
    this.#options = options;
    this.#maximumCount = Math.max(1, CALLERS_SHARE * options.connectionLimit);
  }

  /** Takes a new connection, or closes it if all others have requests. */
  add(socket: Socket): void {
    const lease = this.#reserve();
    if (lease === undefined) {
      this.#options.metrics.count("caller_connections_refused");
      return void socket.destroy();
    }
    this.#connections.set(socket, { lease, readBefore: 0 });
    socket.once("close", () => this.#remove(socket));
    this.#schedule();
  }

  /** A request of the connection has arrived or ended. */
  recordRequest(socket: Socket): void {
    const connection = this.#connections.get(socket);
    if (connection === undefined) return;
    connection.readBefore = socket.bytesRead;
    connection.lease.resize(CONNECTION_BYTES);
    this.#connections.delete(socket);
    this.#connections.set(socket, connection);
  }

  #reserve(): MemoryLease | undefined {
    while (true) {
      const lease = this.#connections.size < this.#maximumCount
        ? this.#options.budget.reserve(CONNECTION_BYTES)
        : undefined;
      if (lease !== undefined || !this.#closeOldest()) return lease;
    }
  }

  /** Returns false if all connections have requests in progress. */
  #closeOldest(): boolean {
    let oldest: Socket | undefined;
    for (const [socket, { lease }] of this.#connections) {
      if (this.#options.isBusy(socket)) continue;
      const hasHead = lease.bytes > CONNECTION_BYTES;
      if (hasHead || oldest === undefined) oldest = socket;
      if (hasHead) break;
    }
    if (oldest === undefined) return false;
    this.#options.metrics.count("caller_connections_closed");
    this.#remove(oldest);
    oldest.destroy();
    return true;
  }

  #remove(socket: Socket): void {
    this.#connections.get(socket)?.lease.release();
    this.#connections.delete(socket);
  }

  #schedule(): void {
    if (this.#isScheduled) return;
    this.#isScheduled = true;
    this.#options.timer.after(CHECK_MS, () => {
      this.#isScheduled = false;
      this.#countHeads();
      if (this.#connections.size > 0) this.#schedule();
    });
  }

  #countHeads(): void {
    for (const [socket, { lease, readBefore }] of this.#connections) {
      if (this.#options.isBusy(socket)) continue;
      const headBytes = socket.bytesRead - readBefore;
      const bytes = CONNECTION_BYTES + Math.min(headBytes, MAXIMUM_HEAD_BYTES);
      while (!lease.resize(bytes)) {
        // It may be the oldest itself.
        if (!this.#closeOldest() || !this.#connections.has(socket)) break;
      }
    }
  }
}
