import {
  LeastOutstandingScheduler,
  PoolScheduler,
  RoundRobinScheduler,
} from "@wasabivane/decisions";
import type { Deployment } from "./arrivals.ts";
import { buildScenario, type Pattern } from "./arrivalPatterns.ts";
import { type Bound, workOutBound } from "./bound.ts";
import { Experiment, type SchedulerBuilder } from "./experiment.ts";
import type { AnswerSample, PolicyResult } from "./experimentTally.ts";

/** The policies that are compared, by name. */
export const POLICIES: Readonly<Record<string, SchedulerBuilder>> = {
  naive: (policy) => new RoundRobinScheduler(policy),
  leastOutstanding: (policy, random) =>
    new LeastOutstandingScheduler(policy, { random }),
  wasabivane: (policy, random) => new PoolScheduler(policy, { random }),
};

/** What one pattern gave under each policy. */
export interface ExperimentResult {
  readonly pattern: Pattern;
  readonly deployment: Deployment;
  readonly seed: number;
  readonly policies: Readonly<Record<string, PolicyResult>>;
  readonly bound: Bound;
}

/** A result with the answers behind it. */
export interface DetailedResult {
  readonly result: ExperimentResult;
  readonly answers: Readonly<Record<string, readonly AnswerSample[]>>;
}

/** Runs one pattern under every policy, or under those that are named. */
export function runExperiment(
  { pattern, deployment, seed, policies = Object.keys(POLICIES) }: {
    pattern: Pattern;
    deployment: Deployment;
    seed: number;
    policies?: readonly string[];
  },
): DetailedResult {
  const scenario = buildScenario({ pattern, deployment, seed });
  const results: Record<string, PolicyResult> = {};
  const answers: Record<string, readonly AnswerSample[]> = {};
  for (const name of policies) {
    const experiment = new Experiment(scenario, {
      build: POLICIES[name]!,
      seed,
    });
    experiment.run();
    results[name] = experiment.tally.result(experiment.engineCounters());
    answers[name] = experiment.tally.answers;
  }
  const bound = workOutBound(scenario);
  return {
    result: { pattern, deployment, seed, policies: results, bound },
    answers,
  };
}
