import type { Milliseconds } from "@wasabivane/common";
import type { RequestExecution } from "./requestExecution.ts";
import type { EngineProfile } from "./types.ts";

/** Number and duration of equal steps until the batch changes. */
export interface StepPlan {
  readonly stepMs: Milliseconds;
  readonly steps: number;
}

/**
 * Splits the prefill budget of a step between the requests, oldest first, and
 * plans equal steps until a request finishes its prefill or its output.
 */
export function planSteps(
  executions: Iterable<RequestExecution>,
  profile: EngineProfile,
): StepPlan {
  let prefillBudget = profile.maximumBatchPrefillTokens;
  let stepMs = profile.decodeStepMs;
  let steps = Infinity;
  for (const execution of executions) {
    if (execution.remainingPrefillTokens === 0) {
      stepMs += profile.decodeStepPerRequestMs;
      steps = Math.min(
        steps,
        execution.request.outputTokens - execution.generatedTokens,
      );
      continue;
    }
    execution.prefillChunkTokens = Math.min(
      prefillBudget,
      execution.remainingPrefillTokens,
    );
    prefillBudget -= execution.prefillChunkTokens;
    if (execution.prefillChunkTokens === 0) continue;
    stepMs += (execution.prefillChunkTokens / profile.prefillTokensPerSecond) *
      1_000;
    steps = Math.min(
      steps,
      Math.floor(
        execution.remainingPrefillTokens / execution.prefillChunkTokens,
      ),
    );
  }
  return { stepMs, steps };
}
