import { Buffer } from "node:buffer";
import type { HostId, PeerLink, PeerMessage } from "@wasabivane/common";
import { err, ok, type Result } from "neverthrow";
import { createPacker, FrameDecoder } from "./frameDecoder.ts";
import type { Shape } from "./messageShapes.ts";

/** Largest frame between entry hosts; a bundle has at most one megabyte. */
export const MAX_FRAME_BYTES = 2 * 1024 * 1024;

/** Defines a kind of peer message and the shape of its body. */
export interface MessageKind<Body> {
  readonly kind: string;
  readonly isBody: Shape<Body>;
}

/** Why a frame was rejected. */
export type FrameError =
  | { readonly kind: "too-large"; readonly bytes: number }
  | { readonly kind: "malformed"; readonly detail: string }
  /** Sent by a newer release, as during a rolling upgrade. */
  | { readonly kind: "unknown-kind"; readonly messageKind: string };

/** Holds the message kinds that this release understands. */
export class MessageRegistry {
  readonly #kinds = new Map<string, MessageKind<unknown>>();

  /** Adds a kind. Throws if the name is already registered. */
  register<Body>(kind: MessageKind<Body>): void {
    if (this.#kinds.has(kind.kind)) {
      throw new Error(`Message kind "${kind.kind}" is already registered`);
    }
    this.#kinds.set(kind.kind, kind);
  }

  find(kind: string): MessageKind<unknown> | undefined {
    return this.#kinds.get(kind);
  }
}

/** Holds the message kinds of this process; see {@link defineMessage}. */
export const PEER_MESSAGE_REGISTRY: MessageRegistry = new MessageRegistry();

/** Defines a message kind and registers it in {@link PEER_MESSAGE_REGISTRY}. */
export function defineMessage<Body>(
  kind: string,
  isBody: Shape<Body>,
): MessageKind<Body> {
  const defined = { kind, isBody };
  PEER_MESSAGE_REGISTRY.register(defined);
  return defined;
}

/** Sends a message of a defined kind. */
export function sendMessage<Body>(
  link: PeerLink,
  kind: MessageKind<Body>,
  options: { to: HostId; body: Body },
): void {
  link.send(options.to, { kind: kind.kind, body: options.body });
}

/**
 * Subscribes to a defined kind and returns a function that unsubscribes.
 * Messages with an invalid body are not delivered.
 */
export function subscribeMessage<Body>(
  link: PeerLink,
  kind: MessageKind<Body>,
  listener: (from: HostId, body: Body) => void,
): () => void {
  return link.subscribe(kind.kind, (from, message) => {
    if (kind.isBody(message.body)) listener(from, message.body);
  });
}

/**
 * Encodes messages as size-limited msgpack frames and decodes them. Frames are
 * cached per message object, so a broadcast message is encoded once.
 */
export class PeerCodec {
  readonly #registry: MessageRegistry;
  readonly #packer = createPacker();
  readonly #values = new FrameDecoder();
  readonly #frames = new WeakMap<PeerMessage, Buffer>();

  constructor(
    { registry = PEER_MESSAGE_REGISTRY }: { registry?: MessageRegistry } = {},
  ) {
    this.#registry = registry;
  }

  encode(message: PeerMessage): Result<Buffer, FrameError> {
    const frame = this.#frames.get(message) ?? this.#pack(message);
    if (frame.length > MAX_FRAME_BYTES) {
      return err({ kind: "too-large", bytes: frame.length });
    }
    this.#frames.set(message, frame);
    return ok(frame);
  }

  decode(frame: Uint8Array): Result<PeerMessage, FrameError> {
    if (frame.length > MAX_FRAME_BYTES) {
      return err({ kind: "too-large", bytes: frame.length });
    }
    return this.#values.decode(frame).andThen((value) => this.#validate(value));
  }

  #pack(message: PeerMessage): Buffer {
    return Buffer.from(this.#packer.pack([message.kind, message.body]));
  }

  #validate(value: unknown): Result<PeerMessage, FrameError> {
    if (!Array.isArray(value) || typeof value[0] !== "string") {
      return err({
        kind: "malformed",
        detail: "The frame does not contain a message",
      });
    }
    const [kind, body] = value as [string, unknown];
    const known = this.#registry.find(kind);
    if (known === undefined) {
      return err({ kind: "unknown-kind", messageKind: kind });
    }
    if (!known.isBody(body)) {
      return err({
        kind: "malformed",
        detail: `The body of "${kind}" is invalid`,
      });
    }
    return ok({ kind, body });
  }
}
