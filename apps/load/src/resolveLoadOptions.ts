import { demoApiKey, exampleBundle } from "@wasabivane/bundle";
import { err, ok, type Result } from "neverthrow";
import type { Caller } from "./planCalls.ts";
import type { CallTargets } from "./callRequest.ts";
import type { LoadOptions } from "./runLoad.ts";
import type { LoadSettings } from "./settings.ts";

const SECOND = 1_000;

/** What is missing for a run. */
export interface IncompleteSettings {
  readonly kind: "incomplete";
  readonly detail: string;
}

/** The options of a run; what the settings leave out comes from their deployment. */
export function resolveLoadOptions(
  settings: LoadSettings,
): Result<LoadOptions, IncompleteSettings> {
  const example = exampleOf(settings);
  const callers = firstFilled(settings.callers, example.callers);
  const models = firstFilled(settings.models, example.models);
  const plainPaths = firstFilled(settings.plainPaths, example.plainPaths);
  if (settings.entries.length === 0) return incomplete("Name an entry's url");
  if (callers.length === 0) return incomplete("Name a deployment or callers");
  // Kinds of calls without a target are left out, so that no call fails for the tool's own fault.
  const plainShare = plainPaths.length === 0 ? 0 : settings.plainShare;
  return ok({
    ...settings,
    callers,
    targets: { models, plainPaths },
    plainShare: models.length === 0 ? 1 : plainShare,
    durationMs: settings.durationSeconds * SECOND,
  });
}

function exampleOf(
  { deployment }: LoadSettings,
): CallTargets & { callers: readonly Caller[] } {
  if (deployment === undefined) {
    return { callers: [], models: [], plainPaths: [] };
  }
  const { clientAccounts, services } = exampleBundle(deployment);
  return {
    callers: clientAccounts.map(({ account, tiers }) => ({
      account,
      tiers,
      apiKey: demoApiKey(account),
    })),
    models: services.flatMap(({ models }) => models),
    plainPaths: services.flatMap(({ pathPrefix }) => pathPrefix ?? []),
  };
}

function firstFilled<Item>(
  own: readonly Item[],
  example: readonly Item[],
): readonly Item[] {
  return own.length > 0 ? own : example;
}

function incomplete(detail: string): Result<never, IncompleteSettings> {
  return err({ kind: "incomplete", detail });
}
