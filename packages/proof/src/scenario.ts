import type { Milliseconds } from "@wasabivane/common";

/**
 * Fault scenario as plain data, so that it can be generated from a seed, stored
 * as JSON and shrunk by removing steps.
 */
export interface FaultScenario {
  /** Name of the fault or of the generated schedule. */
  readonly name: string;
  /** Number of entry hosts `entry-1`, `entry-2` and so on, in three domains. */
  readonly hosts?: number;
  /** Seed of all random choices. */
  readonly seed?: number;
  readonly link?: ScenarioLink;
  /** Offset of each host's wall clock from the true time. */
  readonly clockSkewMs?: Readonly<Record<string, Milliseconds>>;
  /** Limit of queued tokens of each service. */
  readonly maximumWaitingTokens?: number;
  /** Number of slots of each upstream. */
  readonly concurrency?: number;
  /** State of the platform at the start; `up` by default. */
  readonly platformAtStart?: PlatformState;
  readonly requests: Readonly<Record<string, ScenarioRequest>>;
  /** Steps in any order. */
  readonly story: readonly ScenarioStep[];
  /** Expected results of requests, in addition to the invariants. */
  readonly expect?: Readonly<Record<string, Expectation>>;
}

/** Conditions of the network between entry hosts. */
export interface ScenarioLink {
  readonly delayMs?: Milliseconds;
  readonly jitterMs?: Milliseconds;
  readonly dropShare?: number;
  readonly duplicateShare?: number;
}

/** Availability of the platform; `stale` returns outdated values. */
export type PlatformState = "up" | "down" | "stale";

/**
 * Kind of a request:
 *
 * - `draft`: streamed completion
 * - `answer`: unary completion
 * - `save`: non-idempotent call of the plain service
 * - `lookup`: idempotent call of the plain service
 * - `review`: completion as a job
 * - `export`: call of the plain service as a job
 */
export type RequestKind =
  | "draft"
  | "answer"
  | "save"
  | "lookup"
  | "review"
  | "export";

/** A caller's request, shared by all of its resends. */
export interface ScenarioRequest {
  readonly kind: RequestKind;
  /** Whether it carries an idempotency key; required for resends. */
  readonly hasKey?: boolean;
  readonly tier?: number;
  readonly account?: string;
  /** Output tokens of a completion. */
  readonly tokens?: number;
  /** Approximate prompt tokens. */
  readonly promptTokens?: number;
  readonly deadlineMs?: Milliseconds;
  /** Whether it crashes the upstream that runs it. */
  readonly isPoison?: boolean;
}

/** Trigger of a step: a time since the start, or an event. */
export type StepTrigger =
  | { readonly at: Milliseconds }
  | {
    readonly once: {
      readonly request: string;
      readonly is: "dispatched" | "ended" | "accepted";
    };
    readonly after?: Milliseconds;
  };

/** Action of a step. */
export type ScenarioAction =
  | { readonly do: "send"; readonly request: string; readonly via: string }
  | { readonly do: "hang-up"; readonly request: string }
  | { readonly do: "kill"; readonly hosts: readonly string[] }
  | { readonly do: "restart"; readonly hosts: readonly string[] }
  | {
    readonly do: "pause";
    readonly hosts: readonly string[];
    readonly forMs: Milliseconds;
  }
  | { readonly do: "stop"; readonly hosts: readonly string[] }
  | {
    readonly do: "partition";
    readonly groups: readonly (readonly string[])[];
  }
  | {
    readonly do: "cut";
    readonly from: string;
    readonly to: readonly string[];
  }
  | { readonly do: "heal" }
  | {
    readonly do: "crash";
    readonly upstream: string;
    readonly forMs: Milliseconds;
  }
  | {
    readonly do: "slow";
    readonly upstream: string;
    readonly factor: number;
  }
  | { readonly do: "break-streams"; readonly upstream: string }
  | {
    readonly do: "cross-answers";
    readonly upstream: string;
    readonly what: "answer" | "body";
  }
  | { readonly do: "leave"; readonly upstreams: readonly string[] }
  | { readonly do: "roll"; readonly version: number }
  | {
    readonly do: "platform";
    readonly state: PlatformState;
    /** Affected hosts; all by default. */
    readonly hosts?: readonly string[];
  };

/** A step of a scenario: its trigger and its action. */
export type ScenarioStep = StepTrigger & ScenarioAction;

/** Outcome of a request as observed by its caller. */
export type ObservedOutcome = "whole" | "not-run" | "unknown";

/** Expected result of a request. */
export interface Expectation {
  /** Allowed outcomes. */
  readonly ends?: readonly ObservedOutcome[];
  /** Number of dispatches that reach an upstream. */
  readonly dispatches?: number;
}

/** Names of the upstreams of every scenario. */
export const SCENARIO_UPSTREAMS = [
  "drafter-01",
  "drafter-02",
  "drafter-03",
  "casefile-1",
  "casefile-2",
] as const;
/** Output tokens of a completion by default. */
export const DEFAULT_TOKENS = 8;
/** Deadline of a request by default. */
export const DEFAULT_DEADLINE_MS: Milliseconds = 15_000;
