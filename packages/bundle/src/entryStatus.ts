import { z } from "zod";

const text = z.string().max(256);
const count = z.number().min(0);

/**
 * The response of an entry host to `GET /status`. Unknown keys are kept, since
 * later releases may add some.
 */
export const entryStatusSchema = z.looseObject({
  host: text,
  incarnation: text,
  failureDomain: text,
  /** The bundle in force, `null` until the first one is confirmed. */
  bundle: z.looseObject({ version: count, root: text }).nullable(),
  hostListVersion: count.nullish(),
  /** The entry hosts that this host knows. */
  members: z.array(z.looseObject({ host: text, state: text })).max(1_000),
  phase: text,
  /** Queued requests in the pools that this host coordinates. */
  waiting: z.array(z.looseObject({
    service: text,
    tier: count,
    account: text,
    requests: count,
  })).max(50_000),
  /** Upstreams of the pools that this host coordinates. */
  upstreams: z.array(z.looseObject({
    service: text,
    upstream: text,
    inFlight: count,
    bound: count,
    isEjected: z.boolean(),
    isLeaving: z.boolean(),
  })).max(50_000),
  /** Counters by name and tags, as in `request.ended{ending=whole,tier=1}`. */
  counters: z.record(text, z.number()),
});

/** The status of an entry host; see {@link entryStatusSchema}. */
export type EntryStatus = z.infer<typeof entryStatusSchema>;

/** The schema of the settings of `wasabivane-ctl`. */
export const operatorSettingsSchema = z.strictObject({
  /** URLs of the operator ports of the entry hosts. */
  entries: z.array(z.url({ protocol: /^https?$/ })).min(1).max(1_000),
  /** Timeout for the response of one entry host. */
  timeoutMs: z.number().int().min(10).max(60_000).default(2_000),
  /** PEM file of the CA that signed the certificates of the operator ports. */
  authorityFile: z.string().min(1).optional(),
});

/** The settings of `wasabivane-ctl`; see {@link operatorSettingsSchema}. */
export type OperatorSettings = z.infer<typeof operatorSettingsSchema>;
