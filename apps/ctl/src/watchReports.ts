import {
  type CommandOutput,
  type CommandReport,
  type Milliseconds,
  printReport,
  sleep,
  type Timer,
} from "@wasabivane/common";

const CLEAR_SCREEN = "\u001b[2J\u001b[H";

/** How a command is repeated. */
export interface WatchOptions {
  readonly periodMs: Milliseconds;
  readonly timer: Timer;
  readonly output: CommandOutput;
  readonly isJson: boolean;
  /** Whether each report takes the place of the one before. */
  readonly isTerminal: boolean;
  /** Ends the watch. */
  readonly signal: AbortSignal;
}

/** Asks and prints again and again; the last report counts for the exit code. */
export async function watchReports(
  ask: () => Promise<CommandReport>,
  { periodMs, timer, output, isJson, isTerminal, signal }: WatchOptions,
): Promise<CommandReport> {
  while (true) {
    const report = await ask();
    if (isTerminal && !isJson) output.write(CLEAR_SCREEN);
    printReport(report, { isJson, output });
    if (!signal.aborted) {
      await Promise.race([sleep(timer, periodMs), aborted(signal)]);
    }
    if (signal.aborted) return { ...report, isPrinted: true };
  }
}

function aborted(signal: AbortSignal): Promise<void> {
  return new Promise((resolve) =>
    signal.addEventListener("abort", () => resolve(), { once: true })
  );
}
