/** Datagrams among hosts: their kinds, and how they are packed. */
import { Buffer } from "node:buffer";
import {
  asId,
  type ClientAccountId,
  type Digest,
  type HostId,
  type Incarnation,
  type Milliseconds,
  type RequestId,
  type UpstreamId,
} from "@wasabivane/common";
import type {
  Cell,
  CellReply,
  CellSnapshot,
  CellUpdate,
  UsageReport,
} from "@wasabivane/admission";
import { err, ok, type Result } from "neverthrow";
import {
  listOf,
  numberOf,
  type Row,
  rowsOf,
  textOf,
  textsOf,
} from "./messageFields.ts";
import type { PeerWord } from "./peerWord.ts";
import {
  packCell,
  packObservation,
  packSnapshot,
  packVerdict,
  packWish,
  readCell,
  readObservation,
  readSnapshot,
  readVerdict,
  readWish,
} from "./placeRows.ts";
import {
  packChange,
  packMention,
  readChange,
  readMention,
} from "./wordRows.ts";

const FORMAT = 8;
const TEXT = new TextDecoder();

/** A keeper has begun to keep a cell and asks hosts for what they do there. */
export interface KeeperCall {
  readonly host: HostId;
  readonly cell: Cell;
}

/** What the other hosts admitted, for one host. */
export interface UsageSums {
  readonly host: HostId;
  /** Start of the process that adds up. */
  readonly incarnation: Incarnation;
  readonly others: ReadonlyMap<ClientAccountId, number>;
}

/** A datagram, by its kind. */
export type PeerMessage =
  | { readonly kind: "word"; readonly word: PeerWord }
  | { readonly kind: "ask"; readonly ask: CellUpdate }
  | { readonly kind: "answer"; readonly answer: CellReply }
  | { readonly kind: "call"; readonly call: KeeperCall }
  | { readonly kind: "snapshots"; readonly snapshots: readonly CellSnapshot[] }
  | { readonly kind: "usage"; readonly usage: UsageReport }
  | { readonly kind: "sums"; readonly sums: UsageSums };

/** A datagram that is none of a peer's. */
export interface MessageError {
  readonly kind: "malformed-message";
  readonly detail: string;
}

/** Packs and reads one kind; points in time cross as spans. */
interface Codec<Body> {
  pack(body: Body, now: Milliseconds): Row;
  read(row: Row, now: Milliseconds): Body;
}

const WORD: Codec<PeerWord> = {
  pack: (word) => [
    packMention(word.self),
    word.sequence,
    word.policyVersion,
    word.listRevision,
    word.proofAge === undefined ? -1 : Math.round(word.proofAge),
    word.left,
    word.crashes,
    word.changes.map(packChange),
    word.silent.map(([host, span]) => [host, Math.round(span)]),
    word.mentions.map(packMention),
    word.peers,
  ],
  read: (row) => {
    const proofAge = numberOf(row[4]);
    return {
      self: readMention(listOf(row[0])),
      sequence: numberOf(row[1]),
      policyVersion: numberOf(row[2]),
      listRevision: numberOf(row[3]),
      proofAge: proofAge < 0 ? undefined : proofAge,
      left: textsOf<UpstreamId>(row[5]),
      crashes: rowsOf(row[6]).map(([fingerprint, upstream, age]) => [
        asId<Digest>(textOf(fingerprint)),
        asId<UpstreamId>(textOf(upstream)),
        numberOf(age),
      ]),
      changes: rowsOf(row[7]).map(readChange),
      silent: rowsOf(row[8]).map(([host, span]) => [
        asId<HostId>(textOf(host)),
        numberOf(span),
      ]),
      mentions: rowsOf(row[9]).map(readMention),
      peers: numberOf(row[10]),
    };
  },
};

const ASK: Codec<CellUpdate> = {
  pack: (ask, now) => [
    ask.host,
    ask.incarnation,
    packCell(ask.cell),
    ask.sequence,
    [...ask.inFlight].map((
      [upstream, { requests, pendingPrefillTokens: unreadTokens }],
    ) => [
      upstream,
      requests,
      unreadTokens,
    ]),
    ask.requests.map((wish) => packWish(wish, now)),
    ask.observations.map(packObservation),
    ask.firstObservation,
    ask.decisionsSeen,
    ask.wantsReply,
    ask.withdrawn,
    ask.reports,
    Math.round(ask.replyTime),
    ...ask.waiting === undefined ? [] : [ask.waiting],
  ],
  read: (row, now) => {
    const cell = readCell(row[2]);
    return {
      host: asId<HostId>(textOf(row[0])),
      incarnation: asId<Incarnation>(textOf(row[1])),
      cell,
      sequence: numberOf(row[3]),
      inFlight: new Map(
        rowsOf(row[4]).map(([upstream, requests, unreadTokens]) => [
          asId<UpstreamId>(textOf(upstream)),
          {
            requests: numberOf(requests),
            pendingPrefillTokens: numberOf(unreadTokens),
          },
        ]),
      ),
      requests: rowsOf(row[5]).map((wish) => readWish(wish, cell.service, now)),
      observations: rowsOf(row[6]).map((observation) =>
        readObservation(observation, cell.service)
      ),
      firstObservation: numberOf(row[7]),
      decisionsSeen: numberOf(row[8]),
      wantsReply: row[9] === true,
      withdrawn: textsOf<RequestId>(row[10]),
      reports: rowsOf(row[11]).map(([upstream, requests]) => [
        asId<UpstreamId>(textOf(upstream)),
        numberOf(requests),
      ]),
      replyTime: numberOf(row[12]),
      ...row[13] !== undefined && { waiting: textsOf<RequestId>(row[13]) },
    };
  },
};

