import type { Milliseconds, Timer } from "@wasabivane/common";
import { type Logger, pino } from "pino";

/** Names of all log events. */
export const LOG_EVENTS = [
  "started",
  "start_failed",
  "port_in_use",
  "metrics_unavailable",
  "stopping",
  "stopped",
  "stop_overdue",
  "ended",
  "memory_high",
  "settings_reloaded",
  "policy_adopted",
  "policy_announced",
  "policy_rejected",
  "snapshot_fetch_failed",
  "store_lost",
  "store_regained",
  "store_history_lost",
  "store_too_large",
  "store_era_changed",
  "peers_changed",
  "cell_kept",
  "cell_slots",
  "cell_accounts",
  "keeper_passed_over",
  "upstreams_read",
  "upstream_listed",
  "upstream_left",
  "upstream_leaving",
  "upstream_reinstated",
  "upstream_header_unknown",
  "upstream_malformed",
  "load_report_malformed",
  "upstream_ejected",
  "links_broken",
  "links_restored",
  "upstream_limited",
  "rejections_limited",
  "upstream_backoff",
  "domains_evacuated",
  "crash_suspected",
  "crash_checked",
  "crash_confirmed",
  "parts_convicted",
  "quota_grantor_changed",
  "account_over_quota",
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
  "uncaught_error",
] as const;

/** Name of a log event. */
export type LogEvent = typeof LOG_EVENTS[number];

/**
 * Values of a log line: ids, numbers and short texts, never API keys or bodies.
 */
export type LogValues = Readonly<
  Record<string, string | number | boolean | undefined>
>;

const PERIOD_MS: Milliseconds = 1_000;
/** Limit for failures and state changes in a period. */
const MAXIMUM_IMPORTANT_LINES = 120;
/** Limit for routine events in a period. */
const MAXIMUM_ROUTINE_LINES = 60;
/** Unwritten output above which lines are dropped. */
const MAXIMUM_PENDING_BYTES = 256 * 1_024;

const ROUTINE_EVENTS: ReadonlySet<LogEvent> = new Set<LogEvent>([
  "request_sent",
  "request_ended",
  "caller_left",
]);

/** Receives log lines. */
export interface LogOutput {
  write(line: string): void;
  /** Number of bytes written that the reader has not consumed. */
  readonly pendingBytes: number;
}

/**
 * Writes structured log lines at a limited rate, and drops lines while the
 * reader is slow, so that logging neither blocks the process nor grows its
 * memory. The number of dropped lines is logged.
 */
export class DecisionLog {
  readonly #logger: Logger;
  readonly #output: LogOutput;
  readonly #timer: Timer;
  #periodStart: Milliseconds = -Infinity;
  #routineLines = 0;
  #importantLines = 0;
  #dropped = 0;

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
    if (this.#isOverBudget(event)) this.#dropped++;
    else this.#logger.info(values, event);
  }

  #isOverBudget(event: LogEvent): boolean {
    if (this.#output.pendingBytes > MAXIMUM_PENDING_BYTES) return true;
    return ROUTINE_EVENTS.has(event)
      ? ++this.#routineLines > MAXIMUM_ROUTINE_LINES
      : ++this.#importantLines > MAXIMUM_IMPORTANT_LINES;
  }

  #startPeriod(): void {
    const now = this.#timer.now();
    if (now - this.#periodStart < PERIOD_MS) return;
    this.#periodStart = now;
    this.#routineLines = 0;
    this.#importantLines = 0;
    if (this.#dropped === 0) return;
    this.#logger.info({ lines: this.#dropped }, "lines_left_out");
    this.#dropped = 0;
  }
}
