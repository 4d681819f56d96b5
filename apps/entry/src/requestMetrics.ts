import type {
  Metrics,
  MetricTags,
  Milliseconds,
  Timer,
} from "@wasabivane/common";
import type { AcceptedRequest } from "./acceptedRequest.ts";
import type { ResponseEnd } from "./bufferedResponse.ts";
import type { DispatchSummary } from "./dispatch.ts";

/** Histograms and counters of one request, by tier and client account. */
export class RequestMetrics {
  readonly #request: AcceptedRequest;
  readonly #metrics: Metrics;
  readonly #timer: Timer;
  readonly #tags: MetricTags;
  #lastTokenAt: Milliseconds | undefined;
  #slowestGap = 0;
  #gaps = 0;
  #gapsTotal = 0;

  constructor(
    request: AcceptedRequest,
    { metrics, timer }: { metrics: Metrics; timer: Timer },
  ) {
    this.#request = request;
    this.#metrics = metrics;
    this.#timer = timer;
    this.#tags = { tier: request.tier, account: request.account.account };
  }

  /** The keeper gave the request a place. */
  recordGrant(): void {
    this.#metrics.observe("request.waiting_ms", this.#age(), this.#tags);
  }

  /** The first token, or the head of a whole answer, arrived. */
  recordFirstToken(): void {
    this.#lastTokenAt = this.#timer.now();
    this.#metrics.observe("request.first_token_ms", this.#age(), this.#tags);
  }

  /** A further token arrived; one value for each would be too many, so an answer tells its mean and longest gap. */
  recordToken(): void {
    const now = this.#timer.now();
    const gap = now - (this.#lastTokenAt ?? now);
    this.#slowestGap = Math.max(this.#slowestGap, gap);
    this.#gaps++;
    this.#gapsTotal += gap;
    this.#lastTokenAt = now;
  }

  /** The upstream's answer is whole. */
  recordResponse({ outputTokens }: DispatchSummary): void {
    this.#metrics.observe("request.output_tokens", outputTokens, this.#tags);
    this.#metrics.observe(
      "request.prompt_tokens",
      this.#request.promptTokens,
      this.#tags,
    );
    // A whole answer arrives at once; it says nothing of the time between tokens.
    if (this.#gaps > 0) {
      this.#metrics.observe(
        "request.between_tokens_ms",
        this.#gapsTotal / this.#gaps,
        this.#tags,
      );
      this.#metrics.observe(
        "request.slowest_gap_ms",
        this.#slowestGap,
        this.#tags,
      );
    }
  }

  /** The request has its ending. */
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
