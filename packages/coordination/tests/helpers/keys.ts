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

/** Some dispatch of a test. */
export const DISPATCH: Dispatch = {
  upstream: asId<UpstreamId>("drafter-1"),
  nonce: asId<Nonce>("nonce"),
};

/** A UUIDv7 that a caller made at that time. */
export function bareKey(issuedAt: number, random: Random): IdempotencyKey {
  const time = Math.floor(issuedAt).toString(16).padStart(
    UUID_TIME_DIGITS,
    "0",
  );
  const chance = random.hex(10);
  const text = `${time.slice(0, 8)}-${time.slice(8)}-7${chance.slice(0, 3)}-8${
    chance.slice(3, 6)
  }-${chance.slice(6, 18)}`;
  return asId<IdempotencyKey>(text);
}

/** A key made now whose home under the present list is the given host. */
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

/** A claim of a key with usual values. */
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

/** Claims at a host and lets time pass until the outcome is there. */
export function claimAt(
  fleet: MemberFleet,
  host: HostId,
  request: ClaimRequest,
): Promise<ClaimOutcome> {
  const outcome = fleet.at(host).keys.claim(request);
  fleet.advance(3_500);
  return outcome;
}

/** The same, for a claim that must be granted. */
export async function ownAt(
  fleet: MemberFleet,
  host: HostId,
  request: ClaimRequest,
): Promise<OwnedKey> {
  const outcome = await claimAt(fleet, host, request);
  if (outcome.kind === "granted") return outcome.owned;
  throw new Error(`Claim is not granted: ${JSON.stringify(outcome)}`);
}
