import { type DocumentError, formatDocumentError } from "@wasabivane/bundle";
import { type CommandReport, EXIT_FINDINGS } from "@wasabivane/common";

/** Creates the report of the errors in a file. */
export function documentErrorsReport(
  errors: readonly DocumentError[],
): CommandReport {
  return {
    exitCode: EXIT_FINDINGS,
    data: { errors },
    lines: errors.map(formatDocumentError),
  };
}
