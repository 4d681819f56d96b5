import type { Milliseconds, ServiceId, UpstreamId } from "@wasabivane/common";
import { AnswerTimeModel } from "./answerTimeModel.ts";
import { LatencyMargin } from "./latencyMargin.ts";
import { FirstEventModel } from "./firstEventModel.ts";
import type { RouteId, UpstreamOutcome } from "./types.ts";
import { UpstreamHealth } from "./upstreamHealth.ts";
import { UpstreamPauses } from "./upstreamPauses.ts";
import { UpstreamSpeed } from "./upstreamSpeed.ts";
import { UpstreamWarmth } from "./upstreamWarmth.ts";

/** What one attempt showed of its upstream. */
export interface AttemptObservation {
  readonly upstream: UpstreamId;
  readonly service: ServiceId;
  readonly outcome: UpstreamOutcome;
  /** Time in its place. */
  readonly residence: Milliseconds;
  /** Times of an answer that came whole. */
  readonly times?: AnswerTimes;
}

/** How a whole answer came. */
export interface AnswerTimes {
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
export class UpstreamKnowledge {
  readonly health = new UpstreamHealth();
  readonly speed = new UpstreamSpeed();
  readonly firstEvents = new FirstEventModel(this.speed);
  readonly margins = new LatencyMargin();
  readonly answerTimes = new AnswerTimeModel(this.speed);
  readonly pauses = new UpstreamPauses(this.speed);
  readonly warmth = new UpstreamWarmth();

  /** Takes in what an attempt showed; true when its upstream is ejected by it. */
  learn(observation: AttemptObservation, now: Milliseconds): boolean {
    if (observation.outcome === "whole" && observation.times !== undefined) {
      this.#learnTimes(observation, observation.times);
    }
    const { upstream, outcome } = observation;
    const isEjected = this.health.observe(upstream, outcome, now);
    if (isEjected) {
      this.warmth.noteLost(upstream, this.health.ejectedUntil(upstream));
    }
    return isEjected;
  }

  /** An upstream is gone for good. */
  forget(upstream: UpstreamId): void {
    this.health.forget(upstream);
    this.speed.forget(upstream);
    this.pauses.forget(upstream);
    this.warmth.forget(upstream);
  }

  /** A stream shows its speed by its pauses, a plain answer by its whole time. */
  #learnTimes(
    { service, upstream, residence }: AttemptObservation,
    { route, expectedTokens, promptTokens, latency, events, ...times }:
      AnswerTimes,
  ): void {
    const duration = residence - latency;
    const { ownTokens, latePauses } = times;
    const expected = this.firstEvents.expected(service, {
      promptTokens: ownTokens,
    });
    this.margins.observe(route, latency - expected);
    this.firstEvents.observe({
      service,
      upstream,
      promptTokens,
      duration: latency,
    });
    this.answerTimes.observe({
      route,
      service,
      upstream,
      expectedTokens,
      duration,
    });
    if (events > 0) {
      this.pauses.observe({ service, upstream, latePauses, duration });
    }
    if (events === 1) return;
    this.speed.observe({
      service,
      upstream,
      duration: events === 0 ? residence : duration / (events - 1),
    });
  }
}
