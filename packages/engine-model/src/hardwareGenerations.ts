import type { EngineProfile } from "./types.ts";

/**
 * Profiles of three accelerator generations (like L4, A100 and H100) that serve
 * an 8B-parameter model in 16 bits.
 *
 * Decoding is bound by memory bandwidth, prefill by compute. The KV capacity is
 * the memory that the weights leave free.
 */
export const HARDWARE_GENERATIONS = {
  g1: {
    prefillTokensPerSecond: 3_000,
    decodeStepMs: 54,
    decodeStepPerRequestMs: 0.85,
    maximumBatch: 16,
    maximumBatchPrefillTokens: 512,
    kvCapacityTokens: 42_000,
  },
  g2: {
    prefillTokensPerSecond: 8_000,
    decodeStepMs: 11,
    decodeStepPerRequestMs: 0.17,
    maximumBatch: 32,
    maximumBatchPrefillTokens: 1_024,
    kvCapacityTokens: 150_000,
  },
  g3: {
    prefillTokensPerSecond: 24_000,
    decodeStepMs: 5,
    decodeStepPerRequestMs: 0.08,
    maximumBatch: 64,
    maximumBatchPrefillTokens: 2_048,
    kvCapacityTokens: 420_000,
  },
} as const satisfies Record<string, EngineProfile>;

/** Name of a hardware generation. */
export type HardwareGeneration = keyof typeof HARDWARE_GENERATIONS;
