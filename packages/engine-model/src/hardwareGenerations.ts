import type { EngineProfile } from "./types.ts";

/**
 * Three hardware generations (like L4, A100 and H100 accelerators) serving a model of eight billion
 * parameters in 16 bits. A decode step reads the weights (16 GB) once and each
 * request's KV cache (2,000 tokens of 128 KiB), so its times follow from memory
 * bandwidth (0.3, 1.5 and 3.3 TB/s); the capacity is the memory that the weights
 * leave free (of 24, 40 and 80 GB, less a tenth); prefill is bounded by
 * arithmetic at about two fifths of the published peak.
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

/** Name of one entry of {@link HARDWARE_GENERATIONS}. */
export type HardwareGeneration = keyof typeof HARDWARE_GENERATIONS;
