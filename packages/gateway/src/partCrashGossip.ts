import type { Milliseconds } from "@wasabivane/common";
import type {
  PartCompletion,
  PartConviction,
  PartCrash,
  PartCrashDetector,
} from "@wasabivane/admission";
import type { PartCrashRows } from "./partCrashRows.ts";

/**
 * Messages that an announcement of this host's is in. Each goes to several peers,
 * which pass it on once, so that few hosts miss it.
 */
const OWN_MESSAGES = 2;
const PASSED_ON_MESSAGES = 1;
/** Rows of each kind in a message, so that it fits into one packet. */
const MAXIMUM_CRASHES = 6;
const MAXIMUM_COMPLETIONS = 12;
const MAXIMUM_CONVICTIONS = 4;

/**
 * Upper bound for the time in transit of a completion. Taken off, so that one that
 * hosts tell each other never becomes newer.
 */
const TRANSIT_MS: Milliseconds = 25;

interface Announcement<Value> {
  readonly value: Value;
  /** Messages that it is to be in. */
  messagesLeft: number;
  wasSent: boolean;
}

/** Options of {@link PartCrashGossip}. */
export interface PartCrashGossipOptions {
  readonly detector: PartCrashDetector;
  /** Called when there is something to announce. */
  readonly onUpdate: () => void;
}

/** Values that are announced in a few messages, some of them in each. */
class AnnouncedValues<Value> {
  #announcements: Announcement<Value>[] = [];

  add(value: Value, messagesLeft: number): void {
    this.#announcements.push({ value, messagesLeft, wasSent: false });
  }

  some(predicate: (value: Value) => boolean): boolean {
    return this.#announcements.some(({ value }) => predicate(value));
  }

  /** Whether some have not been in any message. */
  get hasUnsent(): boolean {
    return this.#announcements.some(({ wasSent }) => !wasSent);
  }

  /** Takes those first that have not been in any message. */
  take(count: number): Value[] {
    const taken = this.#announcements
      .toSorted((left, right) => Number(left.wasSent) - Number(right.wasSent))
      .slice(0, count);
    for (const announcement of taken) {
      announcement.messagesLeft--;
      announcement.wasSent = true;
    }
    this.#announcements = this.#announcements.filter(({ messagesLeft }) =>
      messagesLeft > 0
    );
    return taken.map(({ value }) => value);
  }
}

/** Spreads which parts of prompts were at crashes, and which are sound. */
export class PartCrashGossip {
  readonly #options: PartCrashGossipOptions;
  readonly #crashes = new AnnouncedValues<PartCrash>();
  readonly #completions = new AnnouncedValues<PartCompletion>();
  readonly #convictions = new AnnouncedValues<PartConviction>();
  #repeatFrom = 0;

  constructor(options: PartCrashGossipOptions) {
    this.#options = options;
  }

  announceCrash(crash: PartCrash, messages = OWN_MESSAGES): void {
    this.#crashes.add(crash, messages);
    this.#options.onUpdate();
  }

  announceCompletion(
    completion: PartCompletion,
    messages = OWN_MESSAGES,
  ): void {
    const isAnnounced = this.#completions.some(({ part, at }) =>
      part === completion.part && at >= completion.at
    );
    if (isAnnounced) return;
    this.#completions.add(completion, messages);
    this.#options.onUpdate();
  }

  announceConviction(
    conviction: PartConviction,
    messages = OWN_MESSAGES,
  ): void {
    this.#convictions.add(conviction, messages);
    this.#options.onUpdate();
  }

  /** Applies a peer's rows, and passes on what was new. */
  apply(
    { partCrashes, partCompletions, partConvictions }: PartCrashRows,
    now: Milliseconds,
  ): void {
    const { detector } = this.#options;
    for (const { at, ...rest } of partCompletions) {
      const completion = { ...rest, at: at - TRANSIT_MS };
      if (!detector.recordCompletion(completion)) continue;
      this.announceCompletion(completion, PASSED_ON_MESSAGES);
    }
    for (const conviction of partConvictions) {
      this.#applyConviction(conviction);
    }
    for (const crash of partCrashes) this.#applyCrash(crash, now);
  }

  /** Returns the rows of a message; heartbeats repeat known convictions. */
  createRows(isHeartbeat: boolean): PartCrashRows {
    const rows = {
      partCrashes: this.#crashes.take(MAXIMUM_CRASHES),
      partCompletions: this.#completions.take(MAXIMUM_COMPLETIONS),
      partConvictions: isHeartbeat
        ? this.#takeKnown()
        : this.#convictions.take(MAXIMUM_CONVICTIONS),
    };
    const hasUnsent = this.#crashes.hasUnsent || this.#completions.hasUnsent ||
      this.#convictions.hasUnsent;
    if (hasUnsent) this.#options.onUpdate();
    return rows;
  }

  #applyConviction(conviction: PartConviction): void {
    const { detector } = this.#options;
    if (detector.applyConviction(conviction)) {
      return this.announceConviction(conviction, PASSED_ON_MESSAGES);
    }
    for (const completion of detector.objectionsTo(conviction)) {
      this.announceCompletion(completion);
    }
  }

  #applyCrash(crash: PartCrash, now: Milliseconds): void {
    const { detector } = this.#options;
    if (detector.recordCrash(crash, { isOwn: false, now })) {
      this.announceCrash(crash, PASSED_ON_MESSAGES);
    }
    for (const completion of detector.completionsMissedBy(crash)) {
      this.announceCompletion(completion);
    }
  }

  #takeKnown(): PartConviction[] {
    const known = this.#options.detector.convictions();
    if (this.#repeatFrom >= known.length) this.#repeatFrom = 0;
    const first = this.#repeatFrom;
    this.#repeatFrom += MAXIMUM_CONVICTIONS;
    return known.slice(first, this.#repeatFrom);
  }
}
