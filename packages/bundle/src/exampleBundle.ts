import type { ClientAccountId, UpstreamId } from "@wasabivane/common";
import { apiKeyDigest, demoApiKey } from "./exampleKeys.ts";
import {
  type AccountLimits,
  type Bundle,
  bundleSchema,
  type Service,
} from "./schema.ts";

/** The deployments with an example bundle. */
export const EXAMPLE_DEPLOYMENTS = ["fukuoka", "cairo"] as const;
/** The name of an example deployment. */
export type ExampleDeployment = typeof EXAMPLE_DEPLOYMENTS[number];

/** Options of {@link exampleBundle}. */
export interface ExampleBundleOptions {
  version?: number;
  /** URLs that replace those of the example, by upstream. */
  upstreamUrls?: Readonly<Record<UpstreamId | string, string>>;
  /** API keys that replace {@link demoApiKey}, by client account. */
  accountKeys?: Readonly<Record<ClientAccountId | string, string>>;
}

interface ExampleService {
  readonly service: string;
  readonly kind: Service["kind"];
  readonly upstreams: readonly string[];
  readonly firstPort: number;
}

interface ExampleAccount {
  readonly account: string;
  readonly isLarge: boolean;
  readonly tiers: readonly number[];
  readonly defaultTier: number;
}

interface Example {
  readonly region: string;
  readonly failureDomains: readonly string[];
  readonly domainDistanceMs: number;
  readonly tiers: readonly { name: string; deadlineMs: number }[];
  readonly services: readonly ExampleService[];
  readonly accounts: readonly ExampleAccount[];
  readonly fencing: "checked" | "ignored";
}

const SECOND = 1000;
const MINUTE = 60 * SECOND;
const HOUR = 60 * MINUTE;

const GENERATIONS = ["g1", "g2", "g3"];
const TIER_WEIGHTS = [8, 4, 2, 1];

const LARGE_LIMITS: AccountLimits = {
  requestsPerSecond: 40,
  tokensPerSecond: 60_000,
  concurrentRequests: 96,
  waitingRequests: 2000,
};
const SMALL_LIMITS: AccountLimits = {
  requestsPerSecond: 8,
  tokensPerSecond: 12_000,
  concurrentRequests: 24,
  waitingRequests: 400,
};

const EXAMPLES: Readonly<Record<ExampleDeployment, Example>> = {
  fukuoka: {
    region: "kyushu",
    failureDomains: ["hakata", "tenjin", "momochi"],
    domainDistanceMs: 1,
    tiers: [
      { name: "live-session", deadlineMs: MINUTE },
      { name: "interactive", deadlineMs: 5 * MINUTE },
      { name: "review", deadlineMs: HOUR },
      { name: "overnight", deadlineMs: 12 * HOUR },
    ],
    services: [
      {
        service: "drafter",
        kind: "model",
        upstreams: numbered(13, (number) => `drafter-${twoDigits(number)}`),
        firstPort: 7101,
      },
      {
        service: "casefile",
        kind: "plain",
        upstreams: numbered(3, (number) => `casefile-${number}`),
        firstPort: 7121,
      },
    ],
    accounts: [
      {
        account: "hakata-mediation",
        isLarge: true,
        tiers: [1, 2, 3, 4],
        defaultTier: 2,
      },
      {
        account: "tenjin-family-law",
        isLarge: true,
        tiers: [1, 2, 3, 4],
        defaultTier: 2,
      },
      {
        account: "kumamoto-mediation",
        isLarge: false,
        tiers: [1, 2, 3, 4],
        defaultTier: 2,
      },
      {
        account: "oita-law-office",
        isLarge: false,
        tiers: [2, 3, 4],
        defaultTier: 3,
      },
      {
        account: "kagoshima-calendars",
        isLarge: false,
        tiers: [3, 4],
        defaultTier: 4,
      },
    ],
    fencing: "checked",
  },
  cairo: {
    region: "egypt",
    failureDomains: ["obour-hall", "smart-village", "tenth-ramadan"],
    domainDistanceMs: 1.5,
    tiers: [
      { name: "stopped-press", deadlineMs: 2 * MINUTE },
      { name: "quote", deadlineMs: 5 * MINUTE },
      { name: "work-order", deadlineMs: 10 * MINUTE },
      { name: "handover-summary", deadlineMs: 8 * HOUR },
    ],
    services: [
      {
        service: "press-advisor",
        kind: "model",
        upstreams: numbered(
          13,
          (number) => `press-advisor-${twoDigits(number)}`,
        ),
        firstPort: 7201,
      },
      {
        service: "field-desk",
        kind: "plain",
        upstreams: numbered(3, (number) => `field-desk-${number}`),
        firstPort: 7221,
      },
    ],
    accounts: [
      {
        account: "delta-press-field",
        isLarge: true,
        tiers: [1, 2, 3, 4],
        defaultTier: 2,
      },
      {
        account: "delta-press-office",
        isLarge: false,
        tiers: [2, 3, 4],
        defaultTier: 2,
      },
      {
        account: "nile-offset-field",
        isLarge: true,
        tiers: [1, 2, 3, 4],
        defaultTier: 2,
      },
      {
        account: "nile-offset-office",
        isLarge: false,
        tiers: [2, 3, 4],
        defaultTier: 2,
      },
      {
        account: "said-rollers-field",
        isLarge: false,
        tiers: [1, 2, 3, 4],
        defaultTier: 2,
      },
    ],
    fencing: "ignored",
  },
};

