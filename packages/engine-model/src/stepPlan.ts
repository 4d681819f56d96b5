import type { Milliseconds } from "@wasabivane/common";
import type { EngineRun } from "./engineRun.ts";
import type { EngineSpeed } from "./types.ts";

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
  runs: Iterable<EngineRun>,
  speed: EngineSpeed,
): StepPlan {
  let budget = speed.maximumBatchPrefillTokens;
  let stepMs = speed.decodeStepMs;
  let steps = Infinity;
  for (const run of runs) {
    if (run.prefillLeft === 0) {
      stepMs += speed.decodeStepPerRequestMs;
      steps = Math.min(steps, run.request.outputTokens - run.generated);
      continue;
    }
    run.chunk = Math.min(budget, run.prefillLeft);
    budget -= run.chunk;
    if (run.chunk === 0) continue;
    stepMs += (run.chunk / speed.prefillTokensPerSecond) * 1_000;
    steps = Math.min(steps, Math.floor(run.prefillLeft / run.chunk));
  }
  return { stepMs, steps };
}
