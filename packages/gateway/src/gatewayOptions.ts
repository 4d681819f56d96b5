import type {
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
import type { OperatorAddresses } from "./operatorPorts.ts";

/** Where a host listens; all are `ip:port`. */
export interface GatewayAddresses extends OperatorAddresses {
  readonly callers: string;
}

/** Starts in a second: so many times those that the policy names, and so many more. */
export interface WarmupTolerance {
  readonly factor: number;
  readonly slack: number;
}

/** What a {@link Gateway} is built from. */
export interface GatewayOptions {
  readonly host: HostId;
  readonly incarnation: Incarnation;
  readonly failureDomain: FailureDomain;
  readonly addresses: GatewayAddresses;
  readonly seeds: readonly string[];
  /** Processor cores that this host may use, also a fraction of one. */
  readonly cores: number;
  readonly readinessPath: string;
  readonly freshness: PolicyFreshnessOptions;
  readonly retryBudget: RetryBudgetOptions;
  /** By how much all hosts together may exceed a quota. */
  readonly quotaTolerance: QuotaTolerance;
  /** By how much all hosts together may exceed the starts that a cold upstream bears. */
  readonly warmupTolerance: WarmupTolerance;
  /** A host that is less behind its own work takes every request. */
  readonly lowestLag?: Milliseconds;
  /** From the order to stop to the kill. */
  readonly shutdownGrace: Milliseconds;
  readonly dialect: Dialect;
  readonly timer: Timer;
  readonly random: Random;
  readonly output: LogOutput;
}
