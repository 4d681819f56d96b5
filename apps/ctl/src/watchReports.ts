import {
  type CommandOutput,
  type CommandReport,
  type Milliseconds,
  printReport,
  sleep,
  type Timer,
} from "@wasabivane/common";

const CLEAR_SCREEN = "\u001b[2J\u001b[H";

/** Options of {@link watchReports}. */
export interface WatchOptions {
  readonly periodMs: Milliseconds;
  readonly timer: Timer;
  readonly output: CommandOutput;
  readonly isJson: boolean;
  /** Whether to clear the screen before each report. */
  readonly isTerminal: boolean;
  /** Stops the repetition. */
  readonly signal: AbortSignal;
}

/** Runs a command periodically, prints each report and returns the last one. */
export async function watchReports(
  command: () => Promise<CommandReport>,
  { periodMs, timer, output, isJson, isTerminal, signal }: WatchOptions,
): Promise<CommandReport> {
  while (true) {
    const report = await command();
    if (isTerminal && !isJson) output.write(CLEAR_SCREEN);
    printReport(report, { isJson, output });
    if (!signal.aborted) {
      await Promise.race([sleep(timer, periodMs), whenAborted(signal)]);
    }
    if (signal.aborted) return { ...report, isPrinted: true };
  }
}

function whenAborted(signal: AbortSignal): Promise<void> {
  return new Promise((resolve) =>
    signal.addEventListener("abort", () => resolve(), { once: true })
  );
}
