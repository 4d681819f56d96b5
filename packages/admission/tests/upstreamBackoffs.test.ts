import {
  asId,
  type HostId,
  type Milliseconds,
  type RequestId,
  VirtualTimer,
} from "@wasabivane/common";
import {
  createUpstreamId,
  type PlacementDecision,
  UpstreamBackoffs,
} from "@wasabivane/admission";
import test from "ava";
import { buildPlacementRequest, buildUpstream, WEST } from "./helpers/build.ts";
import { type Replay, replayLoad } from "./helpers/loadReplay.ts";
import { halve } from "./helpers/partition.ts";
import { VirtualFleet, type VirtualHost } from "./helpers/virtualFleet.ts";

const BUSY = buildUpstream(0).upstream;
const BACKOFF_MS: Milliseconds = 3_000;
const BUSY_FROM: Milliseconds = 2_000;
const BUSY_UNTIL: Milliseconds = 14_000;
/** Time after a rejection in which requests are still on their way. */
const IN_TRANSIT_MS: Milliseconds = 500;
/** Requests that may arrive from one host in the remaining time. */
const ALLOWED = 2;

/** Short requests that keep most slots of six upstreams busy. */
const LOAD: Replay = {
  hosts: 20,
  upstreams: 6,
  slots: 8,
  speeds: [1],
  duration: 20_000,
  seed: 5,
  isCoordinated: true,
  failureDomains: [WEST],
  seedStep: 0x9e3779b1,
  tiers: [
    { tier: 1, rateAt: () => 180, work: 200, target: 800, usefulWithin: 2_000 },
  ],
};

function isBusyAt(at: Milliseconds): boolean {
  return at >= BUSY_FROM && at < BUSY_UNTIL;
}

/**
 * Replays the load while the first upstream rejects all requests; returns the
 * times of its requests by host.
 */
function replayBackoff(
  changes: Partial<Replay> = {},
): Map<HostId, Milliseconds[]> {
  const sends = new Map<HostId, Milliseconds[]>();
  replayLoad({
    ...LOAD,
    backoffOf: ({ upstream }, at) =>
      upstream === BUSY && isBusyAt(at) ? BACKOFF_MS : undefined,
    onSend: ({ upstream }, at, { host }) => {
      if (upstream === BUSY && isBusyAt(at)) {
        sends.set(host, [...sends.get(host) ?? [], at]);
      }
    },
    ...changes,
  });
  return sends;
}

/** Returns the most requests that one host sends in the time of one backoff. */
function mostInBackoff(sends: ReadonlyMap<HostId, Milliseconds[]>): number {
  const counts = [...sends.values()].flatMap((times) =>
    times.map((from) =>
      times.filter((at) =>
        at > from + IN_TRANSIT_MS &&
        at < Math.min(from + BACKOFF_MS, BUSY_UNTIL)
      ).length
    )
  );
  return Math.max(0, ...counts);
}

for (
  const [title, changes] of Object.entries<Partial<Replay>>({
    "with coordinators": {},
    "that schedule locally": { isCoordinated: false, upstreams: 3, slots: 1 },
    "whose datagrams get lost": { loss: 0.1 },
    "in two parts": {
      onStart: (fleet, timer) => timer.after(4_000, () => halve(fleet)),
    },
    "with a new coordinator": { onStart: killCoordinatorsLater },
  })
) {
  test(`hosts ${title} leave an upstream alone for the time that it asks for`, (t) => {
    // Guards against a backoff that only some of the ways to an upstream respect.
    const sends = replayBackoff(changes);
    t.true(sends.size > LOAD.hosts / 2, `${sends.size}`);
    t.true(mostInBackoff(sends) <= ALLOWED, `${mostInBackoff(sends)}`);
  });
}

test("requests are refused at once while a host backs off from all upstreams, and served after", (t) => {
  // Guards against grants that are turned down again and again, and against
  // callers who wait in vain.
  const { timer, fleet: { hosts: [host] } } = createFleet({ upstreams: 2 });
  for (const upstream of host!.directory.all()) {
    host!.client.recordBackoff(upstream, BACKOFF_MS, timer.now());
  }
  const decisions = submit(host!, { count: 40, timer });
  t.true(decisions.every(({ kind }) => kind === "refuse"));
  for (const decision of decisions) {
    t.true(decision.kind === "refuse" && decision.reason === "backoff");
    t.true(decision.kind === "refuse" && decision.estimate.wait === BACKOFF_MS);
  }
  timer.advance(BACKOFF_MS);
  const later = submit(host!, { count: 2, timer });
  timer.advance(100);
  t.deepEqual(later.map(({ kind }) => kind), ["place", "place"]);
});

