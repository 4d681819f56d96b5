import { drawSchedule } from "./drawSchedule.ts";
import type { FaultScenario } from "./scenario.ts";
import {
  emptyVerdict,
  INVARIANTS,
  type ScenarioVerdict,
} from "./checkScenario.ts";
import { runScenario } from "./scenarioRunner.ts";

/** A schedule that violated an invariant. */
export interface FailedSchedule {
  /** The schedule, shrunk to the steps that reproduce the violation. */
  readonly schedule: FaultScenario;
  readonly what: string;
  /** Command that replays the original schedule. */
  readonly replay: string;
}

/** Output of the `faults` command. */
export interface FaultsReport extends Omit<ScenarioVerdict, "findings"> {
  readonly seed: number;
  runs: number;
  readonly failures: FailedSchedule[];
}

/** Maximum number of shrunk schedules, since shrinking is slow. */
const MAX_SHRUNK = 3;

/** Range of schedules of a seed to run. */
export interface FaultsOptions {
  readonly seed: number;
  readonly from: number;
  /** Index after the last schedule. */
  readonly to: number;
}

/** Runs schedules in order and shrinks the first failed ones. */
export async function runFaults(
  { seed, from, to }: FaultsOptions,
): Promise<FaultsReport> {
  const report = emptyReport(seed);
  for (let index = from; index < to; index++) {
    const scenario = drawSchedule(seed, index);
    const { verdict } = await runScenario(scenario);
    addVerdict(report, verdict);
    report.runs++;
    if (verdict.findings.length === 0) continue;
    const isShrunk = report.failures.length < MAX_SHRUNK;
    report.failures.push({
      schedule: isShrunk ? await shrinkSchedule(scenario) : scenario,
      what: verdict.findings.join("; "),
      replay: `npm run --silent faults -- --seed ${seed} --replay ${index}`,
    });
  }
  return report;
}

/** Creates a report without runs. */
export function emptyReport(seed: number): FaultsReport {
  const { findings: _findings, ...counts } = emptyVerdict();
  return { seed, runs: 0, ...counts, failures: [] };
}

/** Adds the counts and failures of a part to a report. */
export function addReport(sum: FaultsReport, part: FaultsReport): void {
  addVerdict(sum, part);
  sum.runs += part.runs;
  sum.failures.push(...part.failures);
}

function addVerdict(
  sum: FaultsReport,
  part: Omit<ScenarioVerdict, "findings">,
): void {
  sum.requests += part.requests;
  sum.whole += part.whole;
  sum.notRun += part.notRun;
  sum.unknown += part.unknown;
  sum.unknownThatHadNotRun += part.unknownThatHadNotRun;
  for (const invariant of INVARIANTS) sum[invariant] += part[invariant];
}

/** Removes each step that is not needed to reproduce a violation. */
export async function shrinkSchedule(
  scenario: FaultScenario,
): Promise<FaultScenario> {
  let smallest = scenario;
  for (let index = scenario.story.length - 1; index >= 0; index--) {
    const story = smallest.story.filter((_, position) => position !== index);
    const smaller = { ...smallest, story };
    if (await hasViolation(smaller)) smallest = smaller;
  }
  const sent = new Set(
    smallest.story.map((step) => step.do === "send" ? step.request : ""),
  );
  const requests = Object.fromEntries(
    Object.entries(smallest.requests).filter(([name]) => sent.has(name)),
  );
  return { ...smallest, requests };
}

async function hasViolation(scenario: FaultScenario): Promise<boolean> {
  const { verdict } = await runScenario(scenario);
  return verdict.findings.length > 0;
}
