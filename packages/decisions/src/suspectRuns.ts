import type { Digest, Milliseconds } from "@wasabivane/common";
import type { Suspects } from "./suspects.ts";
import type { AttemptReport } from "./types.ts";
import type { PoolAttempt } from "./upstreamState.ts";

/** Tells {@link Suspects} what happens to the requests in flight, and keeps suspects apart. */
export class SuspectRuns {
  readonly #suspects: Suspects;

  constructor(suspects: Suspects) {
    this.#suspects = suspects;
  }

  isSuspect(fingerprint: Digest, now: Milliseconds): boolean {
    return this.#suspects.verdict(fingerprint, now).kind === "suspect";
  }

  /** A request starts; a suspect keeps other suspects off its upstream. */
  started(attempt: PoolAttempt, now: Milliseconds): void {
    if (!this.isSuspect(attempt.ask.fingerprint, now)) return;
    attempt.state.suspect = attempt.ask.request;
  }

  /** A request ended; all that was in flight at a lost upstream was lost with it. */
  ended(
    attempt: PoolAttempt,
    { outcome, outputTokens }: AttemptReport,
    now: Milliseconds,
  ): void {
    const { fingerprint } = attempt.ask;
    if (outcome === "whole") this.#suspects.answeredWhole(fingerprint, now);
    if (outcome !== "upstream-lost") return;
    this.#learnLoss(attempt, now);
    this.#suspects.lostAfter(fingerprint, outputTokens, now);
  }

  #learnLoss({ state, isLost }: PoolAttempt, now: Milliseconds): void {
    if (isLost) return;
    const lost = [...state.attempts.values()];
    for (const attempt of lost) attempt.isLost = true;
    this.#suspects.upstreamLost(
      state.description.upstream,
      lost.map(({ ask }) => ask.fingerprint),
      now,
    );
  }
}
