import type {
  HostId,
  Milliseconds,
  RequestId,
  UpstreamId,
} from "@wasabivane/common";
import type { InFlightAttempt } from "./scheduler.ts";
import type { PlacementRequest } from "./types.ts";

/** The requests that run now, by request and counted by upstream. */
export class RunningAttempts {
  readonly #attempts = new Map<RequestId, InFlightAttempt>();
  readonly #byUpstream = new Map<UpstreamId, Map<RequestId, InFlightAttempt>>();

  /** Adds a request that was granted now. */
  grant(ask: PlacementRequest, upstream: UpstreamId, now: Milliseconds): void {
    this.add({
      placementRequest: ask,
      upstream,
      grantedAt: now,
      hasFirstToken: false,
    });
  }

  /** Adds or replaces an attempt. */
  add(attempt: InFlightAttempt): void {
    this.remove(attempt.placementRequest.request);
    this.#attempts.set(attempt.placementRequest.request, attempt);
    const atUpstream = this.#byUpstream.get(attempt.upstream) ?? new Map();
    this.#byUpstream.set(attempt.upstream, atUpstream);
    atUpstream.set(attempt.placementRequest.request, attempt);
  }

  get(request: RequestId): InFlightAttempt | undefined {
    return this.#attempts.get(request);
  }

  /** Ends one attempt; undefined when it does not run. */
  remove(request: RequestId): InFlightAttempt | undefined {
    const attempt = this.#attempts.get(request);
    if (attempt === undefined) return undefined;
    this.#attempts.delete(request);
    const atUpstream = this.#byUpstream.get(attempt.upstream)!;
    atUpstream.delete(request);
    if (atUpstream.size === 0) this.#byUpstream.delete(attempt.upstream);
    return attempt;
  }

  /** How many requests run at one upstream. */
  count(upstream: UpstreamId): number {
    return this.#byUpstream.get(upstream)?.size ?? 0;
  }

  /** The attempts at one upstream, oldest first. */
  atUpstream(upstream: UpstreamId): InFlightAttempt[] {
    return [...this.#byUpstream.get(upstream)?.values() ?? []];
  }

  /** The attempts that one origin holds. */
  ofOrigin(origin: HostId): InFlightAttempt[] {
    return [...this.#attempts.values()].filter(({ placementRequest: ask }) =>
      ask.origin === origin
    );
  }
}
