import { asId, type ServiceId } from "@wasabivane/common";
import { PolicyIndex, type Route, ServiceMixing } from "@wasabivane/admission";
import test from "ava";
import { buildPolicy, buildRoute } from "./helpers/fleet.ts";

/** Builds a policy with routes from prefixes to services. */
function indexOf(
  targets: Readonly<Record<string, readonly string[]>>,
  changes: Partial<Route> = {},
): PolicyIndex {
  const routes = Object.entries(targets).map(([prefix, services]) =>
    buildRoute({
      prefix,
      isStreaming: true,
      repeatability: "resumable",
      targets: services.map((service) => ({
        service: asId<ServiceId>(service),
        weight: 1,
      })),
      ...changes,
    })
  );
  return new PolicyIndex({ ...buildPolicy(), routes });
}

function mixedIn(mixing: ServiceMixing, since: number): string {
  return ["a", "b", "c"].filter((service) =>
    mixing.isMixed(asId<ServiceId>(service), since)
  ).join("");
}

test("services are mixed while they share a route, and for a time after that", (t) => {
  // Guards against a stream that goes on at a service that did not begin it.
  const mixing = new ServiceMixing();
  mixing.apply(indexOf({ "/x/": ["a", "b"], "/y/": ["c"] }), 0);
  t.is(mixedIn(mixing, 1_000_000), "ab");
  mixing.apply(indexOf({ "/x/": ["a"], "/y/": ["c"] }), 50);
  t.is(mixedIn(mixing, 49), "ab");
  t.is(mixedIn(mixing, 50), "");
});

test("a route that is moved, or carved out of another one, mixes both services", (t) => {
  // Guards against the same after a change of the policy.
  const mixing = new ServiceMixing();
  mixing.apply(indexOf({ "/x/": ["a"] }), 0);
  t.is(mixedIn(mixing, -1), "");
  mixing.apply(indexOf({ "/x/": ["a"], "/x/y/": ["b"] }), 10);
  t.is(mixedIn(mixing, 9), "ab");
  mixing.apply(indexOf({ "/x/": ["c"], "/x/y/": ["b"] }), 20);
  t.is(mixedIn(mixing, 19), "ac");
  mixing.apply(indexOf({ "/x/": ["c"] }), 30);
  t.is(mixedIn(mixing, 29), "bc");
});

test("routes whose streams cannot be resumed mix no services", (t) => {
  const mixing = new ServiceMixing();
  const isStreaming = false;
  mixing.apply(indexOf({ "/x/": ["a", "b"] }, { isStreaming }), 0);
  t.is(mixedIn(mixing, -1), "");
});
