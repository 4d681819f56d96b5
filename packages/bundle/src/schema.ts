import { z } from "zod";
import type {
  BundleVersion,
  ClientAccountId,
  FailureDomain,
  ServiceId,
  Tier,
  UpstreamId,
} from "@wasabivane/common";

const MAX_NAME = 64;
const NAME = /^[a-z0-9][a-z0-9-]*$/;

const name = z.string().max(MAX_NAME).regex(
  NAME,
  "Use lower-case letters, digits and dashes",
);
const milliseconds = z.number().int().min(0).max(86_400_000);
const positive = z.number().int().min(1);

function id<Id>(): z.ZodType<Id> {
  return name as unknown as z.ZodType<Id>;
}

const tier = z.number().int().min(1).max(9) as unknown as z.ZodType<Tier>;

/** How urgent work of one tier is, and how long it may wait. */
export const tierSchema = z.strictObject({
  tier,
  name,
  /** Time from acceptance to the whole answer when the caller names none. */
  deadlineMs: milliseconds,
  /** Weight of one answer in reports that sum over tiers. */
  weight: positive.default(1),
});

/** What one client account may use of every service. */
export const accountLimitsSchema = z.strictObject({
  requestsPerSecond: z.number().positive(),
  /** Prompt and generated tokens together. */
  tokensPerSecond: z.number().positive(),
  /** Requests in flight at upstreams, over all entry hosts. */
  concurrentRequests: positive,
  /** Requests that may wait, over all entry hosts. */
  waitingRequests: positive.default(1000),
});

/** A client account: its keys by digest only, its tiers and limits. */
export const clientAccountSchema = z.strictObject({
  account: id<ClientAccountId>(),
  /** SHA-256 of each valid API key, in hex. */
  keyDigests: z.array(z.string().regex(/^[0-9a-f]{64}$/)).min(1).max(4),
  tiers: z.array(tier).min(1),
  defaultTier: tier,
  services: z.array(id<ServiceId>()).min(1),
  limits: accountLimitsSchema,
});

/** A group of interchangeable upstreams and how requests reach it. */
export const serviceSchema = z.strictObject({
  service: id<ServiceId>(),
  kind: z.enum(["model", "plain"]),
  /** Model names that callers use; empty for plain services. */
  models: z.array(z.string().min(1).max(128)).default([]),
  /** Path below which a plain service is reached, such as `/casefile`. */
  pathPrefix: z.string().regex(/^\/[a-z0-9-]+$/).optional(),
  /** Methods of a plain service that may run more than once. */
  idempotentMethods: z.array(
    z.enum(["GET", "HEAD", "PUT", "DELETE", "OPTIONS", "POST", "PATCH"]),
  )
    .default(["GET", "HEAD", "OPTIONS"]),
  /** Requests that one upstream runs at once before its own bound is learned. */
  initialConcurrency: positive.default(8),
  maximumConcurrency: positive.default(64),
  /** Waiting work of the service over all entry hosts. */
  maximumWaitingTokens: positive.default(4_000_000),
  maximumWaitingBytes: positive.default(64_000_000),
  /** Share of the upstreams that may be ejected at once. */
  maximumEjectedShare: z.number().min(0).max(1).default(0.4),
});

/** One replica. */
export const upstreamSchema = z.strictObject({
  upstream: id<UpstreamId>(),
  service: id<ServiceId>(),
  url: z.url({ protocol: /^https?$/ }),
  failureDomain: id<FailureDomain>(),
  /** Hardware generation; speeds are learned, this only seeds the estimate. */
  generation: name.default("unknown"),
  /** Whether the engine refuses an order with an old fencing number. */
  fencing: z.enum(["checked", "ignored"]).default("ignored"),
});

/** How one entry host stops; all bounds count from the order to stop. */
export const stopPlanSchema = z.strictObject({
  stopPlan: name,
  /** Readiness is off and the balancer has time to notice. */
  readinessMs: milliseconds.default(2_000),
  /** Running answers may finish until then. */
  streamsMs: milliseconds.default(60_000),
  /** Waiting work is handed to peers until then. */
  handoverMs: milliseconds.default(10_000),
  /** Entry hosts of one failure domain that may stop at once. */
  hostsAtOnce: positive.default(1),
});

/** A failure domain and the region it lies in. */
export const failureDomainSchema = z.strictObject({
  failureDomain: id<FailureDomain>(),
  region: name,
});

/** Everything operators decide, as one versioned document. */
export const bundleSchema = z.strictObject({
  format: z.literal(1),
  deployment: name,
  version: z.number().int().min(1) as unknown as z.ZodType<BundleVersion>,
  failureDomains: z.array(failureDomainSchema).min(1),
  /** One-way time between failure domains, as a routing distance. */
  domainDistanceMs: z.number().min(0).default(1),
  tiers: z.array(tierSchema).min(1),
  services: z.array(serviceSchema).min(1),
  upstreams: z.array(upstreamSchema),
  clientAccounts: z.array(clientAccountSchema),
  stopPlans: z.array(stopPlanSchema).min(1),
  defaultStopPlan: name,
});

/** A checked bundle. */
export type Bundle = z.infer<typeof bundleSchema>;
/** See {@link tierSchema}. */
export type TierPolicy = z.infer<typeof tierSchema>;
/** See {@link clientAccountSchema}. */
export type ClientAccount = z.infer<typeof clientAccountSchema>;
/** See {@link accountLimitsSchema}. */
export type AccountLimits = z.infer<typeof accountLimitsSchema>;
/** See {@link serviceSchema}. */
export type Service = z.infer<typeof serviceSchema>;
/** See {@link upstreamSchema}. */
export type Upstream = z.infer<typeof upstreamSchema>;
/** See {@link stopPlanSchema}. */
export type StopPlan = z.infer<typeof stopPlanSchema>;
