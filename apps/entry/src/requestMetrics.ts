import type {
  Metrics,
  MetricTags,
  Milliseconds,
  Timer,
} from "@wasabivane/common";
import type { AcceptedRequest } from "./acceptedRequest.ts";
import type { ResponseEnd } from "./bufferedResponse.ts";
import type { DispatchSummary } from "./dispatch.ts";

/** Records the metrics of one request, by tier and client account. */
export class RequestMetrics {
  readonly #request: AcceptedRequest;
  readonly #metrics: Metrics;
  readonly #timer: Timer;
  readonly #tags: MetricTags;
  #lastTokenAt: Milliseconds | undefined;
  #longestGap = 0;
  #gapCount = 0;
  #totalGap = 0;

  constructor(
    request: AcceptedRequest,
    { metrics, timer }: { metrics: Metrics; timer: Timer },
  ) {
    this.#request = request;
    this.#metrics = metrics;
    this.#timer = timer;
    this.#tags = { tier: request.tier, account: request.account.account };
  }

  /** Records that the coordinator placed the request. */
  recordGrant(): void {
    this.#metrics.observe("request.waiting_ms", this.#age(), this.#tags);
  }

  /**
   * Records the first token, or the arrival of a response without streaming.
   */
  recordFirstToken(): void {
    this.#lastTokenAt = this.#timer.now();
    this.#metrics.observe("request.first_token_ms", this.#age(), this.#tags);
  }

  /**
   * Records a further token; only the mean and the longest gap are reported.
   */
  recordToken(): void {
    const now = this.#timer.now();
    const gap = now - (this.#lastTokenAt ?? now);
    this.#longestGap = Math.max(this.#longestGap, gap);
    this.#gapCount++;
    this.#totalGap += gap;
    this.#lastTokenAt = now;
  }

  /** Records a complete response of the upstream. */
  recordResponse({ outputTokens }: DispatchSummary): void {
    this.#metrics.observe("request.output_tokens", outputTokens, this.#tags);
    this.#metrics.observe(
      "request.prompt_tokens",
      this.#request.promptTokens,
      this.#tags,
    );
    // A response without streaming has no gaps between tokens.
    if (this.#gapCount > 0) {
      this.#metrics.observe(
        "request.between_tokens_ms",
        this.#totalGap / this.#gapCount,
        this.#tags,
      );
      this.#metrics.observe(
        "request.slowest_gap_ms",
        this.#longestGap,
        this.#tags,
      );
    }
  }

  /** Records the end of the request. */
  recordEnd(end: ResponseEnd): void {
    const ending = end.kind === "whole" ? "whole" : end.problem.ending;
    const problem = end.kind === "whole" ? "none" : end.problem.name;
    this.#metrics.observe("request.whole_ms", this.#age(), this.#tags);
    this.#metrics.count("request.ended", 1, {
      ending,
      problem,
      tier: this.#request.tier,
    });
  }

  #age(): Milliseconds {
    return this.#timer.now() - this.#request.acceptedAt;
  }
}
