import type { Milliseconds, UpstreamId } from "@wasabivane/common";

/**
 * Time for which the store must list an upstream as ready before a report that
 * it is leaving counts as false. Exceeds the time in which an upstream that
 * leaves says so in the store, or its entry lapses.
 */
const REFUTATION_MS: Milliseconds = 30_000;
const MAXIMUM_REPORTS = 2_000;

interface LeavingReport {
  /** Since when the store has contradicted it without interruption. */
  contradictedSince: Milliseconds;
  isRefuted: boolean;
}

/** Whether the store still lists an upstream, and as ready. */
export type StoreListing = "ready" | "lapsed" | "none";

/**
 * Reports of responses and peers that upstreams are leaving. Unlike the store's
 * own word, a report can be false; the store refutes it by listing the upstream
 * as ready for long. An upstream that is reported again after that is taken at
 * its word.
 */
export class LeavingReports {
  readonly #reports = new Map<UpstreamId, LeavingReport>();

  /** Adds a report; returns whether it is the first, a repeat or final. */
  add(upstream: UpstreamId, now: Milliseconds): "first" | "repeat" | "final" {
    const known = this.#reports.get(upstream);
    if (known !== undefined) return known.isRefuted ? "final" : "repeat";
    this.#reports.set(upstream, { contradictedSince: now, isRefuted: false });
    return "first";
  }

  /** Whether a report that has not been refuted names the upstream. */
  has(upstream: UpstreamId): boolean {
    return this.#reports.get(upstream)?.isRefuted === false;
  }

  delete(upstream: UpstreamId): void {
    this.#reports.delete(upstream);
  }

  /**
   * Returns the upstreams whose reports are refuted now. While the list of the
   * store may be outdated, it contradicts no report.
   */
  refute(
    { listingOf, isCurrent, now }: {
      listingOf: (upstream: UpstreamId) => StoreListing;
      isCurrent: boolean;
      now: Milliseconds;
    },
  ): UpstreamId[] {
    const refuted: UpstreamId[] = [];
    for (const [upstream, report] of this.#reports) {
      const listing = listingOf(upstream);
      const isContradicted = isCurrent && listing === "ready";
      if (!isContradicted) report.contradictedSince = now;
      if (listing === "none") this.#dropIfTooMany(upstream);
      const isOver = now - report.contradictedSince >= REFUTATION_MS;
      if (report.isRefuted || !isOver) continue;
      report.isRefuted = true;
      refuted.push(upstream);
    }
    return refuted;
  }

  #dropIfTooMany(upstream: UpstreamId): void {
    if (this.#reports.size > MAXIMUM_REPORTS) this.#reports.delete(upstream);
  }
}
