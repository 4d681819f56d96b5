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

/** Maximum number of requests or attempts in one report. */
const MAX_REPORTED_REQUESTS = 65_536;

const isRequest = textOf<RequestId>();
const isService = textOf<ServiceId>();
const isUpstream = textOf<UpstreamId>();

/**
 * A placement request as sent between hosts. The deadline is sent as remaining
 * time, since monotonic clocks of two hosts have different origins.
 */
const isWirePlacementRequest = objectOf({
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

/** A running attempt, as reported to a new coordinator. */
const isWireAttempt = objectOf({
  ask: isWirePlacementRequest,
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

/** Sends a placement request to the coordinator. */
export const POOL_PLACEMENT_REQUEST = defineMessage(
  "pool-ask",
  objectOf({ service: isService, ask: isWirePlacementRequest }),
);

/** Sends the coordinator's decision to the request's origin. */
export const POOL_DECISION = defineMessage(
  "pool-decision",
  objectOf({
    service: isService,
    decision: anyOf<WireGrant | WireRefusal>(isWireGrant, isWireRefusal),
  }),
);

/** Withdraws a waiting request. */
export const POOL_WITHDRAW = defineMessage("pool-withdraw", isRequestBody);

/** Reports the first token of a running request. */
export const POOL_FIRST_TOKEN = defineMessage(
  "pool-first-token",
  isRequestBody,
);

/** Reports the end of a running request. */
export const POOL_FINISH = defineMessage(
  "pool-finish",
  objectOf({ service: isService, report: isAttemptReport }),
);

/** Reports all waiting and running requests of one host in a pool. */
export const POOL_REPORT = defineMessage(
  "pool-report",
  objectOf({
    service: isService,
    waiting: listOf(isWirePlacementRequest, MAX_REPORTED_REQUESTS),
    running: listOf(isWireAttempt, MAX_REPORTED_REQUESTS),
  }),
);

/** Sends a checksum of a host's requests in a pool, to detect lost messages. */
export const POOL_SYNC = defineMessage(
  "pool-sync",
  objectOf({
    service: isService,
    waiting: numberOf<number>(),
    running: numberOf<number>(),
    checksum: numberOf<number>(),
  }),
);

/**
 * Requests a {@link POOL_REPORT}, because the checksum differs or the
 * coordinator is new.
 */
export const POOL_REPORT_WANTED = defineMessage(
  "pool-report-wanted",
  objectOf({ service: isService }),
);

type BodyOf<Kind> = Kind extends MessageKind<infer Body> ? Body : never;
type Checked<Check> = Check extends Shape<infer Value> ? Value : never;

/** See {@link POOL_PLACEMENT_REQUEST}. */
export type WirePlacementRequest = Checked<typeof isWirePlacementRequest>;
/** A grant as sent between hosts. */
export type WireGrant = Checked<typeof isWireGrant>;
/** A refusal as sent between hosts. */
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

/** Encodes a placement request for sending. */
export function toWirePlacementRequest(
  placementRequest: PlacementRequest,
  now: Milliseconds,
): WirePlacementRequest {
  const { origin: _origin, deadline, ...rest } = placementRequest;
  return { ...rest, timeLeft: deadline - now };
}

/**
 * Decodes a placement request, with its deadline on the receiver's clock;
 * `origin` is the authenticated sender.
 */
export function fromWirePlacementRequest(
  wire: WirePlacementRequest,
  { origin, now }: { origin: HostId; now: Milliseconds },
): PlacementRequest {
  const { timeLeft, ...rest } = wire;
  return { ...rest, origin, deadline: now + timeLeft };
}

/** Encodes a decision for sending. */
export function toWireDecision(decision: Decision): WireGrant | WireRefusal {
  const { placementRequest, ...rest } = decision;
  return { ...rest, request: placementRequest.request };
}

/** Returns a checksum of request ids that does not depend on their order. */
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
