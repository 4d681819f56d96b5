import type { EndedCall } from "@wasabivane/load";
import type { Fleet } from "./fleet.ts";

/**
 * What `live` prints. The plain services' own count of runs is the judge of
 * runs; `null` stands for what nobody counted in this run.
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
  /** Of the calls to plain services. */
  readonly unknownThatHadNotRun: number;
  readonly doubleDispatches: number;
  readonly doubleRuns: number;
  readonly crossed: number;
  readonly cut: number;
  /** Of the calls to plain services. */
  readonly falseNotRun: number;
  readonly lostJobs: null;
  readonly configurationReversions: number;
  readonly tierInversions: null;
  readonly newWorkToLeavingAfterGrace: null;
  readonly unknownByType: Readonly<Record<string, number>>;
}

/** What a run gave besides its calls. */
export interface LiveRunSummary {
  readonly seed: number;
  readonly seconds: number;
  readonly kills: number;
  readonly pauses: number;
  readonly rolls: number;
  readonly configurationReversions: number;
}

/** Compares what callers were told with what the stand-ins ran. */
export function checkLiveRun(
  run: LiveRunSummary,
  { calls, fleet }: { calls: readonly EndedCall[]; fleet: Fleet },
): LiveReport {
  const runs = runsByKey(fleet);
  const ended = calls.map((call) => ({ ...call, truth: truthOf(call) }));
  const plain = ended.filter(({ call }) => call.kind === "plain");
  const hasRun = ({ idempotencyKey: key }: EndedCall): boolean => runs.has(key);
  return {
    ...run,
    requests: calls.length,
    whole: count(ended, ({ truth }) => truth === "whole"),
    notRun: count(ended, ({ truth }) => truth === "not-run"),
    unknown: count(ended, ({ truth }) => truth === "unknown"),
    unknownThatHadNotRun: count(
      plain,
      (call) => call.truth === "unknown" && !hasRun(call),
    ),
    doubleDispatches: doubledNonces(fleet),
    doubleRuns: count([...runs.values()], (times) => times > 1),
    crossed: count(ended, ({ outcome: ending }) => ending.kind === "crossed"),
    cut: count(ended, ({ outcome: ending }) => ending.kind === "cut"),
    falseNotRun: count(
      plain,
      (call) => call.truth === "not-run" && hasRun(call),
    ),
    lostJobs: null,
    tierInversions: null,
    newWorkToLeavingAfterGrace: null,
    unknownByType: unknownByType(ended),
  };
}

/** Runs of each key, over all plain services. */
function runsByKey({ deployment }: Fleet): Map<string, number> {
  const runs = new Map<string, number>();
  for (const { runs: { byKey } } of deployment.plainServices.values()) {
    for (const [key, times] of Object.entries(byKey)) {
      runs.set(key, (runs.get(key) ?? 0) + times);
    }
  }
  return runs;
}

function doubledNonces({ deployment }: Fleet): number {
  const plain = [...deployment.plainServices.values()].flatMap(({ runs }) =>
    Object.values(runs.byNonce)
  );
  const engines = [...deployment.engines.values()].flatMap((
    { state: { runs } },
  ) => Object.values(runs).map(({ starts }) => starts));
  return count([...plain, ...engines], (times) => times > 1);
}

function truthOf({ outcome: ending }: EndedCall): string {
  if (ending.kind === "problem") return ending.problem.ending;
  return ending.kind === "whole" ? "whole" : "unknown";
}

function unknownByType(
  ended: readonly (EndedCall & { truth: string })[],
): Record<string, number> {
  const types: Record<string, number> = {};
  for (const { outcome: ending, truth } of ended) {
    if (truth !== "unknown") continue;
    const type = ending.kind === "problem" ? ending.problem.type : ending.kind;
    types[type] = (types[type] ?? 0) + 1;
  }
  return types;
}

function count<Item>(
  items: readonly Item[],
  matches: (item: Item) => boolean,
): number {
  return items.filter(matches).length;
}
