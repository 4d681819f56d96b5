import type { HostId } from "./ids.ts";

/** A message between entry hosts; `kind` names its schema, `body` is plain data. */
export interface PeerMessage {
  readonly kind: string;
  readonly body: unknown;
}

/** Called for each message that a peer sent. */
export type PeerListener = (from: HostId, message: PeerMessage) => void;

/**
 * Sends messages to other entry hosts. Delivery may be late, lost, doubled or
 * out of order; nothing above it relies on more.
 */
export abstract class PeerLink {
  abstract readonly self: HostId;
  /** Sends without waiting; a message that cannot be delivered is dropped. */
  abstract send(to: HostId, message: PeerMessage): void;
  /** Subscribes to one kind of message; the returned function ends it. */
  abstract subscribe(kind: string, listener: PeerListener): () => void;
}
