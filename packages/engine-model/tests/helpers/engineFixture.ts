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

export const PROFILE: EngineProfile = {
  prefillTokensPerSecond: 1_000,
  decodeStepMs: 10,
  decodeStepPerRequestMs: 1,
  maximumBatch: 4,
  maximumBatchPrefillTokens: 100,
  kvCapacityTokens: 10_000,
};

/** What a test saw of one request. */
export interface ObservedRequest {
  firstTokenAt: number;
  finishedAt: number;
  tokens: number;
  cachedTokens: number;
  lostPrefillTokens: number | undefined;
}

export interface EngineFixture {
  timer: VirtualTimer;
  engine: EngineModel;
  /** Submits a request and notes what happens to it. */
  submit(
    id: string,
    length: { prompt: number; output: number; digests?: Digest[] },
  ): ObservedRequest;
}

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
      const seen: ObservedRequest = {
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
          seen.firstTokenAt = timer.now();
          seen.cachedTokens = event.cachedTokens;
          seen.tokens = 1;
        }
        if (event.kind === "tokens") seen.tokens += event.count;
        if (event.kind === "finished") seen.finishedAt = timer.now();
        if (event.kind === "lost") {
          seen.lostPrefillTokens = event.prefilledTokens;
        }
      });
      return seen;
    },
  };
}

/** Digests of a prompt of so many whole blocks. */
export function createDigests(salt: string, blocks: number): Digest[] {
  return prefixDigests(salt, "x".repeat(blocks * 256));
}
