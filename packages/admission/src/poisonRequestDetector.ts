import type { Digest, Milliseconds, UpstreamId } from "@wasabivane/common";

/** A break counts as a crash when its upstream is found down within this time. */
const CONFIRMATION_MS: Milliseconds = 1_500;
/** Crashes after which a request gets no further upstream. */
const CONVICTING_CRASHES = 3;
/** How long a crash is remembered; callers of such requests come back within seconds. */
const REMEMBERED_MS: Milliseconds = 60_000;
const MAXIMUM_FINGERPRINTS = 2_000;

/** One upstream crashed while it ran a request with this fingerprint. */
export interface Crash {
  readonly fingerprint: Digest;
  readonly upstream: UpstreamId;
  readonly at: Milliseconds;
}

/**
 * Finds requests that crash each upstream that runs them.
 *
 * Such a request comes again with the same path, caller and body at any host and
 * would take down one upstream after the other. A broken answer alone proves
 * nothing; it counts when the upstream is found down right after. Hosts tell
 * each other of crashes, so that three on any hosts convict.
 */
export class PoisonRequestDetector {
  readonly #broken: Crash[] = [];
  readonly #crashes = new Map<Digest, Map<UpstreamId, Milliseconds>>();

  /** The answer to a request broke off. */
  recordBrokenResponse(crash: Crash): void {
    this.#broken.push(crash);
    while (this.#broken.length > MAXIMUM_FINGERPRINTS) this.#broken.shift();
  }

  /** An upstream is down; gives back the crashes that this confirms. */
  confirmCrashes(upstream: UpstreamId, now: Milliseconds): Crash[] {
    const confirmed: Crash[] = [];
    for (const crash of this.#broken.splice(0)) {
      if (now - crash.at > CONFIRMATION_MS) continue;
      if (crash.upstream === upstream) confirmed.push(crash);
      else this.#broken.push(crash);
    }
    for (const crash of confirmed) this.recordCrash(crash);
    return confirmed;
  }

  /** Takes in a crash, also one that a peer saw; true when it was news. */
  recordCrash({ fingerprint, upstream, at }: Crash): boolean {
    const crashes = this.#crashes.get(fingerprint) ?? new Map();
    const isNews = !crashes.has(upstream);
    this.#crashes.delete(fingerprint);
    this.#crashes.set(fingerprint, crashes.set(upstream, at));
    if (this.#crashes.size <= MAXIMUM_FINGERPRINTS) return isNews;
    const [oldest] = this.#crashes.keys();
    this.#crashes.delete(oldest!);
    return isNews;
  }

  /** Whether a request has crashed so many upstreams that it must not run again. */
  isQuarantined(fingerprint: Digest, now: Milliseconds): boolean {
    const crashes = this.#crashes.get(fingerprint);
    if (crashes === undefined) return false;
    for (const [upstream, at] of crashes) {
      if (now - at > REMEMBERED_MS) crashes.delete(upstream);
    }
    return crashes.size >= CONVICTING_CRASHES;
  }
}
