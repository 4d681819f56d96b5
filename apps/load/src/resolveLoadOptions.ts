import { demoApiKey, exampleBundle } from "@wasabivane/bundle";
import { err, ok, type Result } from "neverthrow";
import type { Caller } from "./planCalls.ts";
import type { CallTargets } from "./callRequest.ts";
import type { LoadOptions } from "./runLoad.ts";
import type { LoadSettings } from "./settings.ts";

const MILLISECONDS_PER_SECOND = 1_000;

/** Error of settings that lack a value that a run needs. */
export interface IncompleteSettings {
  readonly kind: "incomplete";
  readonly detail: string;
}

/**
 * Resolves the options of a run; missing settings default to those of the
 * deployment.
 */
export function resolveLoadOptions(
  settings: LoadSettings,
): Result<LoadOptions, IncompleteSettings> {
  const defaults = exampleDefaults(settings);
  const callers = ownOrExample(settings.callers, defaults.callers);
  const models = ownOrExample(settings.models, defaults.models);
  const plainPaths = ownOrExample(settings.plainPaths, defaults.plainPaths);
  if (settings.entries.length === 0) return incomplete("Name an entry's url");
  if (callers.length === 0) return incomplete("Name a deployment or callers");
  // Without a target for a kind of call, no calls of that kind are planned.
  const plainShare = plainPaths.length === 0 ? 0 : settings.plainShare;
  return ok({
    ...settings,
    callers,
    targets: { models, plainPaths },
    plainShare: models.length === 0 ? 1 : plainShare,
    durationMs: settings.durationSeconds * MILLISECONDS_PER_SECOND,
  });
}

function exampleDefaults(
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

function ownOrExample<Item>(
  own: readonly Item[],
  defaults: readonly Item[],
): readonly Item[] {
  return own.length > 0 ? own : defaults;
}

function incomplete(detail: string): Result<never, IncompleteSettings> {
  return err({ kind: "incomplete", detail });
}
