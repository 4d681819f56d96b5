import type {
  ClientAccountId,
  Milliseconds,
  Random,
  ServiceId,
} from "@wasabivane/common";
import type {
  ClientAccount,
  PlacementRefusal,
  PolicyIndex,
  Route,
  RouteTarget,
} from "@wasabivane/admission";
import { err, ok, type Result } from "neverthrow";
import type { Dialect, RequestMetadata } from "./dialect.ts";
import { type HeaderLine, headerValue, type HeaderValues } from "./headers.ts";
import type { PolicyState } from "./policyState.ts";

/** Why a request was not taken in. */
export type RefusalReason =
  | "no-policy"
  | "policy-behind"
  | "no-route"
  | "no-account"
  | "malformed"
  | "fields-too-large"
  | "body-too-large"
  | "body-too-slow"
  | "over-quota"
  | "host-behind"
  | "convicted"
  | PlacementRefusal
  | "not-run-upstream"
  | "unreachable-upstream"
  | "deadline"
  | "upstream-lost"
  | "stopping"
  | "internal";

/** A final answer of this host's own. */
export interface Refusal {
  readonly status: number;
  readonly reason: RefusalReason;
  /** When the caller should come back; only where the request has not run. */
  readonly retryAfter?: Milliseconds;
}

/** A request that a route and an account were found for. */
export interface Admitted {
  readonly route: Route;
  readonly service: ServiceId;
  readonly account: ClientAccount | undefined;
  readonly says: RequestMetadata;
  readonly arrivedAt: Milliseconds;
  /** When the last byte of the answer must have left. */
  readonly deadline: Milliseconds;
  readonly policyVersion: number;
}

/** The head of a request. */
export interface RequestHead {
  readonly path: string;
  readonly fields: HeaderValues;
  readonly lines: readonly HeaderLine[];
}

/** What {@link admit} reads. */
export interface IntakeOptions {
  readonly policies: PolicyState;
  readonly dialect: Dialect;
  readonly random: Random;
  /** Clock of the request's times. */
  readonly now: Milliseconds;
  /** Clock of proofs of freshness; it counts time in which the machine was suspended. */
  readonly elapsedNow: Milliseconds;
  /** How long the request may have waited to be read. */
  readonly readingDelay: Milliseconds;
}

/** A belief about this host's delay takes no more of a caller's time than leaves this share. */
const LEAST_LEFT_SHARE = 0.5;
/** A host without a usable policy expects to have one after about this time; callers return spread around it. */
const POLICY_RETRY_MS: Milliseconds = 600;

/**
 * Finds the route and the client account of a request, or the truthful refusal.
 * "No such route" and "no such key" are said only on a policy that was the newest
 * a moment ago; from a host that may be behind they would be wrong for good, while
 * "not run, come back" is right anywhere.
 */
export function admit(
  head: RequestHead,
  options: IntakeOptions,
): Result<Admitted, Refusal> {
  const { policies, dialect, now } = options;
  const index = policies.index;
  if (index === undefined) return err(notNow("no-policy", options));
  if (sizeOf(head.lines) > index.policy.limits.maximumHeaderBytes) {
    return err({ status: 431, reason: "fields-too-large" });
  }
  const route = index.route(headerValue(head.fields, "host") ?? "", head.path);
  if (route === undefined) return err(deny(404, "no-route", options));
  const says = dialect.parseRequest(head.fields);
  if (says === undefined) return err({ status: 400, reason: "malformed" });
  return findAccount(says, { index, route, options }).map((account) => ({
    route,
    service: pickTarget(route.targets, options.random),
    account,
    says,
    arrivedAt: now,
    deadline: deadlineOf(says.timeLeft ?? route.timeout, { route, options }),
    policyVersion: index.policy.version,
  }));
}

/** The caller's time runs since it sent the request; some of it is always left. */
function deadlineOf(
  timeLeft: Milliseconds,
  { route, options: { now, readingDelay } }: {
    route: Route;
    options: IntakeOptions;
  },
): Milliseconds {
  const left = Math.max(timeLeft - readingDelay, LEAST_LEFT_SHARE * timeLeft);
  return now + Math.min(left, route.timeout);
}

/** Tokens or requests that a request takes of its account's quota. */
export function unitsOf(account: ClientAccount, says: RequestMetadata): number {
  if (account.quota?.unit !== "tokens") return 1;
  const { tokens } = says;
  return tokens === undefined
    ? account.quota.plainTokens
    : tokens.prompt + tokens.output;
}

/** Name of an account for logs and series. */
export function accountName(
  account: { account: ClientAccountId } | undefined,
): string {
  return account?.account ?? "anonymous";
}

function findAccount(
  says: RequestMetadata,
  { index, route, options }: {
    index: PolicyIndex;
    route: Route;
    options: IntakeOptions;
  },
): Result<ClientAccount | undefined, Refusal> {
  if (route.isAnonymous || index.policy.accounts.length === 0) {
    return ok(undefined);
  }
  const { freshness } = options.policies;
  if (!freshness.isKeyTrusted(options.elapsedNow)) {
    return err(notNow("policy-behind", options));
  }
  const account = says.apiKey === undefined
    ? undefined
    : index.accountOfKey(says.apiKey);
  if (account === undefined) return err(deny(401, "no-account", options));
  return ok(account);
}

function deny(
  status: number,
  reason: RefusalReason,
  options: IntakeOptions,
): Refusal {
  const { policies, elapsedNow } = options;
  return policies.freshness.isDenialAllowed(elapsedNow)
    ? { status, reason }
    : notNow("policy-behind", options);
}

function notNow(reason: RefusalReason, { random }: IntakeOptions): Refusal {
  const retryAfter = POLICY_RETRY_MS * (0.5 + random.float());
  return { status: 503, reason, retryAfter };
}

function pickTarget(
  targets: readonly RouteTarget[],
  random: Random,
): ServiceId {
  let total = 0;
  for (const { weight } of targets) total += weight;
  let draw = random.float() * total;
  for (const { service, weight } of targets) {
    draw -= weight;
    if (draw < 0) return service;
  }
  return targets[targets.length - 1]!.service;
}

/** Bytes of the fields as they stood on the wire, about. */
function sizeOf(lines: readonly HeaderLine[]): number {
  let bytes = 0;
  for (const [name, value] of lines) bytes += name.length + value.length + 4;
  return bytes;
}
