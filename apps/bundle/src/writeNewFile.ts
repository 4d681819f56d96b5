import { writeFileSync } from "node:fs";
import { err, ok, type Result } from "neverthrow";
import { type CommandReport, EXIT_FINDINGS } from "@wasabivane/common";

/** File mode that gives access to the owner only. */
export const PRIVATE_FILE_MODE = 0o600;
const PUBLIC_FILE_MODE = 0o644;

/** Error for a file that could not be written. */
export interface FileWriteError {
  readonly kind: "not-written";
  readonly file: string;
  readonly message: string;
}

/**
 * Writes a new file; fails if it exists, so that no key or bundle is
 * overwritten.
 */
export function writeNewFile(
  file: string,
  { text, mode = PUBLIC_FILE_MODE }: { text: string; mode?: number },
): Result<void, FileWriteError> {
  try {
    writeFileSync(file, text, { flag: "wx", mode });
    return ok(undefined);
  } catch (error) {
    const { code = "unknown error" } = error as NodeJS.ErrnoException;
    const message = code === "EEXIST"
      ? "The file already exists"
      : `Cannot write the file (${code})`;
    return err({ kind: "not-written", file, message });
  }
}

/** Creates the command report for a file that could not be written. */
export function fileWriteErrorReport(error: FileWriteError): CommandReport {
  return {
    exitCode: EXIT_FINDINGS,
    data: { errors: [error] },
    lines: [`${error.file}: ${error.message}; allowed: a new file`],
  };
}
