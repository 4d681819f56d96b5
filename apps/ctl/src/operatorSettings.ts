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

/** The settings that a command line names: a file, or urls of entry hosts. */
export function readOperatorSettings(options: ParsedOptions): OperatorSettings {
  const file = getTextOption(options, "settings");
  const entries = getTextOption(options, "entries");
  if ((file === undefined) === (entries === undefined)) {
    throw new UsageError("Give one of --entries and --settings");
  }
  const settings = file === undefined
    ? settingsOfUrls(entries!)
    : settingsOfFile(file);
  const timeoutMs = getIntegerOption(options, "timeout");
  return timeoutMs === undefined ? settings : { ...settings, timeoutMs };
}

/** Trusts the settings' authority for TLS; undici's own trust without one. */
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

function settingsOfFile(file: string): OperatorSettings {
  return readDocument(file, operatorSettingsSchema).match(
    (settings) => settings,
    (errors) => {
      throw new UsageError(errors.map(formatDocumentError).join("\n"));
    },
  );
}

function settingsOfUrls(entries: string): OperatorSettings {
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
