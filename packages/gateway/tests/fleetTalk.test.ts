import {
  asId,
  ElapsedClock,
  type FailureDomain,
  type HostId,
  type Incarnation,
  type Milliseconds,
  SeededRandom,
  type ServiceId,
  type UpstreamId,
  VirtualTimer,
} from "@wasabivane/common";
import {
  PoisonRequestDetector,
  UpstreamDirectory,
} from "@wasabivane/admission";
import {
  decodeMessage,
  encodeMessage,
  FleetTalk,
  type GatewayContext,
  PeerBook,
  PolicyState,
  type UpstreamListChange,
} from "@wasabivane/gateway";
import test from "ava";
import { PlainDialect } from "./helpers/plainDialect.ts";

const DOMAIN = asId<FailureDomain>("west");
const SEEDS = ["h0", "h1", "h2"];
const WAY_MS: Milliseconds = 2;
const TICK_MS: Milliseconds = 100;
const BOUNDS = { revocationBound: 5_000, applyBound: 4_000 };

/** A host that only talks. */
interface Talker {
  readonly name: string;
  readonly book: PeerBook;
  readonly talk: FleetTalk;
  readonly parts: GatewayContext;
  readonly left: Set<string>;
  listRevision: number;
  heard: number;
  bytes: number;
}

/** Hosts that start within 0.3 s of each other and know three seeds. */
function startTalkers(
  count: number,
  { loss = 0, seed = 1 } = {},
): { talkers: Talker[]; timer: VirtualTimer } {
  const timer = new VirtualTimer();
  const random = new SeededRandom(seed);
  const talkers: Talker[] = [];
  const byName = new Map<string, Talker>();
  const carry = (bytes: Uint8Array, target: string): void => {
    if (random.float() < loss) return;
    timer.after(WAY_MS, () => {
      const talker = byName.get(target);
      if (talker === undefined) return;
      talker.heard++;
      talker.bytes += bytes.length;
      const message = decodeMessage(bytes, timer.now())._unsafeUnwrap();
      if (message.kind === "word") talker.talk.hear(message.word);
    });
  };
  for (let index = 0; index < count; index++) {
    timer.after(300 * random.float(), () => {
      const talker = createTalker(`h${index}`, { timer, carry, seed });
      talkers.push(talker);
      byName.set(talker.name, talker);
      timer.every(TICK_MS, () => void talker.talk.tick());
    });
  }
  return { talkers, timer };
}

function createTalker(
  name: string,
  { timer, carry, seed }: {
    timer: VirtualTimer;
    carry: (bytes: Uint8Array, target: string) => void;
    seed: number;
  },
): Talker {
  const host = asId<HostId>(name);
  const startedAt = timer.now();
  const directory = new UpstreamDirectory();
  directory.set(UPSTREAM);
  // The talk needs these parts of a host; the others have no word in it.
  const parts = {
    host,
    failureDomain: DOMAIN,
    timer,
    elapsed: new ElapsedClock(timer),
    random: new SeededRandom(seed + Number(name.slice(1))),
    directory,
    crashes: new PoisonRequestDetector(),
    policies: new PolicyState({ dialect: new PlainDialect(), bounds: BOUNDS }),
    isStopping: () => false,
  } as unknown as GatewayContext;
  const book = new PeerBook({
    host,
    failureDomain: DOMAIN,
    startedAt,
    cores: 1,
    seeds: SEEDS.filter((other) => other !== name),
  });
  const talker: Talker = {
    name,
    book,
    parts,
    left: new Set(),
    listRevision: 1,
    heard: 0,
    bytes: 0,
    talk: new FleetTalk({
      parts,
      book,
      incarnation: asId<Incarnation>(`${name} ${startedAt}`),
      address: name,
      startedAt,
      cores: 1,
      send: (word, targets) => {
        const bytes = encodeMessage({ kind: "word", word }, timer.now());
        for (const target of targets) carry(bytes, target);
      },
      onNewerPolicy: () => {},
      onListRevision: () => {},
      onChange: (change) => {
        talker.listRevision = change.to;
        talker.talk.tellChange(change);
      },
      onLeft: (upstream) => {
        directory.markLeaving(upstream);
        talker.left.add(upstream);
        talker.talk.tellLeft(upstream);
      },
      onSilent: () => {},
      listRevision: () => talker.listRevision,
      canRead: () => true,
    }),
  };
  return talker;
}

