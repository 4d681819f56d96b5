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
import type {
  Ask,
  AttemptReport,
  Decision,
  RefusalReason,
} from "@wasabivane/decisions";

/** Kinds of the messages between the entries and the keeper of a pool. */
export const POOL_MESSAGES = {
  ask: "pool-ask",
  decision: "pool-decision",
  withdraw: "pool-withdraw",
  firstToken: "pool-first-token",
  finish: "pool-finish",
  report: "pool-report",
  sync: "pool-sync",
  reportWanted: "pool-report-wanted",
} as const;

/**
 * An {@link Ask} as it crosses hosts. Monotonic clocks of two hosts share no
 * origin, so that the deadline travels as the time that is left.
 */
export interface WireAsk {
  readonly request: RequestId;
  readonly originDomain: FailureDomain;
  readonly account: ClientAccountId;
  readonly tier: Tier;
  readonly promptTokens: number;
  readonly maximumOutputTokens: number;
  readonly bodyBytes: number;
  readonly timeLeft: Milliseconds;
  readonly prefixDigests: readonly Digest[];
  readonly fingerprint: Digest;
}

/** A decision as it crosses hosts; the entry still holds the ask. */
export type WireDecision =
  | {
    readonly kind: "grant";
    readonly request: RequestId;
    readonly upstream: UpstreamId;
    readonly expectedCachedTokens: number;
  }
  | {
    readonly kind: "refuse";
    readonly request: RequestId;
    readonly reason: RefusalReason;
    readonly retryAfter: Milliseconds;
    readonly estimate?: Milliseconds;
  };

/** Body of `pool-ask`. */
export interface AskMessage {
  readonly service: ServiceId;
  readonly ask: WireAsk;
}

/** Body of `pool-decision`. */
export interface DecisionMessage {
  readonly service: ServiceId;
  readonly decision: WireDecision;
}

/** Body of `pool-withdraw` and `pool-first-token`. */
export interface RequestMessage {
  readonly service: ServiceId;
  readonly request: RequestId;
}

/** Body of `pool-finish`. */
export interface FinishMessage {
  readonly service: ServiceId;
  readonly report: AttemptReport;
}

/** An attempt that runs at an upstream, as told to a new keeper. */
export interface WireAttempt {
  readonly ask: WireAsk;
  readonly upstream: UpstreamId;
  readonly runningFor: Milliseconds;
  readonly hasFirstToken: boolean;
}

/** Body of `pool-report`: all that one entry has waiting and running in a pool. */
export interface ReportMessage {
  readonly service: ServiceId;
  readonly waiting: readonly WireAsk[];
  readonly running: readonly WireAttempt[];
}

/** Body of `pool-sync`: a digest of the same, to notice lost messages cheaply. */
export interface SyncMessage {
  readonly service: ServiceId;
  readonly waiting: number;
  readonly running: number;
  readonly checksum: number;
}

/** Body of `pool-report-wanted`. */
export interface ReportWantedMessage {
  readonly service: ServiceId;
}

/** Prepares an ask for the wire. */
export function toWireAsk(ask: Ask, now: Milliseconds): WireAsk {
  const { origin: _origin, deadline, ...rest } = ask;
  return { ...rest, timeLeft: deadline - now };
}

/** Restores an ask on the receiver's clock; `origin` is the authenticated sender. */
export function fromWireAsk(
  wire: WireAsk,
  { origin, now }: { origin: HostId; now: Milliseconds },
): Ask {
  const { timeLeft, ...rest } = wire;
  return { ...rest, origin, deadline: now + timeLeft };
}

/** Prepares a decision for the wire. */
export function toWireDecision(decision: Decision): WireDecision {
  const { ask, ...rest } = decision;
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
