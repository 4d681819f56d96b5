import type { Digest, Milliseconds, UpstreamId } from "@wasabivane/common";
import type { PartCrash } from "./partCrash.ts";

const STEP_MS: Milliseconds = 200;
const WINDOW_MS: Milliseconds = 120_000;
const MAXIMUM_UPSTREAMS = 500;
const MAXIMUM_REQUESTS = 50;
/**
 * Completed requests that are added to those counted, in the estimates of how
 * often requests break off usually and now.
 */
const USUAL_PRIOR = 50;
const CURRENT_PRIOR = 10;
/** The same for broken and completed requests beside a part that was sound. */
const BESIDE_PRIOR = 1;

interface CompletionMark {
  readonly at: Milliseconds;
  /** Completions before. */
  readonly total: number;
}

interface UpstreamCrash {
  readonly at: Milliseconds;
  readonly parts: Set<Digest>;
  /** Parts of this host's requests that broke off. */
  readonly ownRequests: (readonly Digest[])[];
}

/**
 * Which share of this host's requests breaks off as upstreams crash. Crashes at
 * which a part was are no surprise if all requests break off at that time.
 */
export class BreakShares {
  /** Oldest first. */
  readonly #marks: CompletionMark[] = [];
  readonly #crashes = new Map<UpstreamId, UpstreamCrash>();
  #total = 0;

  recordCompletion(now: Milliseconds): void {
    const last = this.#marks.at(-1);
    if (last === undefined || now - last.at >= STEP_MS) {
      this.#marks.push({ at: now, total: this.#total });
    }
    this.#total++;
    while (now - this.#marks[0]!.at > WINDOW_MS) this.#marks.shift();
  }

  recordCrash({ upstream, at, parts }: PartCrash, isOwn: boolean): void {
    const crash = this.#crashes.get(upstream) ??
      { at, parts: new Set(), ownRequests: [] };
    for (const part of parts) crash.parts.add(part);
    const isKept = isOwn && crash.ownRequests.length < MAXIMUM_REQUESTS;
    if (isKept) crash.ownRequests.push(parts);
    this.#crashes.set(upstream, crash);
    if (this.#crashes.size <= MAXIMUM_UPSTREAMS) return;
    const [oldest] = this.#crashes.keys();
    this.#crashes.delete(oldest!);
  }

  /** Returns the completions since a time, or somewhat fewer. */
  completionsSince(time: Milliseconds): number {
    const mark = this.#marks.find(({ at }) => at > time);
    return this.#total - (mark?.total ?? this.#total);
  }

  /**
   * Returns the share apart from crashes at which a part was, or others that
   * explain them: the larger of what is usual and what is so since a time.
   */
  apartFrom(
    part: Digest,
    { since, window, isExplained }: {
      since: Milliseconds;
      /** Time before `since` that shows what is usual. */
      window: Milliseconds;
      isExplained: (parts: ReadonlySet<Digest>) => boolean;
    },
  ): number {
    let broken = 0;
    for (const { at, parts, ownRequests } of this.#crashes.values()) {
      if (at < since - window || parts.has(part)) continue;
      if (!isExplained(parts)) broken += ownRequests.length;
    }
    const usual = this.completionsSince(since - window);
    const current = this.completionsSince(since);
    return Math.max(
      1 / (usual + USUAL_PRIOR),
      broken / (broken + current + CURRENT_PRIOR),
    );
  }

  /**
   * Returns the share of the requests without a part since it completed last.
   */
  beside(part: Digest, since: Milliseconds): number {
    let broken = BESIDE_PRIOR;
    for (const { at, ownRequests } of this.#crashes.values()) {
      if (at < since) continue;
      broken += ownRequests.filter((parts) => !parts.includes(part)).length;
    }
    return broken / (broken + this.completionsSince(since) + BESIDE_PRIOR);
  }
}
