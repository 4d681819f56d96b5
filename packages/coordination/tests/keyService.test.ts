import test from "ava";
import {
  asId,
  type ClientAccountId,
  type IdempotencyKey,
} from "@wasabivane/common";
import {
  KEY_LIFETIME_MS,
  MAX_CALLER_CLOCK_SKEW_MS,
  RELEASE_GRACE_MS,
  TENURE_MARGIN_MS,
} from "@wasabivane/coordination";
import {
  bareKey,
  claimAt,
  claimOf,
  DISPATCH,
  keyWithHome,
  ownAt,
} from "./helpers/keys.ts";
import { createList, hostName, MemberFleet } from "./helpers/memberFleet.ts";

const [A, B, C, D] = [1, 2, 3, 4].map(hostName) as [
  ReturnType<typeof hostName>,
  ReturnType<typeof hostName>,
  ReturnType<typeof hostName>,
  ReturnType<typeof hostName>,
];
const ACCOUNT = asId<ClientAccountId>("oyako");
/** Time to join, get leases and pass the tenure margin. */
const STARTUP_MS = 5_000 + TENURE_MARGIN_MS;

function startedFleet(size = 4): MemberFleet {
  const fleet = new MemberFleet({ size });
  fleet.advance(STARTUP_MS);
  return fleet;
}

test("a resend through another host finds the owner of its key", async (t) => {
  const fleet = startedFleet();
  const request = keyWithHome(fleet, A);
  const owned = await ownAt(fleet, B, request);
  const joined = await claimAt(fleet, C, request);
  t.like(joined, { kind: "owned-by", owner: { host: B }, state: "waiting" });
  t.true(fleet.at(B).keys.markDispatched(owned, DISPATCH));
  t.false(fleet.at(B).keys.markDispatched(owned, DISPATCH));
  fleet.advance(100);
  const later = await claimAt(fleet, D, request);
  t.like(later, { kind: "owned-by", state: "dispatched", dispatch: DISPATCH });
});

test("a released key can be granted again and its former owner cannot dispatch", async (t) => {
  const fleet = startedFleet();
  const request = keyWithHome(fleet, A);
  const owned = await ownAt(fleet, B, request);
  const released = fleet.at(B).keys.release(owned);
  t.false(fleet.at(B).keys.markDispatched(owned, DISPATCH));
  fleet.advance(RELEASE_GRACE_MS + 100);
  t.true(await released);
  await ownAt(fleet, C, request);
});

// Granting the key to a resend in transit would make the reported "not run"
// false.
test("a key is not granted during the grace period after its release", async (t) => {
  const fleet = startedFleet();
  const request = keyWithHome(fleet, A);
  const owned = await ownAt(fleet, B, request);
  void fleet.at(B).keys.release(owned);
  fleet.advance(100);
  const late = await claimAt(fleet, C, request);
  t.like(late, { kind: "not-run", reason: "released" });
});

// A paused host can read an old resend long after the release was reported.
test("a resend older than the release is not granted, however late it is read", async (t) => {
  const fleet = startedFleet();
  const request = keyWithHome(fleet, A);
  const owned = await ownAt(fleet, B, request);
  void fleet.at(B).keys.release(owned);
  fleet.advance(20_000);
  const late = await claimAt(fleet, C, { ...request, ageMs: 20_500 });
  t.like(late, { kind: "not-run", reason: "released" });
});

// Without confirmation the key may have been granted to another owner.
test("a release that the home does not confirm in time is reported as failed", async (t) => {
  const fleet = startedFleet();
  const request = keyWithHome(fleet, A);
  const owned = await ownAt(fleet, B, request);
  fleet.network.blockDirection(B, A);
  const released = fleet.at(B).keys.release(owned);
  fleet.advance(2_000);
  t.false(await released);
});

test("a key with another body is a mismatch; keys of other accounts are independent", async (t) => {
  const fleet = startedFleet();
  const request = keyWithHome(fleet, A);
  await ownAt(fleet, B, request);
  const other = claimOf(request.key, { body: "other" });
  t.is((await claimAt(fleet, C, other)).kind, "mismatch");
  await ownAt(fleet, C, claimOf(request.key, { account: "delta-press" }));
});

test("the dispatch of a dead owner is resumed instead of repeated", async (t) => {
  const fleet = startedFleet();
  const request = keyWithHome(fleet, A);
  const owned = await ownAt(fleet, B, request);
  fleet.at(B).keys.markDispatched(owned, DISPATCH);
  fleet.advance(100);
  fleet.kill(B);
  fleet.advance(4_000);
  const outcome = await claimAt(fleet, C, request);
  t.deepEqual(outcome, { kind: "resume-at", dispatch: DISPATCH });
});

test("a key whose owner died without an update runs again only if idempotent", async (t) => {
  // The owner may have dispatched before its death; only a second resend of an
  // idempotent request may run.
  const fleet = startedFleet();
  const once = keyWithHome(fleet, A);
  const idempotent = { ...keyWithHome(fleet, A), isIdempotent: true };
  await ownAt(fleet, B, once);
  await ownAt(fleet, B, idempotent);
  fleet.kill(B);
  fleet.advance(4_000);
  const lost = { kind: "unknown", reason: "owner-lost" } as const;
  t.deepEqual(await claimAt(fleet, C, once), lost);
  t.deepEqual(await claimAt(fleet, C, idempotent), lost);
  t.deepEqual(await claimAt(fleet, D, once), lost);
  t.is((await ownAt(fleet, D, idempotent)).attempt, 2);
});

