import { readFileSync } from "node:fs";
import type { LogEvent } from "@wasabivane/gateway";

/** One structured log line of an entry host. */
export interface LogLine {
  /** Milliseconds since the epoch. */
  readonly time: number;
  readonly host: string;
  readonly event: LogEvent;
  /** The remaining keys of the line. */
  readonly values: Readonly<Record<string, unknown>>;
}

/**
 * Reads the structured lines of log files, in order of time; skips all other
 * lines.
 */
export function readLogFiles(files: readonly string[]): LogLine[] {
  const lines = files.flatMap((file) =>
    parseLogLines(readFileSync(file, "utf8"))
  );
  return lines.sort((left, right) => left.time - right.time);
}

/**
 * Parses log lines; skips a prefix that a log collector put before the JSON
 * object.
 */
export function parseLogLines(text: string): LogLine[] {
  return text.split("\n").flatMap((line) => parseLine(line) ?? []);
}

function parseLine(line: string): LogLine | undefined {
  const start = line.indexOf("{");
  if (start < 0) return undefined;
  try {
    const { level: _level, time, host, event, ...values } = JSON.parse(
      line.slice(start),
    );
    if (typeof time !== "number" || typeof event !== "string") return undefined;
    return { time, host: String(host), event: event as LogEvent, values };
  } catch {
    return undefined;
  }
}
