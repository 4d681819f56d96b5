import type { Digest, Milliseconds } from "@wasabivane/common";
import type { PoisonRequestDetector } from "./poisonRequestDetector.ts";
import type { AttemptReport } from "./types.ts";
import type { PoolAttempt } from "./upstreamState.ts";

/** Tells {@link PoisonRequestDetector} what happens to the requests in flight, and keeps suspects apart. */
export class PoisonAttemptTracker {
  readonly #suspects: PoisonRequestDetector;

  constructor(suspects: PoisonRequestDetector) {
    this.#suspects = suspects;
  }

  isSuspect(fingerprint: Digest, now: Milliseconds): boolean {
    return this.#suspects.statusOf(fingerprint, now).kind === "suspect";
  }

  /** A request starts; a suspect keeps other suspects off its upstream. */
  recordStart(attempt: PoolAttempt, now: Milliseconds): void {
    if (!this.isSuspect(attempt.placementRequest.fingerprint, now)) return;
    attempt.state.suspectRequest = attempt.placementRequest.request;
  }

  /** A request ended; all that was in flight at a lost upstream was lost with it. */
  recordEnd(
    attempt: PoolAttempt,
    { outcome, outputTokens }: AttemptReport,
    now: Milliseconds,
  ): void {
    const { fingerprint } = attempt.placementRequest;
    if (outcome === "whole") this.#suspects.recordCompletion(fingerprint, now);
    if (outcome !== "upstream-lost") return;
    this.#learnLoss(attempt, now);
    this.#suspects.recordLossProgress(fingerprint, outputTokens, now);
  }

  #learnLoss(
    { state, isLossRecorded: isLost }: PoolAttempt,
    now: Milliseconds,
  ): void {
    if (isLost) return;
    const lost = [...state.attempts.values()];
    for (const attempt of lost) attempt.isLossRecorded = true;
    this.#suspects.recordUpstreamLoss(
      state.description.upstream,
      lost.map(({ placementRequest: ask }) => ask.fingerprint),
      now,
    );
  }
}
