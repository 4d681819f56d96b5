import { asId, type HostId, VirtualTimer } from "@wasabivane/common";
import { FetchSchedule } from "@wasabivane/gateway";
import test from "ava";

/** Longer than any wait of the schedule. */
const LONG_MS = 1_000;

interface Fixture {
  readonly timer: VirtualTimer;
  readonly schedule: FetchSchedule;
  /** Peers in the order in which fetches from them began. */
  readonly peers: string[];
  announce(peer: string, listRevision: number): void;
  /** Ends the oldest fetch from a peer, which brings a revision. */
  end(peer: string, listRevision?: number): Promise<void>;
}

function createFixture(): Fixture {
  const timer = new VirtualTimer();
  const peers: string[] = [];
  const ends = new Map<string, () => void>();
  let known = 0;
  const schedule = new FetchSchedule({
    timer,
    isNewer: ({ policyVersion, listRevision }) =>
      policyVersion > 0 || listRevision > known,
    fetch: (peer) => {
      peers.push(peer);
      return new Promise((resolve) => ends.set(peer, resolve));
    },
  });
  return {
    timer,
    schedule,
    peers,
    announce: (peer, listRevision) =>
      schedule.announce({
        peer: asId<HostId>(peer),
        policyVersion: 0,
        listRevision,
      }),
    end: async (peer, listRevision = 0) => {
      known = Math.max(known, listRevision);
      ends.get(peer)!();
      await new Promise((resolve) => setImmediate(resolve));
    },
  };
}

test("what a fetch under way brings is not fetched from another peer", async (t) => {
  // Guards against a change that each host fetches several times at a start.
  const { timer, peers, announce, end } = createFixture();
  announce("a", 5);
  for (const [peer, revision] of [["b", 5], ["c", 4]] as const) {
    announce(peer, revision);
  }
  timer.advance(90);
  await end("a", 5);
  timer.advance(LONG_MS);
  t.deepEqual(peers, ["a"]);
});

test("another peer is asked when a fetch takes longer than 100 ms", (t) => {
  // Guards against a hung peer that holds back a leaving upstream.
  const { timer, peers, announce } = createFixture();
  announce("a", 5);
  announce("b", 5);
  timer.advance(99);
  t.deepEqual(peers, ["a"]);
  timer.advance(2);
  t.deepEqual(peers, ["a", "b"]);
  announce("c", 5);
  timer.advance(LONG_MS);
  t.deepEqual(peers, ["a", "b"]);
});

test("another peer is asked when a fetch fails", async (t) => {
  const { timer, peers, announce, end } = createFixture();
  announce("a", 5);
  announce("b", 5);
  await end("a");
  timer.advance(50);
  t.deepEqual(peers, ["a", "b"]);
});

test("changes announced within 50 ms are fetched together, from the peer with the newest", async (t) => {
  // Guards against one fetch for each upstream of a start.
  const { timer, peers, announce, end } = createFixture();
  announce("a", 5);
  await end("a", 5);
  for (const [index, peer] of ["b", "c", "d"].entries()) {
    timer.advance(10);
    announce(peer, 6 + index);
  }
  t.deepEqual(peers, ["a"]);
  timer.advance(20);
  t.deepEqual(peers, ["a", "d"]);
});

test("what arrives by gossip within 50 ms is not fetched", async (t) => {
  const { timer, peers, announce, end } = createFixture();
  announce("a", 5);
  await end("a", 5);
  announce("b", 6);
  // Raises the known revision as a change by gossip does.
  await end("a", 6);
  timer.advance(LONG_MS);
  t.deepEqual(peers, ["a"]);
});

test("a lone change is fetched at once", (t) => {
  // Guards against a delay of each change in a fleet at rest.
  const { timer, peers, announce } = createFixture();
  timer.advance(LONG_MS);
  announce("a", 5);
  t.deepEqual(peers, ["a"]);
});

test("the other peers that announced a change are asked when fetches fail", async (t) => {
  // Guards against a change that nobody is asked for until the next message.
  const { timer, peers, announce, end } = createFixture();
  announce("a", 5);
  await end("a", 5);
  timer.advance(10);
  for (const peer of ["b", "c", "d"]) announce(peer, 6);
  timer.advance(40);
  t.deepEqual(peers, ["a", "b"]);
  await end("b");
  timer.advance(50);
  t.deepEqual(peers, ["a", "b", "c"]);
  await end("c");
  timer.advance(50);
  t.deepEqual(peers, ["a", "b", "c", "d"]);
});

test("a peer whose fetch failed is asked again once it announces again", async (t) => {
  // Guards against fetches from a peer that is down, one after the other.
  const { timer, peers, announce, end } = createFixture();
  announce("a", 5);
  announce("a", 5);
  await end("a");
  timer.advance(LONG_MS);
  t.deepEqual(peers, ["a"]);
  announce("a", 5);
  t.deepEqual(peers, ["a", "a"]);
});

test("the newest list is fetched where more peers announce than are remembered", async (t) => {
  const { timer, peers, announce, end } = createFixture();
  announce("a", 5);
  await end("a", 5);
  announce("b", 9);
  for (const peer of ["c", "d", "e", "f"]) announce(peer, 6);
  timer.advance(50);
  t.deepEqual(peers, ["a", "b"]);
});

for (const order of [["p", "q"], ["q", "p"]]) {
  test(`a newer policy is fetched before a newer list, announced as ${order}`, async (t) => {
    // Guards against a policy that no peer is asked for, or late, where changes of
    // the list are announced by peers that lack it.
    const { timer, schedule, peers, announce, end } = createFixture();
    announce("a", 5);
    await end("a", 5);
    const versions = [
      { peer: asId<HostId>("p"), policyVersion: 2, listRevision: 5 },
      { peer: asId<HostId>("q"), policyVersion: 0, listRevision: 6 },
    ];
    for (const name of order) {
      schedule.announce(versions.find(({ peer }) => peer === name)!);
    }
    timer.advance(50);
    t.deepEqual(peers, ["a", "p"]);
    timer.advance(50);
    t.deepEqual(peers, ["a", "p", "q"]);
  });
}
