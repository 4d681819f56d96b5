import { err, ok, type Result } from "neverthrow";
import { PART_LISTS } from "./bundleParts.ts";
import { type Finding, formatPath, listAllowed } from "./finding.ts";
import {
  type Bundle,
  bundleSchema,
  type ClientAccount,
  type Service,
  type Upstream,
} from "./schema.ts";
import { schemaFindings } from "./schemaFindings.ts";

type BundleCheck = (bundle: Bundle) => Finding[];

/** Path prefixes that entry hosts serve themselves. */
const RESERVED_PREFIXES = ["/v1", "/health", "/ready", "/status", "/drain"];

const CHECKS: readonly BundleCheck[] = [
  checkUniqueIds,
  checkTierNames,
  checkKeyDigests,
  checkAccountReferences,
  checkUpstreamReferences,
  checkUpstreamUrls,
  checkServiceKinds,
  checkServiceNames,
  checkConcurrency,
  checkStopPlans,
];

/** Returns the problems of a bundle that its schema cannot detect. */
export function checkBundle(bundle: Bundle): Finding[] {
  return CHECKS.flatMap((check) => check(bundle));
}

/** Validates a value against the schema, then with {@link checkBundle}. */
export function parseBundle(value: unknown): Result<Bundle, Finding[]> {
  const parsed = bundleSchema.safeParse(value);
  if (!parsed.success) {
    const { issues } = parsed.error;
    return err(schemaFindings(bundleSchema, { issues, value }));
  }
  const findings = checkBundle(parsed.data);
  return findings.length === 0 ? ok(parsed.data) : err(findings);
}

function checkUniqueIds(bundle: Bundle): Finding[] {
  return Object.values(PART_LISTS).flatMap(({ property, id }) => {
    const list = bundle[property] as unknown as Record<string, string>[];
    return duplicates(
      list.map((item, index) => ({
        value: item[id]!,
        path: [property, index, id],
      })),
    );
  });
}

function checkTierNames({ tiers }: Bundle): Finding[] {
  return duplicates(tiers.map(({ name }, index) => ({
    value: name,
    path: ["tiers", index, "name"],
  })));
}

/** With a shared key, one account could read the other's responses. */
function checkKeyDigests({ clientAccounts }: Bundle): Finding[] {
  return duplicates(
    clientAccounts.flatMap(({ keyDigests }, index) =>
      keyDigests.map((value, keyIndex) => ({
        value,
        path: ["clientAccounts", index, "keyDigests", keyIndex],
      }))
    ),
  );
}

function checkAccountReferences(bundle: Bundle): Finding[] {
  const tiers = bundle.tiers.map(({ tier }) => tier);
  const services = bundle.services.map(({ service }) => service);
  return bundle.clientAccounts.flatMap((account, index) => {
    const path = ["clientAccounts", index];
    return [
      ...unknownMembers(account.tiers, {
        path: [...path, "tiers"],
        known: tiers,
      }),
      ...unknownMembers(account.services, {
        path: [...path, "services"],
        known: services,
      }),
      ...defaultTierFindings(account, [...path, "defaultTier"]),
    ];
  });
}

function defaultTierFindings(
  { defaultTier, tiers }: ClientAccount,
  path: Finding["path"],
): Finding[] {
  if (tiers.includes(defaultTier)) return [];
  const message = `Tier ${defaultTier} is not one of the tiers of the account`;
  return [{ path, message, allowed: listAllowed(tiers) }];
}

function checkUpstreamReferences(bundle: Bundle): Finding[] {
  const services = bundle.services.map(({ service }) => service);
  const domains = bundle.failureDomains.map((item) => item.failureDomain);
  return bundle.upstreams.flatMap((upstream, index) => [
    ...unknownReference(upstream.service, {
      path: ["upstreams", index, "service"],
      known: services,
    }),
    ...unknownReference(upstream.failureDomain, {
      path: ["upstreams", index, "failureDomain"],
      known: domains,
    }),
  ]);
}

/** Two upstreams at one address would double its concurrency limit. */
function checkUpstreamUrls({ upstreams }: Bundle): Finding[] {
  const urls = upstreams.map(({ url }, index) => ({
    value: new URL(url).href,
    path: ["upstreams", index, "url"],
  }));
  return [...duplicates(urls), ...upstreams.flatMap(extraUrlParts)];
}

function extraUrlParts({ url }: Upstream, index: number): Finding[] {
  const { username, password, search, hash } = new URL(url);
  if (`${username}${password}${search}${hash}` === "") return [];
  return [{
    path: ["upstreams", index, "url"],
    message: "The URL contains credentials, a query or a fragment",
    allowed: "scheme, host, port and path",
  }];
}

