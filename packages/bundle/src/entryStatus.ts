import { z } from "zod";

const text = z.string().max(256);
const count = z.number().min(0);

/**
 * What an entry host answers at `GET /status`. Hosts of a later release may
 * add keys; they are kept.
 */
export const entryStatusSchema = z.looseObject({
  host: text,
  incarnation: text,
  failureDomain: text,
  /** The bundle in force; none before the first one was confirmed. */
  bundle: z.looseObject({ version: count, root: text }).nullable(),
  hostListVersion: count.nullish(),
  /** Entry hosts as this one sees them. */
  members: z.array(z.looseObject({ host: text, state: text })).max(1_000),
  phase: text,
  /** Waiting requests in the pools that this host keeps. */
  waiting: z.array(z.looseObject({
    service: text,
    tier: count,
    account: text,
    requests: count,
  })).max(50_000),
  /** Upstreams of the pools that this host keeps. */
  upstreams: z.array(z.looseObject({
    service: text,
    upstream: text,
    inFlight: count,
    bound: count,
    isEjected: z.boolean(),
    isLeaving: z.boolean(),
  })).max(50_000),
  /** Counters by name and tags, such as `request.ended{ending=whole,tier=1}`. */
  counters: z.record(text, z.number()),
});

/** See {@link entryStatusSchema}. */
export type EntryStatus = z.infer<typeof entryStatusSchema>;

/** Settings of `wasabivane-ctl`. */
export const operatorSettingsSchema = z.strictObject({
  /** Operator ports of the entry hosts. */
  entries: z.array(z.url({ protocol: /^https?$/ })).min(1).max(1_000),
  /** How long one entry host may take to answer. */
  timeoutMs: z.number().int().min(10).max(60_000).default(2_000),
  /** PEM file of the authority that signed the operator ports' certificates. */
  authorityFile: z.string().min(1).optional(),
});

/** See {@link operatorSettingsSchema}. */
export type OperatorSettings = z.infer<typeof operatorSettingsSchema>;
