import { Buffer } from "node:buffer";
import type { HostId, PeerLink, PeerMessage } from "@wasabivane/common";
import { err, ok, type Result } from "neverthrow";
import { createPacker, FrameDecoder } from "./frameDecoder.ts";
import type { Shape } from "./messageShapes.ts";

/**
 * Largest frame between entry hosts. A whole bundle is at most a megabyte; more
 * than twice that is rubbish or an attack, and must not fill memory.
 */
export const MAX_FRAME_BYTES = 2 * 1024 * 1024;

/** One kind of peer message with the shape of its body. */
export interface MessageKind<Body> {
  readonly kind: string;
  readonly isBody: Shape<Body>;
}

/** Why a frame was not taken. */
export type FrameError =
  | { readonly kind: "too-large"; readonly bytes: number }
  | { readonly kind: "malformed"; readonly detail: string }
  /** A kind of a newer release; ignored, since hosts are replaced one by one. */
  | { readonly kind: "unknown-kind"; readonly messageKind: string };

/** Every kind of message that this release understands. */
export class MessageRegistry {
  readonly #kinds = new Map<string, MessageKind<unknown>>();

  /** Adds a kind; two kinds of one name are a broken invariant. */
  register<Body>(kind: MessageKind<Body>): void {
    if (this.#kinds.has(kind.kind)) {
      throw new Error(`Message kind is defined twice: ${kind.kind}`);
    }
    this.#kinds.set(kind.kind, kind);
  }

  find(kind: string): MessageKind<unknown> | undefined {
    return this.#kinds.get(kind);
  }
}

/** The kinds of this process; modules add theirs with {@link defineMessage}. */
export const PEER_MESSAGE_REGISTRY: MessageRegistry = new MessageRegistry();

/** Declares a kind of message and adds it to {@link PEER_MESSAGE_REGISTRY}. */
export function defineMessage<Body>(
  kind: string,
  isBody: Shape<Body>,
): MessageKind<Body> {
  const defined = { kind, isBody };
  PEER_MESSAGE_REGISTRY.register(defined);
  return defined;
}

/** Sends a message of a declared kind. */
export function sendMessage<Body>(
  link: PeerLink,
  kind: MessageKind<Body>,
  options: { to: HostId; body: Body },
): void {
  link.send(options.to, { kind: kind.kind, body: options.body });
}

/** Subscribes to a declared kind; links check the body before they deliver it. */
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
 * Turns messages into bounded msgpack frames and back. A message that goes to
 * many peers is packed once: frames are kept as long as their message lives.
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
    return this.#values.decode(frame).andThen((value) => this.#check(value));
  }

  #pack(message: PeerMessage): Buffer {
    return Buffer.from(this.#packer.pack([message.kind, message.body]));
  }

  #check(value: unknown): Result<PeerMessage, FrameError> {
    if (!Array.isArray(value) || typeof value[0] !== "string") {
      return err({ kind: "malformed", detail: "The frame is not a message" });
    }
    const [kind, body] = value as [string, unknown];
    const known = this.#registry.find(kind);
    if (known === undefined) {
      return err({ kind: "unknown-kind", messageKind: kind });
    }
    if (!known.isBody(body)) {
      return err({
        kind: "malformed",
        detail: `The body does not fit ${kind}`,
      });
    }
    return ok({ kind, body });
  }
}
