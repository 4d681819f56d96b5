import { asId, type FailureDomain, VirtualTimer } from "@wasabivane/common";
import {
  type PlacementDecision,
  UpstreamDirectory,
} from "@wasabivane/admission";
import test from "ava";
import { buildUpstream, buildWish, PLANS, WEST } from "./helpers/build.ts";
import { VirtualFleet } from "./helpers/virtualFleet.ts";

const EAST = asId<FailureDomain>("east");

function createFleet(): { timer: VirtualTimer; fleet: VirtualFleet } {
  const timer = new VirtualTimer();
  const fleet = new VirtualFleet({
    timer,
    hosts: 4,
    upstreams: [
      buildUpstream(0, { slots: 1, failureDomain: WEST }),
      buildUpstream(1, { slots: 1, failureDomain: EAST }),
    ],
    failureDomains: [WEST, EAST],
    seed: 5,
  });
  return { timer, fleet };
}

function evacuate(
  { hosts }: VirtualFleet,
  { domains, now }: { domains: readonly FailureDomain[]; now: number },
): void {
  for (const { directory, keepers, seeker } of hosts) {
    directory.evacuate(new Set(domains));
    for (const keeper of keepers.values()) keeper.review(now);
    seeker.review(now);
  }
}

/** Seeks places for some requests; gives where they went, by name. */
function seekAll(
  { hosts }: VirtualFleet,
  { count, timer }: { count: number; timer: VirtualTimer },
): Map<string, PlacementDecision> {
  const verdicts = new Map<string, PlacementDecision>();
  for (let index = 0; index < count; index++) {
    const { seeker } = hosts[index % hosts.length]!;
    const name = `${timer.now()}-${index}`;
    const wish = buildWish(name, {
      arrivedAt: timer.now(),
      firstByteTimeout: 20_000,
    });
    seeker.submit(wish, (verdict) => {
      verdicts.set(name, verdict);
      if (verdict.kind === "place") {
        seeker.begin(verdict.upstream.upstream, 0);
      }
    }, timer.now());
  }
  return verdicts;
}

test("an evacuated failure domain gets nothing new, and works again when it is taken back", (t) => {
  // Guards against work that is sent on to a domain which operators empty.
  const { timer, fleet } = createFleet();
  evacuate(fleet, { domains: [EAST], now: 0 });
  const first = seekAll(fleet, { count: 4, timer });
  timer.advance(300);
  const places = [...first.values()].filter(({ kind }) => kind === "place");
  t.is(places.length, 1);
  for (const verdict of places) {
    t.true(
      verdict.kind === "place" && verdict.upstream.failureDomain === WEST,
    );
  }
  evacuate(fleet, { domains: [], now: timer.now() });
  timer.advance(300);
  const used = [...first.values()].flatMap((verdict) =>
    verdict.kind === "place" ? [verdict.upstream.failureDomain] : []
  );
  t.deepEqual(used.sort(), [EAST, WEST]);
});

test("a place that was granted before its domain was evacuated is given back", (t) => {
  // Guards against a keeper that hears of the evacuation later than the asking host.
  const { timer, fleet } = createFleet();
  const { seeker, directory } = fleet.hosts[0]!;
  let seen: PlacementDecision | undefined;
  seeker.submit(
    buildWish("asked", { firstByteTimeout: 20_000 }),
    (verdict) => seen = verdict,
    0,
  );
  directory.evacuate(new Set([WEST, EAST]));
  timer.advance(300);
  t.not(seen?.kind, "place");
});

test("with all domains evacuated requests are refused at once, also those that wait", (t) => {
  // Guards against callers that are held until their time is over for nothing.
  const { timer, fleet } = createFleet();
  const waiting = seekAll(fleet, { count: 4, timer });
  timer.advance(200);
  evacuate(fleet, { domains: [WEST, EAST], now: timer.now() });
  const asked = seekAll(fleet, { count: 2, timer });
  const refused = [...waiting.values(), ...asked.values()].filter(
    (verdict) => verdict.kind === "refuse" && verdict.reason === "evacuated",
  );
  t.is(refused.length, 4);
});

test("an upstream that leaves while its domain is evacuated has left for good", (t) => {
  // Guards against a leaving that is not noted since the upstream gets no work anyway.
  const directory = new UpstreamDirectory();
  const upstream = buildUpstream(0);
  directory.set(upstream);
  directory.evacuate(new Set([WEST]));
  t.is(directory.get(upstream.upstream), undefined);
  t.is(directory.findListed(upstream.upstream), upstream);
  t.true(directory.isEvacuated(PLANS));
  t.true(directory.markLeaving(upstream.upstream));
  directory.evacuate(new Set());
  t.deepEqual(directory.of(PLANS), []);
});
