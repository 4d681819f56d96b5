import {
  type Digest,
  prefixDigests,
  SeededRandom,
  VirtualTimer,
} from "@wasabivane/common";
import {
  EngineModel,
  type EngineModelOptions,
  type EngineProfile,
} from "@wasabivane/engine-model";

/** Profile with small, round values. */
export const PROFILE: EngineProfile = {
  prefillTokensPerSecond: 1_000,
  decodeStepMs: 10,
  decodeStepPerRequestMs: 1,
  maximumBatch: 4,
  maximumBatchPrefillTokens: 100,
  kvCapacityTokens: 10_000,
};

/** Events observed for one request. */
export interface ObservedRequest {
  firstTokenAt: number;
  finishedAt: number;
  tokens: number;
  cachedTokens: number;
  lostPrefillTokens: number | undefined;
}

/** Engine model on a virtual timer. */
export interface EngineFixture {
  timer: VirtualTimer;
  engine: EngineModel;
  /** Submits a request and records its events. */
  submit(
    id: string,
    length: { prompt: number; output: number; digests?: Digest[] },
  ): ObservedRequest;
}

/** Creates an engine model on a virtual timer. */
export function createEngineFixture(
  options: Partial<EngineModelOptions> = {},
): EngineFixture {
  const timer = new VirtualTimer();
  const random = new SeededRandom(1);
  const engine = new EngineModel({
    timer,
    random,
    profile: PROFILE,
    ...options,
  });
  return {
    timer,
    engine,
    submit(id, { prompt, output, digests = [] }): ObservedRequest {
      const observed: ObservedRequest = {
        firstTokenAt: NaN,
        finishedAt: NaN,
        tokens: 0,
        cachedTokens: 0,
        lostPrefillTokens: undefined,
      };
      const request = {
        id,
        promptTokens: prompt,
        outputTokens: output,
        prefixDigests: digests,
      };
      engine.submit(request, (event) => {
        if (event.kind === "firstToken") {
          observed.firstTokenAt = timer.now();
          observed.cachedTokens = event.cachedTokens;
          observed.tokens = 1;
        }
        if (event.kind === "tokens") observed.tokens += event.count;
        if (event.kind === "finished") observed.finishedAt = timer.now();
        if (event.kind === "lost") {
          observed.lostPrefillTokens = event.prefilledTokens;
        }
      });
      return observed;
    },
  };
}

/** Creates the digests of a prompt with the given number of full blocks. */
export function createDigests(salt: string, blocks: number): Digest[] {
  return prefixDigests(salt, "x".repeat(blocks * 256));
}
