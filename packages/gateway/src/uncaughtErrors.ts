import type { Milliseconds, Timer } from "@wasabivane/common";
import type { DecisionLog } from "./decisionLog.ts";
import type { GatewayMetrics } from "./gatewayMetrics.ts";

/** Interval at which an error that recurs is logged. */
const LOG_INTERVAL_MS: Milliseconds = 10_000;
/** Different errors that are told apart; the others share one line. */
const MAXIMUM_ERRORS = 32;
const OTHER_ERRORS = "other";
const MAXIMUM_MESSAGE_LENGTH = 200;
/** Calls of the stack that are logged, the innermost first. */
const MAXIMUM_CALLS = 6;

/** Dependencies of {@link UncaughtErrors}. */
export interface UncaughtErrorsOptions {
  readonly timer: Timer;
  readonly metrics: GatewayMetrics;
  readonly log: DecisionLog;
}

interface RecurringError {
  loggedAt: Milliseconds;
  unlogged: number;
}

/**
 * Counts errors that no caller handles, and logs where each was thrown. Such an
 * error ends the work of the event in which it was thrown; the process goes on,
 * as its end would lose every request that it has read.
 */
export class UncaughtErrors {
  readonly #options: UncaughtErrorsOptions;
  readonly #errors = new Map<string, RecurringError>();
  #count = 0;

  constructor(options: UncaughtErrorsOptions) {
    this.#options = options;
  }

  /** Number of errors since the start. */
  get count(): number {
    return this.#count;
  }

  /** Records an error; `origin` names the work that it ended. */
  record(thrown: unknown, origin: string): void {
    const { timer, metrics, log } = this.#options;
    this.#count++;
    metrics.count("uncaught_errors");
    const { message, stack } = describe(thrown);
    const now = timer.now();
    const error = this.#find(`${origin} ${message} ${stack}`);
    if (now - error.loggedAt < LOG_INTERVAL_MS) return void error.unlogged++;
    const { unlogged } = error;
    error.loggedAt = now;
    error.unlogged = 0;
    log.write("uncaught_error", {
      origin,
      message,
      stack,
      ...unlogged > 0 && { unlogged },
    });
  }

  /** Runs work, and records what it throws. */
  guard(origin: string, work: () => void): void {
    try {
      work();
    } catch (thrown) {
      this.record(thrown, origin);
    }
  }

  #find(text: string): RecurringError {
    const isFull = !this.#errors.has(text) &&
      this.#errors.size >= MAXIMUM_ERRORS;
    const key = isFull ? OTHER_ERRORS : text;
    let error = this.#errors.get(key);
    if (error === undefined) {
      error = { loggedAt: -Infinity, unlogged: 0 };
      this.#errors.set(key, error);
    }
    return error;
  }
}

/** Any value may be thrown, also one whose fields cannot be read. */
function describe(thrown: unknown): { message: string; stack: string } {
  try {
    if (!(thrown instanceof Error)) {
      return { message: shorten(String(thrown)), stack: "" };
    }
    const calls = (thrown.stack ?? "").split("\n")
      .filter((line) => line.trimStart().startsWith("at "))
      .slice(0, MAXIMUM_CALLS)
      .map((line) => line.trim().slice("at ".length));
    return {
      message: shorten(`${thrown.name}: ${thrown.message}`),
      stack: calls.join("; "),
    };
  } catch {
    return { message: "An error that cannot be described", stack: "" };
  }
}

function shorten(text: string): string {
  return text.slice(0, MAXIMUM_MESSAGE_LENGTH);
}
