import type {
  ClientAccountId,
  Digest,
  FailureDomain,
  HostId,
  Milliseconds,
  RequestId,
  ServiceId,
  Tier,
  UpstreamId,
} from "@wasabivane/common";
import {
  ATTEMPT_OUTCOMES,
  type Decision,
  type PlacementRequest,
  REFUSAL_REASONS,
} from "@wasabivane/decisions";
import {
  anyOf,
  isBoolean,
  listOf,
  numberOf,
  objectOf,
  oneOf,
  optional,
  type Shape,
  textOf,
} from "./messageShapes.ts";
import { defineMessage, type MessageKind } from "./peerMessages.ts";

/** Most asks in one report; a pool's bounds are far lower. */
const MAX_REPORTED = 65_536;

const isRequest = textOf<RequestId>();
const isService = textOf<ServiceId>();
const isUpstream = textOf<UpstreamId>();

/**
 * An {@link PlacementRequest} as it crosses hosts. Monotonic clocks of two hosts share no
 * origin, so that the deadline travels as the time that is left.
 */
const isWireAsk = objectOf({
  request: isRequest,
  originDomain: textOf<FailureDomain>(),
  account: textOf<ClientAccountId>(),
  tier: numberOf<Tier>(),
  promptTokens: numberOf<number>(),
  maximumOutputTokens: numberOf<number>(),
  bodyBytes: numberOf<number>(),
  timeLeft: numberOf<Milliseconds>(),
  prefixDigests: listOf(textOf<Digest>()),
  fingerprint: textOf<Digest>(),
});

const isWireGrant = objectOf({
  kind: oneOf("grant"),
  request: isRequest,
  upstream: isUpstream,
  expectedCachedTokens: numberOf<number>(),
});

const isWireRefusal = objectOf({
  kind: oneOf("refuse"),
  request: isRequest,
  reason: oneOf(...REFUSAL_REASONS),
  retryAfter: numberOf<Milliseconds>(),
  estimate: optional(numberOf<Milliseconds>()),
});

/** An attempt that runs at an upstream, as told to a new keeper. */
const isWireAttempt = objectOf({
  ask: isWireAsk,
  upstream: isUpstream,
  runningFor: numberOf<Milliseconds>(),
  hasFirstToken: isBoolean,
});

const isAttemptReport = objectOf({
  request: isRequest,
  upstream: isUpstream,
  outcome: oneOf(...ATTEMPT_OUTCOMES),
  outputTokens: numberOf<number>(),
  cachedTokens: optional(numberOf<number>()),
});

const isRequestBody = objectOf({ service: isService, request: isRequest });

/** An entry wants a place for a request. */
export const POOL_PLACEMENT_REQUEST = defineMessage(
  "pool-ask",
  objectOf({ service: isService, ask: isWireAsk }),
);

/** The keeper decided; the entry still holds the ask. */
export const POOL_DECISION = defineMessage(
  "pool-decision",
  objectOf({
    service: isService,
    decision: anyOf<WireGrant | WireRefusal>(isWireGrant, isWireRefusal),
  }),
);

/** A request that waited wants no place any more. */
export const POOL_WITHDRAW = defineMessage("pool-withdraw", isRequestBody);

/** The first token of a running request arrived. */
export const POOL_FIRST_TOKEN = defineMessage(
  "pool-first-token",
  isRequestBody,
);

/** A running request ended. */
export const POOL_FINISH = defineMessage(
  "pool-finish",
  objectOf({ service: isService, report: isAttemptReport }),
);

/** All that one entry has waiting and running in a pool. */
export const POOL_REPORT = defineMessage(
  "pool-report",
  objectOf({
    service: isService,
    waiting: listOf(isWireAsk, MAX_REPORTED),
    running: listOf(isWireAttempt, MAX_REPORTED),
  }),
);

/** A checksum of the same, to notice lost messages cheaply. */
export const POOL_SYNC = defineMessage(
  "pool-sync",
  objectOf({
    service: isService,
    waiting: numberOf<number>(),
    running: numberOf<number>(),
    checksum: numberOf<number>(),
  }),
);

/** The keeper's picture of an entry differs; it wants a report. */
export const POOL_REPORT_WANTED = defineMessage(
  "pool-report-wanted",
  objectOf({ service: isService }),
);

type BodyOf<Kind> = Kind extends MessageKind<infer Body> ? Body : never;
type Checked<Check> = Check extends Shape<infer Value> ? Value : never;

/** See {@link POOL_PLACEMENT_REQUEST}. */
export type WirePlacementRequest = Checked<typeof isWireAsk>;
/** A grant as it crosses hosts. */
export type WireGrant = Checked<typeof isWireGrant>;
/** A refusal as it crosses hosts. */
export type WireRefusal = Checked<typeof isWireRefusal>;
/** See {@link POOL_PLACEMENT_REQUEST}. */
export type PlacementRequestMessage = BodyOf<typeof POOL_PLACEMENT_REQUEST>;
/** See {@link POOL_DECISION}. */
export type DecisionMessage = BodyOf<typeof POOL_DECISION>;
/** See {@link POOL_WITHDRAW}. */
export type RequestMessage = BodyOf<typeof POOL_WITHDRAW>;
/** See {@link POOL_FINISH}. */
export type FinishMessage = BodyOf<typeof POOL_FINISH>;
/** See {@link POOL_REPORT}. */
export type ReportMessage = BodyOf<typeof POOL_REPORT>;
/** See {@link POOL_SYNC}. */
export type SyncMessage = BodyOf<typeof POOL_SYNC>;

/** Prepares an ask for the wire. */
export function toWirePlacementRequest(
  ask: PlacementRequest,
  now: Milliseconds,
): WirePlacementRequest {
  const { origin: _origin, deadline, ...rest } = ask;
  return { ...rest, timeLeft: deadline - now };
}

/** Restores an ask on the receiver's clock; `origin` is the authenticated sender. */
export function fromWirePlacementRequest(
  wire: WirePlacementRequest,
  { origin, now }: { origin: HostId; now: Milliseconds },
): PlacementRequest {
  const { timeLeft, ...rest } = wire;
  return { ...rest, origin, deadline: now + timeLeft };
}

/** Prepares a decision for the wire. */
export function toWireDecision(decision: Decision): WireGrant | WireRefusal {
  const { placementRequest: ask, ...rest } = decision;
  return { ...rest, request: ask.request };
}

/** A sum over request ids in which their order does not matter. */
export function checksumOf(requests: Iterable<RequestId>): number {
  let sum = 0;
  for (const request of requests) sum = (sum + hashOf(request)) >>> 0;
  return sum;
}

function hashOf(text: string): number {
  let hash = 0x811c9dc5;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193);
  }
  return hash >>> 0;
}
