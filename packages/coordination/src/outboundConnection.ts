import { Buffer } from "node:buffer";
import type { TLSSocket } from "node:tls";
import type {
  HostId,
  Metrics,
  Milliseconds,
  Timer,
  TimerSubscription,
} from "@wasabivane/common";
import { type RawData, WebSocket } from "ws";
import {
  CHALLENGE,
  type Challenge,
  CHALLENGE_BYTES,
  handshakeProof,
  HELLO,
  type Hello,
  isProofValid,
  isVersionSupported,
  type ProofInput,
  PROTOCOL_VERSION,
  WELCOME,
} from "./peerHandshake.ts";
import { MAX_FRAME_BYTES, type PeerCodec } from "./peerMessages.ts";
import { HANDSHAKE_TIMEOUT_MS, type LinkIdentity } from "./linkIdentity.ts";

/** Maximum bytes queued for one peer; further messages are dropped. */
export const MAX_BUFFERED_BYTES = 4 * 1024 * 1024;

/** Messages queued longer than this for an unreachable peer are dropped. */
const MAX_QUEUE_TIME_MS = 5_000;
const FIRST_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 1_000;
const PING_PERIOD_MS = 1_000;
/** A connection without a pong for this time is closed and redialed. */
const PONG_TIMEOUT_MS = 3_000;
/** A connection without traffic for this time is closed. */
const IDLE_TIMEOUT_MS = 60_000;

/** Dependencies and target of an {@link OutboundConnection}. */
export interface OutboundConnectionOptions {
  readonly peer: HostId;
  /** Address of the peer port, `ip:port`. */
  readonly address: string;
  readonly identity: LinkIdentity;
  readonly timer: Timer;
  readonly metrics: Metrics;
  readonly codec: PeerCodec;
}

/**
 * Sends messages to one peer. The connection is dialed when the first message
 * is sent and redialed with jittered backoff while messages are queued.
 */
export class OutboundConnection {
  readonly address: string;
  readonly #options: OutboundConnectionOptions;
  readonly #queue: Buffer[] = [];
  #queuedBytes = 0;
  #queuedSince: Milliseconds = 0;
  #socket: WebSocket | undefined;
  #isReady = false;
  #isClosed = false;
  #challenge = "";
  #listenerChallenge = "";
  #channelBinding = "";
  #backoffMs = FIRST_BACKOFF_MS;
  #redialTimer: TimerSubscription | undefined;
  #handshakeTimeout: TimerSubscription | undefined;
  #pingInterval: TimerSubscription | undefined;
  #lastPongAt: Milliseconds = 0;
  #lastSentAt: Milliseconds = 0;

  constructor(options: OutboundConnectionOptions) {
    this.#options = options;
    this.address = options.address;
  }

  send(frame: Buffer): void {
    if (this.#isClosed) return;
    this.#lastSentAt = this.#options.timer.now();
    if (this.#bufferedBytes() + frame.length > MAX_BUFFERED_BYTES) {
      this.#options.metrics.count("peer_messages_dropped", 1, {
        peer: this.#options.peer,
      });
      return;
    }
    if (this.#isReady) {
      this.#socket!.send(frame);
      return;
    }
    if (this.#queue.length === 0) this.#queuedSince = this.#lastSentAt;
    this.#queue.push(frame);
    this.#queuedBytes += frame.length;
    if (this.#socket === undefined && this.#redialTimer === undefined) {
      this.#dial();
    }
  }

  close(): void {
    this.#isClosed = true;
    this.#redialTimer?.cancel();
    this.#dropSocket();
  }

