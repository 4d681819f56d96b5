import type { Milliseconds, UpstreamId } from "@wasabivane/common";
import type { AttemptOutcome } from "./types.ts";

/** Options of an {@link OutlierDetector}. */
export interface OutlierDetectorOptions {
  readonly upstreamCount: number;
  readonly maximumEjectedShare: number;
}

/** Consecutive errors that eject; a single one may be the request's fault. */
const ERROR_LIMIT = 3;
/** Short, so that a restart of a few seconds is noticed soon. */
const MINIMUM_EJECTION_MS = 1_000;
/** A dead upstream costs two requests a minute. */
const MAXIMUM_EJECTION_MS = 30_000;
/** Failures within this time are reports of the same loss. */
const DUPLICATE_FAILURE_MS = 500;

interface Health {
  errorsInARow: number;
  ejections: number;
  ejectedUntil: Milliseconds;
  failedAt: Milliseconds;
}

/**
 * Ejects failing upstreams, based on the outcomes of real requests; a dead one
 * fails fastest of all and would attract all requests. A lost or
 * refused connection ejects at once, other errors only after several in a row.
 * The ejection time doubles with each consecutive ejection. At most the given
 * share of the upstreams is ejected, since the rest must carry the load and a
 * failure of most upstreams is more likely caused by the requests.
 */
export class OutlierDetector {
  readonly #health = new Map<UpstreamId, Health>();
  readonly #ejected = new Set<UpstreamId>();
  #upstreamCount: number;
  #maximumEjectedShare: number;

  constructor(
    { upstreamCount, maximumEjectedShare }: OutlierDetectorOptions,
  ) {
    this.#upstreamCount = upstreamCount;
    this.#maximumEjectedShare = maximumEjectedShare;
  }

  /** Replaces the options. */
  configure(
    { upstreamCount, maximumEjectedShare }: OutlierDetectorOptions,
  ): void {
    this.#upstreamCount = upstreamCount;
    this.#maximumEjectedShare = maximumEjectedShare;
  }

  /**
   * Records the outcome of a request; returns whether it ejects the upstream.
   */
  observe(
    upstream: UpstreamId,
    outcome: AttemptOutcome,
    now: Milliseconds,
  ): boolean {
    if (outcome === "cancelled") return false;
    if (outcome === "whole") {
      // A request sent before the ejection does not prove recovery.
      if (!this.#ejected.has(upstream)) this.#health.delete(upstream);
      return false;
    }
    const health = this.#healthOf(upstream);
    health.errorsInARow++;
    const isConnectionFailure = outcome === "upstream-lost" ||
      outcome === "upstream-refused";
    if (!isConnectionFailure && health.errorsInARow < ERROR_LIMIT) return false;
    if (now - health.failedAt < DUPLICATE_FAILURE_MS) return false;
    return this.#eject(upstream, health, now);
  }

  /** Returns whether the upstream is ejected. */
  isEjected(upstream: UpstreamId): boolean {
    return this.#ejected.has(upstream);
  }

  /** Removes and returns the upstreams whose ejection time is over. */
  takeExpired(now: Milliseconds): UpstreamId[] {
    const returning = [...this.#ejected].filter((upstream) =>
      this.#health.get(upstream)!.ejectedUntil <= now
    );
    returning.forEach((upstream) => this.#ejected.delete(upstream));
    return returning;
  }

  /**
   * Returns the end of the next ejection, or `undefined` if none is ejected.
   */
  nextExpiry(): Milliseconds | undefined {
    if (this.#ejected.size === 0) return undefined;
    return Math.min(
      ...[...this.#ejected].map((upstream) =>
        this.#health.get(upstream)!.ejectedUntil
      ),
    );
  }

  /** Removes the state of an upstream that is gone. */
  remove(upstream: UpstreamId): void {
    this.#health.delete(upstream);
    this.#ejected.delete(upstream);
  }

  /**
   * Returns how many upstreams may be ejected: at least one of two or more, so
   * that a small pool does not keep granting requests to a dead upstream.
   */
  #maximumEjected(): number {
    if (this.#upstreamCount < 2 || this.#maximumEjectedShare === 0) return 0;
    const share = Math.floor(this.#upstreamCount * this.#maximumEjectedShare);
    return Math.max(1, share);
  }

  #eject(upstream: UpstreamId, health: Health, now: Milliseconds): boolean {
    health.failedAt = now;
    if (this.#ejected.has(upstream)) return false;
    if (this.#ejected.size >= this.#maximumEjected()) return false;
    const doubled = MINIMUM_EJECTION_MS * 2 ** health.ejections;
    health.ejectedUntil = now + Math.min(MAXIMUM_EJECTION_MS, doubled);
    health.ejections++;
    this.#ejected.add(upstream);
    return true;
  }

  #healthOf(upstream: UpstreamId): Health {
    const existing = this.#health.get(upstream);
    if (existing !== undefined) return existing;
    const created = {
      errorsInARow: 0,
      ejections: 0,
      ejectedUntil: 0,
      failedAt: -Infinity,
    };
    this.#health.set(upstream, created);
    return created;
  }
}