const ANSWER: Codec<CellReply> = {
  pack: (answer, now) => [
    answer.host,
    answer.incarnation,
    packCell(answer.cell),
    answer.toIncarnation,
    answer.sequence,
    answer.observationsSeen,
    answer.decisions.map(packVerdict),
    answer.snapshots.map((snapshot) => packSnapshot(snapshot, now)),
    answer.isLeaving,
    answer.unknownRequests,
  ],
  read: (row, now) => ({
    host: asId<HostId>(textOf(row[0])),
    incarnation: asId<Incarnation>(textOf(row[1])),
    cell: readCell(row[2]),
    toIncarnation: asId<Incarnation>(textOf(row[3])),
    sequence: numberOf(row[4]),
    observationsSeen: numberOf(row[5]),
    decisions: rowsOf(row[6]).map(readVerdict),
    snapshots: rowsOf(row[7]).map((snapshot) => readSnapshot(snapshot, now)),
    isLeaving: row[8] === true,
    unknownRequests: textsOf<RequestId>(row[9]),
  }),
};

const CALL: Codec<KeeperCall> = {
  pack: ({ host, cell }) => [host, packCell(cell)],
  read: ([host, cell]) => ({
    host: asId<HostId>(textOf(host)),
    cell: readCell(cell),
  }),
};

const SNAPSHOTS: Codec<readonly CellSnapshot[]> = {
  pack: (snapshots, now) =>
    snapshots.map((snapshot) => packSnapshot(snapshot, now)),
  read: (row, now) =>
    rowsOf(row).map((snapshot) => readSnapshot(snapshot, now)),
};

const USAGE: Codec<UsageReport> = {
  pack: ({ host, incarnation, used }) => [host, incarnation, [...used]],
  read: ([host, incarnation, used]) => ({
    host: asId<HostId>(textOf(host)),
    incarnation: asId<Incarnation>(textOf(incarnation)),
    used: readSums(used),
  }),
};

const SUMS: Codec<UsageSums> = {
  pack: ({ host, incarnation, others }) => [
    host,
    incarnation,
    [...others].map(([account, sum]) => [account, Math.round(sum)]),
  ],
  read: ([host, incarnation, others]) => ({
    host: asId<HostId>(textOf(host)),
    incarnation: asId<Incarnation>(textOf(incarnation)),
    others: readSums(others),
  }),
};

/**
 * A message as the bytes of one datagram: JSON, which the runtime reads and writes in its
 * own compiled code. A codec in JavaScript is not compiled yet when a small host needs it,
 * and takes five times the processor time for a third fewer bytes.
 */
export function encodeMessage(message: PeerMessage, now: Milliseconds): Buffer {
  const row = [FORMAT, message.kind, packBody(message, now)];
  return Buffer.from(JSON.stringify(row));
}

/** Reads a datagram. */
export function decodeMessage(
  bytes: Uint8Array,
  now: Milliseconds,
): Result<PeerMessage, MessageError> {
  try {
    const [format, kind, body] = listOf(JSON.parse(TEXT.decode(bytes)));
    if (format !== FORMAT) return malformed("Its format is not known");
    return readBody(textOf(kind), listOf(body), now);
  } catch (thrown) {
    return malformed(String(thrown));
  }
}

function packBody(message: PeerMessage, now: Milliseconds): Row {
  switch (message.kind) {
    case "word":
      return WORD.pack(message.word, now);
    case "ask":
      return ASK.pack(message.ask, now);
    case "answer":
      return ANSWER.pack(message.answer, now);
    case "call":
      return CALL.pack(message.call, now);
    case "snapshots":
      return SNAPSHOTS.pack(message.snapshots, now);
    case "usage":
      return USAGE.pack(message.usage, now);
    case "sums":
      return SUMS.pack(message.sums, now);
  }
}

function readBody(
  kind: string,
  body: Row,
  now: Milliseconds,
): Result<PeerMessage, MessageError> {
  switch (kind) {
    case "word":
      return ok({ kind, word: WORD.read(body, now) });
    case "ask":
      return ok({ kind, ask: ASK.read(body, now) });
    case "answer":
      return ok({ kind, answer: ANSWER.read(body, now) });
    case "call":
      return ok({ kind, call: CALL.read(body, now) });
    case "snapshots":
      return ok({ kind, snapshots: SNAPSHOTS.read(body, now) });
    case "usage":
      return ok({ kind, usage: USAGE.read(body, now) });
    case "sums":
      return ok({ kind, sums: SUMS.read(body, now) });
    default:
      return malformed("Its kind is not known");
  }
}

function malformed(detail: string): Result<never, MessageError> {
  return err({ kind: "malformed-message", detail });
}

function readSums(value: unknown): Map<ClientAccountId, number> {
  return new Map(
    rowsOf(value).map(([account, sum]) => [
      asId<ClientAccountId>(textOf(account)),
      numberOf(sum),
    ]),
  );
}
