import type { Milliseconds, UpstreamId } from "@wasabivane/common";
import type { UpstreamOutcome } from "./types.ts";

/** First time that an upstream gets no work after a sign of loss. */
const FIRST_EJECTION_MS: Milliseconds = 400;
/** Crashed upstreams are back after some seconds; a later look costs callers. */
const MAXIMUM_EJECTION_MS: Milliseconds = 3_000;
/** Answers that broke off or never came, in a row, which eject. */
const BREAKS_IN_A_ROW = 2;
/** Signs of one loss come from many requests at once; they count once. */
const SAME_LOSS_MS: Milliseconds = 300;
/** Weight of the newest outcome in the failure share; about 12 outcomes are remembered. */
const FAILURE_WEIGHT = 0.08;

interface Health {
  breaksInARow: number;
  ejections: number;
  ejectedUntil: Milliseconds;
  lostAt: Milliseconds;
  failureShare: number;
}

/** What peers may learn of an upstream's loss. */
export interface EjectionNotice {
  readonly upstream: UpstreamId;
  readonly until: Milliseconds;
}

/**
 * Answers the load pattern of upstreams that die, hang, or fail a part of their
 * requests while their health check is good. Real requests are the only probes.
 * Without it a dead upstream, which is free all the time, draws most requests.
 *
 * Grounds: a connection that cannot be opened costs no request and ejects at
 * once; an answer that breaks off may be the request's own fault, so it takes
 * two in a row. Ejection starts at 0.4 s and doubles to 3 s, as crashed upstreams
 * come back within seconds. A share of failures never ejects, since it may be the
 * service's usual one; it only makes the upstream less attractive.
 */
export class UpstreamHealth {
  readonly #health = new Map<UpstreamId, Health>();

  /** Takes in an outcome; true when the upstream is ejected by it. */
  observe(
    upstream: UpstreamId,
    outcome: UpstreamOutcome,
    now: Milliseconds,
  ): boolean {
    if (outcome === "cancelled") return false;
    const health = this.#healthOf(upstream);
    const isFailure = outcome !== "whole";
    health.failureShare += FAILURE_WEIGHT *
      ((isFailure ? 1 : 0) - health.failureShare);
    if (outcome === "unreachable") return this.#eject(health, now);
    if (outcome === "broken" || outcome === "silent") {
      health.breaksInARow++;
      return health.breaksInARow >= BREAKS_IN_A_ROW &&
        this.#eject(health, now);
    }
    health.breaksInARow = 0;
    if (!isFailure && now >= health.ejectedUntil) health.ejections = 0;
    return false;
  }

  /** A peer ejected the upstream; one host's word holds as long as it says. */
  applyNotice({ upstream, until }: EjectionNotice, now: Milliseconds): void {
    const health = this.#healthOf(upstream);
    const bounded = Math.min(until, now + MAXIMUM_EJECTION_MS);
    health.ejectedUntil = Math.max(health.ejectedUntil, bounded);
  }

  isEjected(upstream: UpstreamId, now: Milliseconds): boolean {
    return this.ejectedUntil(upstream) > now;
  }

  /** When an ejection is over, or was; 0 where there was none. */
  ejectedUntil(upstream: UpstreamId): Milliseconds {
    return this.#health.get(upstream)?.ejectedUntil ?? 0;
  }

  /** Share of recent requests that did not end whole, 0 to 1. */
  failureShare(upstream: UpstreamId): number {
    return this.#health.get(upstream)?.failureShare ?? 0;
  }

  /** The ejections in force, for the peers. */
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
    health.breaksInARow = 0;
    health.ejectedUntil = now + Math.min(span, MAXIMUM_EJECTION_MS);
    return true;
  }

  #healthOf(upstream: UpstreamId): Health {
    let health = this.#health.get(upstream);
    if (health === undefined) {
      health = {
        breaksInARow: 0,
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
