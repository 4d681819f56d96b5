import type { Digest, Milliseconds, UpstreamId } from "@wasabivane/common";
import type {
  Completion,
  Crash,
  PoisonRequestDetector,
} from "@wasabivane/admission";

/** How long an announcement is repeated. */
const LIFETIME_MS: Milliseconds = 3_000;
/** Announcements of one kind in a message. */
const MAXIMUM_ROWS = 24;
/** Age up to which a crash tells of an upstream that is in use now. */
const RECENT_CRASH_MS: Milliseconds = 15_000;
/** Earlier crashes in a heartbeat, for hosts that missed their announcement. */
const HEARTBEAT_CRASHES = 6;

/** What a message tells of crashes; ages in place of times. */
export interface CrashRows {
  /** Request fingerprint, crashed upstream and age of crashes. */
  readonly crashes: readonly (readonly [Digest, UpstreamId, Milliseconds])[];
  /** Requests that have completed since crashes were attributed to them. */
  readonly completions: readonly (readonly [Digest, Milliseconds])[];
}

interface Announcement<Value> {
  readonly value: Value;
  readonly until: Milliseconds;
}

/** Options of {@link CrashGossip}. */
export interface CrashGossipOptions {
  readonly crashes: PoisonRequestDetector;
  /** Called when there is something to announce. */
  readonly onUpdate: () => void;
  /** Called when a peer has just found an upstream down. */
  readonly onCrash: (upstream: UpstreamId) => void;
}

/** Spreads which requests have crashed upstreams, and which have not. */
export class CrashGossip {
  readonly #options: CrashGossipOptions;
  #crashes: Announcement<Crash>[] = [];
  #completions: Announcement<Completion>[] = [];
  #offset = 0;

  constructor(options: CrashGossipOptions) {
    this.#options = options;
  }

  announceCrash(crash: Crash, now: Milliseconds): void {
    this.#crashes.push({ value: crash, until: now + LIFETIME_MS });
    this.#options.onUpdate();
  }

  /** Announces that a request does not crash its upstream. */
  announceCompletion(completion: Completion, now: Milliseconds): void {
    this.#completions.push({ value: completion, until: now + LIFETIME_MS });
    this.#options.onUpdate();
  }

  /** Applies a peer's rows, and passes on what was new. */
  apply({ crashes, completions }: CrashRows, now: Milliseconds): void {
    for (const [fingerprint, age] of completions) {
      const completion = { fingerprint, at: now - age };
      if (this.#options.crashes.recordCompletion(completion)) {
        this.announceCompletion(completion, now);
      }
    }
    for (const [fingerprint, upstream, age] of crashes) {
      this.#applyCrash({ fingerprint, upstream, at: now - age }, now);
    }
  }

  /** Returns the rows of a message; heartbeats repeat earlier crashes in turn. */
  createRows(now: Milliseconds, isHeartbeat: boolean): CrashRows {
    this.#expire(now);
    const crashes = [
      ...isHeartbeat ? this.#takeEarlier(now) : [],
      ...this.#crashes.slice(-MAXIMUM_ROWS).map(({ value }) => value),
    ];
    return {
      crashes: crashes.map(({ fingerprint, upstream, at }) => [
        fingerprint,
        upstream,
        now - at,
      ]),
      completions: this.#completions.slice(-MAXIMUM_ROWS).map(({ value }) => [
        value.fingerprint,
        now - value.at,
      ]),
    };
  }

  /** A peer that reports crashes from before a completion has missed that. */
  #applyCrash(crash: Crash, now: Milliseconds): void {
    const { crashes } = this.#options;
    if (crashes.recordCrash(crash, now)) {
      this.announceCrash(crash, now);
      const isRecent = now - crash.at < RECENT_CRASH_MS;
      if (isRecent) this.#options.onCrash(crash.upstream);
      return;
    }
    const completion = crashes.completionOf(crash.fingerprint);
    const isRefuted = completion !== undefined && crash.at <= completion.at;
    const isAnnounced = this.#completions.some(({ value }) =>
      value.fingerprint === crash.fingerprint
    );
    if (isRefuted && !isAnnounced) this.announceCompletion(completion, now);
  }

  #takeEarlier(now: Milliseconds): Crash[] {
    const known = this.#options.crashes.crashes(now);
    const first = this.#offset < known.length ? this.#offset : 0;
    this.#offset = first + HEARTBEAT_CRASHES;
    return known.slice(first, this.#offset);
  }

  #expire(now: Milliseconds): void {
    const isCurrent = ({ until }: { until: Milliseconds }): boolean =>
      until > now;
    this.#crashes = this.#crashes.filter(isCurrent);
    this.#completions = this.#completions.filter(isCurrent);
  }
}
