import {
  type AccountLimits,
  type Bundle,
  type ClientAccount,
  listAllowed,
  type Service,
  type TierPolicy,
  type Upstream,
} from "@wasabivane/bundle";
import { err, ok, type Result } from "neverthrow";

/** A request to explain. */
export interface ExplainedRequest {
  readonly account: string;
  /** Model in the request body; without it, `path` selects the service. */
  readonly model?: string;
  readonly path?: string;
  readonly method?: string;
  readonly tier?: number;
}

/** How entry hosts with this bundle in force would handle a request. */
export interface Explanation {
  readonly account: ClientAccount;
  readonly service: Service;
  readonly tier: TierPolicy;
  readonly isDefaultTier: boolean;
  readonly limits: AccountLimits;
  readonly upstreams: readonly Upstream[];
  /** Whether a resend by the caller may run again. */
  readonly isIdempotent: boolean;
}

/** Why entry hosts would refuse the request at any load. */
export interface Refusal {
  readonly kind:
    | "unknown-account"
    | "unknown-model"
    | "unknown-path"
    | "service-not-allowed"
    | "tier-not-allowed";
  readonly message: string;
  readonly allowed: string;
}

/**
 * Resolves a request's service, tier, limits and upstreams, with the checks of
 * entry hosts in the same order.
 */
export function explainRequest(
  bundle: Bundle,
  request: ExplainedRequest,
): Result<Explanation, Refusal> {
  return findAccount(bundle, request.account).andThen((account) =>
    findService(bundle, request)
      .andThen((service) => checkServiceAllowed(service, account))
      .andThen((service) =>
        findTier(bundle, { account, requested: request.tier }).map((tier) => ({
          account,
          service,
          tier,
          isDefaultTier: request.tier === undefined,
          limits: account.limits,
          upstreams: bundle.upstreams.filter((upstream) =>
            upstream.service === service.service
          ),
          isIdempotent: isIdempotent(service, request.method),
        }))
      )
  );
}

function findAccount(
  { clientAccounts }: Bundle,
  name: string,
): Result<ClientAccount, Refusal> {
  const found = clientAccounts.find(({ account }) => account === name);
  if (found !== undefined) return ok(found);
  return err({
    kind: "unknown-account",
    message: `No client account ${JSON.stringify(name)}`,
    allowed: listAllowed(clientAccounts.map(({ account }) => account), {
      found: name,
    }),
  });
}

function findService(
  { services }: Bundle,
  { model, path }: ExplainedRequest,
): Result<Service, Refusal> {
  return model === undefined
    ? findByPath(services, path ?? "")
    : findByModel(services, model);
}

function findByModel(
  services: readonly Service[],
  model: string,
): Result<Service, Refusal> {
  const found = services.find(({ models }) => models.includes(model));
  if (found !== undefined) return ok(found);
  const models = services.flatMap((service) => service.models);
  return err({
    kind: "unknown-model",
    message: `No service has the model ${JSON.stringify(model)}`,
    allowed: listAllowed(models, { found: model }),
  });
}

function findByPath(
  services: readonly Service[],
  path: string,
): Result<Service, Refusal> {
  const [prefix] = /^\/[^/?]*/.exec(path) ?? [path];
  const found = services.find(({ pathPrefix }) => pathPrefix === prefix);
  if (found !== undefined) return ok(found);
  const prefixes = services.flatMap(({ pathPrefix }) => pathPrefix ?? []);
  return err({
    kind: "unknown-path",
    message: `No service is reached by the path ${JSON.stringify(path)}`,
    allowed: listAllowed(prefixes, { found: prefix }),
  });
}

function checkServiceAllowed(
  service: Service,
  { account, services }: ClientAccount,
): Result<Service, Refusal> {
  if (services.includes(service.service)) return ok(service);
  return err({
    kind: "service-not-allowed",
    message: `${account} may not use the service ${service.service}`,
    allowed: listAllowed(services),
  });
}

function findTier(
  { tiers }: Bundle,
  { account, requested }: { account: ClientAccount; requested?: number },
): Result<TierPolicy, Refusal> {
  const effectiveTier = requested ?? account.defaultTier;
  const found = tiers.find(({ tier }) => tier === effectiveTier);
  if (found !== undefined && account.tiers.includes(found.tier)) {
    return ok(found);
  }
  return err({
    kind: "tier-not-allowed",
    message: `${account.account} may not use tier ${effectiveTier}`,
    allowed: listAllowed(account.tiers),
  });
}

function isIdempotent(
  { kind, idempotentMethods }: Service,
  method = "POST",
): boolean {
  return kind === "model" ||
    idempotentMethods.some((candidate) => candidate === method);
}