test("waiting requests are refused when the last upstream asks for a backoff", (t) => {
  // Guards against callers who wait for a slot that they cannot get.
  const { timer, fleet: { hosts: [host] } } = createFleet({ upstreams: 1 });
  const decisions = submit(host!, { count: 4, timer });
  timer.advance(50);
  t.is(decisions.length, 1);
  host!.client.recordBackoff(buildUpstream(0), BACKOFF_MS, timer.now());
  t.is(decisions.length, 4);
  t.is(host!.client.waitingTotal, 0);
});

test("waiting requests are refused when the last other upstream goes out of use", (t) => {
  // Guards against callers who wait for an upstream that is leaving.
  const { timer, fleet: { hosts: [host] } } = createFleet({ upstreams: 2 });
  host!.client.recordBackoff(buildUpstream(0), BACKOFF_MS, timer.now());
  const decisions = submit(host!, { count: 4, timer });
  timer.advance(50);
  t.is(decisions.length, 1);
  host!.directory.reportLeaving(buildUpstream(1).upstream, timer.now());
  host!.client.review(timer.now());
  t.is(decisions.length, 4);
});

test("a request waits for a backoff that ends in time", (t) => {
  // Guards against refusals for a backoff of a fraction of a second.
  const { timer, fleet: { hosts: [host] } } = createFleet({ upstreams: 1 });
  host!.client.recordBackoff(buildUpstream(0), 300, timer.now());
  const decisions = submit(host!, { count: 1, timer });
  timer.advance(290);
  t.is(decisions.length, 0);
  timer.advance(100);
  t.is(decisions[0]?.kind, "place");
});

test("other hosts use an upstream that one host backs off from", (t) => {
  // Guards against one host's rejection that takes an upstream from all.
  const { timer, fleet: { hosts: [host, other] } } = createFleet({
    upstreams: 1,
  });
  host!.client.recordBackoff(buildUpstream(0), 1_000, timer.now());
  // More requests of the first host wait than a scheduler considers at a time.
  const waiting = submit(host!, { count: 60, timer });
  timer.advance(50);
  const decisions = submit(other!, { count: 1, timer });
  timer.advance(50);
  t.is(waiting.filter(({ kind }) => kind === "place").length, 0);
  t.is(decisions[0]?.kind, "place");
});

test("a backoff that ends earlier does not shorten a known one", (t) => {
  const backoffs = new UpstreamBackoffs();
  backoffs.record([BUSY, 3_000], 0);
  backoffs.record([BUSY, 1_000], 0);
  t.true(backoffs.has(BUSY, 2_999));
  t.false(backoffs.has(BUSY, 3_000));
  backoffs.record([BUSY, 5_000], 0);
  t.deepEqual(backoffs.active(4_999), [[BUSY, 5_000]]);
  t.deepEqual(backoffs.active(5_000), []);
  t.false(backoffs.has(createUpstreamId("u0", 1_000), 0));
});

function createFleet(
  { upstreams }: { upstreams: number },
): { timer: VirtualTimer; fleet: VirtualFleet } {
  const timer = new VirtualTimer();
  const fleet = new VirtualFleet({
    timer,
    hosts: 2,
    upstreams: Array.from(
      { length: upstreams },
      (_, index) => buildUpstream(index, { slots: 1 }),
    ),
    failureDomains: [WEST],
    seed: 5,
  });
  return { timer, fleet };
}

/** Submits requests that occupy their slots; returns their decisions so far. */
function submit(
  { client }: VirtualHost,
  { count, timer }: { count: number; timer: VirtualTimer },
): PlacementDecision[] {
  const decisions: PlacementDecision[] = [];
  for (let index = 0; index < count; index++) {
    const now = timer.now();
    const placementRequest = buildPlacementRequest(`${now}-${index}`, {
      request: asId<RequestId>(`${now}-${index}`),
      arrivedAt: now,
    });
    client.submit(placementRequest, (decision) => {
      decisions.push(decision);
      if (decision.kind === "place") {
        client.begin(decision.upstream.upstream, 0);
      }
    }, now);
  }
  return decisions;
}

function killCoordinatorsLater(fleet: VirtualFleet, timer: VirtualTimer): void {
  timer.after(6_000, () => {
    for (const host of fleet.hosts) {
      if (host.coordinators.size > 0) host.isDead = true;
    }
  });
}
