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

/** First path segments that entry hosts answer themselves. */
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

/** Everything that is wrong with a bundle although it fits its schema. */
export function checkBundle(bundle: Bundle): Finding[] {
  return CHECKS.flatMap((check) => check(bundle));
}

/** Checks a value against the schema, then against {@link checkBundle}. */
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

/** One key of two accounts would let one firm read the other's answers. */
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
  const message = `Tier ${defaultTier} is not among the account's own tiers`;
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

/** Two upstreams at one address would get twice the in-flight bound of one. */
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
    message: "The URL has a user, a password, a query or a fragment",
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
      message: "A model service needs a model name that callers use",
      allowed: "at least one model name",
    });
  }
  if (pathPrefix !== undefined) {
    findings.push({
      path: ["services", index, "pathPrefix"],
      message: "A model service is reached by model name, not by path",
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
      message: "A plain service is reached by path, not by model name",
      allowed: "an empty list",
    });
  }
  if (pathPrefix === undefined || RESERVED_PREFIXES.includes(pathPrefix)) {
    findings.push({
      path: ["services", index, "pathPrefix"],
      message: pathPrefix === undefined
        ? "A plain service needs a path prefix"
        : `Entry hosts answer ${pathPrefix} themselves`,
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
      message: `${initialConcurrency} is above maximumConcurrency`,
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
        message: `${key} ends before readinessMs has passed`,
        allowed: `at least ${plan.readinessMs}`,
      });
    }
  }
  return findings;
}

interface PlacedValue {
  readonly value: string | number;
  readonly path: Finding["path"];
}

function duplicates(values: readonly PlacedValue[]): Finding[] {
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
      message: `${JSON.stringify(value)} stands at ${
        formatPath(first)
      } already`,
      allowed: "a value that stands nowhere else",
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
  const placed = values.map((value, index) => ({
    value,
    path: [...path, index],
  }));
  const unknown = placed.flatMap(({ value, path }) =>
    unknownReference(value, { path, known })
  );
  return [...unknown, ...duplicates(placed)];
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
