/**
 * What a host decides from: routes, services and client accounts of the policy
 * in force, and upstreams as the platform publishes them.
 */
import type {
  Branded,
  ClientAccountId,
  EpochMilliseconds,
  FailureDomain,
  Milliseconds,
  ServiceId,
  Tier,
  UpstreamId,
} from "@wasabivane/common";

/** One route of the policy. */
export type RouteId = Branded<string, "RouteId">;

/** What may be done with a request that may have run. */
export type Repeatability = "idempotent" | "at-most-once" | "resumable";

/** A service that a route leads to, with its share of the requests. */
export interface RouteTarget {
  readonly service: ServiceId;
  readonly weight: number;
}

/** Where requests of one host name and path prefix go. */
export interface Route {
  readonly route: RouteId;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  readonly isStreaming: boolean;
  readonly repeatability: Repeatability;
  /** Longest time that a caller is kept waiting for the whole answer. */
  readonly timeout: Milliseconds;
  /** Time to the whole answer, or to a stream's first event, that counts as good. */
  readonly target: Milliseconds;
  /** Longest pause between events of a stream that counts as good; 0 for others. */
  readonly pauseTarget: Milliseconds;
  readonly tier: Tier;
  /** Upstreams that one request may be sent to, the first included. */
  readonly maximumAttempts: number;
  readonly isAnonymous: boolean;
  readonly targets: readonly RouteTarget[];
}

/** A group of interchangeable upstreams. */
export interface Service {
  readonly service: ServiceId;
  /** Connections that one upstream takes from all hosts together. */
  readonly maximumConnections: number;
  /** Starts a second that a cold upstream bears; `undefined` where it bears any. */
  readonly coldStartsPerSecond: number | undefined;
}

/** What a client account may use over all hosts. */
export interface Quota {
  /** Whether the figures count tokens or requests. */
  readonly unit: "tokens" | "requests";
  readonly perSecond: number;
  readonly burst: number;
  /** Tokens that a request without a token count stands for. */
  readonly plainTokens: number;
}

/** A customer with its keys. */
export interface ClientAccount {
  readonly account: ClientAccountId;
  readonly apiKeys: readonly string[];
  /** Orders the account's requests before the route's tier does. */
  readonly tier?: Tier;
  readonly quota?: Quota;
}

/** What callers may send, and how long they may take. */
export interface CallerLimits {
  readonly maximumHeaderBytes: number;
  readonly maximumBodyBytes: number;
  readonly headerTimeout: Milliseconds;
  readonly idleTimeout: Milliseconds;
}

/** Everything that operators publish, under one version that only grows. */
export interface Policy {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  readonly accounts: readonly ClientAccount[];
  readonly limits: CallerLimits;
}

/**
 * One upstream as the platform publishes it. What is believed of it hangs on
 * `upstream`, which {@link upstreamLife} makes of its name and its birth: one that
 * starts again under the name that it had knows nothing of before.
 */
export interface Upstream {
  readonly upstream: UpstreamId;
  /** As the platform and the upstream itself call it. */
  readonly name: string;
  /** When it started; 0 where it does not say so. */
  readonly bornAt: EpochMilliseconds;
  readonly service: ServiceId;
  /** `ip:port`. */
  readonly address: string;
  readonly failureDomain: FailureDomain;
  readonly slots: number;
  readonly isLeaving: boolean;
  /** How much longer it takes little work after a start, when its entry was written. */
  readonly coldFor: Milliseconds;
}

/** A part of a prompt, in order; engines keep parts that they have read. */
export interface PromptPart {
  readonly part: string;
  readonly tokens: number;
}

/** How a request ended at an upstream, as far as its host saw. */
export type UpstreamOutcome =
  | "whole"
  /** It could not be connected to; nothing was sent. */
  | "unreachable"
  /** It said that it did not run the request. */
  | "not-run"
  /** Another upstream answers at its address: it is gone for good, and did not run it. */
  | "replaced"
  /** It answered with a failure of its own. */
  | "failed"
  /** The answer broke off, was not an answer, or belonged to another request. */
  | "broken"
  /** Nothing came for longer than the host was willing to wait. */
  | "silent"
  /** The caller left or its time was over; it says nothing about the upstream. */
  | "cancelled";
