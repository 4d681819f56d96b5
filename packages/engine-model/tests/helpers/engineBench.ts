import {
  type Digest,
  prefixDigests,
  SeededRandom,
  VirtualTimer,
} from "@wasabivane/common";
import {
  EngineModel,
  type EngineModelOptions,
  type EngineSpeed,
} from "@wasabivane/engine-model";

export const SPEED: EngineSpeed = {
  prefillTokensPerSecond: 1_000,
  decodeStepMs: 10,
  decodeStepPerRequestMs: 1,
  maximumBatch: 4,
  maximumBatchPrefillTokens: 100,
  kvCapacityTokens: 10_000,
};

/** What a test saw of one request. */
export interface Seen {
  firstTokenAt: number;
  finishedAt: number;
  tokens: number;
  cachedTokens: number;
  lostPrefill: number | undefined;
}

export interface EngineBench {
  timer: VirtualTimer;
  engine: EngineModel;
  /** Submits a request and notes what happens to it. */
  run(
    id: string,
    length: { prompt: number; output: number; digests?: Digest[] },
  ): Seen;
}

export function createBench(
  options: Partial<EngineModelOptions> = {},
): EngineBench {
  const timer = new VirtualTimer();
  const random = new SeededRandom(1);
  const engine = new EngineModel({ timer, random, speed: SPEED, ...options });
  return {
    timer,
    engine,
    run(id, { prompt, output, digests = [] }): Seen {
      const seen: Seen = {
        firstTokenAt: NaN,
        finishedAt: NaN,
        tokens: 0,
        cachedTokens: 0,
        lostPrefill: undefined,
      };
      const request = {
        id,
        promptTokens: prompt,
        outputTokens: output,
        prefixDigests: digests,
      };
      engine.submit(request, (event) => {
        if (event.kind === "firstToken") {
          seen.firstTokenAt = timer.now();
          seen.cachedTokens = event.cachedTokens;
          seen.tokens = 1;
        }
        if (event.kind === "tokens") seen.tokens += event.count;
        if (event.kind === "finished") seen.finishedAt = timer.now();
        if (event.kind === "lost") seen.lostPrefill = event.prefilledTokens;
      });
      return seen;
    },
  };
}

/** Digests of a prompt of so many whole blocks. */
export function digestsOf(salt: string, blocks: number): Digest[] {
  return prefixDigests(salt, "x".repeat(blocks * 256));
}
