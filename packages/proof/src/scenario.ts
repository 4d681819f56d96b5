import type { Milliseconds } from "@wasabivane/common";

/**
 * The language of the scenarios: plain data, so that a seeded generator writes
 * it, a failing one is shrunk by leaving steps out, and one file holds one story.
 */
export interface FaultScenario {
  /** Names the failure. */
  readonly name: string;
  /** Entry hosts `entry-1` and so on, spread over three failure domains. */
  readonly hosts?: number;
  /** Decides everything that is left to chance. */
  readonly seed?: number;
  readonly link?: ScenarioLink;
  /** How a host's wall clock differs from the true time. */
  readonly clockSkewMs?: Readonly<Record<string, Milliseconds>>;
  /** Bound on waiting work of each service, for bursts. */
  readonly maximumWaitingTokens?: number;
  /** Requests that one upstream runs at once. */
  readonly concurrency?: number;
  /** Whether the platform answers from the start. */
  readonly platformAtStart?: PlatformState;
  readonly requests: Readonly<Record<string, ScenarioRequest>>;
  readonly story: readonly ScenarioStep[];
  /** What the caller of a request must see beyond the promises that hold for all. */
  readonly expect?: Readonly<Record<string, Expectation>>;
}

/** Faults of the network among entry hosts, for the whole scenario. */
export interface ScenarioLink {
  readonly delayMs?: Milliseconds;
  readonly jitterMs?: Milliseconds;
  readonly dropShare?: number;
  readonly duplicateShare?: number;
}

/** Whether hosts can read the platform, and what they read. */
export type PlatformState = "up" | "down" | "stale";

/**
 * - `draft`: a streamed completion; may be repeated by its caller.
 * - `answer`: a completion that comes whole.
 * - `save`: a call of the plain service that must not run twice.
 * - `lookup`: a call of the plain service that may be repeated.
 * - `review`: a completion in the job form.
 * - `export`: a call of the plain service in the job form.
 */
export type RequestKind =
  | "draft"
  | "answer"
  | "save"
  | "lookup"
  | "review"
  | "export";

/** One request of a caller; every resend is the same request. */
export interface ScenarioRequest {
  readonly kind: RequestKind;
  /** Without a key the request is never sent again. */
  readonly hasKey?: boolean;
  readonly tier?: number;
  readonly account?: string;
  /** Tokens of the answer of a model engine. */
  readonly tokens?: number;
  /** Tokens of the prompt, about. */
  readonly promptTokens?: number;
  readonly deadlineMs?: Milliseconds;
  /** Crashes the upstream that runs it. */
  readonly isPoison?: boolean;
}

/** When a step happens: at a time from the start of the story, or after an event. */
export type StepTrigger =
  | { readonly at: Milliseconds }
  | {
    readonly once: {
      readonly request: string;
      readonly is: "dispatched" | "ended" | "accepted";
    };
    readonly after?: Milliseconds;
  };

/** What happens. */
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
    /** Only these hosts; all when left out. */
    readonly hosts?: readonly string[];
  };

/** One step of a story. */
export type ScenarioStep = StepTrigger & ScenarioAction;

/** How a request ended for its caller. */
export type ObservedOutcome = "whole" | "not-run" | "unknown";

/** What must be true of one request in the end. */
export interface Expectation {
  readonly ends?: readonly ObservedOutcome[];
  /** Dispatches that reached upstreams. */
  readonly dispatches?: number;
}

/** Upstreams that every scenario has. */
export const SCENARIO_UPSTREAMS = [
  "drafter-01",
  "drafter-02",
  "drafter-03",
  "casefile-1",
  "casefile-2",
] as const;
/** Tokens of an answer that says nothing else. */
export const DEFAULT_TOKENS = 8;
/** Bounds every request, so that a story has an end. */
export const DEFAULT_DEADLINE_MS: Milliseconds = 15_000;
