import {
  type Bundle,
  compareBundleParts,
  formatPath,
  readBundleFile,
} from "@wasabivane/bundle";
import { type CommandReport, EXIT_FINDINGS, EXIT_OK } from "@wasabivane/common";
import { Result } from "neverthrow";
import { documentErrorsReport } from "./documentErrorsReport.ts";
import { findPartChanges, formatPartChange } from "./partChanges.ts";

/**
 * Lists the parts that differ between two bundle files; exits with 1 if any
 * does, like `diff`.
 */
export function diffCommand(from: string, to: string): CommandReport {
  return Result.combine([readBundleFile(from), readBundleFile(to)]).match(
    ([former, later]) => differenceReport(former!.bundle, later!.bundle),
    documentErrorsReport,
  );
}

function differenceReport(from: Bundle, to: Bundle): CommandReport {
  const comparison = compareBundleParts(from, to)._unsafeUnwrap();
  const changes = findPartChanges(from, comparison);
  return {
    exitCode: changes.length === 0 ? EXIT_OK : EXIT_FINDINGS,
    data: {
      from: from.version,
      to: to.version,
      changes: changes.map((change) => ({
        ...change,
        values: change.values.map((value) => ({
          ...value,
          path: formatPath(value.path),
        })),
      })),
    },
    lines: changes.flatMap(formatPartChange),
  };
}
