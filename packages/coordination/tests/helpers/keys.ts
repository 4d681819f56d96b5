import {
  asId,
  type ClientAccountId,
  type Digest,
  type HostId,
  type IdempotencyKey,
  type Nonce,
  type Random,
  type RequestId,
  type UpstreamId,
} from "@wasabivane/common";
import {
  type ClaimOutcome,
  type ClaimRequest,
  type Dispatch,
  homeOf,
  type OwnedKey,
} from "@wasabivane/coordination";
import type { MemberFleet } from "./memberFleet.ts";

const UUID_TIME_DIGITS = 12;

/** A dispatch for tests. */
export const DISPATCH: Dispatch = {
  upstream: asId<UpstreamId>("drafter-1"),
  nonce: asId<Nonce>("nonce"),
};

/** Creates a UUIDv7 with the given time. */
export function bareKey(issuedAt: number, random: Random): IdempotencyKey {
  const time = Math.floor(issuedAt).toString(16).padStart(
    UUID_TIME_DIGITS,
    "0",
  );
  const randomDigits = random.hex(10);
  const text = `${time.slice(0, 8)}-${time.slice(8)}-7${
    randomDigits.slice(0, 3)
  }-8${randomDigits.slice(3, 6)}-${randomDigits.slice(6, 18)}`;
  return asId<IdempotencyKey>(text);
}

/**
 * Creates a claim of a new key whose home is the given host in the current
 * view.
 */
export function keyWithHome(
  fleet: MemberFleet,
  home: HostId,
  { account = "oyako" } = {},
): ClaimRequest {
  const view = fleet.at(home).views.newestView()!;
  while (true) {
    const key = bareKey(fleet.sharedTimer.wallNow(), fleet.random);
    if (homeOf(key, view) === home) return claimOf(key, { account });
  }
}

/** Creates a claim of a key with default values. */
export function claimOf(
  key: IdempotencyKey,
  changes: { account?: string; body?: string; isIdempotent?: boolean } = {},
): ClaimRequest {
  const { account = "oyako", body = "body", isIdempotent = false } = changes;
  return {
    account: asId<ClientAccountId>(account),
    key,
    request: asId<RequestId>(`request ${key}`),
    bodyDigest: asId<Digest>(body),
    isIdempotent,
  };
}

/** Claims a key at a host and advances the time until the outcome is known. */
export function claimAt(
  fleet: MemberFleet,
  host: HostId,
  request: ClaimRequest,
): Promise<ClaimOutcome> {
  const outcome = fleet.at(host).keys.claim(request);
  fleet.advance(3_500);
  return outcome;
}

/** Claims a key that must be granted. */
export async function ownAt(
  fleet: MemberFleet,
  host: HostId,
  request: ClaimRequest,
): Promise<OwnedKey> {
  const outcome = await claimAt(fleet, host, request);
  if (outcome.kind === "granted") return outcome.owned;
  throw new Error(`Claim was not granted: ${JSON.stringify(outcome)}`);
}
