import {
  type CommandReport,
  EXIT_FINDINGS,
  EXIT_OK,
  UsageError,
} from "@wasabivane/common";
import { type LogLine, readLogFiles } from "./logLines.ts";
import { explainRequest } from "./requestExplanation.ts";

/** Puts the lines of all hosts about one request in order and says the cause. */
export function explainCommand(
  id: string,
  files: readonly string[],
): CommandReport {
  if (files.length === 0) {
    throw new UsageError("explain needs at least one log file");
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
    lines: [...explanation.lines.map(textOf), explanation.cause],
  };
}

function textOf({ time, host, event, values }: LogLine): string {
  const pairs = Object.entries(values).map(([name, value]) =>
    `${name}=${value}`
  );
  return [new Date(time).toISOString(), host, event, ...pairs].join(" ");
}
