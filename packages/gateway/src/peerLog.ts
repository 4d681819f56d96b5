import type { Milliseconds } from "@wasabivane/common";
import type { GatewayContext } from "./gatewayContext.ts";
import type { PeerChange } from "./peerDirectory.ts";

/** Minimum interval between log lines. */
const LOG_INTERVAL_MS: Milliseconds = 1_000;
/** Maximum number of found peers, and of lost ones, named in a line. */
const MAXIMUM_NAMED_PEERS = 8;

/**
 * Logs which peers were found and lost, batched into at most one line per
 * second.
 */
export class PeerLog {
  readonly #context: Pick<GatewayContext, "log" | "timer">;
  #pendingChanges: PeerChange[] = [];
  #loggedAt: Milliseconds = -Infinity;

  constructor(context: Pick<GatewayContext, "log" | "timer">) {
    this.#context = context;
  }

  /**
   * Adds changes, if any, and logs the pending ones once the interval has
   * passed; `peers` is the current number of live peers.
   */
  add(changes: readonly PeerChange[], peers: number): void {
    const { log, timer } = this.#context;
    this.#pendingChanges.push(...changes);
    if (this.#pendingChanges.length === 0) return;
    const now = timer.now();
    if (now - this.#loggedAt < LOG_INTERVAL_MS) return;
    this.#loggedAt = now;
    log.write("peers_changed", {
      changes: this.#pendingChanges.length,
      found: this.#namesOf("found"),
      lost: this.#namesOf("lost"),
      peers,
    });
    this.#pendingChanges = [];
  }

  #namesOf(kind: PeerChange["kind"]): string {
    return this.#pendingChanges.filter((change) => change.kind === kind)
      .map(({ host }) => host)
      .slice(0, MAXIMUM_NAMED_PEERS)
      .join(",");
  }
}
