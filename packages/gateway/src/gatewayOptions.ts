import type {
  Address,
  FailureDomain,
  HostId,
  Incarnation,
  Milliseconds,
  Random,
  Timer,
} from "@wasabivane/common";
import type {
  PolicyFreshnessOptions,
  QuotaTolerance,
  RetryBudgetOptions,
} from "@wasabivane/admission";
import type { LogOutput } from "./decisionLog.ts";
import type { Dialect } from "./dialect.ts";
import type { OperatorAddresses } from "./operatorServers.ts";

/** Listen addresses of a host, each `ip:port`. */
export interface GatewayAddresses extends OperatorAddresses {
  readonly callers: string;
}

/**
 * Tolerance for request starts at an upstream that is warming up: `factor`
 * times the policy's rate plus `slack`.
 */
export interface WarmupTolerance {
  readonly factor: number;
  readonly slack: number;
}

/** Options of a {@link Gateway}. */
export interface GatewayOptions {
  readonly host: HostId;
  readonly incarnation: Incarnation;
  readonly failureDomain: FailureDomain;
  readonly addresses: GatewayAddresses;
  readonly seeds: readonly Address[];
  /** Whether no host has served a request before. */
  readonly isFirstStart?: boolean;
  /** Processor cores available to this host; may be fractional. */
  readonly cores: number;
  readonly readinessPath: string;
  readonly freshness: PolicyFreshnessOptions;
  readonly retryBudget: RetryBudgetOptions;
  /** Tolerance by which all hosts together may exceed a quota. */
  readonly quotaTolerance: QuotaTolerance;
  /**
   * Tolerance by which all hosts together may exceed the start rate of an
   * upstream that is warming up.
   */
  readonly warmupTolerance: WarmupTolerance;
  /** Time for a connection to an upstream, from this host or a peer. */
  readonly connectTimeout?: Milliseconds;
  /** Time after which the store drops an upstream's entry that is not renewed. */
  readonly entryLease?: Milliseconds;
  /** Event-loop lag below which no request is shed and no relay refused. */
  readonly lowestLag?: Milliseconds;
  /** Bytes of memory that the process may use; no limit if absent. */
  readonly memoryLimit?: number;
  /** Connections that the process may have open; no limit if absent. */
  readonly connectionLimit?: number;
  /** Time from the stop signal to the kill. */
  readonly shutdownGrace: Milliseconds;
  readonly dialect: Dialect;
  readonly timer: Timer;
  readonly random: Random;
  readonly output: LogOutput;
}
