import type { Buffer } from "node:buffer";
import {
  asId,
  type ClientAccountId,
  type Digest,
  type HostId,
  type Incarnation,
  type Milliseconds,
  type ServiceId,
  type UpstreamId,
} from "@wasabivane/common";
import type { Urgency } from "@wasabivane/admission";
import { Packr } from "msgpackr";
import { err, ok, type Result } from "neverthrow";

const FORMAT = 4;
const FIELD_COUNT = 18;

/** Another host, as it is told of. */
export interface PeerMention {
  readonly host: HostId;
  /** `ip:port` of its datagram port. */
  readonly address: string;
}

/** All that a host tells a peer at once; each word replaces the one before. */
export interface PeerWord {
  readonly host: HostId;
  readonly incarnation: Incarnation;
  /** Grows with each word of one incarnation. */
  readonly sequence: number;
  readonly address: string;
  readonly isLeaving: boolean;
  /** 0 when the host has no policy yet. */
  readonly policyVersion: number;
  /** Age of the proof that this policy is the newest; `undefined` without one. */
  readonly proofAge: Milliseconds | undefined;
  /** Requests at each upstream, and prompt tokens that it has yet to read. */
  readonly inFlight: readonly (readonly [UpstreamId, number, number])[];
  /** Requests that wait for each service, by urgency. */
  readonly waiting: readonly (readonly [ServiceId, Urgency, number])[];
  readonly used: readonly (readonly [ClientAccountId, number])[];
  /** Upstreams that the host sends nothing to, and for how long. */
  readonly ejected: readonly (readonly [UpstreamId, Milliseconds])[];
  readonly left: readonly UpstreamId[];
  readonly crashes: readonly (readonly [Digest, UpstreamId, Milliseconds])[];
  readonly mentions: readonly PeerMention[];
  /** Whether the host can read the platform's store itself. */
  readonly isReading: boolean;
  /** How long one unit of work takes at upstreams, as the host saw it. */
  readonly speeds: readonly (readonly [UpstreamId, Milliseconds])[];
  /** Revision of the store up to which the host knows all upstreams; 0 when it does not. */
  readonly listRevision: number;
}

/** A datagram that is no word of a peer. */
export interface WordError {
  readonly kind: "malformed-word";
  readonly detail: string;
}

type Row = readonly unknown[];

const packr = new Packr({ useRecords: false });

/** A word as the bytes of one datagram. */
export function encodeWord(word: PeerWord): Buffer {
  return packr.pack([
    FORMAT,
    word.host,
    word.incarnation,
    word.sequence,
    word.address,
    word.isLeaving,
    word.policyVersion,
    word.proofAge === undefined ? -1 : Math.round(word.proofAge),
    word.inFlight,
    word.waiting,
    word.used,
    word.ejected,
    word.left,
    word.crashes,
    word.mentions.map(({ host, address }) => [host, address]),
    word.isReading,
    word.speeds,
    word.listRevision,
  ]);
}

/** Reads a datagram. */
export function decodeWord(bytes: Uint8Array): Result<PeerWord, WordError> {
  try {
    return readWord(packr.unpack(bytes));
  } catch (thrown) {
    return err({ kind: "malformed-word", detail: String(thrown) });
  }
}

function readWord(value: unknown): Result<PeerWord, WordError> {
  if (!Array.isArray(value) || value.length < FIELD_COUNT) {
    return err({ kind: "malformed-word", detail: "It is not a list" });
  }
  if (value[0] !== FORMAT) {
    return err({ kind: "malformed-word", detail: "Its format is not known" });
  }
  const proofAge = numberOf(value[7]);
  return ok({
    host: asId<HostId>(textOf(value[1])),
    incarnation: asId<Incarnation>(textOf(value[2])),
    sequence: numberOf(value[3]),
    address: textOf(value[4]),
    isLeaving: value[5] === true,
    policyVersion: numberOf(value[6]),
    proofAge: proofAge < 0 ? undefined : proofAge,
    inFlight: rowsOf(value[8]).map(([upstream, requests, unreadTokens]) => [
      asId<UpstreamId>(textOf(upstream)),
      numberOf(requests),
      numberOf(unreadTokens),
    ]),
    waiting: rowsOf(value[9]).map(([service, urgency, count]) => [
      asId<ServiceId>(textOf(service)),
      numberOf(urgency),
      numberOf(count),
    ]),
    used: rowsOf(value[10]).map(([account, sum]) => [
      asId<ClientAccountId>(textOf(account)),
      numberOf(sum),
    ]),
    ejected: rowsOf(value[11]).map(([upstream, span]) => [
      asId<UpstreamId>(textOf(upstream)),
      numberOf(span),
    ]),
    left: listOf(value[12]).map((item) => asId<UpstreamId>(textOf(item))),
    crashes: rowsOf(value[13]).map(([fingerprint, upstream, age]) => [
      asId<Digest>(textOf(fingerprint)),
      asId<UpstreamId>(textOf(upstream)),
      numberOf(age),
    ]),
    mentions: rowsOf(value[14]).map(([host, address]) => ({
      host: asId<HostId>(textOf(host)),
      address: textOf(address),
    })),
    isReading: value[15] === true,
    speeds: rowsOf(value[16]).map(([upstream, duration]) => [
      asId<UpstreamId>(textOf(upstream)),
      numberOf(duration),
    ]),
    listRevision: numberOf(value[17]),
  });
}

function textOf(value: unknown): string {
  if (typeof value !== "string") throw new TypeError("A text is missing");
  return value;
}

function numberOf(value: unknown): number {
  if (typeof value !== "number") throw new TypeError("A number is missing");
  return value;
}

function listOf(value: unknown): Row {
  if (!Array.isArray(value)) throw new TypeError("A list is missing");
  return value;
}

function rowsOf(value: unknown): Row[] {
  return listOf(value).map(listOf);
}
