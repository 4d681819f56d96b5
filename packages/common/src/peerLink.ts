import type { HostId } from "./ids.ts";

/** A message between entry hosts; `kind` determines the schema of `body`. */
export interface PeerMessage {
  readonly kind: string;
  readonly body: unknown;
}

/** Receives each message of a peer. */
export type PeerListener = (from: HostId, message: PeerMessage) => void;

/**
 * Sends messages to other entry hosts. Messages may be delayed, lost,
 * duplicated or reordered.
 */
export abstract class PeerLink {
  abstract readonly self: HostId;
  /** Sends without waiting; an undeliverable message is dropped. */
  abstract send(to: HostId, message: PeerMessage): void;
  /** Subscribes to one kind of message and returns the unsubscribe function. */
  abstract subscribe(kind: string, listener: PeerListener): () => void;
}
