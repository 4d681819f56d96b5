import type { Digest, Milliseconds, UpstreamId } from "@wasabivane/common";

/**
 * A broken response counts as a crash if its upstream is found down within this
 * time.
 */
const CONFIRMATION_MS: Milliseconds = 1_500;
/** Number of crashes after which a request is not sent to another upstream. */
const QUARANTINE_CRASHES = 3;
/** How long a crash is remembered. */
const RETENTION_MS: Milliseconds = 60_000;
const MAXIMUM_FINGERPRINTS = 2_000;

/** A crash of an upstream while it ran a request with this fingerprint. */
export interface Crash {
  readonly fingerprint: Digest;
  readonly upstream: UpstreamId;
  readonly at: Milliseconds;
}

/**
 * Detects poison requests, which crash every upstream that runs them.
 *
 * Callers repeat such a request at any host and would take down one upstream
 * after another. A broken response counts as a crash only if the upstream is
 * found down right after; hosts share confirmed crashes.
 */
export class PoisonRequestDetector {
  readonly #broken: Crash[] = [];
  readonly #crashes = new Map<Digest, Map<UpstreamId, Milliseconds>>();

  /** Records that the response to a request broke off. */
  recordBrokenResponse(crash: Crash): void {
    this.#broken.push(crash);
    while (this.#broken.length > MAXIMUM_FINGERPRINTS) this.#broken.shift();
  }

  /**
   * Records that an upstream is down; returns the crashes that this confirms.
   */
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

  /** Records a crash seen here or by a peer; returns whether it was new. */
  recordCrash({ fingerprint, upstream, at }: Crash): boolean {
    const crashes = this.#crashes.get(fingerprint) ?? new Map();
    const isNew = !crashes.has(upstream);
    this.#crashes.delete(fingerprint);
    this.#crashes.set(fingerprint, crashes.set(upstream, at));
    if (this.#crashes.size <= MAXIMUM_FINGERPRINTS) return isNew;
    const [oldest] = this.#crashes.keys();
    this.#crashes.delete(oldest!);
    return isNew;
  }

  /**
   * Whether a request has crashed so many upstreams that it must not run again.
   */
  isQuarantined(fingerprint: Digest, now: Milliseconds): boolean {
    const crashes = this.#crashes.get(fingerprint);
    if (crashes === undefined) return false;
    for (const [upstream, at] of crashes) {
      if (now - at > RETENTION_MS) crashes.delete(upstream);
    }
    return crashes.size >= QUARANTINE_CRASHES;
  }
}
