import { readFileSync } from "node:fs";
import {
  formatDocumentError,
  type OperatorSettings,
  operatorSettingsSchema,
  parseDocument,
  readDocument,
} from "@wasabivane/bundle";
import {
  getIntegerOption,
  getTextOption,
  type ParsedOptions,
  UsageError,
} from "@wasabivane/common";
import { Agent, type Dispatcher } from "undici";

/**
 * Reads the settings from the file or the entry URLs that the command line
 * names.
 */
export function readOperatorSettings(options: ParsedOptions): OperatorSettings {
  const file = getTextOption(options, "settings");
  const entries = getTextOption(options, "entries");
  if ((file === undefined) === (entries === undefined)) {
    throw new UsageError("Give either --entries or --settings");
  }
  const settings = file === undefined
    ? readEntryUrls(entries!)
    : readSettingsFile(file);
  const timeoutMs = getIntegerOption(options, "timeout");
  return timeoutMs === undefined ? settings : { ...settings, timeoutMs };
}

/**
 * Creates a dispatcher that trusts the settings' certificate authority, if any.
 */
export function createDispatcher(
  { authorityFile }: OperatorSettings,
): Dispatcher | undefined {
  if (authorityFile === undefined) return undefined;
  try {
    return new Agent({ connect: { ca: readFileSync(authorityFile) } });
  } catch (error) {
    const { code } = error as NodeJS.ErrnoException;
    throw new UsageError(
      `Cannot read authorityFile ${authorityFile} (${code})`,
    );
  }
}

function readSettingsFile(file: string): OperatorSettings {
  return readDocument(file, operatorSettingsSchema).match(
    (settings) => settings,
    (errors) => {
      throw new UsageError(errors.map(formatDocumentError).join("\n"));
    },
  );
}

function readEntryUrls(entries: string): OperatorSettings {
  const urls = entries.split(",").map((url) => url.trim());
  const text = JSON.stringify({ entries: urls });
  return parseDocument(text, operatorSettingsSchema, { file: "--entries" })
    .match(
      (settings) => settings,
      (errors) => {
        const problems = errors.map(({ message, allowed }) =>
          `${message}; allowed: ${allowed}`
        );
        throw new UsageError(`--entries: ${problems.join("; ")}`);
      },
    );
}
