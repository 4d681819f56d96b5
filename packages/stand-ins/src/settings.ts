import { z } from "@wasabivane/bundle";
import {
  HARDWARE_GENERATIONS,
  type HardwareGeneration,
} from "@wasabivane/engine-model";

const name = z.string().regex(
  /^[a-z0-9][a-z0-9-]*$/,
  "Use lower-case letters, digits and dashes",
).max(64);
const port = z.number().int().min(0).max(65_535);
const milliseconds = z.number().min(0).max(86_400_000);
const generations = Object.keys(HARDWARE_GENERATIONS) as [
  HardwareGeneration,
  ...HardwareGeneration[],
];

const engineSchema = z.strictObject({
  kind: z.literal("engine"),
  name,
  /** 0 selects a free port. */
  port,
  generation: z.enum(generations).default("g2"),
  fencing: z.enum(["checked", "ignored"]).default("ignored"),
  /** Factor by which the engine runs faster than real time. */
  timeScale: z.number().positive().max(1_000).default(1),
  reportLagMs: milliseconds.optional(),
  cacheEventLagMs: milliseconds.optional(),
  cacheEventLossRate: z.number().min(0).max(1).optional(),
  resumeWindowMs: milliseconds.optional(),
  /** By default a crashed engine stays down until a restart is requested. */
  restartAfterMs: milliseconds.optional(),
});

const plainSchema = z.strictObject({
  kind: z.literal("plain"),
  name,
  port,
  runMs: milliseconds.default(0),
});

const platformSchema = z.strictObject({
  kind: z.literal("platform"),
  name,
  port,
  readsPerSecond: z.number().int().min(1).default(2_000),
  hostListLagMs: milliseconds.default(0),
});

/** Schema of the settings file of `wasabivane-stand-ins`. */
export const standInSettingsSchema = z.strictObject({
  hostname: z.string().min(1).default("127.0.0.1"),
  standIns: z.array(
    z.discriminatedUnion("kind", [engineSchema, plainSchema, platformSchema]),
  ).min(1).max(256),
});

/** Validated settings of `wasabivane-stand-ins`. */
export type StandInSettings = z.infer<typeof standInSettingsSchema>;
/** Settings of one stand-in. */
export type StandInSetting = StandInSettings["standIns"][number];
