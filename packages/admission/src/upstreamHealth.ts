import type { Milliseconds, UpstreamId } from "@wasabivane/common";
import type { UpstreamOutcome } from "./types.ts";

/** Duration of the first ejection of an upstream. */
const FIRST_EJECTION_MS: Milliseconds = 400;
/** Longest ejection; crashed upstreams are usually back within seconds. */
const MAXIMUM_EJECTION_MS: Milliseconds = 3_000;
/** Consecutive broken or missing responses that eject an upstream. */
const CONSECUTIVE_BREAKS = 2;
/** Failures of many requests within this time count as one loss. */
const SAME_LOSS_MS: Milliseconds = 300;
/** Weight of the newest outcome in the failure share, over about 12 of them. */
const FAILURE_WEIGHT = 0.08;

interface Health {
  consecutiveBreaks: number;
  ejections: number;
  ejectedUntil: Milliseconds;
  lostAt: Milliseconds;
  failureShare: number;
}

/** Ejection of an upstream, as announced to peers. */
export interface EjectionNotice {
  readonly upstream: UpstreamId;
  readonly until: Milliseconds;
}

/**
 * Tracks failures of upstreams and ejects those that seem lost, based on
 * requests only.
 *
 * A dead upstream seems free and would otherwise attract most requests, and a
 * health check can succeed while requests fail. A failed connection ejects at
 * once; a broken response may be caused by the request, so it takes several in
 * a row. Ejections grow exponentially up to a limit. A share of failures never
 * ejects, as it may be usual for the service; it only raises the cost of the
 * upstream.
 */
export class UpstreamHealth {
  readonly #health = new Map<UpstreamId, Health>();

  /** Records an outcome; returns whether it ejects the upstream. */
  observe(
    upstream: UpstreamId,
    outcome: UpstreamOutcome,
    now: Milliseconds,
  ): boolean {
    if (outcome === "cancelled" || outcome === "unsent") return false;
    const health = this.#healthOf(upstream);
    const isFailure = outcome !== "whole";
    health.failureShare += FAILURE_WEIGHT *
      ((isFailure ? 1 : 0) - health.failureShare);
    if (outcome === "unreachable") return this.#eject(health, now);
    if (outcome === "broken" || outcome === "silent") {
      health.consecutiveBreaks++;
      return health.consecutiveBreaks >= CONSECUTIVE_BREAKS &&
        this.#eject(health, now);
    }
    health.consecutiveBreaks = 0;
    if (!isFailure && now >= health.ejectedUntil) health.ejections = 0;
    return false;
  }

  /** Applies an ejection by a peer. */
  applyNotice({ upstream, until }: EjectionNotice, now: Milliseconds): void {
    const health = this.#healthOf(upstream);
    const bounded = Math.min(until, now + MAXIMUM_EJECTION_MS);
    health.ejectedUntil = Math.max(health.ejectedUntil, bounded);
  }

  isEjected(upstream: UpstreamId, now: Milliseconds): boolean {
    return this.ejectedUntil(upstream) > now;
  }

  /** Returns when the last ejection ends or ended; 0 if there was none. */
  ejectedUntil(upstream: UpstreamId): Milliseconds {
    return this.#health.get(upstream)?.ejectedUntil ?? 0;
  }

  /**
   * Returns the share of recent requests without a complete response, 0 to 1.
   */
  failureShare(upstream: UpstreamId): number {
    return this.#health.get(upstream)?.failureShare ?? 0;
  }

  /** Returns the current ejections, for the peers. */
  activeEjections(now: Milliseconds): EjectionNotice[] {
    const notices: EjectionNotice[] = [];
    for (const [upstream, { ejectedUntil }] of this.#health) {
      if (ejectedUntil > now) notices.push({ upstream, until: ejectedUntil });
    }
    return notices;
  }

  forget(upstream: UpstreamId): void {
    this.#health.delete(upstream);
  }

  #eject(health: Health, now: Milliseconds): boolean {
    if (now - health.lostAt < SAME_LOSS_MS) return false;
    const span = FIRST_EJECTION_MS * 2 ** health.ejections;
    health.lostAt = now;
    health.ejections++;
    health.consecutiveBreaks = 0;
    health.ejectedUntil = now + Math.min(span, MAXIMUM_EJECTION_MS);
    return true;
  }

  #healthOf(upstream: UpstreamId): Health {
    let health = this.#health.get(upstream);
    if (health === undefined) {
      health = {
        consecutiveBreaks: 0,
        ejections: 0,
        ejectedUntil: 0,
        lostAt: -Infinity,
        failureShare: 0,
      };
      this.#health.set(upstream, health);
    }
    return health;
  }
}
