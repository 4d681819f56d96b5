import type { Milliseconds, ServiceId, UpstreamId } from "@wasabivane/common";
import { AttemptDurationModel } from "./attemptDurationModel.ts";
import { ResponseDurationModel } from "./responseDurationModel.ts";
import { LatencyMargin } from "./latencyMargin.ts";
import { FirstEventModel } from "./firstEventModel.ts";
import { LinkFailures } from "./linkFailures.ts";
import { MomentarySlowdown } from "./momentarySlowdown.ts";
import { RejectionTolerances } from "./rejectionTolerances.ts";
import type { RouteId, UpstreamOutcome } from "./types.ts";
import { UpstreamHealth } from "./upstreamHealth.ts";
import { UpstreamRateLimits } from "./upstreamRateLimits.ts";
import { PauseRiskModel } from "./pauseRiskModel.ts";
import { type SpeedSample, UpstreamSpeed } from "./upstreamSpeed.ts";
import { UpstreamWarmup } from "./upstreamWarmup.ts";

/** What an attempt showed about its upstream. */
export interface AttemptObservation {
  readonly upstream: UpstreamId;
  readonly service: ServiceId;
  readonly outcome: UpstreamOutcome;
  /** Time in its slot. */
  readonly residence: Milliseconds;
  /** Present if the response was complete. */
  readonly times?: ResponseTimings;
}

/** Timings of a complete response. */
export interface ResponseTimings {
  readonly route: RouteId;
  /** Response length in tokens that the caller expected; 0 if it gave none. */
  readonly expectedTokens: number;
  /**
   * Prompt tokens processed before the first event, including those of requests
   * ahead.
   */
  readonly promptTokens: number;
  /** Prompt tokens of the request itself. */
  readonly ownTokens: number;
  /** Time to the first event, or to the complete response without streaming. */
  readonly latency: Milliseconds;
  /** Number of events of a stream; 0 without streaming. */
  readonly events: number;
  /** Number of pauses longer than the route's target. */
  readonly latePauses: number;
}

/** Statistics about upstreams, learned from the attempts they served. */
export class UpstreamStats {
  /** Health of upstreams as the attempts of this host show it. */
  readonly health = new UpstreamHealth();
  readonly links = new LinkFailures();
  readonly speed = new UpstreamSpeed();
  /** How long work takes at the moment, as upstreams report it. */
  readonly slowdowns = new MomentarySlowdown();
  readonly firstEvents = new FirstEventModel(this.speed);
  readonly latencyMargins = new LatencyMargin();
  readonly responseDurations = new ResponseDurationModel(this.speed);
  /** How long whole attempts may take. */
  readonly attemptDurations = new AttemptDurationModel(this);
  readonly pauseRisks = new PauseRiskModel(this.speed);
  readonly warmup = new UpstreamWarmup();
  readonly rateLimits = new UpstreamRateLimits();
  readonly tolerances = new RejectionTolerances();

  /**
   * Records an attempt of this host; returns whether it ejects the upstream for
   * this host.
   */
  record(observation: AttemptObservation, now: Milliseconds): boolean {
    this.recordResponse(observation, now);
    const { upstream, outcome } = observation;
    this.links.observe(upstream, outcome, now);
    const isEjected = this.health.observe(upstream, outcome, now);
    if (isEjected && !this.links.isCutOff(now)) {
      this.recordEjection(observation, this.health.ejectedUntil(upstream));
    }
    return isEjected;
  }

  /**
   * Records that an upstream is used again at the given time. It may have
   * restarted, unless it was only silent: then it goes on as before.
   */
  recordEjection(
    { upstream, outcome }: Pick<AttemptObservation, "upstream" | "outcome">,
    until: Milliseconds,
  ): void {
    if (outcome !== "silent") this.warmup.recordLoss(upstream, until);
  }

  /** Records what a response to any host shows. */
  recordResponse(observation: AttemptObservation, now: Milliseconds): void {
    const { upstream, outcome, times } = observation;
    if (outcome === "not-run") this.tolerances.recordRejection(upstream, now);
    const isComplete = outcome === "whole" && times !== undefined;
    if (isComplete) this.#recordTimes(observation, times, now);
  }

  /** Records the time per event of a stream that still runs. */
  recordEventInterval(sample: SpeedSample, now: Milliseconds): void {
    const duration = sample.duration / this.slowdowns.factor(sample, now);
    this.speed.observe({ ...sample, duration });
  }

  /** Drops the statistics of an upstream that is gone for good. */
  forget(upstream: UpstreamId): void {
    this.health.forget(upstream);
    this.speed.forget(upstream);
    this.slowdowns.forget(upstream);
    this.pauseRisks.forget(upstream);
    this.warmup.forget(upstream);
    this.rateLimits.forget(upstream);
    this.tolerances.forget(upstream);
  }

  /**
   * Records the timings of a complete response. The speed is measured by the
   * time per event of a stream, or by the total time of other responses. All
   * times are divided by the slowdown that the upstream reported, so that the
   * usual times are learned.
   */
  #recordTimes(
    { service, upstream, residence }: AttemptObservation,
    { route, expectedTokens, promptTokens, latency, events, ...timings }:
      ResponseTimings,
    now: Milliseconds,
  ): void {
    const duration = residence - latency;
    const { ownTokens, latePauses } = timings;
    const work = { service, upstream };
    const period = { from: now - residence, until: now };
    const { slowdowns } = this;
    this.attemptDurations.observe(
      { route, service, promptTokens: ownTokens, expectedTokens },
      residence,
    );
    const beforeFirstEvent = { ...period, until: period.from + latency };
    const expected = this.firstEvents.expected(service, {
      promptTokens: ownTokens,
    });
    this.latencyMargins.observe(route, latency - expected);
    this.firstEvents.observe({
      ...work,
      promptTokens,
      duration: latency / slowdowns.relativeDuring(work, beforeFirstEvent),
    });
    this.responseDurations.observe({
      ...work,
      route,
      expectedTokens,
      duration: duration / slowdowns.relativeDuring(work, period),
    });
    if (events > 0) {
      this.pauseRisks.observe({ ...work, latePauses, duration });
    }
    if (events === 1) return;
    const unit = events === 0 ? residence : duration / (events - 1);
    const slowdown = slowdowns.during(work, period);
    this.speed.observe({ ...work, duration: unit / slowdown });
    slowdowns.observe({ ...work, duration: unit, period });
  }
}
