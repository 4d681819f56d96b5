import test from "ava";
import { asId, asTier, type Digest, type UpstreamId } from "@wasabivane/common";
import {
  PoisonRequestDetector,
  type Policy,
  PolicyFreshness,
  PolicyIndex,
  type Route,
  UpstreamDirectory,
  UpstreamHealth,
} from "@wasabivane/admission";
import { buildUpstream, PLANS } from "./helpers/build.ts";

const U0 = asId<UpstreamId>("u0");

test("keys are rejected before the revocation bound, and denials stop even earlier", (t) => {
  // Guards against a host that is cut off from the store and accepts revoked
  // keys.
  const freshness = new PolicyFreshness({
    revocationBound: 5_000,
    applyBound: 2_000,
  });
  t.false(freshness.isKeyTrusted(0));
  freshness.confirm(1_000);
  t.true(freshness.isKeyTrusted(4_000));
  t.false(freshness.isKeyTrusted(4_500));
  t.true(freshness.isDenialAllowed(2_000));
  t.false(freshness.isDenialAllowed(2_500));
  freshness.confirm(500);
  t.is(freshness.age(1_000), 0);
});

test("an upstream that announced that it leaves is not listed again by outdated data", (t) => {
  const directory = new UpstreamDirectory();
  directory.set(buildUpstream(0));
  directory.set(buildUpstream(0, { isLeaving: true }));
  directory.set(buildUpstream(0));
  t.is(directory.of(PLANS).length, 0);
});

test("entries that lapse in an outage of the store are used until they can be listed again", (t) => {
  // Guards against losing every upstream when all leases lapse in an outage of
  // the store.
  const directory = new UpstreamDirectory();
  directory.set(buildUpstream(0));
  directory.set(buildUpstream(1));
  t.deepEqual(directory.replaceAll([], { keepUntil: 1_500 }), []);
  t.is(directory.of(PLANS).length, 2);
  directory.set(buildUpstream(0));
  t.deepEqual(directory.expireLapsed(1_400), []);
  t.deepEqual(directory.expireLapsed(1_500), [buildUpstream(1)]);
  t.deepEqual(directory.of(PLANS).map(({ upstream }) => upstream), [U0]);
});

test("what a copy of the store lists or lacks is applied after a while", (t) => {
  // Guards against a live upstream, or a domain, that is out of use for ever.
  const directory = new UpstreamDirectory();
  const west = new Set([buildUpstream(0).failureDomain]);
  directory.set(buildUpstream(0));
  directory.remove(U0);
  directory.replaceAll([buildUpstream(0)], { ignoreRemovedUntil: 1_000 });
  t.is(directory.size, 0);
  directory.evacuate(west);
  directory.evacuate(new Set(), 1_000);
  t.deepEqual([directory.evacuated, directory.listedEvacuations], [
    west,
    new Set(),
  ]);
  t.false(directory.expireRestored(999));
  t.true(directory.expireRestored(1_000));
  t.is(directory.size, 1);
  t.is(directory.evacuated.size, 0);
});

test("all listed upstreams are known, however many there are", (t) => {
  // Guards against new upstreams of a large list that are taken for unknown.
  const directory = new UpstreamDirectory();
  const count = 3_000;
  const upstreams = Array.from(
    { length: count },
    (_, index) => buildUpstream(index),
  );
  for (const upstream of upstreams) directory.set(upstream);
  const unknown = upstreams.filter(({ upstream }) =>
    directory.lastKnown(upstream) === undefined
  );
  t.is(unknown.length, 0);
});

test("without an outage a removed upstream is dropped at once", (t) => {
  const directory = new UpstreamDirectory();
  directory.set(buildUpstream(0));
  t.true(directory.remove(U0));
  t.is(directory.size, 0);
});

test("an unreachable upstream is ejected, for longer each time", (t) => {
  const health = new UpstreamHealth();
  t.true(health.observe(U0, "unreachable", 0));
  t.true(health.isEjected(U0, 399));
  t.false(health.isEjected(U0, 401));
  t.true(health.observe(U0, "unreachable", 500));
  t.true(health.isEjected(U0, 1_200));
  t.false(health.isEjected(U0, 1_400));
});

test("two broken responses in a row eject an upstream, a single one does not", (t) => {
  const health = new UpstreamHealth();
  t.false(health.observe(U0, "broken", 0));
  t.false(health.observe(U0, "whole", 10));
  t.false(health.observe(U0, "broken", 20));
  t.true(health.observe(U0, "broken", 30));
});

test("a request that crashed three upstreams through any hosts is quarantined", (t) => {
  // Guards against a poison request that callers repeat until every upstream is
  // down.
  const book = new PoisonRequestDetector();
  const fingerprint = asId<Digest>("f");
  for (const [index, name] of ["u0", "u1"].entries()) {
    const upstream = asId<UpstreamId>(name);
    const at = index * 5_000;
    t.true(book.recordCrash({ fingerprint, upstream, at }, at + 100));
  }
  t.false(book.isQuarantined(fingerprint, 6_000));
  book.recordCrash({
    fingerprint,
    upstream: asId<UpstreamId>("u2"),
    at: 8_000,
  }, 8_000);
  t.true(book.isQuarantined(fingerprint, 8_000));
  t.false(book.isQuarantined(fingerprint, 100_000));
});

test("the route with the longest matching prefix of the host is selected", (t) => {
  const index = new PolicyIndex(policyOf([
    routeOf("short", "/a/"),
    routeOf("long", "/a/b/"),
  ]));
  t.is(index.route("plans.example:80", "/a/b/c")?.route as string, "long");
  t.is(index.route("PLANS.example", "/a/x")?.route as string, "short");
  t.is(index.route("plans.example", "/b/"), undefined);
  t.is(index.route("other.example", "/a/"), undefined);
});

function routeOf(name: string, prefix: string): Route {
  return {
    route: asId(name),
    host: "plans.example",
    prefix,
    isStreaming: false,
    repeatability: "idempotent",
    timeout: 1_000,
    target: 100,
    pauseTarget: 0,
    tier: asTier(1),
    maximumAttempts: 1,
    isAnonymous: false,
    targets: [{ service: PLANS, weight: 1 }],
  };
}

function policyOf(routes: readonly Route[]): Policy {
  return {
    version: 1,
    routes,
    services: [],
    accounts: [],
    limits: {
      maximumHeaderBytes: 1,
      maximumBodyBytes: 1,
      headerTimeout: 1,
      idleTimeout: 1,
    },
  };
}
