/**
 * Routes, services and client accounts of the policy, and upstreams as the
 * platform publishes them.
 */
import type {
  Address,
  Branded,
  ClientAccountId,
  EpochMilliseconds,
  FailureDomain,
  Milliseconds,
  ServiceId,
  Tier,
  UpstreamId,
} from "@wasabivane/common";

/** Identifies a route of the policy. */
export type RouteId = Branded<string, "RouteId">;

/**
 * Version of an upstream's software, without an order; neither that of a model's
 * weights nor that of the policy. Empty if the platform publishes none.
 */
export type SoftwareVersion = Branded<string, "SoftwareVersion">;

/** Whether and how a request that may have run can be sent again. */
export type Repeatability = "idempotent" | "at-most-once" | "resumable";

/** A service that a route leads to, with its share of the requests. */
export interface RouteTarget {
  readonly service: ServiceId;
  readonly weight: number;
}

/** Rules for the requests of one host name and path prefix. */
export interface Route {
  readonly route: RouteId;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  readonly isStreaming: boolean;
  readonly repeatability: Repeatability;
  /** Longest time for the complete response. */
  readonly timeout: Milliseconds;
  /**
   * Time to the first event of a stream, or to the complete response without
   * streaming, that counts as on time.
   */
  readonly target: Milliseconds;
  /**
   * Longest pause between events of a stream that counts as on time; 0 without
   * streaming.
   */
  readonly pauseTarget: Milliseconds;
  readonly tier: Tier;
  /** Maximum number of sends of one request, including the first. */
  readonly maximumAttempts: number;
  readonly isAnonymous: boolean;
  readonly targets: readonly RouteTarget[];
}

/** A group of interchangeable upstreams. */
export interface Service {
  readonly service: ServiceId;
  /** Maximum number of connections of all hosts to one upstream. */
  readonly maximumConnections: number;
  /**
   * Starts per second that an upstream can take while warming up; `undefined`
   * if unlimited.
   */
  readonly coldStartsPerSecond: number | undefined;
}

/** What a client account may use over all hosts. */
export interface Quota {
  /** Whether the limits count tokens or requests. */
  readonly unit: "tokens" | "requests";
  readonly perSecond: number;
  readonly burst: number;
  /** Tokens charged for a request without a token count. */
  readonly plainTokens: number;
}

/** A customer and its API keys. */
export interface ClientAccount {
  readonly account: ClientAccountId;
  readonly apiKeys: readonly string[];
  /** Overrides the tier of the route. */
  readonly tier?: Tier;
  readonly quota?: Quota;
}

/** Limits on the requests of callers. */
export interface CallerLimits {
  readonly maximumHeaderBytes: number;
  readonly maximumBodyBytes: number;
  readonly headerTimeout: Milliseconds;
  readonly idleTimeout: Milliseconds;
}

/** Configuration published by operators; its version only increases. */
export interface Policy {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  readonly accounts: readonly ClientAccount[];
  readonly limits: CallerLimits;
}

/**
 * An upstream as the platform publishes it. Its `upstream` id, made by
 * {@link createUpstreamId} from its name and start time, identifies one
 * incarnation, so a restarted upstream begins without statistics.
 */
export interface Upstream {
  readonly upstream: UpstreamId;
  /** Name that the platform and the upstream itself use. */
  readonly name: string;
  /** Start time; 0 if unknown. */
  readonly bornAt: EpochMilliseconds;
  readonly service: ServiceId;
  readonly address: Address;
  readonly failureDomain: FailureDomain;
  readonly slots: number;
  readonly softwareVersion: SoftwareVersion;
  readonly isLeaving: boolean;
  /** Remaining warm-up time when its entry was written. */
  readonly coldFor: Milliseconds;
}

/** A part of a prompt; upstreams cache the parts that they have processed. */
export interface PromptPart {
  readonly part: string;
  readonly tokens: number;
}

/** How an attempt at an upstream ended, as its host observed it. */
export type UpstreamOutcome =
  | "whole"
  /** No connection could be opened; nothing was sent. */
  | "unreachable"
  /** The upstream went out of use while connecting; nothing was sent. */
  | "unsent"
  /** The upstream reported that it did not run the request. */
  | "not-run"
  /**
   * Another upstream answered at this address: this one is gone for good and
   * did not run the request.
   */
  | "replaced"
  /** The upstream responded with an error of its own. */
  | "failed"
  /** The response broke off, was malformed, or belonged to another request. */
  | "broken"
  /** Nothing arrived within the timeout. */
  | "silent"
  /**
   * The caller left or its deadline passed, which says nothing about the
   * upstream.
   */
  | "cancelled";
