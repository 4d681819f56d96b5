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

/** Bytes that wait for one peer before messages to it are dropped. */
export const MAX_BUFFERED_BYTES = 4 * 1024 * 1024;

/** Messages to a peer that cannot be reached for so long are old news. */
const MAX_WAITING_MS = 5_000;
const FIRST_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 1_000;
const PING_PERIOD_MS = 1_000;
/** A peer that answers no ping for so long is dialed anew. */
const SILENCE_MS = 3_000;
/** A connection that nobody used for so long is closed. */
const IDLE_MS = 60_000;

/** What an {@link OutboundConnection} needs. */
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
 * The sending connection to one peer. It is dialed at the first message and
 * again, with jittered backoff, while messages come.
 */
export class OutboundConnection {
  readonly address: string;
  readonly #options: OutboundConnectionOptions;
  readonly #waiting: Buffer[] = [];
  #waitingBytes = 0;
  #waitingSince: Milliseconds = 0;
  #socket: WebSocket | undefined;
  #isReady = false;
  #isClosed = false;
  #challenge = "";
  #listenerChallenge = "";
  #channelBinding = "";
  #backoffMs = FIRST_BACKOFF_MS;
  #redial: TimerSubscription | undefined;
  #handshake: TimerSubscription | undefined;
  #pinging: TimerSubscription | undefined;
  #heardAt: Milliseconds = 0;
  #usedAt: Milliseconds = 0;

  constructor(options: OutboundConnectionOptions) {
    this.#options = options;
    this.address = options.address;
  }

  send(frame: Buffer): void {
    if (this.#isClosed) return;
    this.#usedAt = this.#options.timer.now();
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
    if (this.#waiting.length === 0) this.#waitingSince = this.#usedAt;
    this.#waiting.push(frame);
    this.#waitingBytes += frame.length;
    if (this.#socket === undefined && this.#redial === undefined) this.#dial();
  }

  close(): void {
    this.#isClosed = true;
    this.#redial?.cancel();
    this.#dropSocket();
  }

  #bufferedBytes(): number {
    return this.#waitingBytes + (this.#socket?.bufferedAmount ?? 0);
  }

  #dial(): void {
    const { identity, timer } = this.#options;
    const scheme = identity.secureContext() === undefined ? "ws" : "wss";
    const socket = new WebSocket(`${scheme}://${this.address}/`, {
      ...identity.secureContext(),
      checkServerIdentity: acceptAnyName,
      perMessageDeflate: false,
      maxPayload: MAX_FRAME_BYTES,
    });
    this.#socket = socket;
    this.#handshake = timer.after(
      HANDSHAKE_TIMEOUT_MS,
      () => socket.terminate(),
    );
    socket.on("upgrade", (response) => {
      this.#channelBinding = channelBindingOf(response.socket as TLSSocket);
    });
    socket.on("message", (data) => this.#onMessage(socket, data));
    socket.on("pong", () => (this.#heardAt = timer.now()));
    socket.on("error", () => {});
    socket.on("close", () => this.#onClose(socket));
  }

  #onMessage(socket: WebSocket, data: RawData): void {
    const message = this.#options.codec.decode(data as Buffer);
    if (message.isErr()) return this.#reject(socket, message.error.kind);
    const { kind, body } = message.value;
    if (kind === CHALLENGE.kind) this.#answer(socket, body as Challenge);
    else if (kind === WELCOME.kind) this.#verify(socket, body as Hello);
    else this.#reject(socket, "unexpected");
  }

  #answer(socket: WebSocket, { challenge }: Challenge): void {
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

  #verify(socket: WebSocket, hello: Hello): void {
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
    this.#becomeReady(socket);
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

  #becomeReady(socket: WebSocket): void {
    const { timer } = this.#options;
    this.#handshake?.cancel();
    this.#isReady = true;
    this.#backoffMs = FIRST_BACKOFF_MS;
    this.#heardAt = timer.now();
    this.#pinging = timer.every(PING_PERIOD_MS, () => this.#ping(socket));
    for (const frame of this.#takeWaiting()) socket.send(frame);
  }

  #takeWaiting(): Buffer[] {
    this.#waitingBytes = 0;
    return this.#waiting.splice(0);
  }

  #dropOldWaiting(): void {
    const waited = this.#options.timer.now() - this.#waitingSince;
    if (this.#waiting.length === 0 || waited < MAX_WAITING_MS) return;
    const dropped = this.#takeWaiting().length;
    this.#options.metrics.count("peer_messages_dropped", dropped, {
      peer: this.#options.peer,
    });
  }

  #ping(socket: WebSocket): void {
    const now = this.#options.timer.now();
    if (now - this.#usedAt > IDLE_MS) return socket.close();
    // A peer that vanished without a word keeps TCP retrying for minutes; only silence tells.
    if (now - this.#heardAt > SILENCE_MS) return socket.terminate();
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
    this.#redial = timer.after(delay, () => {
      this.#redial = undefined;
      this.#dropOldWaiting();
      if (this.#waiting.length > 0) this.#dial();
    });
  }

  #dropSocket(): void {
    const socket = this.#socket;
    this.#socket = undefined;
    this.#isReady = false;
    this.#handshake?.cancel();
    this.#pinging?.cancel();
    socket?.terminate();
  }
}

/**
 * The handshake names the peer, and addresses come and go; a certificate only
 * has to be signed by the peers' authority. `undefined` is what Node.js reads as
 * "no error", other than the types of `ws` say.
 */
function acceptAnyName(): boolean {
  return undefined as unknown as boolean;
}

/** Material that only the two ends of one TLS session share; empty without TLS. */
export function channelBindingOf(socket: TLSSocket): string {
  if (!socket.encrypted) return "";
  return socket.exportKeyingMaterial(
    32,
    "EXPORTER-wasabivane-peer",
    Buffer.alloc(0),
  ).toString("hex");
}
