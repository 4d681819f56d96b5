import type { HostId, PeerListener, PeerMessage } from "@wasabivane/common";

/** Holds the listeners of a link by message kind. */
export class LinkSubscriptions {
  readonly #listeners = new Map<string, Set<PeerListener>>();

  add(kind: string, listener: PeerListener): () => void {
    const listeners = this.#listeners.get(kind) ?? new Set();
    this.#listeners.set(kind, listeners);
    listeners.add(listener);
    return () => listeners.delete(listener);
  }

  deliver(from: HostId, message: PeerMessage): void {
    for (const listener of this.#listeners.get(message.kind) ?? []) {
      listener(from, message);
    }
  }
}
