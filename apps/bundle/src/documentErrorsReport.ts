import { type DocumentError, formatDocumentError } from "@wasabivane/bundle";
import { type CommandReport, EXIT_FINDINGS } from "@wasabivane/common";

/** A report of what is wrong with a file. */
export function documentErrorsReport(
  errors: readonly DocumentError[],
): CommandReport {
  return {
    exitCode: EXIT_FINDINGS,
    data: { errors },
    lines: errors.map(formatDocumentError),
  };
}
