import type {
  ElapsedClock,
  FailureDomain,
  HostId,
  Milliseconds,
  Random,
  Timer,
  UpstreamId,
} from "@wasabivane/common";
import type {
  Completion,
  Crash,
  DirectLinks,
  EventLoopLag,
  LoadShedder,
  PartCompletion,
  PartCrash,
  PartCrashDetector,
  PlacementClient,
  PoisonRequestDetector,
  QuotaLimiter,
  RetryBudget,
  Upstream,
  UpstreamActivity,
  UpstreamDirectory,
  UpstreamStats,
} from "@wasabivane/admission";
import type { CrashChecks } from "./crashChecks.ts";
import type { DecisionLog } from "./decisionLog.ts";
import type { Dialect } from "./dialect.ts";
import type { GatewayMetrics } from "./gatewayMetrics.ts";
import type { HostMemory } from "./hostMemory.ts";
import type { MalformedReports } from "./malformedReports.ts";
import type { PolicyState } from "./policyState.ts";
import type { QuotaGate } from "./quotaGate.ts";
import type { ServingWindow } from "./servingWindow.ts";
import type { StreamOrigins } from "./streamOrigins.ts";
import type { UncaughtErrors } from "./uncaughtErrors.ts";
import type { UnknownHeaders } from "./unknownHeaders.ts";
import type { UpstreamConnections } from "./upstreamConnections.ts";

/** Holds the objects that the components of one process share. */
export interface GatewayContext {
  readonly host: HostId;
  readonly failureDomain: FailureDomain;
  readonly timer: Timer;
  readonly elapsed: ElapsedClock;
  readonly random: Random;
  readonly dialect: Dialect;
  readonly log: DecisionLog;
  readonly metrics: GatewayMetrics;
  /** Errors that ended the work of one event. */
  readonly errors: UncaughtErrors;
  readonly unknownHeaders: UnknownHeaders;
  /** Load reports that could not be read whole. */
  readonly malformedReports: MalformedReports;
  /** Bounds what the process holds of what others send. */
  readonly memory: HostMemory;
  readonly policies: PolicyState;
  readonly directory: UpstreamDirectory;
  /** Statistics of how upstreams have served requests. */
  readonly upstreamStats: UpstreamStats;
  /** Progress of this host's streams, by upstream. */
  readonly upstreamActivity: UpstreamActivity;
  /** Assigns upstream slots to this host's requests. */
  readonly placementClient: PlacementClient;
  /**
   * Returns the request starts per second that an upstream takes while warming
   * up from all hosts; `undefined` for no limit.
   */
  readonly coldStartsOf: (upstream: Upstream) => number | undefined;
  readonly quotas: QuotaLimiter;
  readonly quotaGate: QuotaGate;
  readonly retries: RetryBudget;
  readonly crashes: PoisonRequestDetector;
  readonly partCrashes: PartCrashDetector;
  readonly crashChecks: CrashChecks;
  /** Whether nothing listens at an upstream's address any more. */
  readonly isRefusing: (upstream: Upstream) => Promise<boolean>;
  /** Where streams began, so that they go on at the same software version. */
  readonly streamOrigins: StreamOrigins;
  readonly lag: EventLoopLag;
  readonly shedding: LoadShedder;
  readonly connections: UpstreamConnections;
  /** Links of this host to upstreams that peers reach. */
  readonly directLinks: DirectLinks;
  /**
   * Tells the peers that take part in relays to an upstream for how long it
   * wants no requests.
   */
  readonly announceBackoff: (
    upstream: UpstreamId,
    span: Milliseconds,
  ) => void;
  /** Announces to peers that a request crashed an upstream. */
  readonly announceCrash: (crash: Crash) => void;
  /** Announces to peers that a request does not crash its upstream. */
  readonly announceCompletion: (completion: Completion) => void;
  /** Announces to peers which prompt parts were at a crash. */
  readonly announcePartCrash: (crash: PartCrash) => void;
  /** Announces to peers that a prompt part does not crash its upstream. */
  readonly announcePartCompletion: (completion: PartCompletion) => void;
  /** Removes an upstream whose address now belongs to another one. */
  readonly removeReplaced: (upstream: UpstreamId) => void;
  /** Takes an upstream out of use that says in a response that it is leaving. */
  readonly reportLeaving: (upstream: UpstreamId) => void;
  /**
   * Re-evaluates queued requests after a change of upstreams or their health.
   */
  readonly reviewQueues: () => void;
  /** Returns the number of hosts that are heard, including this one. */
  readonly hostCount: () => number;
  /** Whether this host hears none of the hosts that its settings name. */
  readonly isAlone: () => boolean;
  /**
   * Returns the number of hosts that may be spending the retry budget; `Infinity`
   * while that is unknown.
   */
  readonly retryingHosts: () => number;
  readonly isStopping: () => boolean;
  /** Which requests can still be served before the process ends. */
  readonly servingWindow: ServingWindow;
}
