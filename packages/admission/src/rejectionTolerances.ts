import type { Milliseconds, ServiceId, UpstreamId } from "@wasabivane/common";

/**
 * Time for which a rejection counts. Longer than the second over which upstreams
 * count them, as requests that are on their way still arrive.
 */
const RETENTION_MS: Milliseconds = 1_500;
/**
 * Time after a response that names a tolerance in which one without it does not
 * end it, as responses on different connections overtake each other.
 */
const REORDERING_MS: Milliseconds = 1_000;
/**
 * Share of the tolerated rejections after which nothing more starts, as further
 * ones may be on their way.
 */
const REJECTION_SHARE = 1 / 3;

interface NamedTolerance {
  readonly rejectionsPerSecond: number;
  /** Time of the last response that named it. */
  readonly namedAt: Milliseconds;
}

/**
 * Tracks services whose upstreams fail if they have to turn away more than some
 * requests a second, and the requests that these have turned away.
 */
export class RejectionTolerances {
  readonly #named = new Map<ServiceId, NamedTolerance>();
  readonly #rejectedAt = new Map<UpstreamId, Milliseconds[]>();

  /**
   * Records a response of any upstream of a service; `undefined` if it names no
   * tolerance.
   */
  record(
    service: ServiceId,
    rejectionsPerSecond: number | undefined,
    now: Milliseconds,
  ): void {
    if (rejectionsPerSecond !== undefined) {
      this.#named.set(service, { rejectionsPerSecond, namedAt: now });
      return;
    }
    const known = this.#named.get(service);
    if (known === undefined || now - known.namedAt < REORDERING_MS) return;
    this.#named.delete(service);
  }

  /** Records a request that an upstream turned away. */
  recordRejection(upstream: UpstreamId, now: Milliseconds): void {
    const times = this.#recentRejections(upstream, now);
    this.#rejectedAt.set(upstream, [...times, now]);
  }

  /**
   * Returns the rejections per second that each upstream of a service tolerates;
   * `undefined` if they name none.
   */
  of(service: ServiceId): number | undefined {
    return this.#named.get(service)?.rejectionsPerSecond;
  }

  /** Whether an upstream has turned away so many that nothing more should start there. */
  isExhausted(
    { upstream, service }: { upstream: UpstreamId; service: ServiceId },
    now: Milliseconds,
  ): boolean {
    const tolerated = this.of(service);
    if (tolerated === undefined) return false;
    return this.#recentRejections(upstream, now).length >=
      this.limitOf(tolerated);
  }

  /** Returns the rejections after which nothing more starts at an upstream. */
  limitOf(tolerated: number): number {
    return Math.max(1, Math.floor(REJECTION_SHARE * tolerated));
  }

  forget(upstream: UpstreamId): void {
    this.#rejectedAt.delete(upstream);
  }

  #recentRejections(
    upstream: UpstreamId,
    now: Milliseconds,
  ): readonly Milliseconds[] {
    const times = this.#rejectedAt.get(upstream) ?? [];
    return times.filter((at) => now - at < RETENTION_MS);
  }
}
