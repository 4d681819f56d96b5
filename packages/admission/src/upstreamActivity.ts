import type { Milliseconds, RequestId, UpstreamId } from "@wasabivane/common";

interface StreamEvent {
  readonly request: RequestId;
  at: Milliseconds;
}

/** The latest event, and the latest one of another request. */
interface LatestEvents {
  newest: StreamEvent;
  other: StreamEvent | undefined;
}

/**
 * Tracks when an upstream last sent an event of any stream of this host. An
 * upstream that processes a long prompt pauses all its streams; one that hangs
 * on a single request continues the others.
 */
export class UpstreamActivity {
  readonly #events = new Map<UpstreamId, LatestEvents>();

  /** Records an event of a request. */
  recordEvent(
    upstream: UpstreamId,
    request: RequestId,
    now: Milliseconds,
  ): void {
    const latest = this.#events.get(upstream);
    if (latest === undefined) {
      const newest = { request, at: now };
      this.#events.set(upstream, { newest, other: undefined });
    } else if (latest.newest.request === request) {
      latest.newest.at = now;
    } else {
      latest.other = latest.newest;
      latest.newest = { request, at: now };
    }
  }

  /** Returns the time of the last event of any other request. */
  lastEventOfOthers(
    upstream: UpstreamId,
    request: RequestId,
  ): Milliseconds | undefined {
    const latest = this.#events.get(upstream);
    if (latest === undefined) return undefined;
    return latest.newest.request === request
      ? latest.other?.at
      : latest.newest.at;
  }

  forget(upstream: UpstreamId): void {
    this.#events.delete(upstream);
  }
}
