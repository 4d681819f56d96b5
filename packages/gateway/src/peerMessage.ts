/** Messages among hosts and their encoding as datagrams. */
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
  QuotaReport,
} from "@wasabivane/admission";
import { err, ok, type Result } from "neverthrow";
import {
  expectArray,
  expectHint,
  expectIds,
  expectInteger,
  expectNumber,
  expectRows,
  expectSpan,
  expectString,
  type Row,
  selectRows,
} from "./rowValues.ts";
import type { GrantMessage } from "./quotaSync.ts";
import type { GossipMessage } from "./gossipMessage.ts";
import {
  decodeBackoff,
  decodeCell,
  decodeDecision,
  decodeObservation,
  decodePlacementRequest,
  decodeReport,
  decodeSnapshot,
  encodeBackoff,
  encodeCell,
  encodeDecision,
  encodeObservation,
  encodePlacementRequest,
  encodeReport,
  encodeSnapshot,
} from "./cellRows.ts";
import {
  type ConfirmationQuery,
  type ConfirmationReply,
  decodeConfirmationQuery,
  decodeConfirmationReply,
  encodeConfirmationQuery,
  encodeConfirmationReply,
} from "./confirmationMessage.ts";
import {
  decodeListChange,
  decodePeerRecord,
  encodeListChange,
  encodePeerRecord,
} from "./gossipRows.ts";
import { decodePartCrashRows, encodePartCrashRows } from "./partCrashRows.ts";
import {
  decodeOriginQuery,
  decodeOriginRecords,
  decodeOriginReply,
  encodeOriginQuery,
  encodeOriginRecords,
  encodeOriginReply,
  type StreamOriginQuery,
  type StreamOriginRecords,
  type StreamOriginReply,
} from "./streamOriginMessage.ts";

const FORMAT_VERSION = 17;
const MAXIMUM_HOSTS = 100_000;
/** How each encoded message begins. */
const PREFIX = Buffer.from(`[${FORMAT_VERSION},"`);
const TEXT_DECODER = new TextDecoder();

/**
 * An announcement that a host coordinates a cell and needs the other hosts'
 * state there.
 */
export interface CoordinatorAnnouncement {
  readonly host: HostId;
  readonly cell: Cell;
}

/** A message between hosts. */
export type PeerMessage =
  | { readonly kind: "word"; readonly gossip: GossipMessage }
  | { readonly kind: "ask"; readonly update: CellUpdate }
  | { readonly kind: "answer"; readonly reply: CellReply }
  | { readonly kind: "call"; readonly announcement: CoordinatorAnnouncement }
  | { readonly kind: "snapshots"; readonly snapshots: readonly CellSnapshot[] }
  | { readonly kind: "demand"; readonly report: QuotaReport }
  | { readonly kind: "grant"; readonly grant: GrantMessage }
  | { readonly kind: "begun"; readonly records: StreamOriginRecords }
  | { readonly kind: "seek"; readonly query: StreamOriginQuery }
  | { readonly kind: "origin"; readonly reply: StreamOriginReply }
  | { readonly kind: "confirm"; readonly query: ConfirmationQuery }
  | { readonly kind: "confirmed"; readonly reply: ConfirmationReply };

/** The error for a datagram that cannot be decoded. */
export interface MessageError {
  readonly kind: "malformed-message";
  readonly detail: string;
}

/** Encodes and decodes one kind of message; times are sent relative to now. */
interface Codec<Body> {
  encode(body: Body, now: Milliseconds): Row;
  decode(row: Row, now: Milliseconds): Body;
}

const GOSSIP: Codec<GossipMessage> = {
  encode: (message, now) => [
    encodePeerRecord(message.sender),
    message.sequence,
    message.policyVersion,
    message.listRevision,
    message.confirmationAge === undefined
      ? -1
      : Math.round(message.confirmationAge),
    message.leavingUpstreams,
    message.crashes,
    message.listChanges.map(encodeListChange),
    message.unresponsiveHosts.map(([host, span]) => [host, Math.round(span)]),
    message.peerRecords.map(encodePeerRecord),
    message.peerCount,
    message.policyRevision,
    message.completions,
    encodePartCrashRows(message, now),
  ],
  decode: (row, now) => {
    const confirmationAge = expectNumber(row[4]);
    return {
      sender: decodePeerRecord(expectArray(row[0])),
      sequence: expectInteger(row[1]),
      policyVersion: expectNumber(row[2]),
      listRevision: expectInteger(row[3]),
      confirmationAge: confirmationAge < 0 ? undefined : confirmationAge,
      leavingUpstreams: expectIds<UpstreamId>(row[5]),
      crashes: expectRows(row[6]).map(([fingerprint, upstream, age]) => [
        asId<Digest>(expectString(fingerprint)),
        asId<UpstreamId>(expectString(upstream)),
        expectNumber(age),
      ]),
      listChanges: expectRows(row[7]).map(decodeListChange),
      unresponsiveHosts: expectRows(row[8]).map(([host, span]) => [
        asId<HostId>(expectString(host)),
        expectSpan(span),
      ]),
      peerRecords: selectRows(row[9], decodePeerRecord),
      peerCount: expectInteger(row[10]),
      policyRevision: expectInteger(row[11]),
      completions: expectRows(row[12]).map(([fingerprint, age]) => [
        asId<Digest>(expectString(fingerprint)),
        expectNumber(age),
      ]),
      ...decodePartCrashRows(expectArray(row[13]), now),
    };
  },
};

