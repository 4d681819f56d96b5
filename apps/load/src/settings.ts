import { EXAMPLE_DEPLOYMENTS, z } from "@wasabivane/bundle";
import type { Tier } from "@wasabivane/common";
import { type PatternName, PATTERNS } from "./pattern.ts";

const url = z.url({ protocol: /^https?$/ });
const tier = z.number().int().min(1).max(9) as unknown as z.ZodType<Tier>;
const share = z.number().min(0).max(1);
const patterns = Object.keys(PATTERNS) as [PatternName, ...PatternName[]];

const callerSchema = z.strictObject({
  account: z.string().min(1).max(64),
  apiKey: z.string().min(1).max(256),
  tiers: z.array(tier).min(1),
});

/**
 * Schema of the `wasabivane-load` settings; command-line flags override them.
 */
export const loadSettingsSchema = z.strictObject({
  /** Base URLs of the entries' caller ports. */
  entries: z.array(url).max(1_000).default([]),
  /**
   * Example bundle that provides default accounts with demo keys, models and
   * paths.
   */
  deployment: z.enum(EXAMPLE_DEPLOYMENTS).optional(),
  callers: z.array(callerSchema).default([]),
  models: z.array(z.string().min(1).max(128)).default([]),
  plainPaths: z.array(z.string().regex(/^\/[a-z0-9/-]+$/)).default([]),
  pattern: z.enum(patterns).default("steady"),
  seed: z.number().int().min(0).default(1),
  durationSeconds: z.number().positive().max(86_400).default(10),
  /** Base rate, scaled by the pattern. */
  requestsPerSecond: z.number().positive().max(10_000).default(20),
  plainShare: share.default(0.1),
  wholeShare: share.default(0.2),
  /** Deadline of each call; defaults to that of its tier. */
  deadlineMs: z.number().int().min(1).optional(),
  maximumResends: z.number().int().min(0).max(20).default(3),
});

/** Validated settings of `wasabivane-load`. */
export type LoadSettings = z.infer<typeof loadSettingsSchema>;
