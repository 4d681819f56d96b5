import { readFileSync } from "node:fs";
import type { LogEvent } from "@wasabivane/gateway";

/** One structured line of an entry host. */
export interface LogLine {
  readonly time: number;
  readonly host: string;
  readonly event: LogEvent;
  readonly values: Readonly<Record<string, unknown>>;
}

/** Reads files of lines in the order of time; what is no structured line is left out. */
export function readLogFiles(files: readonly string[]): LogLine[] {
  const lines = files.flatMap((file) =>
    parseLogLines(readFileSync(file, "utf8"))
  );
  return lines.sort((left, right) => left.time - right.time);
}

/** Parses lines; a prefix that a collector wrote before the document is skipped. */
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
