import {
  asId,
  asTier,
  type ClientAccountId,
  type Milliseconds,
  SeededRandom,
  type Tier,
  VirtualTimer,
} from "@wasabivane/common";
import {
  ConnectionBacklog,
  EventLoopLag,
  LoadShedder,
} from "@wasabivane/admission";
import test from "ava";

/**
 * Processor time of a request per step, and of a request refused on arrival.
 */
const STEP_MS: Milliseconds = 2;
const STEPS = 4;
const REFUSAL_MS: Milliseconds = 0.1;
/** Time at the upstream between the steps. */
const UPSTREAM_MS: Milliseconds = 50;
const TARGET_MS: Milliseconds = 200;
const TICK_MS: Milliseconds = 10;
const DURATION_MS: Milliseconds = 20_000;
const FIRST = asTier(1);
const LAST = asTier(3);

const LARGE = asId<ClientAccountId>("large");
const SMALL = ["s1", "s2", "s3", "s4"].map((id) => asId<ClientAccountId>(id));

interface Goodput {
  readonly all: number;
  readonly first: number;
  /** Share of the requests of each account that is on time. */
  readonly byAccount: ReadonlyMap<ClientAccountId | undefined, number>;
}

/**
 * A processor that runs tasks one after another in the order in which they
 * become due.
 */
class Processor {
  readonly #timer: VirtualTimer;
  #freeAt: Milliseconds = 0;

  constructor(timer: VirtualTimer) {
    this.#timer = timer;
  }

  run(cost: Milliseconds, done: () => void): void {
    const now = this.#timer.now();
    this.#freeAt = Math.max(now, this.#freeAt) + cost;
    this.#timer.after(this.#freeAt - now, done);
  }
}

/**
 * Returns the responses per second that are on time when a host is offered a
 * multiple of its capacity.
 */
function goodputAt(
  load: number,
  { isShedding = true, drawAccount = () => undefined }: {
    isShedding?: boolean;
    drawAccount?: (random: SeededRandom) => ClientAccountId | undefined;
  } = {},
): Goodput {
  const timer = new VirtualTimer();
  const random = new SeededRandom(7);
  const processor = new Processor(timer);
  const lag = new EventLoopLag();
  const shedder = new LoadShedder({ lag, random });
  const good = new Map<Tier, number>([[FIRST, 0], [LAST, 0]]);
  const counts = new Map<
    ClientAccountId | undefined,
    { sent: number; good: number }
  >();
  const scheduleTick = (): void => {
    const dueAt = timer.now() + TICK_MS;
    timer.after(TICK_MS, () =>
      processor.run(0, () => {
        lag.observe(timer.now() - dueAt, timer.now());
        scheduleTick();
      }));
  };
  scheduleTick();
  const serve = (
    { tier, since }: { tier: Tier; since: Milliseconds },
    onTime: () => void,
  ): void => {
    const step = (left: number): void =>
      processor.run(STEP_MS, () => {
        if (left > 1) {
          return void timer.after(UPSTREAM_MS / STEPS, () => step(left - 1));
        }
        if (timer.now() - since > TARGET_MS) return;
        good.set(tier, good.get(tier)! + 1);
        onTime();
      });
    step(STEPS);
  };
  const arrive = (): void => {
    if (timer.now() >= DURATION_MS) return;
    const tier = random.float() < 0.2 ? FIRST : LAST;
    const account = drawAccount(random);
    const count = counts.get(account) ?? { sent: 0, good: 0 };
    counts.set(account, count);
    count.sent++;
    const since = timer.now();
    processor.run(0, () => {
      if (isShedding && shedder.shouldShed({ tier, account }, timer.now())) {
        return processor.run(REFUSAL_MS, () => {});
      }
      serve({ tier, since }, () => count.good++);
    });
    timer.after(random.exponential(STEP_MS * STEPS / load), arrive);
  };
  arrive();
  timer.runUntil(DURATION_MS + 5_000);
  const perSecond = (count: number): number => count * 1_000 / DURATION_MS;
  const first = perSecond(good.get(FIRST)!);
  const byAccount = new Map(
    Array.from(counts, ([account, { sent, good }]) => [account, good / sent]),
  );
  return { all: first + perSecond(good.get(LAST)!), first, byAccount };
}

test("at several times its capacity a host serves as much as at its capacity, the first tier above all", (t) => {
  // Guards against a host that admits everything and serves nothing in time.
  const capacity = 1_000 / (STEP_MS * STEPS);
  t.true(goodputAt(2, { isShedding: false }).all < 0.1 * capacity);
  const atOne = goodputAt(1);
  for (const load of [1.5, 2, 3, 5]) {
    const { all, first } = goodputAt(load);
    t.true(all >= 0.9 * atOne.all, `${load}: ${all} of ${atOne.all}`);
    t.true(first >= atOne.first, `${load}: ${first} of ${atOne.first}`);
  }
});

test("below its capacity a host refuses nothing", (t) => {
  const { all } = goodputAt(0.5);
  const { all: unshed } = goodputAt(0.5, { isShedding: false });
  t.is(all, unshed);
});

