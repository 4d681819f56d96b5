import type { Milliseconds } from "@wasabivane/common";
import type { GatewayContext } from "./gatewayContext.ts";
import type { PeerChange } from "./peerBook.ts";

/** Peers that come and go are logged together so often. */
const PERIOD_MS: Milliseconds = 1_000;
/** Peers that a line names. */
const NAMED_PEERS = 8;

/** Logs which peers come and go: one line a second at most, however many do together. */
export class PeerLog {
  readonly #parts: Pick<GatewayContext, "log" | "timer">;
  #changes: PeerChange[] = [];
  #writtenAt: Milliseconds = -Infinity;

  constructor(parts: Pick<GatewayContext, "log" | "timer">) {
    this.#parts = parts;
  }

  /** Takes in changes; `peers` live now. */
  note(changes: readonly PeerChange[], peers: number): void {
    const { log, timer } = this.#parts;
    this.#changes.push(...changes);
    if (this.#changes.length === 0) return;
    const now = timer.now();
    if (now - this.#writtenAt < PERIOD_MS) return;
    this.#writtenAt = now;
    log.write("peers_changed", {
      changes: this.#changes.length,
      found: this.#named("found"),
      lost: this.#named("lost"),
      peers,
    });
    this.#changes = [];
  }

  #named(kind: PeerChange["kind"]): string {
    return this.#changes.filter((change) => change.kind === kind)
      .map(({ host }) => host)
      .slice(0, NAMED_PEERS)
      .join(",");
  }
}
