import type { EndedCall } from "@wasabivane/load";
import type { Fleet } from "./fleet.ts";

/**
 * Output of the `live` command. Runs are counted by the plain services; `null`
 * marks an invariant that is not checked.
 */
export interface LiveReport {
  readonly seed: number;
  readonly seconds: number;
  readonly kills: number;
  readonly pauses: number;
  readonly rolls: number;
  readonly requests: number;
  readonly whole: number;
  readonly notRun: number;
  readonly unknown: number;
  /** Counted for plain services only. */
  readonly unknownThatHadNotRun: number;
  readonly doubleDispatches: number;
  readonly doubleRuns: number;
  readonly crossed: number;
  readonly cut: number;
  /** Counted for plain services only. */
  readonly falseNotRun: number;
  readonly lostJobs: null;
  readonly configurationReversions: number;
  readonly tierInversions: null;
  readonly newWorkToLeavingAfterGrace: null;
  readonly unknownByType: Readonly<Record<string, number>>;
}

/** Parameters and fault counts of a run. */
export interface LiveRunSummary {
  readonly seed: number;
  readonly seconds: number;
  readonly kills: number;
  readonly pauses: number;
  readonly rolls: number;
  readonly configurationReversions: number;
}

/** Compares the outcomes seen by callers with the runs at the stand-ins. */
export function checkLiveRun(
  run: LiveRunSummary,
  { calls, fleet }: { calls: readonly EndedCall[]; fleet: Fleet },
): LiveReport {
  const runs = runsByKey(fleet);
  const classified = calls.map((call) => ({
    ...call,
    observed: classifyOutcome(call),
  }));
  const plain = classified.filter(({ call }) => call.kind === "plain");
  const hasRun = ({ idempotencyKey: key }: EndedCall): boolean => runs.has(key);
  return {
    ...run,
    requests: calls.length,
    whole: countMatching(classified, ({ observed }) => observed === "whole"),
    notRun: countMatching(classified, ({ observed }) => observed === "not-run"),
    unknown: countMatching(
      classified,
      ({ observed }) => observed === "unknown",
    ),
    unknownThatHadNotRun: countMatching(
      plain,
      (call) => call.observed === "unknown" && !hasRun(call),
    ),
    doubleDispatches: countRepeatedNonces(fleet),
    doubleRuns: countMatching([...runs.values()], (times) => times > 1),
    crossed: countMatching(
      classified,
      ({ outcome }) => outcome.kind === "crossed",
    ),
    cut: countMatching(classified, ({ outcome }) => outcome.kind === "cut"),
    falseNotRun: countMatching(
      plain,
      (call) => call.observed === "not-run" && hasRun(call),
    ),
    lostJobs: null,
    tierInversions: null,
    newWorkToLeavingAfterGrace: null,
    unknownByType: unknownByType(classified),
  };
}

/** Number of runs of each key over all plain services. */
function runsByKey({ deployment }: Fleet): Map<string, number> {
  const runs = new Map<string, number>();
  for (const { runs: { byKey } } of deployment.plainServices.values()) {
    for (const [key, times] of Object.entries(byKey)) {
      runs.set(key, (runs.get(key) ?? 0) + times);
    }
  }
  return runs;
}

function countRepeatedNonces({ deployment }: Fleet): number {
  const plain = [...deployment.plainServices.values()].flatMap(({ runs }) =>
    Object.values(runs.byNonce)
  );
  const engines = [...deployment.engines.values()].flatMap((
    { state: { runs } },
  ) => Object.values(runs).map(({ starts }) => starts));
  return countMatching([...plain, ...engines], (times) => times > 1);
}

function classifyOutcome({ outcome }: EndedCall): string {
  if (outcome.kind === "problem") return outcome.problem.ending;
  return outcome.kind === "whole" ? "whole" : "unknown";
}

function unknownByType(
  classified: readonly (EndedCall & { observed: string })[],
): Record<string, number> {
  const types: Record<string, number> = {};
  for (const { outcome, observed } of classified) {
    if (observed !== "unknown") continue;
    const type = outcome.kind === "problem"
      ? outcome.problem.type
      : outcome.kind;
    types[type] = (types[type] ?? 0) + 1;
  }
  return types;
}

function countMatching<Item>(
  items: readonly Item[],
  matches: (item: Item) => boolean,
): number {
  return items.filter(matches).length;
}
