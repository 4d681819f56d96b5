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
  Crash,
  EventLoopLag,
  LoadShedder,
  PlacementClient,
  PoisonRequestDetector,
  QuotaLimiter,
  RetryBudget,
  Upstream,
  UpstreamActivity,
  UpstreamDirectory,
  UpstreamStats,
} from "@wasabivane/admission";
import type { DecisionLog } from "./decisionLog.ts";
import type { Dialect } from "./dialect.ts";
import type { GatewayMetrics } from "./gatewayMetrics.ts";
import type { PolicyState } from "./policyState.ts";
import type { UpstreamConnections } from "./upstreamConnections.ts";

/** What the parts of one process share. */
export interface GatewayContext {
  readonly host: HostId;
  readonly failureDomain: FailureDomain;
  readonly timer: Timer;
  readonly elapsed: ElapsedClock;
  readonly random: Random;
  readonly dialect: Dialect;
  readonly log: DecisionLog;
  readonly metrics: GatewayMetrics;
  readonly policies: PolicyState;
  readonly directory: UpstreamDirectory;
  /** What is known of the upstreams from how they served. */
  readonly knowledge: UpstreamStats;
  /** When streams of this host moved last. */
  readonly signs: UpstreamActivity;
  /** Where requests of this host seek their places. */
  readonly places: PlacementClient;
  /** Starts in one second that a cold upstream bears over all hosts; `undefined` for any. */
  readonly coldStartsOf: (upstream: Upstream) => number | undefined;
  readonly quotas: QuotaLimiter;
  readonly retries: RetryBudget;
  readonly crashes: PoisonRequestDetector;
  /** How far this host is behind its own work. */
  readonly lag: EventLoopLag;
  readonly shedding: LoadShedder;
  readonly connections: UpstreamConnections;
  /** Tells the peers that a request crashed an upstream. */
  readonly tellCrash: (crash: Crash) => void;
  /** Takes an upstream out whose address answers for another one. */
  readonly dropReplaced: (upstream: UpstreamId) => void;
  /** Upstreams or their health have changed; lines are looked at again. */
  readonly reviewPlaces: () => void;
  /** Hosts that share budgets, this one included. */
  readonly hostCount: () => number;
  readonly isStopping: () => boolean;
  /** When the process ends after an order to stop; `Infinity` without one. */
  readonly stopsAt: () => Milliseconds;
}
