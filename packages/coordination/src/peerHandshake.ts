import { createHmac, timingSafeEqual } from "node:crypto";
import { Buffer } from "node:buffer";
import type { HostId, Incarnation } from "@wasabivane/common";
import { numberOf, objectOf, textOf } from "./messageShapes.ts";
import { defineMessage, type MessageKind } from "./peerMessages.ts";

/**
 * Version of the rules between entry hosts. Bodies grow by fields that older
 * releases ignore; this number changes only when that is not enough.
 */
export const PROTOCOL_VERSION = 2;
/** Oldest version that this release still speaks with. */
export const MIN_PROTOCOL_VERSION = 2;
/** Bytes of chance in a challenge. */
export const CHALLENGE_BYTES = 16;

/** What the listening side sends first. */
export interface Challenge {
  readonly challenge: string;
}

/** Who a side says it is, with the proof that it knows the shared secret. */
export interface Hello {
  readonly protocolVersion: number;
  readonly host: HostId;
  readonly incarnation: Incarnation;
  /** The dialer's own challenge; the listener repeats it. */
  readonly challenge: string;
  readonly proof: string;
}

const SHORT_TEXT = 128;

const helloShape = objectOf({
  protocolVersion: numberOf<number>(),
  host: textOf<HostId>(SHORT_TEXT),
  incarnation: textOf<Incarnation>(SHORT_TEXT),
  challenge: textOf<string>(SHORT_TEXT),
  proof: textOf<string>(SHORT_TEXT),
});

/** The listener's first message. */
export const CHALLENGE: MessageKind<Challenge> = defineMessage(
  "link-challenge",
  objectOf({ challenge: textOf<string>(SHORT_TEXT) }),
);
/** The dialer's answer to the challenge. */
export const HELLO: MessageKind<Hello> = defineMessage(
  "link-hello",
  helloShape,
);
/** The listener's proof in turn. */
export const WELCOME: MessageKind<Hello> = defineMessage(
  "link-welcome",
  helloShape,
);

/** Everything that a proof binds together. */
export interface ProofInput {
  readonly side: "dialer" | "listener";
  readonly prover: HostId;
  readonly incarnation: Incarnation;
  /** The host that the prover believes it speaks to. */
  readonly verifier: HostId;
  readonly listenerChallenge: string;
  readonly dialerChallenge: string;
  /** Keying material of the TLS session, empty without TLS. */
  readonly channelBinding: string;
}

/**
 * Proves knowledge of a shared secret for one connection between two named
 * hosts. Without both names and the channel binding, somebody between the two
 * could pass a proof on to another connection.
 */
export function handshakeProof(secret: string, input: ProofInput): string {
  const text = [
    "wasabivane-peer",
    input.side,
    input.prover,
    input.incarnation,
    input.verifier,
    input.listenerChallenge,
    input.dialerChallenge,
    input.channelBinding,
  ].join("\0");
  return createHmac("sha256", secret).update(text).digest("hex");
}

/** Whether any of the secrets in force gives the proof. */
export function isProofValid(
  secrets: readonly string[],
  proof: string,
  input: ProofInput,
): boolean {
  const given = Buffer.from(proof);
  return secrets.some((secret) => {
    const expected = Buffer.from(handshakeProof(secret, input));
    return expected.length === given.length && timingSafeEqual(expected, given);
  });
}

/** Whether this release can speak with a peer of that version. */
export function isVersionSupported(version: number): boolean {
  return version >= MIN_PROTOCOL_VERSION;
}
