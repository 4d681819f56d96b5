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

/** The schema of a priority tier. */
export const tierSchema = z.strictObject({
  tier,
  name,
  /** Default time limit from acceptance to the complete response. */
  deadlineMs: milliseconds,
  /** Weight of a response in reports over all tiers. */
  weight: positive.default(1),
});

/** The schema of the limits of a client account for each service. */
export const accountLimitsSchema = z.strictObject({
  requestsPerSecond: z.number().positive(),
  /** Prompt and generated tokens. */
  tokensPerSecond: z.number().positive(),
  /** Requests in flight at upstreams, across all entry hosts. */
  concurrentRequests: positive,
  /** Queued requests, across all entry hosts. */
  waitingRequests: positive.default(1000),
});

/** The schema of a client account; API keys are stored as digests. */
export const clientAccountSchema = z.strictObject({
  account: id<ClientAccountId>(),
  /** SHA-256 digests of the valid API keys in hex. */
  keyDigests: z.array(z.string().regex(/^[0-9a-f]{64}$/)).min(1).max(4),
  tiers: z.array(tier).min(1),
  defaultTier: tier,
  services: z.array(id<ServiceId>()).min(1),
  limits: accountLimitsSchema,
});

/** The schema of a service: interchangeable upstreams and their routing. */
export const serviceSchema = z.strictObject({
  service: id<ServiceId>(),
  kind: z.enum(["model", "plain"]),
  /** Model names for routing; empty for plain services. */
  models: z.array(z.string().min(1).max(128)).default([]),
  /** Path prefix of a plain service, for example `/casefile`. */
  pathPrefix: z.string().regex(/^\/[a-z0-9-]+$/).optional(),
  /** Methods of a plain service that are safe to retry. */
  idempotentMethods: z.array(
    z.enum(["GET", "HEAD", "PUT", "DELETE", "OPTIONS", "POST", "PATCH"]),
  )
    .default(["GET", "HEAD", "OPTIONS"]),
  /** Concurrency limit of an upstream until its own limit is estimated. */
  initialConcurrency: positive.default(8),
  maximumConcurrency: positive.default(64),
  /** Limits of the queued work, across all entry hosts. */
  maximumWaitingTokens: positive.default(4_000_000),
  maximumWaitingBytes: positive.default(64_000_000),
  /** Maximum share of the upstreams that are ejected at once. */
  maximumEjectedShare: z.number().min(0).max(1).default(0.4),
});

/** The schema of an upstream, one replica of a service. */
export const upstreamSchema = z.strictObject({
  upstream: id<UpstreamId>(),
  service: id<ServiceId>(),
  url: z.url({ protocol: /^https?$/ }),
  failureDomain: id<FailureDomain>(),
  /** Hardware generation; provides the initial speed estimate. */
  generation: name.default("unknown"),
  /** Whether the engine rejects requests with an outdated fencing number. */
  fencing: z.enum(["checked", "ignored"]).default("ignored"),
});

/** The schema of a stop plan; times count from the stop command. */
export const stopPlanSchema = z.strictObject({
  stopPlan: name,
  /** Time for the load balancer to notice that the host is not ready. */
  readinessMs: milliseconds.default(2_000),
  /** Time limit for running responses. */
  streamsMs: milliseconds.default(60_000),
  /** Time limit for handing queued work to peers. */
  handoverMs: milliseconds.default(10_000),
  /** Maximum number of hosts of a failure domain that stop at once. */
  hostsAtOnce: positive.default(1),
});

/** The schema of a failure domain and its region. */
export const failureDomainSchema = z.strictObject({
  failureDomain: id<FailureDomain>(),
  region: name,
});

/** The schema of a bundle, the versioned configuration of a deployment. */
export const bundleSchema = z.strictObject({
  format: z.literal(1),
  deployment: name,
  version: z.number().int().min(1) as unknown as z.ZodType<BundleVersion>,
  failureDomains: z.array(failureDomainSchema).min(1),
  /** One-way latency between failure domains. */
  domainDistanceMs: z.number().min(0).default(1),
  tiers: z.array(tierSchema).min(1),
  services: z.array(serviceSchema).min(1),
  upstreams: z.array(upstreamSchema),
  clientAccounts: z.array(clientAccountSchema),
  stopPlans: z.array(stopPlanSchema).min(1),
  defaultStopPlan: name,
});

/** A bundle; see {@link bundleSchema}. */
export type Bundle = z.infer<typeof bundleSchema>;
/** A priority tier; see {@link tierSchema}. */
export type TierPolicy = z.infer<typeof tierSchema>;
/** A client account; see {@link clientAccountSchema}. */
export type ClientAccount = z.infer<typeof clientAccountSchema>;
/** Limits of an account; see {@link accountLimitsSchema}. */
export type AccountLimits = z.infer<typeof accountLimitsSchema>;
/** A service; see {@link serviceSchema}. */
export type Service = z.infer<typeof serviceSchema>;
/** An upstream; see {@link upstreamSchema}. */
export type Upstream = z.infer<typeof upstreamSchema>;
/** A stop plan; see {@link stopPlanSchema}. */
export type StopPlan = z.infer<typeof stopPlanSchema>;
