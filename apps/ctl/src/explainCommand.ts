import {
  type CommandReport,
  EXIT_FINDINGS,
  EXIT_OK,
  UsageError,
} from "@wasabivane/common";
import { type LogLine, readLogFiles } from "./logLines.ts";
import { explainRequest } from "./requestExplanation.ts";

/**
 * Reports all hosts' log lines about one request in order of time, and why it
 * ended.
 */
export function explainCommand(
  id: string,
  files: readonly string[],
): CommandReport {
  if (files.length === 0) {
    throw new UsageError("The command explain needs at least one log file");
  }
  const explanation = explainRequest(readLogFiles(files), id);
  if (explanation === undefined) {
    return {
      exitCode: EXIT_FINDINGS,
      data: { id, lines: [], cause: null },
      lines: [`No line names ${id}; look for lines_left_out`],
    };
  }
  return {
    exitCode: EXIT_OK,
    data: { id, ...explanation },
    lines: [...explanation.lines.map(formatLogLine), explanation.cause],
  };
}

function formatLogLine({ time, host, event, values }: LogLine): string {
  const pairs = Object.entries(values).map(([name, value]) =>
    `${name}=${value}`
  );
  return [new Date(time).toISOString(), host, event, ...pairs].join(" ");
}
