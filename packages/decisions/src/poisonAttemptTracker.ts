import type { Digest, Milliseconds } from "@wasabivane/common";
import type { PoisonRequestDetector } from "./poisonRequestDetector.ts";
import type { AttemptReport } from "./types.ts";
import type { PoolAttempt } from "./upstreamState.ts";

/**
 * Reports attempts to a {@link PoisonRequestDetector} and marks upstreams that
 * run suspects.
 */
export class PoisonAttemptTracker {
  readonly #detector: PoisonRequestDetector;

  constructor(detector: PoisonRequestDetector) {
    this.#detector = detector;
  }

  /** Returns whether requests with this content are suspects. */
  isSuspect(fingerprint: Digest, now: Milliseconds): boolean {
    return this.#detector.statusOf(fingerprint, now).kind === "suspect";
  }

  /** Marks the upstream if the request that starts is a suspect. */
  recordStart(attempt: PoolAttempt, now: Milliseconds): void {
    if (!this.isSuspect(attempt.placementRequest.fingerprint, now)) return;
    attempt.state.suspectRequest = attempt.placementRequest.request;
  }

  /**
   * Records the outcome of an attempt, and a loss once for each lost upstream.
   */
  recordEnd(
    attempt: PoolAttempt,
    { outcome, outputTokens }: AttemptReport,
    now: Milliseconds,
  ): void {
    const { fingerprint } = attempt.placementRequest;
    if (outcome === "whole") this.#detector.recordCompletion(fingerprint, now);
    if (outcome !== "upstream-lost") return;
    this.#recordLoss(attempt, now);
    this.#detector.recordLossProgress(fingerprint, outputTokens, now);
  }

  #recordLoss(
    { state, isLossRecorded }: PoolAttempt,
    now: Milliseconds,
  ): void {
    if (isLossRecorded) return;
    const lost = [...state.attempts.values()];
    for (const attempt of lost) attempt.isLossRecorded = true;
    this.#detector.recordUpstreamLoss(
      state.description.upstream,
      lost.map(({ placementRequest }) => placementRequest.fingerprint),
      now,
    );
  }
}