  #bufferedBytes(): number {
    return this.#queuedBytes + (this.#socket?.bufferedAmount ?? 0);
  }

  #dial(): void {
    const { identity, timer } = this.#options;
    const scheme = identity.secureContext() === undefined ? "ws" : "wss";
    const url = `${scheme}://${this.address}/`;
    if (!isPlainUrl(url)) return this.#dropQueue();
    const socket = new WebSocket(url, {
      ...identity.secureContext(),
      checkServerIdentity: acceptAnyServerName,
      perMessageDeflate: false,
      maxPayload: MAX_FRAME_BYTES,
    });
    this.#socket = socket;
    this.#handshakeTimeout = timer.after(
      HANDSHAKE_TIMEOUT_MS,
      () => socket.terminate(),
    );
    socket.on("upgrade", (response) => {
      this.#channelBinding = channelBindingOf(response.socket as TLSSocket);
    });
    socket.on("message", (data) => this.#onMessage(socket, data));
    socket.on("pong", () => (this.#lastPongAt = timer.now()));
    socket.on("error", () => {});
    socket.on("close", () => this.#onClose(socket));
  }

  #onMessage(socket: WebSocket, data: RawData): void {
    const message = this.#options.codec.decode(data as Buffer);
    if (message.isErr()) return this.#reject(socket, message.error.kind);
    const { kind, body } = message.value;
    if (kind === CHALLENGE.kind) this.#sendHello(socket, body as Challenge);
    else if (kind === WELCOME.kind) this.#verifyWelcome(socket, body as Hello);
    else this.#reject(socket, "unexpected");
  }

  #sendHello(socket: WebSocket, { challenge }: Challenge): void {
    const { identity, codec } = this.#options;
    this.#listenerChallenge = challenge;
    this.#challenge = identity.random.hex(CHALLENGE_BYTES);
    const input = this.#proofInput({ side: "dialer" });
    const body: Hello = {
      protocolVersion: PROTOCOL_VERSION,
      host: identity.host,
      incarnation: identity.incarnation,
      challenge: this.#challenge,
      proof: handshakeProof(identity.sharedSecrets()[0]!, input),
    };
    const frame = codec.encode({ kind: HELLO.kind, body });
    if (frame.isOk()) socket.send(frame.value);
  }

  #verifyWelcome(socket: WebSocket, hello: Hello): void {
    const { identity, peer } = this.#options;
    const input = {
      ...this.#proofInput({ side: "listener" }),
      prover: hello.host,
      incarnation: hello.incarnation,
      verifier: identity.host,
    };
    const isPeer = hello.host === peer &&
      isVersionSupported(hello.protocolVersion) &&
      isProofValid(identity.sharedSecrets(), hello.proof, input);
    if (!isPeer) return this.#reject(socket, "handshake");
    this.#onAuthenticated(socket);
  }

  #proofInput({ side }: { side: ProofInput["side"] }): ProofInput {
    const { identity, peer } = this.#options;
    return {
      side,
      prover: identity.host,
      incarnation: identity.incarnation,
      verifier: peer,
      listenerChallenge: this.#listenerChallenge,
      dialerChallenge: this.#challenge,
      channelBinding: this.#channelBinding,
    };
  }

  #onAuthenticated(socket: WebSocket): void {
    const { timer } = this.#options;
    this.#handshakeTimeout?.cancel();
    this.#isReady = true;
    this.#backoffMs = FIRST_BACKOFF_MS;
    this.#lastPongAt = timer.now();
    this.#pingInterval = timer.every(PING_PERIOD_MS, () => this.#ping(socket));
    for (const frame of this.#drainQueue()) socket.send(frame);
  }

  #drainQueue(): Buffer[] {
    this.#queuedBytes = 0;
    return this.#queue.splice(0);
  }

  #dropExpiredQueue(): void {
    const queuedFor = this.#options.timer.now() - this.#queuedSince;
    if (this.#queue.length === 0 || queuedFor < MAX_QUEUE_TIME_MS) return;
    this.#dropQueue();
  }

  #dropQueue(): void {
    const dropped = this.#drainQueue().length;
    this.#options.metrics.count("peer_messages_dropped", dropped, {
      peer: this.#options.peer,
    });
  }

  #ping(socket: WebSocket): void {
    const now = this.#options.timer.now();
    if (now - this.#lastSentAt > IDLE_TIMEOUT_MS) return socket.close();
    // TCP retries for minutes when the peer's host is lost.
    if (now - this.#lastPongAt > PONG_TIMEOUT_MS) return socket.terminate();
    socket.ping();
  }

  #reject(socket: WebSocket, reason: string): void {
    this.#options.metrics.count("peer_rejected", 1, { reason });
    socket.terminate();
  }

  #onClose(socket: WebSocket): void {
    if (socket !== this.#socket) return;
    this.#dropSocket();
    if (this.#isClosed) return;
    const { timer, identity } = this.#options;
    const delay = this.#backoffMs * (0.5 + identity.random.float());
    this.#backoffMs = Math.min(this.#backoffMs * 2, MAX_BACKOFF_MS);
    this.#redialTimer = timer.after(delay, () => {
      this.#redialTimer = undefined;
      this.#dropExpiredQueue();
      if (this.#queue.length > 0) this.#dial();
    });
  }

  #dropSocket(): void {
    const socket = this.#socket;
    this.#socket = undefined;
    this.#isReady = false;
    this.#handshakeTimeout?.cancel();
    this.#pingInterval?.cancel();
    socket?.terminate();
  }
}

/** Whether the WebSocket library takes a URL; it throws for others. */
function isPlainUrl(url: string): boolean {
  return URL.canParse(url) && !url.includes("#");
}

/**
 * Accepts any server name: the handshake authenticates the host, and the
 * certificate only has to be signed by the peers' CA. Node.js expects
 * `undefined` for success, contrary to the types of `ws`.
 */
function acceptAnyServerName(): boolean {
  return undefined as unknown as boolean;
}

/**
 * Exports keying material that only the two ends of a TLS session share; empty
 * without TLS.
 */
export function channelBindingOf(socket: TLSSocket): string {
  if (!socket.encrypted) return "";
  return socket.exportKeyingMaterial(
    32,
    "EXPORTER-wasabivane-peer",
    Buffer.alloc(0),
  ).toString("hex");
}
