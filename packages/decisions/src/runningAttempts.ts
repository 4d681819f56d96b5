import type {
  HostId,
  Milliseconds,
  RequestId,
  UpstreamId,
} from "@wasabivane/common";
import type { InFlightAttempt } from "./scheduler.ts";
import type { PlacementRequest } from "./types.ts";

/** Holds the running requests, indexed by request and by upstream. */
export class RunningAttempts {
  readonly #attempts = new Map<RequestId, InFlightAttempt>();
  readonly #byUpstream = new Map<UpstreamId, Map<RequestId, InFlightAttempt>>();

  /** Adds a request that is granted now. */
  grant(
    placementRequest: PlacementRequest,
    upstream: UpstreamId,
    now: Milliseconds,
  ): void {
    this.add({
      placementRequest,
      upstream,
      grantedAt: now,
      hasFirstToken: false,
    });
  }

  /** Adds or replaces an attempt. */
  add(attempt: InFlightAttempt): void {
    this.remove(attempt.placementRequest.request);
    this.#attempts.set(attempt.placementRequest.request, attempt);
    const upstreamAttempts = this.#byUpstream.get(attempt.upstream) ??
      new Map();
    this.#byUpstream.set(attempt.upstream, upstreamAttempts);
    upstreamAttempts.set(attempt.placementRequest.request, attempt);
  }

  /** Returns the attempt of a request; `undefined` if it is not running. */
  get(request: RequestId): InFlightAttempt | undefined {
    return this.#attempts.get(request);
  }

  /** Removes an attempt; returns `undefined` if it is not running. */
  remove(request: RequestId): InFlightAttempt | undefined {
    const attempt = this.#attempts.get(request);
    if (attempt === undefined) return undefined;
    this.#attempts.delete(request);
    const upstreamAttempts = this.#byUpstream.get(attempt.upstream)!;
    upstreamAttempts.delete(request);
    if (upstreamAttempts.size === 0) this.#byUpstream.delete(attempt.upstream);
    return attempt;
  }

  /** Returns the number of requests that run at one upstream. */
  count(upstream: UpstreamId): number {
    return this.#byUpstream.get(upstream)?.size ?? 0;
  }

  /** Returns the attempts at one upstream, the oldest first. */
  atUpstream(upstream: UpstreamId): InFlightAttempt[] {
    return [...this.#byUpstream.get(upstream)?.values() ?? []];
  }

  /** Returns the attempts of one entry host. */
  ofOrigin(origin: HostId): InFlightAttempt[] {
    return [...this.#attempts.values()].filter(({ placementRequest }) =>
      placementRequest.origin === origin
    );
  }
}
