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
  SoftwareVersion,
} from "@wasabivane/admission";
import { err, ok, type Result } from "neverthrow";
import type { Dialect, RequestMetadata } from "./dialect.ts";
import { hasRepeatedHost, headerValue, type HeaderValues } from "./headers.ts";
import type { PolicyState } from "./policyState.ts";

/** The reason for refusing a request, as sent to the caller. */
export type RefusalReason =
  | "no-policy"
  | "policy-behind"
  | "no-route"
  | "no-account"
  | "malformed"
  | "fields-too-large"
  | "body-too-large"
  | "body-too-slow"
  | "body-fragmented"
  | "memory"
  | "over-quota"
  | "host-behind"
  | "convicted"
  | "version-unknown"
  | PlacementRefusal
  | "not-run-upstream"
  | "unreachable-upstream"
  | "deadline"
  | "upstream-lost"
  | "stopping"
  | "internal";

/** A response of this host that refuses a request. */
export interface Refusal {
  readonly status: number;
  readonly reason: RefusalReason;
  /** Delay before the caller should retry; only if the request has not run. */
  readonly retryAfter?: Milliseconds;
}

/** A request that matched a route and a client account. */
export interface AdmittedRequest {
  readonly route: Route;
  readonly service: ServiceId;
  readonly account: ClientAccount | undefined;
  readonly metadata: RequestMetadata;
  readonly arrivedAt: Milliseconds;
  /** Time by which the complete response must have been sent. */
  readonly deadline: Milliseconds;
  readonly policyVersion: number;
  /** Version that began the stream that it takes up; absent otherwise. */
  readonly softwareVersion?: SoftwareVersion;
}

/** The head of a request, and what the current policy has for it. */
export interface RequestHead {
  /** Names and values of the headers, in turn. */
  readonly rawHeaders: readonly string[];
  readonly route: Route | undefined;
  /** `undefined` without a route, or if it is malformed. */
  readonly metadata: RequestMetadata | undefined;
  /** The account that holds the request's key. */
  readonly account: ClientAccount | undefined;
}

/** Looks up the route and the key of a request. */
export function readHead(
  { url = "", headers, rawHeaders }: {
    readonly url?: string | undefined;
    readonly headers: HeaderValues;
    readonly rawHeaders: readonly string[];
  },
  { policies: { index }, dialect }: {
    readonly policies: PolicyState;
    readonly dialect: Dialect;
  },
): RequestHead {
  const host = headerValue(headers, "host") ?? "";
  const route = index?.route(host, pathOf(url));
  const metadata = route === undefined || hasRepeatedHost(rawHeaders)
    ? undefined
    : dialect.parseRequest(headers);
  const account = metadata?.apiKey === undefined
    ? undefined
    : index?.accountOfKey(metadata.apiKey);
  return { rawHeaders, route, metadata, account };
}

/** Returns the path of a URL without its query. */
export function pathOf(url: string): string {
  const query = url.indexOf("?");
  return query < 0 ? url : url.slice(0, query);
}

/** Options of {@link admitRequest}. */
export interface AdmissionOptions {
  readonly policies: PolicyState;
  readonly random: Random;
  /** Time of the request's arrival. */
  readonly now: Milliseconds;
  /**
   * Time on the elapsed clock, which includes time while the machine was
   * suspended.
   */
  readonly elapsedNow: Milliseconds;
  /** Time for which the request may have waited to be read. */
  readonly readingDelay: Milliseconds;
}

/**
 * Share of a caller's time that is left whatever the estimated reading delay.
 */
const MINIMUM_TIME_SHARE = 0.5;
/** Mean retry delay given to callers while the host has no usable policy. */
const POLICY_RETRY_MS: Milliseconds = 600;

/**
 * Admits a request to its route for its client account, or refuses it. Permanent
 * refusals (no such route, no such key) require a policy that is confirmed
 * current; otherwise the caller is asked to retry.
 */
export function admitRequest(
  head: RequestHead,
  options: AdmissionOptions,
): Result<AdmittedRequest, Refusal> {
  const { policies, now } = options;
  const index = policies.index;
  if (index === undefined) return err(retryLater("no-policy", options));
  if (!policies.isInForce(options.elapsedNow)) {
    return err(retryLater("policy-behind", options));
  }
  if (headerBytes(head.rawHeaders) > index.policy.limits.maximumHeaderBytes) {
    return err({ status: 431, reason: "fields-too-large" });
  }
  const { route, metadata } = head;
  if (route === undefined) return err(deny(404, "no-route", options));
  if (metadata === undefined) return err({ status: 400, reason: "malformed" });
  return checkAccount(head.account, { index, route, options }).map((
    account,
  ) => ({
    route,
    service: pickTarget(route.targets, options.random),
    account,
    metadata,
    arrivedAt: now,
    deadline: deadlineOf(metadata.timeLeft ?? route.timeout, {
      route,
      options,
    }),
    policyVersion: index.policy.version,
  }));
}

/** Deducts the estimated time since the caller sent the request. */
function deadlineOf(
  timeLeft: Milliseconds,
  { route, options: { now, readingDelay } }: {
    route: Route;
    options: AdmissionOptions;
  },
): Milliseconds {
  const left = Math.max(timeLeft - readingDelay, MINIMUM_TIME_SHARE * timeLeft);
  return now + Math.min(left, route.timeout);
}

/**
 * Returns the tokens or requests that a request takes from its account's quota.
 */
export function quotaUnits(
  account: ClientAccount,
  metadata: RequestMetadata,
): number {
  if (account.quota?.unit !== "tokens") return 1;
  const { tokens } = metadata;
  return tokens === undefined
    ? account.quota.plainTokens
    : tokens.prompt + tokens.output;
}

/** Returns an account's name for logs and metrics. */
export function accountName(
  account: { account: ClientAccountId } | undefined,
): string {
  return account?.account ?? "anonymous";
}

function checkAccount(
  account: ClientAccount | undefined,
  { index, route, options }: {
    index: PolicyIndex;
    route: Route;
    options: AdmissionOptions;
  },
): Result<ClientAccount | undefined, Refusal> {
  if (route.isAnonymous || index.policy.accounts.length === 0) {
    return ok(undefined);
  }
  const { freshness } = options.policies;
  if (!freshness.isKeyTrusted(options.elapsedNow)) {
    return err(retryLater("policy-behind", options));
  }
  if (account === undefined) return err(deny(401, "no-account", options));
  return ok(account);
}

function deny(
  status: number,
  reason: RefusalReason,
  options: AdmissionOptions,
): Refusal {
  const { policies, elapsedNow } = options;
  return policies.isDenialAllowed(elapsedNow)
    ? { status, reason }
    : retryLater("policy-behind", options);
}

function retryLater(
  reason: RefusalReason,
  { random }: AdmissionOptions,
): Refusal {
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

/**
 * Returns the approximate size of the headers on the wire, each with a colon, a
 * space and a line end.
 */
/** Returns the size of the header lines of a request. */
export function headerBytes(rawHeaders: readonly string[]): number {
  let bytes = 2 * rawHeaders.length;
  for (const text of rawHeaders) bytes += text.length;
  return bytes;
}