const CELL_UPDATE: Codec<CellUpdate> = {
  encode: (update, now) => [
    update.host,
    update.incarnation,
    encodeCell(update.cell),
    update.sequence,
    [...update.inFlight].map((
      [upstream, { requests, pendingPrefillTokens }],
    ) => [
      upstream,
      requests,
      pendingPrefillTokens,
    ]),
    update.requests.map((request) => encodePlacementRequest(request, now)),
    update.observations.map(encodeObservation),
    update.firstObservation,
    update.decisionsSeen,
    update.wantsReply,
    update.withdrawn,
    update.reports.map(encodeReport),
    Math.round(update.replyTime),
    update.backoffs.map((backoff) => encodeBackoff(backoff, now)),
    ...update.waiting === undefined ? [] : [update.waiting],
  ],
  decode: (row, now) => {
    const cell = decodeCell(row[2]);
    return {
      host: asId<HostId>(expectString(row[0])),
      incarnation: asId<Incarnation>(expectString(row[1])),
      cell,
      sequence: expectNumber(row[3]),
      inFlight: new Map(
        expectRows(row[4]).map(([upstream, requests, pendingPrefillTokens]) => [
          asId<UpstreamId>(expectString(upstream)),
          {
            requests: expectNumber(requests),
            pendingPrefillTokens: expectNumber(pendingPrefillTokens),
          },
        ]),
      ),
      requests: selectRows(
        row[5],
        (request) => decodePlacementRequest(request, cell.service, now),
      ),
      observations: expectRows(row[6]).map((observation) =>
        decodeObservation(observation, cell.service)
      ),
      firstObservation: expectNumber(row[7]),
      decisionsSeen: expectNumber(row[8]),
      wantsReply: row[9] === true,
      withdrawn: expectIds<RequestId>(row[10]),
      reports: expectRows(row[11]).map(decodeReport),
      replyTime: expectNumber(row[12]),
      backoffs: expectRows(row[13]).map((backoff) =>
        decodeBackoff(backoff, now)
      ),
      ...row[14] !== undefined && { waiting: expectIds<RequestId>(row[14]) },
    };
  },
};

const CELL_REPLY: Codec<CellReply> = {
  encode: (reply, now) => [
    reply.host,
    reply.incarnation,
    encodeCell(reply.cell),
    reply.toIncarnation,
    reply.sequence,
    reply.observationsSeen,
    reply.decisions.map(encodeDecision),
    reply.snapshots.map((snapshot) => encodeSnapshot(snapshot, now)),
    reply.isLeaving,
    reply.unknownRequests,
  ],
  decode: (row, now) => ({
    host: asId<HostId>(expectString(row[0])),
    incarnation: asId<Incarnation>(expectString(row[1])),
    cell: decodeCell(row[2]),
    toIncarnation: asId<Incarnation>(expectString(row[3])),
    sequence: expectNumber(row[4]),
    observationsSeen: expectNumber(row[5]),
    decisions: expectRows(row[6]).map(decodeDecision),
    snapshots: expectRows(row[7]).map((snapshot) =>
      decodeSnapshot(snapshot, now)
    ),
    isLeaving: row[8] === true,
    unknownRequests: expectIds<RequestId>(row[9]),
  }),
};

const COORDINATOR_ANNOUNCEMENT: Codec<CoordinatorAnnouncement> = {
  encode: ({ host, cell }) => [host, encodeCell(cell)],
  decode: ([host, cell]) => ({
    host: asId<HostId>(expectString(host)),
    cell: decodeCell(cell),
  }),
};

const CELL_SNAPSHOTS: Codec<readonly CellSnapshot[]> = {
  encode: (snapshots, now) =>
    snapshots.map((snapshot) => encodeSnapshot(snapshot, now)),
  decode: (row, now) =>
    expectRows(row).map((snapshot) => decodeSnapshot(snapshot, now)),
};

const QUOTA_REPORT: Codec<QuotaReport> = {
  encode: ({ host, incarnation, demands, isLast }) => [
    host,
    incarnation,
    isLast,
    demands.map((demand) => [
      demand.account,
      Math.round(demand.used),
      Math.round(demand.returned),
      Math.round(demand.limit),
      demand.needed,
      demand.requestUnits,
      demand.isIdle,
    ]),
  ],
  decode: ([host, incarnation, isLast, demands]) => ({
    host: asId<HostId>(expectString(host)),
    incarnation: asId<Incarnation>(expectString(incarnation)),
    isLast: isLast === true,
    demands: expectRows(demands).map((row) => ({
      account: asId<ClientAccountId>(expectString(row[0])),
      used: expectNumber(row[1]),
      returned: expectNumber(row[2]),
      limit: expectNumber(row[3]),
      needed: expectNumber(row[4]),
      requestUnits: expectNumber(row[5]),
      isIdle: row[6] === true,
    })),
  }),
};