test("a new home does not grant a key that the former home may have granted", async (t) => {
  // Granting the key again would let two owners dispatch it.
  const fleet = startedFleet();
  const request = keyWithHome(fleet, A);
  const owned = await ownAt(fleet, B, request);
  fleet.kill(A);
  fleet.publish(createList([B, C, D], { version: 2 }));
  fleet.advance(STARTUP_MS);
  const outcome = await claimAt(fleet, C, request);
  t.deepEqual(outcome, { kind: "unknown", reason: "older-than-tenure" });
  t.true(fleet.at(B).keys.markDispatched(owned, DISPATCH));
  const key = bareKey(fleet.sharedTimer.wallNow(), fleet.random);
  await ownAt(fleet, C, claimOf(key));
});

test("a change of the host list does not affect keys whose home stays the same", async (t) => {
  const fleet = startedFleet();
  const requests = Array.from({ length: 5 }, () => keyWithHome(fleet, A));
  await ownAt(fleet, B, requests[0]!);
  fleet.publish(createList([A, B, C], { version: 2 }));
  fleet.advance(5_000);
  t.is((await claimAt(fleet, C, requests[0]!)).kind, "owned-by");
  for (const request of requests.slice(1)) await ownAt(fleet, C, request);
});

test("a change of upstreams does not interrupt a home", async (t) => {
  const fleet = startedFleet();
  const request = keyWithHome(fleet, A);
  fleet.publish({ ...fleet.list, version: 2 }, [A, B]);
  fleet.advance(100);
  t.truthy(fleet.at(A).views.activeView());
  await ownAt(fleet, C, request);
});

test("a home without a majority does not decide claims", async (t) => {
  const fleet = startedFleet();
  const request = keyWithHome(fleet, A);
  fleet.network.partition([[A], [B, C, D]]);
  fleet.advance(2_500);
  const inactive = { kind: "unknown", reason: "home-inactive" } as const;
  t.deepEqual(await claimAt(fleet, A, request), inactive);
  const unreachable = { kind: "unknown", reason: "unreachable" } as const;
  t.deepEqual(await claimAt(fleet, B, request), unreachable);
  fleet.network.heal();
  fleet.advance(5_000);
  await ownAt(fleet, C, request);
});

test("a ticket is decided only by the process that issued it", async (t) => {
  const fleet = startedFleet();
  const mint = (): IdempotencyKey => fleet.at(A).keys.mintTicket(ACCOUNT);
  const request = claimOf(mint());
  const unused = claimOf(mint());
  await ownAt(fleet, B, request);
  t.is((await claimAt(fleet, C, request)).kind, "owned-by");
  fleet.network.partition([[A, B], [C, D]]);
  t.like(await claimAt(fleet, C, unused), { reason: "unreachable" });
  await ownAt(fleet, B, unused);
  fleet.network.heal();
  fleet.kill(A);
  fleet.start(A);
  fleet.advance(STARTUP_MS);
  const restarted = { kind: "unknown", reason: "home-restarted" } as const;
  t.deepEqual(await claimAt(fleet, B, request), restarted);
  t.deepEqual(await claimAt(fleet, A, request), restarted);
});

test("a ticket is valid only for the account that it was issued to", async (t) => {
  const fleet = startedFleet();
  const key = fleet.at(A).keys.mintTicket(ACCOUNT);
  const stolen = claimOf(key, { account: "delta-press" });
  t.like(await claimAt(fleet, B, stolen), { reason: "unauthenticated" });
});

test("every host refuses malformed keys and keys issued in the future", async (t) => {
  const fleet = startedFleet();
  const text = claimOf(asId<IdempotencyKey>("order-7"));
  for (const host of [A, B, C, D]) {
    const refused = { kind: "not-run", reason: "malformed" } as const;
    t.deepEqual(await claimAt(fleet, host, text), refused);
    const early = fleet.sharedTimer.wallNow() + 2 * MAX_CALLER_CLOCK_SKEW_MS;
    const request = claimOf(bareKey(early, fleet.random));
    const refusedEarly = { kind: "not-run", reason: "issued-in-future" };
    t.deepEqual(await claimAt(fleet, host, request), refusedEarly);
  }
});

test("an owner resumed after the key's lifetime cannot dispatch", async (t) => {
  // The home has deleted the key by then, and callers may have been told so.
  const fleet = startedFleet();
  const request = keyWithHome(fleet, A);
  const owned = await ownAt(fleet, B, request);
  fleet.pause(B);
  fleet.advance(KEY_LIFETIME_MS + 20_000);
  t.like(await claimAt(fleet, C, request), { kind: "unknown" });
  fleet.resume(B);
  t.false(fleet.at(B).keys.markDispatched(owned, DISPATCH));
});
