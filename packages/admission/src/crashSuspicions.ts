import type { Milliseconds, UpstreamId } from "@wasabivane/common";
import type { PartCrash } from "./partCrash.ts";
import type { Crash } from "./poisonRequestDetector.ts";

/**
 * A request that an upstream completes shows that it has outlived those that
 * ended this long before it started; a process that ends may still complete
 * requests for a moment.
 */
const OUTLIVED_MS: Milliseconds = 1_000;
const MAXIMUM_PER_UPSTREAM = 200;

/** A request that may have crashed its upstream, with all that identifies it. */
export interface CrashSuspicion extends Crash, PartCrash {}

/**
 * Requests that may have crashed the upstream that ran them, as they ended there
 * without a complete response. The upstream is found down, or outlives them.
 */
export class CrashSuspicions {
  readonly #byUpstream = new Map<UpstreamId, CrashSuspicion[]>();

  add(suspicion: CrashSuspicion): void {
    const { upstream } = suspicion;
    const known = this.#byUpstream.get(upstream) ?? [];
    known.push(suspicion);
    this.#byUpstream.set(upstream, known.slice(-MAXIMUM_PER_UPSTREAM));
  }

  /** Whether there are suspicions about an upstream. */
  has(upstream: UpstreamId): boolean {
    return this.#byUpstream.has(upstream);
  }

  /** Returns the suspicions about an upstream. */
  of(upstream: UpstreamId): readonly CrashSuspicion[] {
    return this.#byUpstream.get(upstream) ?? [];
  }

  /** Removes and returns the suspicions about an upstream. */
  take(upstream: UpstreamId): readonly CrashSuspicion[] {
    const suspicions = this.#byUpstream.get(upstream) ?? [];
    this.#byUpstream.delete(upstream);
    return suspicions;
  }

  /** Drops one suspicion. */
  remove(suspicion: CrashSuspicion): void {
    const { upstream } = suspicion;
    const known = this.#byUpstream.get(upstream) ?? [];
    this.#set(upstream, known.filter((other) => other !== suspicion));
  }

  /** Drops and returns what an upstream has outlived that completes a request. */
  refute(
    upstream: UpstreamId,
    startedAt: Milliseconds,
  ): readonly CrashSuspicion[] {
    const known = this.#byUpstream.get(upstream) ?? [];
    const isOutlived = ({ at }: CrashSuspicion): boolean =>
      startedAt - at >= OUTLIVED_MS;
    this.#set(upstream, known.filter((other) => !isOutlived(other)));
    return known.filter(isOutlived);
  }

  #set(upstream: UpstreamId, left: CrashSuspicion[]): void {
    if (left.length > 0) this.#byUpstream.set(upstream, left);
    else this.#byUpstream.delete(upstream);
  }
}
