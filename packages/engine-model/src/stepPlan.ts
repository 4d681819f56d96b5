import type { Milliseconds } from "@wasabivane/common";
import type { RequestExecution } from "./requestExecution.ts";
import type { EngineProfile } from "./types.ts";

/** Equal steps that a batch can do before it changes. */
export interface StepPlan {
  readonly stepMs: Milliseconds;
  readonly steps: number;
}

/**
 * Gives each prefilling run its chunk, the earliest first, and says how long a
 * step then takes and how often it repeats until a run ends or leaves prefill.
 */
export function planSteps(
  runs: Iterable<RequestExecution>,
  speed: EngineProfile,
): StepPlan {
  let budget = speed.maximumBatchPrefillTokens;
  let stepMs = speed.decodeStepMs;
  let steps = Infinity;
  for (const run of runs) {
    if (run.remainingPrefillTokens === 0) {
      stepMs += speed.decodeStepPerRequestMs;
      steps = Math.min(steps, run.request.outputTokens - run.generatedTokens);
      continue;
    }
    run.prefillChunkTokens = Math.min(budget, run.remainingPrefillTokens);
    budget -= run.prefillChunkTokens;
    if (run.prefillChunkTokens === 0) continue;
    stepMs += (run.prefillChunkTokens / speed.prefillTokensPerSecond) * 1_000;
    steps = Math.min(
      steps,
      Math.floor(run.remainingPrefillTokens / run.prefillChunkTokens),
    );
  }
  return { stepMs, steps };
}
