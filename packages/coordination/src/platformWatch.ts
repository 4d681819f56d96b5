import type { PlatformError, Revisioned } from "@wasabivane/bundle";
import type { Metrics, Milliseconds, Random, Timer } from "@wasabivane/common";
import type { Result } from "neverthrow";
import { LONG_POLL_WAIT_MS } from "./configurationGossip.ts";

const FIRST_BACKOFF_MS: Milliseconds = 250;
const MAX_BACKOFF_MS: Milliseconds = 8_000;
/** Share of a pause that chance adds, so that readers do not fall into step. */
const JITTER_SHARE = 0.5;
/** A source that never answers must not end the watch for good. */
const GIVE_UP_MS: Milliseconds = LONG_POLL_WAIT_MS + 4_000;

/** A read of one platform value, as the sources offer it. */
export type PlatformRead<Value> = (
  options: { afterRevision: number; waitMs: Milliseconds },
) => Promise<Result<Revisioned<Value> | undefined, PlatformError>>;

/** What a {@link PlatformWatch} needs. */
export interface PlatformWatchOptions<Value> {
  readonly read: PlatformRead<Value>;
  readonly timer: Timer;
  readonly random: Random;
  readonly metrics: Metrics;
  /** Tag of its counters. */
  readonly value: "bundle" | "host-list";
  readonly onValue: (value: Value) => void;
  /** The service answered, with news or without. */
  readonly onResponse: () => void;
}

/**
 * Watches one value of the platform, one read at a time. Failed reads back off
 * with jitter; a refusal over budget waits at least as long as it says.
 */
export class PlatformWatch<Value> {
  readonly #options: PlatformWatchOptions<Value>;
  #revision = 0;
  #backoff = FIRST_BACKOFF_MS;
  #nextReadAt: Milliseconds;
  #reading: { readonly since: Milliseconds } | undefined;

  constructor(options: PlatformWatchOptions<Value>) {
    this.#options = options;
    this.#nextReadAt = options.timer.now() +
      options.random.float() * FIRST_BACKOFF_MS;
  }

  /** Starts the next read when it is time; call it often while this host should read. */
  poll(): void {
    const now = this.#options.timer.now();
    if (this.#reading !== undefined) {
      if (now - this.#reading.since < GIVE_UP_MS) return;
      this.#options.metrics.count("platform_reads_given_up");
    }
    if (now < this.#nextReadAt) return;
    void this.#read(now);
  }

  async #read(now: Milliseconds): Promise<void> {
    const { read, metrics, value } = this.#options;
    const reading = { since: now };
    this.#reading = reading;
    metrics.count("platform_reads", 1, { value });
    const result = await read({
      afterRevision: this.#revision,
      waitMs: LONG_POLL_WAIT_MS,
    });
    if (this.#reading !== reading) return;
    this.#reading = undefined;
    if (result.isErr()) this.#onError(result.error);
    else this.#onAnswer(result.value, reading.since);
  }

  #onAnswer(news: Revisioned<Value> | undefined, since: Milliseconds): void {
    this.#backoff = FIRST_BACKOFF_MS;
    // A service that ignores the wait would otherwise be read without pause.
    const earliest = since + LONG_POLL_WAIT_MS;
    const now = this.#options.timer.now();
    this.#nextReadAt = news === undefined ? Math.max(now, earliest) : now;
    this.#options.onResponse();
    if (news === undefined) return;
    // A service restored from an older state may count revisions anew.
    if (news.revision <= this.#revision) this.#nextReadAt = earliest;
    this.#revision = news.revision;
    this.#options.onValue(news.value);
  }

  #onError(error: PlatformError): void {
    const { timer, random, metrics, value } = this.#options;
    metrics.count("platform_read_errors", 1, { value, kind: error.kind });
    const wait = error.kind === "over-budget"
      ? Math.max(error.retryAfterMs, this.#backoff)
      : this.#backoff;
    this.#nextReadAt = timer.now() +
      wait * (1 + JITTER_SHARE * random.float());
    this.#backoff = Math.min(MAX_BACKOFF_MS, this.#backoff * 2);
  }
}
