import {
  LeastOutstandingScheduler,
  PoolScheduler,
  RoundRobinScheduler,
} from "@wasabivane/decisions";
import type { Deployment } from "./arrivals.ts";
import {
  buildExperimentScenario,
  type LoadPattern,
} from "./arrivalPatterns.ts";
import { computeGoodputBound, type GoodputBound } from "./goodputBound.ts";
import { Experiment, type SchedulerFactory } from "./experiment.ts";
import type { PolicyResult, ResponseSample } from "./experimentStats.ts";

/** Scheduling policies under comparison, by name. */
export const POLICIES: Readonly<Record<string, SchedulerFactory>> = {
  naive: (policy) => new RoundRobinScheduler(policy),
  leastOutstanding: (policy, random) =>
    new LeastOutstandingScheduler(policy, { random }),
  wasabivane: (policy, random) => new PoolScheduler(policy, { random }),
};

/** Result of one pattern under each policy. */
export interface ExperimentResult {
  readonly pattern: LoadPattern;
  readonly deployment: Deployment;
  readonly seed: number;
  readonly policies: Readonly<Record<string, PolicyResult>>;
  readonly bound: GoodputBound;
}

/** An experiment result with its individual responses. */
export interface DetailedResult {
  readonly result: ExperimentResult;
  readonly responses: Readonly<Record<string, readonly ResponseSample[]>>;
}

/** Runs a pattern under all policies or under the given ones. */
export function runExperiment(
  { pattern, deployment, seed, policies = Object.keys(POLICIES) }: {
    pattern: LoadPattern;
    deployment: Deployment;
    seed: number;
    policies?: readonly string[];
  },
): DetailedResult {
  const scenario = buildExperimentScenario({ pattern, deployment, seed });
  const results: Record<string, PolicyResult> = {};
  const responses: Record<string, readonly ResponseSample[]> = {};
  for (const name of policies) {
    const experiment = new Experiment(scenario, {
      build: POLICIES[name]!,
      seed,
    });
    experiment.run();
    results[name] = experiment.stats.result(experiment.engineCounters());
    responses[name] = experiment.stats.responses;
  }
  const bound = computeGoodputBound(scenario);
  return {
    result: { pattern, deployment, seed, policies: results, bound },
    responses,
  };
}
