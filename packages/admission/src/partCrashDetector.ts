import type { Digest, Milliseconds } from "@wasabivane/common";
import type { PartCompletion, PartConviction, PartCrash } from "./partCrash.ts";
import {
  PartConvictions,
  type PartConvictionsOptions,
  type PartRequest,
} from "./partConvictions.ts";
import { PartCrashEvidence } from "./partCrashEvidence.ts";

/** Options of a {@link PartCrashDetector}. */
export interface PartCrashDetectorOptions extends PartConvictionsOptions {
  /** Whether this host hears none of the hosts in its settings. */
  readonly isAlone: () => boolean;
  /**
   * Called when there is something to {@link PartCrashDetector.assess}, some time
   * later, as hosts tell one by one what they saw of a crash.
   */
  readonly onEvidence: () => void;
  /** Called when requests are refused from now on that were not before. */
  readonly onConviction: (conviction: PartConviction) => void;
}

/**
 * Detects parts of prompts that crash each upstream that begins to respond to
 * them, whatever else the request holds.
 */
export class PartCrashDetector {
  readonly #options: PartCrashDetectorOptions;
  readonly #evidence = new PartCrashEvidence();
  readonly #convictions: PartConvictions;
  readonly #pending = new Set<Digest>();

  constructor(options: PartCrashDetectorOptions) {
    this.#options = options;
    this.#convictions = new PartConvictions(options);
  }

  /**
   * Records a crash that this host or a peer has confirmed; returns whether it
   * was new.
   */
  recordCrash(
    crash: PartCrash,
    { isOwn, now }: { isOwn: boolean; now: Milliseconds },
  ): boolean {
    this.#convictions.recordCrash(crash);
    if (!this.#evidence.recordCrash(crash, { isOwn, now })) return false;
    if (this.#pending.size === 0) this.#options.onEvidence();
    for (const part of crash.parts) this.#pending.add(part);
    // Others wait for what hosts tell of the same crash.
    for (const part of this.#convictions.partsOnTrial(crash)) {
      this.#assess(part, now);
    }
    return true;
  }

  /** Convicts the parts that the crashes since the last call speak against. */
  assess(now: Milliseconds): void {
    const pending = [...this.#pending];
    this.#pending.clear();
    for (const part of pending) this.#assess(part, now);
  }

  /**
   * Records a complete response of this host's upstreams; returns what other
   * hosts need to know of it.
   */
  recordOwnCompletion(
    parts: readonly Digest[],
    completion: Omit<PartCompletion, "part">,
  ): PartCompletion[] {
    const refuting = new Set(
      this.#evidence.recordOwnCompletion(parts, completion)
        .map(({ part }) => part),
    );
    return parts.map((part) => ({ part, ...completion })).filter((each) =>
      this.#convictions.recordCompletion(each) || refuting.has(each.part)
    );
  }

  /** Records a completion that a peer tells of; returns whether it was news. */
  recordCompletion(completion: PartCompletion): boolean {
    const { part } = completion;
    const isRefuting = this.#evidence.recordCompletion(completion);
    const isReleased = this.#evidence.isTrusted(part)
      ? this.#convictions.release(part)
      : this.#convictions.recordCompletion(completion);
    return isReleased || isRefuting;
  }

  /**
   * Adopts a peer's conviction, unless this host knows one of the parts to be
   * sound; returns whether it was new.
   */
  applyConviction(conviction: PartConviction): boolean {
    const { parts, lastCrashAt: at, softwareVersions } = conviction;
    const isRefuted = softwareVersions.some((softwareVersion) =>
      this.#evidence.completionsAfter({ parts, at, softwareVersion }).length > 0
    );
    const isTrusted = parts.some((part) => this.#evidence.isTrusted(part));
    if (isRefuted || isTrusted) return false;
    return this.#convictions.add(conviction) !== undefined;
  }

  /** Returns completions that speak against a peer's conviction. */
  objectionsTo(
    { parts, lastCrashAt: at, softwareVersions }: PartConviction,
  ): PartCompletion[] {
    const trusted = parts.filter((part) => this.#evidence.isTrusted(part));
    return softwareVersions.flatMap((softwareVersion) => [
      ...this.#evidence.completionsAfter({ parts, at, softwareVersion }),
      ...this.#evidence.earlierCompletions({ parts: trusted, softwareVersion }),
    ]);
  }

  /** Returns completions that a peer which reports a crash may not know of. */
  completionsMissedBy(crash: PartCrash): PartCompletion[] {
    return [
      ...this.#evidence.completionsAfter(crash),
      ...this.#evidence.earlierCompletions(crash),
    ];
  }

  /** Returns all convictions, for hosts that have missed them. */
  convictions(): PartConviction[] {
    return this.#convictions.all();
  }

  /** See {@link PartConvictions.timeLeft}. */
  quarantineLeft(request: PartRequest, now: Milliseconds): Milliseconds {
    return this.#convictions.timeLeft(request, now);
  }

  /** See {@link PartConvictions.isConvicted}. */
  isConvicted(request: PartRequest, now: Milliseconds): boolean {
    return this.#convictions.isConvicted(request, now);
  }

  /** See {@link PartConvictions.recordAdmission}. */
  recordAdmission(request: PartRequest, now: Milliseconds): void {
    this.#convictions.recordAdmission(request, now);
  }

  #assess(part: Digest, now: Milliseconds): void {
    const isAlone = this.#options.isAlone();
    const verdict = this.#evidence.assess(part, {
      now,
      isAlone,
      isExplained: (parts) => this.#convictions.explain(parts),
    });
    if (verdict === undefined) return;
    const conviction = this.#convictions.add(verdict);
    if (conviction !== undefined) this.#options.onConviction(conviction);
  }
}
