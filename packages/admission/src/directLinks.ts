import type { Milliseconds, ServiceId, UpstreamId } from "@wasabivane/common";
import type { Upstream } from "./types.ts";

/**
 * Upstreams that a host must fail to reach in a row until it takes all its links
 * to a service for broken; fewer if the service has fewer.
 */
const BROKEN_SERVICE_LINKS = 3;
/** Time after the last failure until a link counts as working again. */
const RETENTION_MS: Milliseconds = 5_000;

/** Failures in a row at the upstreams of a service. */
interface Streak {
  readonly upstreams: Set<UpstreamId>;
  readonly failedAt: Milliseconds;
}

/** The upstream at the other end of a link. */
export type LinkEnd = Pick<Upstream, "upstream" | "service">;

/**
 * Links from this host to upstreams that are broken although peers reach the
 * upstreams. Once several links to a service have failed in a row, all of them
 * count as broken, so that no request has to find out for each.
 */
export class DirectLinks {
  readonly #failedAt = new Map<UpstreamId, Milliseconds>();
  readonly #streaks = new Map<ServiceId, Streak>();
  readonly #countUpstreams: (service: ServiceId) => number;

  constructor(
    { countUpstreams }: { countUpstreams: (service: ServiceId) => number },
  ) {
    this.#countUpstreams = countUpstreams;
  }

  /** Records a failed connection to an upstream that a peer has reached. */
  recordFailure({ upstream, service }: LinkEnd, now: Milliseconds): void {
    this.#dropOutdated(now);
    this.#failedAt.set(upstream, now);
    const previous = this.#streaks.get(service);
    const isOngoing = previous !== undefined &&
      isRecent(previous.failedAt, now);
    const upstreams = isOngoing ? previous.upstreams : new Set<UpstreamId>();
    this.#streaks.set(service, {
      upstreams: upstreams.add(upstream),
      failedAt: now,
    });
  }

  /** Records an established connection. */
  recordSuccess({ upstream, service }: LinkEnd): void {
    this.#failedAt.delete(upstream);
    this.#streaks.delete(service);
  }

  /** Whether the link to an upstream is known or supposed to be broken. */
  isBroken({ upstream, service }: LinkEnd, now: Milliseconds): boolean {
    return this.#isFailing(upstream, now) || this.isServiceBroken(service, now);
  }

  /** Whether all links to a service are taken for broken. */
  isServiceBroken(service: ServiceId, now: Milliseconds): boolean {
    const streak = this.#streaks.get(service);
    if (streak === undefined || !isRecent(streak.failedAt, now)) return false;
    const all = Math.max(1, this.#countUpstreams(service));
    return streak.upstreams.size >= Math.min(BROKEN_SERVICE_LINKS, all);
  }

  /** Returns the upstreams whose links are known to be broken. */
  broken(now: Milliseconds): UpstreamId[] {
    this.#dropOutdated(now);
    return [...this.#failedAt.keys()];
  }

  #isFailing(upstream: UpstreamId, now: Milliseconds): boolean {
    return isRecent(this.#failedAt.get(upstream) ?? -Infinity, now);
  }

  #dropOutdated(now: Milliseconds): void {
    for (const upstream of this.#failedAt.keys()) {
      if (!this.#isFailing(upstream, now)) this.#failedAt.delete(upstream);
    }
  }
}

function isRecent(failedAt: Milliseconds, now: Milliseconds): boolean {
  return now - failedAt < RETENTION_MS;
}
