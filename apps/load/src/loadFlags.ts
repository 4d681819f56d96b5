import {
  type DocumentError,
  parseDocument,
  readDocument,
} from "@wasabivane/bundle";
import { ok, type Result } from "neverthrow";
import { type LoadSettings, loadSettingsSchema } from "./settings.ts";

/** Parsed command-line flags. */
export interface LoadFlags {
  readonly settings?: string;
  readonly entry?: string | readonly string[];
  readonly deployment?: string;
  readonly pattern?: string;
  readonly seed?: number;
  readonly duration?: number;
  readonly rate?: number;
  readonly deadline?: number;
  readonly json?: boolean;
}

/** Reads the settings file, if any, and overrides its values with the flags. */
export function readLoadSettings(
  flags: LoadFlags,
): Result<LoadSettings, DocumentError[]> {
  const file: Result<Partial<LoadSettings>, DocumentError[]> =
    flags.settings === undefined
      ? ok({})
      : readDocument(flags.settings, loadSettingsSchema);
  return file.andThen((settings) => {
    const merged = { ...settings, ...withoutUndefined(flagsToSettings(flags)) };
    return parseDocument(JSON.stringify(merged), loadSettingsSchema, {
      file: "command line",
    });
  });
}

function flagsToSettings(flags: LoadFlags): Record<string, unknown> {
  return {
    entries: flags.entry === undefined ? undefined : [flags.entry].flat(),
    deployment: flags.deployment,
    pattern: flags.pattern,
    seed: flags.seed,
    durationSeconds: flags.duration,
    requestsPerSecond: flags.rate,
    deadlineMs: flags.deadline,
  };
}

function withoutUndefined(
  members: Record<string, unknown>,
): Record<string, unknown> {
  return Object.fromEntries(
    Object.entries(members).filter(([, value]) => value !== undefined),
  );
}