/** Creates the bundle of an example deployment, for demos and tests. */
export function exampleBundle(
  deployment: ExampleDeployment,
  { version = 1, upstreamUrls = {}, accountKeys = {} }: ExampleBundleOptions =
    {},
): Bundle {
  const example = EXAMPLES[deployment];
  return bundleSchema.parse({
    format: 1,
    deployment,
    version,
    failureDomains: example.failureDomains.map((failureDomain) => ({
      failureDomain,
      region: example.region,
    })),
    domainDistanceMs: example.domainDistanceMs,
    tiers: tiersOf(example),
    services: example.services.map(serviceOf),
    upstreams: example.services.flatMap((service) =>
      upstreamsOf(service, { example, upstreamUrls })
    ),
    clientAccounts: example.accounts.map((account) =>
      clientAccountOf(account, { example, accountKeys })
    ),
    stopPlans: [
      { stopPlan: "drain" },
      {
        stopPlan: "evacuate",
        readinessMs: SECOND,
        handoverMs: 3 * SECOND,
        streamsMs: 15 * SECOND,
        hostsAtOnce: 3,
      },
    ],
    defaultStopPlan: "drain",
  });
}

function tiersOf({ tiers }: Example): unknown[] {
  return tiers.map((tier, index) => ({
    ...tier,
    tier: index + 1,
    weight: TIER_WEIGHTS[index],
  }));
}

function serviceOf({ service, kind }: ExampleService): unknown {
  if (kind === "model") return { service, kind, models: [service] };
  return { service, kind, pathPrefix: `/${service}` };
}

function upstreamsOf(
  { service, upstreams, firstPort }: ExampleService,
  { example, upstreamUrls }: {
    example: Example;
    upstreamUrls: Readonly<Record<string, string>>;
  },
): unknown[] {
  const { failureDomains, fencing } = example;
  return upstreams.map((upstream, index) => ({
    upstream,
    service,
    url: upstreamUrls[upstream] ?? `http://127.0.0.1:${firstPort + index}`,
    failureDomain: failureDomains[index % failureDomains.length],
    generation: generationOf(index, failureDomains.length),
    fencing,
  }));
}

/** Spreads the generations over all failure domains. */
function generationOf(index: number, domains: number): string {
  return GENERATIONS[Math.floor(index / domains) % GENERATIONS.length]!;
}

function clientAccountOf(
  { account, isLarge, tiers, defaultTier }: ExampleAccount,
  { example, accountKeys }: {
    example: Example;
    accountKeys: Readonly<Record<string, string>>;
  },
): unknown {
  const apiKey = accountKeys[account] ?? demoApiKey(account);
  return {
    account,
    keyDigests: [apiKeyDigest(apiKey)],
    tiers,
    defaultTier,
    services: example.services.map(({ service }) => service),
    limits: isLarge ? LARGE_LIMITS : SMALL_LIMITS,
  };
}

function numbered(count: number, name: (number: number) => string): string[] {
  return Array.from({ length: count }, (_, index) => name(index + 1));
}

function twoDigits(number: number): string {
  return String(number).padStart(2, "0");
}
