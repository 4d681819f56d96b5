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

/** The policies that are compared, by name. */
export const POLICIES: Readonly<Record<string, SchedulerFactory>> = {
  naive: (policy) => new RoundRobinScheduler(policy),
  leastOutstanding: (policy, random) =>
    new LeastOutstandingScheduler(policy, { random }),
  wasabivane: (policy, random) => new PoolScheduler(policy, { random }),
};

/** What one pattern gave under each policy. */
export interface ExperimentResult {
  readonly pattern: LoadPattern;
  readonly deployment: Deployment;
  readonly seed: number;
  readonly policies: Readonly<Record<string, PolicyResult>>;
  readonly bound: GoodputBound;
}

/** A result with the answers behind it. */
export interface DetailedResult {
  readonly result: ExperimentResult;
  readonly responses: Readonly<Record<string, readonly ResponseSample[]>>;
}

/** Runs one pattern under every policy, or under those that are named. */
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
  const answers: Record<string, readonly ResponseSample[]> = {};
  for (const name of policies) {
    const experiment = new Experiment(scenario, {
      build: POLICIES[name]!,
      seed,
    });
    experiment.run();
    results[name] = experiment.stats.result(experiment.engineCounters());
    answers[name] = experiment.stats.responses;
  }
  const bound = computeGoodputBound(scenario);
  return {
    result: { pattern, deployment, seed, policies: results, bound },
    responses: answers,
  };
}
