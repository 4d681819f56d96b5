import { asId, type FailureDomain, VirtualTimer } from "@wasabivane/common";
import {
  type PlacementDecision,
  UpstreamDirectory,
} from "@wasabivane/admission";
import test from "ava";
import {
  buildPlacementRequest,
  buildUpstream,
  PLANS,
  WEST,
} from "./helpers/build.ts";
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
  for (const { directory, coordinators, client } of hosts) {
    directory.evacuate(new Set(domains));
    for (const coordinator of coordinators.values()) coordinator.review(now);
    client.review(now);
  }
}

/** Submits some requests; returns the decisions by request name. */
function submitAll(
  { hosts }: VirtualFleet,
  { count, timer }: { count: number; timer: VirtualTimer },
): Map<string, PlacementDecision> {
  const decisions = new Map<string, PlacementDecision>();
  for (let index = 0; index < count; index++) {
    const { client } = hosts[index % hosts.length]!;
    const name = `${timer.now()}-${index}`;
    const placementRequest = buildPlacementRequest(name, {
      arrivedAt: timer.now(),
      firstByteTimeout: 20_000,
    });
    client.submit(placementRequest, (decision) => {
      decisions.set(name, decision);
      if (decision.kind === "place") {
        client.begin(decision.upstream.upstream, 0);
      }
    }, timer.now());
  }
  return decisions;
}

test("an evacuated failure domain gets no new requests until the evacuation ends", (t) => {
  // Guards against requests that are sent to a domain under evacuation.
  const { timer, fleet } = createFleet();
  evacuate(fleet, { domains: [EAST], now: 0 });
  const first = submitAll(fleet, { count: 4, timer });
  timer.advance(300);
  const placed = [...first.values()].filter(({ kind }) => kind === "place");
  t.is(placed.length, 1);
  for (const decision of placed) {
    t.true(
      decision.kind === "place" && decision.upstream.failureDomain === WEST,
    );
  }
  evacuate(fleet, { domains: [], now: timer.now() });
  timer.advance(300);
  const used = [...first.values()].flatMap((decision) =>
    decision.kind === "place" ? [decision.upstream.failureDomain] : []
  );
  t.deepEqual(used.sort(), [EAST, WEST]);
});

test("a slot granted before its failure domain was evacuated is returned", (t) => {
  // Guards against a coordinator that learns of the evacuation later than the
  // requesting host.
  const { timer, fleet } = createFleet();
  const { client, directory } = fleet.hosts[0]!;
  let seen: PlacementDecision | undefined;
  client.submit(
    buildPlacementRequest("asked", { firstByteTimeout: 20_000 }),
    (decision) => seen = decision,
    0,
  );
  directory.evacuate(new Set([WEST, EAST]));
  timer.advance(300);
  t.not(seen?.kind, "place");
});

test("with all failure domains evacuated, new and waiting requests are refused at once", (t) => {
  // Guards against callers that wait in vain until their deadline.
  const { timer, fleet } = createFleet();
  const waiting = submitAll(fleet, { count: 4, timer });
  timer.advance(200);
  evacuate(fleet, { domains: [WEST, EAST], now: timer.now() });
  const submitted = submitAll(fleet, { count: 2, timer });
  const refused = [...waiting.values(), ...submitted.values()].filter(
    (decision) => decision.kind === "refuse" && decision.reason === "evacuated",
  );
  t.is(refused.length, 4);
});

test("an upstream that leaves during an evacuation is not used afterwards", (t) => {
  // Guards against ignoring the announcement of an upstream that receives no
  // requests anyway.
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