test("an overloaded host sheds the requests of a large account before those of small ones", (t) => {
  // Guards against small accounts that lose requests to the load of another one.
  const drawAccount = (random: SeededRandom): ClientAccountId =>
    random.float() < 0.8 ? LARGE : SMALL[Math.floor(random.float() * 4)]!;
  const atOne = goodputAt(1);
  // At these loads the small accounts ask for less than equal shares.
  for (const load of [1.5, 2]) {
    const { all, byAccount } = goodputAt(load, { drawAccount });
    t.true(all >= 0.9 * atOne.all, `${load}: ${all} of ${atOne.all}`);
    for (const account of SMALL) {
      const share = byAccount.get(account)!;
      t.true(share >= 0.85, `${load}: ${account} has ${share}`);
    }
  }
});

test("a host sheds requests of small accounts where there are no others", (t) => {
  // Guards against a host that spares every account and serves none in time.
  const drawAccount = (random: SeededRandom): ClientAccountId =>
    SMALL[Math.floor(random.float() * 4)]!;
  const { all, byAccount } = goodputAt(3, { drawAccount });
  t.true(all >= 0.9 * goodputAt(1).all, `${all}`);
  const shares = SMALL.map((account) => byAccount.get(account)!);
  t.true(Math.max(...shares) - Math.min(...shares) < 0.1, `${shares}`);
});

test("a single stall is no sustained lag", (t) => {
  // Guards against refusals after the process was suspended by its CPU quota.
  const lag = new EventLoopLag();
  for (let at = 0; at < 2_000; at += 100) {
    lag.observe(80, at);
    for (const later of [10, 20, 30]) lag.observe(0, at + later);
  }
  t.is(lag.sustained, 0);
  t.true(lag.peak(1_930) > 60);
  // Loading code at startup blocks the event loop as well.
  const starting = new EventLoopLag();
  for (const at of [400, 410]) starting.observe(300, at);
  t.is(starting.sustained, 0);
});

test("a host that has been idle admits requests again", (t) => {
  // Guards against a share that shrinks only when requests arrive, so that the
  // first one after a pause is refused.
  const lag = new EventLoopLag();
  const shedder = new LoadShedder({ lag, random: new SeededRandom(1) });
  for (let at = 0; at < 2_000; at += 50) {
    lag.observe(200, at);
    shedder.shouldShed({ tier: LAST }, at);
  }
  t.true(shedder.share > 0.9);
  for (let at = 7_000; at < 7_200; at += 20) lag.observe(0, at);
  t.false(shedder.shouldShed({ tier: LAST }, 7_200));
  t.is(shedder.share, 0);
});

test("connections accepted in consecutive iterations have waited", (t) => {
  // Guards against forwarding requests of callers that left while their
  // connection was not accepted.
  const backlog = new ConnectionBacklog();
  const hasWaited = [1, 2, 3, 4, 5].map(() => {
    backlog.recordAccept(0);
    const { hasBacklog } = backlog;
    backlog.endIteration();
    return hasBacklog;
  });
  t.deepEqual(hasWaited, [false, false, false, true, true]);
  t.false(backlog.endIteration());
  backlog.recordAccept(0);
  t.false(backlog.hasBacklog);
});

/** New connections per second, of which a host can serve two thirds. */
const SURGE_PER_SECOND = 900;
const SERVICE_MS: Milliseconds = 1_000 / 600;
const CLOSE_MS: Milliseconds = 0.2;
const SURGE_MS: Milliseconds = 8_000;
const MAXIMUM_WAIT_MS: Milliseconds = 300;

test("a host that was held up serves the few connections that came meanwhile", (t) => {
  // Guards against callers that are sent away by a host that has a busy moment.
  const backlog = new ConnectionBacklog();
  for (let index = 0; index < 12; index++) {
    const now = 1_000 * index;
    backlog.recordAccept(now);
    t.false(backlog.isOverrun(now));
    backlog.endIteration();
  }
});

test("a host that gets more connections than it can serve closes the rest unread, and serves the others soon", (t) => {
  // Guards against connections that wait unseen before they are accepted: the
  // event loop is never late, as each of its iterations is short.
  const backlog = new ConnectionBacklog();
  const waits: Milliseconds[] = [];
  let now: Milliseconds = 0;
  let accepted = 0;
  while (now < SURGE_MS) {
    const arrivedAt = accepted / SURGE_PER_SECOND * 1_000;
    if (arrivedAt > now) {
      now = arrivedAt;
      backlog.endIteration();
    }
    accepted++;
    backlog.recordAccept(now);
    if (backlog.isOverrun(now)) now += CLOSE_MS;
    else {
      waits.push(now - arrivedAt);
      now += SERVICE_MS;
    }
    backlog.endIteration();
  }
  const capacity = SURGE_MS / SERVICE_MS;
  t.true(waits.length > 0.75 * capacity, `${waits.length} served`);
  t.true(Math.max(...waits) < MAXIMUM_WAIT_MS, `${Math.max(...waits)} ms`);
});
