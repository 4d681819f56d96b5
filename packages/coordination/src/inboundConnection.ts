import type { Buffer } from "node:buffer";
import type {
  HostId,
  Metrics,
  PeerMessage,
  Timer,
  TimerSubscription,
} from "@wasabivane/common";
import type { WebSocket } from "ws";
import {
  CHALLENGE,
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
import type { FrameError, PeerCodec } from "./peerMessages.ts";
import { HANDSHAKE_TIMEOUT_MS, type LinkIdentity } from "./linkIdentity.ts";

/** Dependencies of an {@link InboundConnection}. */
export interface InboundConnectionOptions {
  readonly socket: WebSocket;
  readonly channelBinding: string;
  readonly identity: LinkIdentity;
  readonly timer: Timer;
  readonly metrics: Metrics;
  readonly codec: PeerCodec;
  readonly deliver: (from: HostId, message: PeerMessage) => void;
}

/**
 * Receives messages from one peer and delivers them once the peer has
 * authenticated.
 */
export class InboundConnection {
  readonly #options: InboundConnectionOptions;
  readonly #challenge: string;
  readonly #handshakeTimeout: TimerSubscription;
  #peer: HostId | undefined;

  constructor(options: InboundConnectionOptions) {
    this.#options = options;
    this.#challenge = options.identity.random.hex(CHALLENGE_BYTES);
    const { socket, timer } = options;
    this.#handshakeTimeout = timer.after(
      HANDSHAKE_TIMEOUT_MS,
      () => socket.terminate(),
    );
    socket.on("error", () => {});
    socket.on("close", () => this.#handshakeTimeout.cancel());
  }

  /** Sends the challenge that the dialer has to prove. */
  sendChallenge(): void {
    this.#send({ kind: CHALLENGE.kind, body: { challenge: this.#challenge } });
  }

  receive(frame: Buffer): void {
    const message = this.#options.codec.decode(frame);
    if (message.isErr()) return this.#onFrameError(message.error);
    if (this.#peer !== undefined) {
      this.#options.deliver(this.#peer, message.value);
      return;
    }
    if (message.value.kind !== HELLO.kind) return this.#reject("handshake");
    this.#verifyHello(message.value.body as Hello);
  }

  #verifyHello(hello: Hello): void {
    const { identity } = this.#options;
    const input = this.#proofInput(hello, { side: "dialer" });
    const isPeer = isVersionSupported(hello.protocolVersion) &&
      isProofValid(identity.sharedSecrets(), hello.proof, input);
    if (!isPeer) return this.#reject("handshake");
    this.#handshakeTimeout.cancel();
    this.#sendWelcome(hello);
    this.#peer = hello.host;
  }

  #sendWelcome(hello: Hello): void {
    const { identity } = this.#options;
    const input = this.#proofInput(hello, { side: "listener" });
    const body: Hello = {
      protocolVersion: PROTOCOL_VERSION,
      host: identity.host,
      incarnation: identity.incarnation,
      challenge: hello.challenge,
      proof: handshakeProof(identity.sharedSecrets()[0]!, input),
    };
    this.#send({ kind: WELCOME.kind, body });
  }

  #proofInput(
    hello: Hello,
    { side }: { side: ProofInput["side"] },
  ): ProofInput {
    const { identity, channelBinding } = this.#options;
    const isDialer = side === "dialer";
    return {
      side,
      prover: isDialer ? hello.host : identity.host,
      incarnation: isDialer ? hello.incarnation : identity.incarnation,
      verifier: isDialer ? identity.host : hello.host,
      listenerChallenge: this.#challenge,
      dialerChallenge: hello.challenge,
      channelBinding,
    };
  }

  #onFrameError(error: FrameError): void {
    const isFromNewerRelease = error.kind === "unknown-kind" &&
      this.#peer !== undefined;
    if (!isFromNewerRelease) return this.#reject(error.kind);
    this.#options.metrics.count("peer_messages_unknown");
  }

  #reject(reason: string): void {
    this.#options.metrics.count("peer_rejected", 1, { reason });
    this.#options.socket.terminate();
  }

  #send(message: PeerMessage): void {
    const frame = this.#options.codec.encode(message);
    if (frame.isOk()) this.#options.socket.send(frame.value);
  }
}
