import type { UpstreamId } from "@wasabivane/common";
import type { DecisionLog } from "./decisionLog.ts";
import type { GatewayMetrics } from "./gatewayMetrics.ts";

/** Dependencies of {@link MalformedReports}. */
export interface MalformedReportsOptions {
  readonly metrics: GatewayMetrics;
  readonly log: DecisionLog;
}

/**
 * Counts load reports of upstreams that cannot be read whole, and logs the first
 * one of each upstream.
 */
export class MalformedReports {
  readonly #options: MalformedReportsOptions;
  readonly #logged = new Set<UpstreamId>();

  constructor(options: MalformedReportsOptions) {
    this.#options = options;
  }

  record(upstream: UpstreamId): void {
    const { metrics, log } = this.#options;
    metrics.count("load_reports_malformed");
    if (this.#logged.has(upstream)) return;
    this.#logged.add(upstream);
    log.write("load_report_malformed", { upstream });
  }

  forget(upstream: UpstreamId): void {
    this.#logged.delete(upstream);
  }
}
