import type { Milliseconds, UpstreamId } from "@wasabivane/common";
import type { AttemptOutcome } from "./types.ts";

/** Options of an {@link OutlierDetector}. */
export interface OutlierDetectorOptions {
  readonly upstreamCount: number;
  readonly maximumEjectedShare: number;
}

/** Errors in a row that eject; one error is a request's own fault as likely. */
const ERRORS_IN_A_ROW = 3;
const FIRST_EJECTION_MS = 1_000;
const MAXIMUM_EJECTION_MS = 30_000;
/** Reports of one loss come from many callers; they count once. */
const SAME_LOSS_MS = 500;

interface Health {
  errorsInARow: number;
  ejections: number;
  ejectedUntil: Milliseconds;
  failedAt: Milliseconds;
}

/**
 * Answers the load pattern of upstreams that die, refuse or fail: passive signals
 * from real requests eject an upstream, for longer each time in a row. Without
 * it, a dead upstream, which answers fastest of all, draws all requests.
 *
 * Grounds: a lost or refused connection is a sign of its own; other errors must
 * come three in a row. The time doubles from 1 s to 30 s, so a restart of a few
 * seconds is noticed soon and a dead host costs two requests a minute. At most
 * the given share of the upstreams is ejected, since a fault that shows at most
 * of them is more likely the requests', and what is left could not carry the load.
 */
export class OutlierDetector {
  readonly #health = new Map<UpstreamId, Health>();
  readonly #ejected = new Set<UpstreamId>();
  #upstreams: number;
  #maximumEjectedShare: number;

  constructor(
    { upstreamCount: upstreams, maximumEjectedShare }: OutlierDetectorOptions,
  ) {
    this.#upstreams = upstreams;
    this.#maximumEjectedShare = maximumEjectedShare;
  }

  /** Replaces the size of the pool and the cap. */
  configure(
    { upstreamCount: upstreams, maximumEjectedShare }: OutlierDetectorOptions,
  ): void {
    this.#upstreams = upstreams;
    this.#maximumEjectedShare = maximumEjectedShare;
  }

  /** Takes in how a request ended; true when the upstream is ejected by it. */
  observe(
    upstream: UpstreamId,
    outcome: AttemptOutcome,
    now: Milliseconds,
  ): boolean {
    if (outcome === "cancelled") return false;
    if (outcome === "whole") {
      // An answer that was under way when its upstream was ejected proves nothing.
      if (!this.#ejected.has(upstream)) this.#health.delete(upstream);
      return false;
    }
    const health = this.#healthOf(upstream);
    health.errorsInARow++;
    const isCertain = outcome === "upstream-lost" ||
      outcome === "upstream-refused";
    if (!isCertain && health.errorsInARow < ERRORS_IN_A_ROW) return false;
    if (now - health.failedAt < SAME_LOSS_MS) return false;
    return this.#eject(upstream, health, now);
  }

  isEjected(upstream: UpstreamId): boolean {
    return this.#ejected.has(upstream);
  }

  /** The upstreams whose time is over; they may be tried again, starting slowly. */
  takeExpired(now: Milliseconds): UpstreamId[] {
    const returning = [...this.#ejected].filter((upstream) =>
      this.#health.get(upstream)!.ejectedUntil <= now
    );
    returning.forEach((upstream) => this.#ejected.delete(upstream));
    return returning;
  }

  /** When the next ejected upstream may be tried, `undefined` when none is ejected. */
  nextExpiry(): Milliseconds | undefined {
    if (this.#ejected.size === 0) return undefined;
    return Math.min(
      ...[...this.#ejected].map((upstream) =>
        this.#health.get(upstream)!.ejectedUntil
      ),
    );
  }

  /** Forgets an upstream that is gone. */
  remove(upstream: UpstreamId): void {
    this.#health.delete(upstream);
    this.#ejected.delete(upstream);
  }

  /**
   * Of two or three upstreams one may go, whatever the share says. Without this
   * a dead one of two stays in place and is granted again and again.
   */
  #cap(): number {
    if (this.#upstreams < 2 || this.#maximumEjectedShare === 0) return 0;
    const share = Math.floor(this.#upstreams * this.#maximumEjectedShare);
    return Math.max(1, share);
  }

  #eject(upstream: UpstreamId, health: Health, now: Milliseconds): boolean {
    health.failedAt = now;
    if (this.#ejected.has(upstream)) return false;
    if (this.#ejected.size >= this.#cap()) return false;
    const doubled = FIRST_EJECTION_MS * 2 ** health.ejections;
    health.ejectedUntil = now + Math.min(MAXIMUM_EJECTION_MS, doubled);
    health.ejections++;
    this.#ejected.add(upstream);
    return true;
  }

  #healthOf(upstream: UpstreamId): Health {
    const known = this.#health.get(upstream);
    if (known !== undefined) return known;
    const added = {
      errorsInARow: 0,
      ejections: 0,
      ejectedUntil: 0,
      failedAt: -Infinity,
    };
    this.#health.set(upstream, added);
    return added;
  }
}
