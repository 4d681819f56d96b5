import type { Milliseconds, RequestId, UpstreamId } from "@wasabivane/common";

interface Sign {
  readonly request: RequestId;
  at: Milliseconds;
}

/** The newest sign, and the newest one of another request. */
interface Signs {
  newest: Sign;
  other: Sign | undefined;
}

/**
 * When an upstream last moved on with any of this host's streams. An engine that
 * reads a long prompt moves on with none of them; one that hangs on a single request
 * moves on with the others.
 */
export class UpstreamActivity {
  readonly #signs = new Map<UpstreamId, Signs>();

  /** An event of a request came from the upstream. */
  recordEvent(
    upstream: UpstreamId,
    request: RequestId,
    now: Milliseconds,
  ): void {
    const signs = this.#signs.get(upstream);
    if (signs === undefined) {
      const newest = { request, at: now };
      this.#signs.set(upstream, { newest, other: undefined });
    } else if (signs.newest.request === request) {
      signs.newest.at = now;
    } else {
      signs.other = signs.newest;
      signs.newest = { request, at: now };
    }
  }

  /** When it last moved on with a request other than this one. */
  lastEventOfOthers(
    upstream: UpstreamId,
    request: RequestId,
  ): Milliseconds | undefined {
    const signs = this.#signs.get(upstream);
    if (signs === undefined) return undefined;
    return signs.newest.request === request ? signs.other?.at : signs.newest.at;
  }

  forget(upstream: UpstreamId): void {
    this.#signs.delete(upstream);
  }
}
