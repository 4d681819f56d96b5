import type { PlatformError, Revisioned } from "@wasabivane/bundle";
import type { Metrics, Milliseconds, Random, Timer } from "@wasabivane/common";
import type { Result } from "neverthrow";
import { LONG_POLL_WAIT_MS } from "./configurationGossip.ts";

const FIRST_BACKOFF_MS: Milliseconds = 250;
const MAX_BACKOFF_MS: Milliseconds = 8_000;
/**
 * Maximum random share added to a delay, so that readers do not synchronize.
 */
const JITTER_SHARE = 0.5;
/** Time after which an unanswered read is abandoned. */
const READ_TIMEOUT_MS: Milliseconds = LONG_POLL_WAIT_MS + 4_000;

/** Reads one platform value, waiting for a newer revision. */
export type PlatformRead<Value> = (
  options: { afterRevision: number; waitMs: Milliseconds },
) => Promise<Result<Revisioned<Value> | undefined, PlatformError>>;

/** Dependencies of a {@link PlatformWatch}. */
export interface PlatformWatchOptions<Value> {
  readonly read: PlatformRead<Value>;
  readonly timer: Timer;
  readonly random: Random;
  readonly metrics: Metrics;
  /** Value of the `value` tag on its metrics. */
  readonly value: "bundle" | "host-list";
  readonly onValue: (value: Value) => void;
  /** Called after each successful read, even without a new value. */
  readonly onResponse: () => void;
}

/**
 * Watches one value of the platform by long polling, one read at a time. Failed
 * reads are retried with jittered backoff, and not before the delay that an
 * over-budget response requests.
 */
export class PlatformWatch<Value> {
  readonly #options: PlatformWatchOptions<Value>;
  #revision = 0;
  #backoffMs = FIRST_BACKOFF_MS;
  #nextReadAt: Milliseconds;
  #pendingRead: { readonly since: Milliseconds } | undefined;

  constructor(options: PlatformWatchOptions<Value>) {
    this.#options = options;
    this.#nextReadAt = options.timer.now() +
      options.random.float() * FIRST_BACKOFF_MS;
  }

  /**
   * Starts the next read if one is due. Call it often while this host should
   * read.
   */
  poll(): void {
    const now = this.#options.timer.now();
    if (this.#pendingRead !== undefined) {
      if (now - this.#pendingRead.since < READ_TIMEOUT_MS) return;
      this.#options.metrics.count("platform_reads_given_up");
    }
    if (now < this.#nextReadAt) return;
    void this.#read(now);
  }

  async #read(now: Milliseconds): Promise<void> {
    const { read, metrics, value } = this.#options;
    const reading = { since: now };
    this.#pendingRead = reading;
    metrics.count("platform_reads", 1, { value });
    const result = await read({
      afterRevision: this.#revision,
      waitMs: LONG_POLL_WAIT_MS,
    });
    if (this.#pendingRead !== reading) return;
    this.#pendingRead = undefined;
    if (result.isErr()) this.#onError(result.error);
    else this.#onResponse(result.value, reading.since);
  }

  #onResponse(
    update: Revisioned<Value> | undefined,
    since: Milliseconds,
  ): void {
    this.#backoffMs = FIRST_BACKOFF_MS;
    // Limits the rate of reads if the service does not hold the request.
    const earliest = since + LONG_POLL_WAIT_MS;
    const now = this.#options.timer.now();
    this.#nextReadAt = update === undefined ? Math.max(now, earliest) : now;
    this.#options.onResponse();
    if (update === undefined) return;
    // A service restored from a backup can restart its revisions.
    if (update.revision <= this.#revision) this.#nextReadAt = earliest;
    this.#revision = update.revision;
    this.#options.onValue(update.value);
  }

  #onError(error: PlatformError): void {
    const { timer, random, metrics, value } = this.#options;
    metrics.count("platform_read_errors", 1, { value, kind: error.kind });
    const wait = error.kind === "over-budget"
      ? Math.max(error.retryAfterMs, this.#backoffMs)
      : this.#backoffMs;
    this.#nextReadAt = timer.now() +
      wait * (1 + JITTER_SHARE * random.float());
    this.#backoffMs = Math.min(MAX_BACKOFF_MS, this.#backoffMs * 2);
  }
}
