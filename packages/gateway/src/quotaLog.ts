import type { Milliseconds } from "@wasabivane/common";
import type { GatewayContext } from "./gatewayContext.ts";

/** Interval of log lines. */
const LOG_INTERVAL_MS: Milliseconds = 1_000;
/** Accounts that are named in an interval. */
const MAXIMUM_ACCOUNTS = 8;

/**
 * Logs what this host admits for accounts that are over their quota, and the
 * credit that it has left.
 */
export class QuotaLog {
  readonly #context: Pick<GatewayContext, "log" | "metrics" | "quotas">;
  #loggedAt: Milliseconds = -Infinity;

  constructor(context: Pick<GatewayContext, "log" | "metrics" | "quotas">) {
    this.#context = context;
  }

  /** Writes a line for each such account, at most once a second. */
  tick(now: Milliseconds): void {
    if (now - this.#loggedAt < LOG_INTERVAL_MS) return;
    this.#loggedAt = now;
    const { log, metrics, quotas } = this.#context;
    let lines = 0;
    for (const [account, counts] of quotas.takeCounts()) {
      const { admittedUnits, refusedRequests } = counts;
      metrics.count("quota_units_admitted", admittedUnits);
      metrics.count("quota_requests_refused", refusedRequests);
      if (refusedRequests === 0 || lines++ >= MAXIMUM_ACCOUNTS) continue;
      log.write("account_over_quota", {
        account,
        admittedUnits,
        refusedRequests,
        credit: Math.round(quotas.credit(account) ?? 0),
      });
    }
  }
}