const UPSTREAM = {
  upstream: asId<UpstreamId>("u1"),
  name: "u1",
  bornAt: 0,
  service: asId<ServiceId>("plans"),
  address: "10.0.0.1:1",
  failureDomain: DOMAIN,
  slots: 4,
  coldFor: 0,
  isLeaving: false,
};

test("hosts that start together from three seeds soon know each other", (t) => {
  // All hosts are killed and start again, with three addresses and nothing else. Until
  // they know each other each keeps all places for itself, and engines are filled by
  // hosts that see nothing of one another.
  const { talkers, timer } = startTalkers(195, { loss: 0.01 });
  timer.runUntil(1_500);
  const known = talkers.map(({ book }) => book.aliveCount).sort((a, b) =>
    a - b
  );
  t.true(known[Math.floor(known.length / 10)]! > 60, `${known[19]}`);
  // Two thirds of the time within which a fleet must serve again are left.
  timer.runUntil(5_000);
  const least = Math.min(...talkers.map(({ book }) => book.aliveCount));
  t.true(least > 0.9 * 195, `${least}`);
});

test("news reaches all of hundreds of hosts within a fraction of the bounds", (t) => {
  // One host hears that an upstream leaves and that the list has changed. The others
  // must send nothing there after two seconds, though some words are lost.
  const { talkers, timer } = startTalkers(120, { loss: 0.025 });
  timer.runUntil(7_000);
  const change: UpstreamListChange = {
    from: 1,
    to: 2,
    upstreams: [],
    removed: ["u9"],
  };
  const [first] = talkers;
  first!.listRevision = 2;
  first!.talk.tellChange(change);
  first!.talk.tellLeft(UPSTREAM.upstream);
  const missing = (): number =>
    talkers.filter(({ left, listRevision, name }) =>
      listRevision < 2 || (left.size === 0 && name !== first!.name)
    ).length;
  timer.advance(300);
  t.true(missing() < 120 * 0.06, `${missing()}`);
  timer.advance(1_700);
  t.true(missing() <= 1, `${missing()}`);
});

test("proofs of freshness reach all while three hosts read", (t) => {
  // Three hosts prove every second that nothing has changed. The others serve by that
  // and would read the store themselves if proofs came late.
  const { talkers, timer } = startTalkers(120, { loss: 0.025 });
  timer.runUntil(7_000);
  for (const [index, { parts }] of talkers.slice(0, 3).entries()) {
    timer.after(index * 333, () => {
      timer.every(1_000, () => {
        parts.policies.freshness.confirm(parts.elapsed.now());
      });
    });
  }
  timer.advance(5_000);
  const oldest = Math.max(
    ...talkers.map(({ parts: { policies, elapsed } }) =>
      policies.freshness.age(elapsed.now())
    ),
  );
  t.true(oldest < 0.6 * BOUNDS.applyBound, `${oldest}`);
});

test("what a host hears does not grow with the hosts", (t) => {
  const rates = (count: number): { words: number; bytes: number } => {
    const { talkers, timer } = startTalkers(count);
    timer.runUntil(7_000);
    for (const talker of talkers) talker.heard = talker.bytes = 0;
    timer.every(400, () => {
      const { policies, elapsed } = talkers[0]!.parts;
      policies.freshness.confirm(elapsed.now());
    });
    timer.advance(5_000);
    let words = 0;
    let bytes = 0;
    for (const talker of talkers) {
      words += talker.heard / 5 / count;
      bytes += talker.bytes / 5 / count;
    }
    return { words, bytes };
  };
  const few = rates(60);
  const many = rates(240);
  t.true(many.words < 1.1 * few.words);
  t.true(many.bytes < 3_000);
});
