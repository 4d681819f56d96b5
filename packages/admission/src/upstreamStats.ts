import type { Milliseconds, ServiceId, UpstreamId } from "@wasabivane/common";
import { ResponseDurationModel } from "./responseDurationModel.ts";
import { LatencyMargin } from "./latencyMargin.ts";
import { FirstEventModel } from "./firstEventModel.ts";
import type { RouteId, UpstreamOutcome } from "./types.ts";
import { UpstreamHealth } from "./upstreamHealth.ts";
import { PauseRiskModel } from "./pauseRiskModel.ts";
import { UpstreamSpeed } from "./upstreamSpeed.ts";
import { UpstreamWarmup } from "./upstreamWarmup.ts";

/** What one attempt showed of its upstream. */
export interface AttemptObservation {
  readonly upstream: UpstreamId;
  readonly service: ServiceId;
  readonly outcome: UpstreamOutcome;
  /** Time in its place. */
  readonly residence: Milliseconds;
  /** Times of an answer that came whole. */
  readonly times?: ResponseTimings;
}

/** How a whole answer came. */
export interface ResponseTimings {
  readonly route: RouteId;
  /** Tokens that its caller expected; 0 where it did not say. */
  readonly expectedTokens: number;
  /** Tokens that the upstream read before the first event, those ahead included. */
  readonly promptTokens: number;
  /** Tokens of its own prompt. */
  readonly ownTokens: number;
  /** To the first event, or to the whole plain answer. */
  readonly latency: Milliseconds;
  /** Events of a stream; 0 for a plain answer. */
  readonly events: number;
  /** Pauses that were longer than the route's target. */
  readonly latePauses: number;
}

/** What is known of the upstreams from how they served. */
export class UpstreamStats {
  readonly health = new UpstreamHealth();
  readonly speed = new UpstreamSpeed();
  readonly firstEvents = new FirstEventModel(this.speed);
  readonly latencyMargins = new LatencyMargin();
  readonly responseDurations = new ResponseDurationModel(this.speed);
  readonly pauseRisks = new PauseRiskModel(this.speed);
  readonly warmup = new UpstreamWarmup();

  /** Takes in what an attempt showed; true when its upstream is ejected by it. */
  record(observation: AttemptObservation, now: Milliseconds): boolean {
    if (observation.outcome === "whole" && observation.times !== undefined) {
      this.#learnTimes(observation, observation.times);
    }
    const { upstream, outcome } = observation;
    const isEjected = this.health.observe(upstream, outcome, now);
    if (isEjected) {
      this.warmup.recordLoss(upstream, this.health.ejectedUntil(upstream));
    }
    return isEjected;
  }

  /** An upstream is gone for good. */
  forget(upstream: UpstreamId): void {
    this.health.forget(upstream);
    this.speed.forget(upstream);
    this.pauseRisks.forget(upstream);
    this.warmup.forget(upstream);
  }

  /** A stream shows its speed by its pauses, a plain answer by its whole time. */
  #learnTimes(
    { service, upstream, residence }: AttemptObservation,
    { route, expectedTokens, promptTokens, latency, events, ...times }:
      ResponseTimings,
  ): void {
    const duration = residence - latency;
    const { ownTokens, latePauses } = times;
    const expected = this.firstEvents.expected(service, {
      promptTokens: ownTokens,
    });
    this.latencyMargins.observe(route, latency - expected);
    this.firstEvents.observe({
      service,
      upstream,
      promptTokens,
      duration: latency,
    });
    this.responseDurations.observe({
      route,
      service,
      upstream,
      expectedTokens,
      duration,
    });
    if (events > 0) {
      this.pauseRisks.observe({ service, upstream, latePauses, duration });
    }
    if (events === 1) return;
    this.speed.observe({
      service,
      upstream,
      duration: events === 0 ? residence : duration / (events - 1),
    });
  }
}