function checkServiceKinds({ services }: Bundle): Finding[] {
  return services.flatMap((service, index) =>
    service.kind === "model"
      ? modelServiceFindings(service, index)
      : plainServiceFindings(service, index)
  );
}

function modelServiceFindings(
  { models, pathPrefix }: Service,
  index: number,
): Finding[] {
  const findings: Finding[] = [];
  if (models.length === 0) {
    findings.push({
      path: ["services", index, "models"],
      message: "A model service requires a model name",
      allowed: "at least one model name",
    });
  }
  if (pathPrefix !== undefined) {
    findings.push({
      path: ["services", index, "pathPrefix"],
      message: "A model service is routed by model name, not by path",
      allowed: "no path prefix",
    });
  }
  return findings;
}

function plainServiceFindings(
  { models, pathPrefix }: Service,
  index: number,
): Finding[] {
  const findings: Finding[] = [];
  if (models.length > 0) {
    findings.push({
      path: ["services", index, "models"],
      message: "A plain service is routed by path, not by model name",
      allowed: "an empty list",
    });
  }
  if (pathPrefix === undefined || RESERVED_PREFIXES.includes(pathPrefix)) {
    findings.push({
      path: ["services", index, "pathPrefix"],
      message: pathPrefix === undefined
        ? "A plain service requires a path prefix"
        : `${pathPrefix} is reserved for entry hosts`,
      allowed: `a path such as /casefile, but not ${
        RESERVED_PREFIXES.join(", ")
      }`,
    });
  }
  return findings;
}

function checkServiceNames({ services }: Bundle): Finding[] {
  const models = services.flatMap((service, index) =>
    service.models.map((value, modelIndex) => ({
      value,
      path: ["services", index, "models", modelIndex],
    }))
  );
  const prefixes = services.flatMap(({ pathPrefix }, index) =>
    pathPrefix === undefined
      ? []
      : [{ value: pathPrefix, path: ["services", index, "pathPrefix"] }]
  );
  return [...duplicates(models), ...duplicates(prefixes)];
}

function checkConcurrency({ services }: Bundle): Finding[] {
  return services.flatMap((service, index) => {
    const { initialConcurrency, maximumConcurrency } = service;
    if (initialConcurrency <= maximumConcurrency) return [];
    return [{
      path: ["services", index, "initialConcurrency"],
      message: `${initialConcurrency} is greater than maximumConcurrency`,
      allowed: `at most ${maximumConcurrency}`,
    }];
  });
}

function checkStopPlans({ stopPlans, defaultStopPlan }: Bundle): Finding[] {
  const names = stopPlans.map(({ stopPlan }) => stopPlan);
  const findings = unknownReference(defaultStopPlan, {
    path: ["defaultStopPlan"],
    known: names,
  });
  for (const [index, plan] of stopPlans.entries()) {
    for (const key of ["handoverMs", "streamsMs"] as const) {
      if (plan[key] >= plan.readinessMs) continue;
      findings.push({
        path: ["stopPlans", index, key],
        message: `${key} is shorter than readinessMs`,
        allowed: `at least ${plan.readinessMs}`,
      });
    }
  }
  return findings;
}

interface LocatedValue {
  readonly value: string | number;
  readonly path: Finding["path"];
}

function duplicates(values: readonly LocatedValue[]): Finding[] {
  const firstPaths = new Map<string | number, Finding["path"]>();
  const findings: Finding[] = [];
  for (const { value, path } of values) {
    const first = firstPaths.get(value);
    if (first === undefined) {
      firstPaths.set(value, path);
      continue;
    }
    findings.push({
      path,
      message: `${JSON.stringify(value)} is already used at ${
        formatPath(first)
      }`,
      allowed: "a unique value",
    });
  }
  return findings;
}

function unknownMembers(
  values: readonly (string | number)[],
  { path, known }: {
    path: Finding["path"];
    known: readonly (string | number)[];
  },
): Finding[] {
  const located = values.map((value, index) => ({
    value,
    path: [...path, index],
  }));
  const unknown = located.flatMap(({ value, path }) =>
    unknownReference(value, { path, known })
  );
  return [...unknown, ...duplicates(located)];
}

function unknownReference(
  value: string | number,
  { path, known }: {
    path: Finding["path"];
    known: readonly (string | number)[];
  },
): Finding[] {
  if (known.includes(value)) return [];
  return [{
    path,
    message: `${JSON.stringify(value)} is not defined in this bundle`,
    allowed: listAllowed(known, { found: String(value) }),
  }];
}
