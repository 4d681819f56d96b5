import type { Milliseconds, Timer } from "@wasabivane/common";
import { type Logger, pino } from "pino";

/** Every event that a line may name. */
export const LOG_EVENTS = [
  "started",
  "stopping",
  "stopped",
  "settings_reloaded",
  "policy_adopted",
  "policy_rejected",
  "store_lost",
  "store_regained",
  "store_history_lost",
  "peers_changed",
  "cell_kept",
  "keeper_passed_over",
  "upstreams_read",
  "upstream_listed",
  "upstream_left",
  "upstream_malformed",
  "upstream_ejected",
  "domains_evacuated",
  "crash_confirmed",
  "request_refused",
  "requests_shed",
  "request_sent",
  "request_sent_again",
  "request_ended",
  "request_failed",
  "request_cut",
  "caller_left",
  "lines_left_out",
  "internal_error",
] as const;

/** See {@link LOG_EVENTS}. */
export type LogEvent = typeof LOG_EVENTS[number];

/** Values of a line; ids, figures and short words, never keys or bodies. */
export type LogValues = Readonly<
  Record<string, string | number | boolean | undefined>
>;

const PERIOD_MS: Milliseconds = 1_000;
/** Lines of failures and changes of belief in a period. */
const IMPORTANT_LINES = 120;
/** Lines of routine steps in a period; at 60 requests a second each has about one. */
const ROUTINE_LINES = 60;
/** Bytes that a reader may be behind before lines are left out. */
const MAXIMUM_BEHIND_BYTES = 256 * 1_024;

const ROUTINE_EVENTS: ReadonlySet<LogEvent> = new Set<LogEvent>([
  "request_sent",
  "request_ended",
  "caller_left",
]);

/** Where lines go. */
export interface LogOutput {
  write(line: string): void;
  /** Bytes that were written and not yet taken. */
  readonly pendingBytes: number;
}

/**
 * Structured lines on standard output. Lines are bounded in number and in the
 * bytes that a slow reader may hold up, so that logging neither blocks the process
 * nor grows its memory; how many were left out is itself a line.
 */
export class DecisionLog {
  readonly #logger: Logger;
  readonly #output: LogOutput;
  readonly #timer: Timer;
  #periodSince: Milliseconds = -Infinity;
  #routine = 0;
  #important = 0;
  #leftOut = 0;

  constructor(
    { output, timer, host }: {
      output: LogOutput;
      timer: Timer;
      host: string;
    },
  ) {
    this.#output = output;
    this.#timer = timer;
    this.#logger = pino({
      base: { host },
      timestamp: () => `,"time":${timer.wallNow()}`,
      formatters: { level: (label) => ({ level: label }) },
      messageKey: "event",
    }, output);
  }

  write(event: LogEvent, values: LogValues = {}): void {
    this.#startPeriod();
    if (this.#isOverBudget(event)) this.#leftOut++;
    else this.#logger.info(values, event);
  }

  #isOverBudget(event: LogEvent): boolean {
    if (this.#output.pendingBytes > MAXIMUM_BEHIND_BYTES) return true;
    return ROUTINE_EVENTS.has(event)
      ? ++this.#routine > ROUTINE_LINES
      : ++this.#important > IMPORTANT_LINES;
  }

  #startPeriod(): void {
    const now = this.#timer.now();
    if (now - this.#periodSince < PERIOD_MS) return;
    this.#periodSince = now;
    this.#routine = 0;
    this.#important = 0;
    if (this.#leftOut === 0) return;
    this.#logger.info({ lines: this.#leftOut }, "lines_left_out");
    this.#leftOut = 0;
  }
}