const QUOTA_GRANT: Codec<GrantMessage> = {
  encode: ({ grantor, to, toIncarnation, grants }) => [
    grantor,
    to,
    toIncarnation,
    [...grants.accounts].map((
      [account, { limit, level }],
    ) => [account, Math.floor(limit), Math.floor(level)]),
    grants.hosts,
    grants.isSettled,
  ],
  decode: ([grantor, to, toIncarnation, accounts, hosts, isSettled]) => ({
    grantor: asId<HostId>(expectString(grantor)),
    to: asId<HostId>(expectString(to)),
    toIncarnation: asId<Incarnation>(expectString(toIncarnation)),
    grants: {
      accounts: new Map(
        expectRows(accounts).map(([account, limit, level]) => [
          asId<ClientAccountId>(expectString(account)),
          { limit: expectNumber(limit), level: expectNumber(level) },
        ]),
      ),
      hosts: expectHint(hosts, { minimum: 1, maximum: MAXIMUM_HOSTS }),
      isSettled: isSettled === true,
    },
  }),
};

/**
 * Encodes a message as one datagram. Uses JSON, since the runtime's native
 * codec is fast from the start, unlike a binary codec in JavaScript.
 */
export function encodeMessage(message: PeerMessage, now: Milliseconds): Buffer {
  const row = [FORMAT_VERSION, message.kind, encodeBody(message, now)];
  return Buffer.from(JSON.stringify(row));
}

/** Decodes a datagram. */
export function decodeMessage(
  bytes: Uint8Array,
  now: Milliseconds,
): Result<PeerMessage, MessageError> {
  // Parsing a large datagram costs far more than comparing its first bytes.
  if (!PREFIX.equals(bytes.subarray(0, PREFIX.length))) {
    return malformed("Unknown message format");
  }
  try {
    const [, kind, body] = expectArray(JSON.parse(TEXT_DECODER.decode(bytes)));
    return decodeBody(expectString(kind), expectArray(body), now);
  } catch (thrown) {
    return malformed(String(thrown));
  }
}

function encodeBody(message: PeerMessage, now: Milliseconds): Row {
  switch (message.kind) {
    case "word":
      return GOSSIP.encode(message.gossip, now);
    case "ask":
      return CELL_UPDATE.encode(message.update, now);
    case "answer":
      return CELL_REPLY.encode(message.reply, now);
    case "call":
      return COORDINATOR_ANNOUNCEMENT.encode(message.announcement, now);
    case "snapshots":
      return CELL_SNAPSHOTS.encode(message.snapshots, now);
    case "demand":
      return QUOTA_REPORT.encode(message.report, now);
    case "grant":
      return QUOTA_GRANT.encode(message.grant, now);
    case "begun":
      return encodeOriginRecords(message.records);
    case "seek":
      return encodeOriginQuery(message.query);
    case "origin":
      return encodeOriginReply(message.reply);
    case "confirm":
      return encodeConfirmationQuery(message.query);
    case "confirmed":
      return encodeConfirmationReply(message.reply);
  }
}

function decodeBody(
  kind: string,
  body: Row,
  now: Milliseconds,
): Result<PeerMessage, MessageError> {
  switch (kind) {
    case "word":
      return ok({ kind, gossip: GOSSIP.decode(body, now) });
    case "ask":
      return ok({ kind, update: CELL_UPDATE.decode(body, now) });
    case "answer":
      return ok({ kind, reply: CELL_REPLY.decode(body, now) });
    case "call":
      return ok({
        kind,
        announcement: COORDINATOR_ANNOUNCEMENT.decode(body, now),
      });
    case "snapshots":
      return ok({ kind, snapshots: CELL_SNAPSHOTS.decode(body, now) });
    case "demand":
      return ok({ kind, report: QUOTA_REPORT.decode(body, now) });
    case "grant":
      return ok({ kind, grant: QUOTA_GRANT.decode(body, now) });
    case "begun":
      return ok({ kind, records: decodeOriginRecords(body) });
    case "seek":
      return ok({ kind, query: decodeOriginQuery(body) });
    case "origin":
      return ok({ kind, reply: decodeOriginReply(body) });
    case "confirm":
      return ok({ kind, query: decodeConfirmationQuery(body) });
    case "confirmed":
      return ok({ kind, reply: decodeConfirmationReply(body) });
    default:
      return malformed("Unknown message kind");
  }
}

function malformed(detail: string): Result<never, MessageError> {
  return err({ kind: "malformed-message", detail });
}
