/** Datagrams among hosts: their kinds, and how they are packed. */
import type { Buffer } from "node:buffer";
import {
  asId,
  asTier,
  type ClientAccountId,
  type Digest,
  type FailureDomain,
  type HostId,
  type Incarnation,
  type Milliseconds,
  type RequestId,
  type ServiceId,
  type UpstreamId,
} from "@wasabivane/common";
import type {
  AttemptLesson,
  Cell,
  CellPicture,
  PlaceAnswer,
  PlaceAsk,
  PlaceDecision,
  PlaceRefusal,
  PlaceVerdict,
  PlaceWish,
  RouteId,
  Upstream,
  UpstreamOutcome,
  UsageReport,
} from "@wasabivane/admission";
import { Packr } from "msgpackr";
import { err, ok, type Result } from "neverthrow";
import {
  listOf,
  numberOf,
  type Row,
  rowsOf,
  textOf,
  textsOf,
} from "./messageFields.ts";
import type { ListChange, PeerMention, PeerWord } from "./peerWord.ts";

const FORMAT = 5;

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
  | { readonly kind: "ask"; readonly ask: PlaceAsk }
  | { readonly kind: "answer"; readonly answer: PlaceAnswer }
  | { readonly kind: "call"; readonly call: KeeperCall }
  | { readonly kind: "pictures"; readonly pictures: readonly CellPicture[] }
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

const packr = new Packr({ useRecords: false });

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

const ASK: Codec<PlaceAsk> = {
  pack: (ask, now) => [
    ask.host,
    ask.incarnation,
    packCell(ask.cell),
    ask.sequence,
    [...ask.inFlight].map(([upstream, { requests, unreadTokens }]) => [
      upstream,
      requests,
      unreadTokens,
    ]),
    ask.wishes.map((wish) => packWish(wish, now)),
    ask.lessons.map(packLesson),
    ask.lessonsFrom,
    ask.verdictsSeen,
    ask.wantsAnswer,
    ask.withdrawn,
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
            unreadTokens: numberOf(unreadTokens),
          },
        ]),
      ),
      wishes: rowsOf(row[5]).map((wish) => readWish(wish, cell.service, now)),
      lessons: rowsOf(row[6]).map((lesson) => readLesson(lesson, cell.service)),
      lessonsFrom: numberOf(row[7]),
      verdictsSeen: numberOf(row[8]),
      wantsAnswer: row[9] === true,
      withdrawn: textsOf<RequestId>(row[10]),
      ...row[11] !== undefined && { waiting: textsOf<RequestId>(row[11]) },
    };
  },
};

const ANSWER: Codec<PlaceAnswer> = {
  pack: (answer, now) => [
    answer.host,
    answer.incarnation,
    packCell(answer.cell),
    answer.to,
    answer.sequence,
    answer.lessonsSeen,
    answer.verdicts.map(packVerdict),
    answer.pictures.map((picture) => packPicture(picture, now)),
    answer.isLeaving,
    answer.unknown,
  ],
  read: (row, now) => ({
    host: asId<HostId>(textOf(row[0])),
    incarnation: asId<Incarnation>(textOf(row[1])),
    cell: readCell(row[2]),
    to: asId<Incarnation>(textOf(row[3])),
    sequence: numberOf(row[4]),
    lessonsSeen: numberOf(row[5]),
    verdicts: rowsOf(row[6]).map(readVerdict),
    pictures: rowsOf(row[7]).map((picture) => readPicture(picture, now)),
    isLeaving: row[8] === true,
    unknown: textsOf<RequestId>(row[9]),
  }),
};

const CALL: Codec<KeeperCall> = {
  pack: ({ host, cell }) => [host, packCell(cell)],
  read: ([host, cell]) => ({
    host: asId<HostId>(textOf(host)),
    cell: readCell(cell),
  }),
};

const PICTURES: Codec<readonly CellPicture[]> = {
  pack: (pictures, now) => pictures.map((picture) => packPicture(picture, now)),
  read: (row, now) => rowsOf(row).map((picture) => readPicture(picture, now)),
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

/** A message as the bytes of one datagram. */
export function encodeMessage(message: PeerMessage, now: Milliseconds): Buffer {
  return packr.pack([FORMAT, message.kind, packBody(message, now)]);
}

/** Reads a datagram. */
export function decodeMessage(
  bytes: Uint8Array,
  now: Milliseconds,
): Result<PeerMessage, MessageError> {
  try {
    const [format, kind, body] = listOf(packr.unpack(bytes));
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
    case "pictures":
      return PICTURES.pack(message.pictures, now);
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
    case "pictures":
      return ok({ kind, pictures: PICTURES.read(body, now) });
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

function packMention(mention: PeerMention): Row {
  return [
    mention.host,
    mention.incarnation,
    mention.address,
    mention.failureDomain,
    Math.round(mention.age),
    Math.round(mention.silence),
    mention.isLeaving,
    mention.canRead,
  ];
}

function readMention(row: Row): PeerMention {
  return {
    host: asId<HostId>(textOf(row[0])),
    incarnation: asId<Incarnation>(textOf(row[1])),
    address: textOf(row[2]),
    failureDomain: asId<FailureDomain>(textOf(row[3])),
    age: numberOf(row[4]),
    silence: numberOf(row[5]),
    isLeaving: row[6] === true,
    canRead: row[7] === true,
  };
}

function packChange({ from, to, upstreams, removed }: ListChange): Row {
  const rows = upstreams.map((upstream) => [
    upstream.upstream,
    upstream.name,
    upstream.bornAt,
    upstream.service,
    upstream.address,
    upstream.failureDomain,
    upstream.slots,
    upstream.isLeaving,
  ]);
  return [from, to, rows, removed];
}

function readChange([from, to, upstreams, removed]: Row): ListChange {
  return {
    from: numberOf(from),
    to: numberOf(to),
    upstreams: rowsOf(upstreams).map(readUpstream),
    removed: listOf(removed).map(textOf),
  };
}

function readUpstream(row: Row): Upstream {
  return {
    upstream: asId<UpstreamId>(textOf(row[0])),
    name: textOf(row[1]),
    bornAt: numberOf(row[2]),
    service: asId<ServiceId>(textOf(row[3])),
    address: textOf(row[4]),
    failureDomain: asId<FailureDomain>(textOf(row[5])),
    slots: numberOf(row[6]),
    isLeaving: row[7] === true,
  };
}

function packCell({ service, failureDomain, index, count }: Cell): Row {
  return [service, failureDomain ?? "", index, count];
}

function readCell(value: unknown): Cell {
  const [service, failureDomain, index, count] = listOf(value);
  const domain = textOf(failureDomain);
  return {
    service: asId<ServiceId>(textOf(service)),
    failureDomain: domain === "" ? undefined : asId<FailureDomain>(domain),
    index: numberOf(index),
    count: numberOf(count),
  };
}

function packWish(wish: PlaceWish, now: Milliseconds): Row {
  return [
    wish.request,
    wish.route,
    wish.tier,
    Math.round(now - wish.arrivedAt),
    wish.target,
    Math.round(wish.deadline - now),
    Math.round(wish.patience),
    wish.promptTokens,
    wish.expectedTokens,
    wish.pauseTarget,
    wish.parts.map(({ part, tokens }) => [part, tokens]),
    [...wish.excluded],
    wish.isContinuation,
    wish.failureDomain,
  ];
}

function readWish(row: Row, service: ServiceId, now: Milliseconds): PlaceWish {
  return {
    request: asId<RequestId>(textOf(row[0])),
    service,
    route: asId<RouteId>(textOf(row[1])),
    tier: asTier(numberOf(row[2])),
    arrivedAt: now - numberOf(row[3]),
    target: numberOf(row[4]),
    deadline: now + numberOf(row[5]),
    patience: numberOf(row[6]),
    promptTokens: numberOf(row[7]),
    expectedTokens: numberOf(row[8]),
    pauseTarget: numberOf(row[9]),
    parts: rowsOf(row[10]).map(([part, tokens]) => ({
      part: textOf(part),
      tokens: numberOf(tokens),
    })),
    excluded: new Set(textsOf<UpstreamId>(row[11])),
    isContinuation: row[12] === true,
    failureDomain: asId<FailureDomain>(textOf(row[13])),
  };
}

function packLesson(
  { upstream, outcome, residence, times }: AttemptLesson,
): Row {
  const rows = times === undefined ? [] : [
    times.route,
    times.expectedTokens,
    times.promptTokens,
    Math.round(times.latency),
    times.events,
    times.latePauses,
  ];
  return [upstream, outcome, Math.round(residence), rows];
}

function readLesson(row: Row, service: ServiceId): AttemptLesson {
  const times = listOf(row[3]);
  const read = times.length === 0 ? {} : {
    times: {
      route: asId<RouteId>(textOf(times[0])),
      expectedTokens: numberOf(times[1]),
      promptTokens: numberOf(times[2]),
      latency: numberOf(times[3]),
      events: numberOf(times[4]),
      latePauses: numberOf(times[5]),
    },
  };
  return {
    upstream: asId<UpstreamId>(textOf(row[0])),
    service,
    outcome: textOf(row[1]) as UpstreamOutcome,
    residence: numberOf(row[2]),
    ...read,
  };
}

function packVerdict({ number, request, decision }: PlaceVerdict): Row {
  if (decision.kind === "place") {
    const { upstream, inFlight, unreadTokens } = decision;
    return [number, request, "", upstream, inFlight, unreadTokens];
  }
  const { reason, outlook: { ahead, startsPerSecond, wait } } = decision;
  return [number, request, reason, ahead, startsPerSecond ?? -1, wait];
}

function readVerdict(row: Row): PlaceVerdict {
  return {
    number: numberOf(row[0]),
    request: asId<RequestId>(textOf(row[1])),
    decision: readDecision(textOf(row[2]), row),
  };
}

function readDecision(reason: string, row: Row): PlaceDecision {
  if (reason === "") {
    return {
      kind: "place",
      upstream: asId<UpstreamId>(textOf(row[3])),
      inFlight: numberOf(row[4]),
      unreadTokens: numberOf(row[5]),
    };
  }
  const pace = numberOf(row[4]);
  return {
    kind: "refuse",
    reason: reason as PlaceRefusal,
    outlook: {
      ahead: numberOf(row[3]),
      startsPerSecond: pace < 0 ? undefined : pace,
      wait: numberOf(row[5]),
    },
  };
}

function packPicture(
  { cell, places, free, waiting, at }: CellPicture,
  now: Milliseconds,
): Row {
  return [packCell(cell), places, free, waiting, Math.round(now - at)];
}

function readPicture(row: Row, now: Milliseconds): CellPicture {
  return {
    cell: readCell(row[0]),
    places: numberOf(row[1]),
    free: numberOf(row[2]),
    waiting: numberOf(row[3]),
    at: now - numberOf(row[4]),
  };
}

function readSums(value: unknown): Map<ClientAccountId, number> {
  return new Map(
    rowsOf(value).map(([account, sum]) => [
      asId<ClientAccountId>(textOf(account)),
      numberOf(sum),
    ]),
  );
}
