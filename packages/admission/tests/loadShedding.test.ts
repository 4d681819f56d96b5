import {
  asTier,
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

/** Processor time of a request in each of its steps, and of one that is refused at once. */
const STEP_MS: Milliseconds = 2;
const STEPS = 4;
const REFUSAL_MS: Milliseconds = 0.1;
/** Time at the upstream between the steps. */
const UPSTREAM_MS: Milliseconds = 50;
const TARGET_MS: Milliseconds = 200;
const LOOK_MS: Milliseconds = 10;
const DURATION_MS: Milliseconds = 20_000;
const FIRST = asTier(1);
const LAST = asTier(3);

interface Goodput {
  readonly all: number;
  readonly first: number;
}

/** A processor that does one thing after the other, in the order in which it became due. */
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

/** Good answers a second of one host that is offered so many times what it can take. */
function goodputAt(load: number, { isShedding = true } = {}): Goodput {
  const timer = new VirtualTimer();
  const random = new SeededRandom(7);
  const processor = new Processor(timer);
  const lag = new EventLoopLag();
  const shedding = new LoadShedder({ lag, random });
  const good = new Map<Tier, number>([[FIRST, 0], [LAST, 0]]);
  const look = (): void => {
    const dueAt = timer.now() + LOOK_MS;
    timer.after(LOOK_MS, () =>
      processor.run(0, () => {
        lag.observe(timer.now() - dueAt, timer.now());
        look();
      }));
  };
  look();
  const serve = (tier: Tier, since: Milliseconds): void => {
    const step = (left: number): void =>
      processor.run(STEP_MS, () => {
        if (left > 1) {
          return void timer.after(UPSTREAM_MS / STEPS, () => step(left - 1));
        }
        if (timer.now() - since > TARGET_MS) return;
        good.set(tier, good.get(tier)! + 1);
      });
    step(STEPS);
  };
  const arrive = (): void => {
    if (timer.now() >= DURATION_MS) return;
    const tier = random.float() < 0.2 ? FIRST : LAST;
    const since = timer.now();
    processor.run(0, () => {
      if (isShedding && shedding.shouldShed(tier, timer.now())) {
        return processor.run(REFUSAL_MS, () => {});
      }
      serve(tier, since);
    });
    timer.after(random.exponential(STEP_MS * STEPS / load), arrive);
  };
  arrive();
  timer.runUntil(DURATION_MS + 5_000);
  const perSecond = (count: number): number => count * 1_000 / DURATION_MS;
  const first = perSecond(good.get(FIRST)!);
  return { all: first + perSecond(good.get(LAST)!), first };
}

test("a host serves as much at five times its load as at its load, the first tier before all", (t) => {
  // Guards against a host that takes everything, is late with everything and serves nothing.
  const capacity = 1_000 / (STEP_MS * STEPS);
  t.true(goodputAt(2, { isShedding: false }).all < 0.1 * capacity);
  const atOne = goodputAt(1);
  for (const load of [1.5, 2, 3, 5]) {
    const { all, first } = goodputAt(load);
    t.true(all >= 0.9 * atOne.all, `${load}: ${all} of ${atOne.all}`);
    t.true(first >= atOne.first, `${load}: ${first} of ${atOne.first}`);
  }
});

test("below its load a host refuses nothing", (t) => {
  const { all } = goodputAt(0.5);
  const { all: unshed } = goodputAt(0.5, { isShedding: false });
  t.is(all, unshed);
});

test("a single stall is no backlog", (t) => {
  // Guards against refusals by a machine whose share of a tenth of a second was used up.
  const lag = new EventLoopLag();
  for (let at = 0; at < 2_000; at += 100) {
    lag.observe(80, at);
    for (const later of [10, 20, 30]) lag.observe(0, at + later);
  }
  t.is(lag.sustained, 0);
  t.true(lag.peak(1_930) > 60);
  // Code that is loaded at a start, before anything else runs.
  const starting = new EventLoopLag();
  for (const at of [400, 410]) starting.observe(300, at);
  t.is(starting.sustained, 0);
});

test("a host that has been idle since takes what comes", (t) => {
  // Guards against a share that only arrivals let shrink: the first after a pause was refused.
  const lag = new EventLoopLag();
  const shedding = new LoadShedder({ lag, random: new SeededRandom(1) });
  for (let at = 0; at < 2_000; at += 50) {
    lag.observe(200, at);
    shedding.shouldShed(LAST, at);
  }
  t.true(shedding.share > 0.9);
  for (let at = 7_000; at < 7_200; at += 20) lag.observe(0, at);
  t.false(shedding.shouldShed(LAST, 7_200));
  t.is(shedding.share, 0);
});

test("connections that are taken in turn after turn have waited", (t) => {
  // Guards against requests that lay unread for seconds and are sent on for callers who left.
  const backlog = new ConnectionBacklog();
  const standing = [1, 2, 3, 4, 5].map(() => {
    backlog.recordAccept();
    const { hasBacklog: isStanding } = backlog;
    backlog.endIteration();
    return isStanding;
  });
  t.deepEqual(standing, [false, false, false, true, true]);
  t.false(backlog.endIteration());
  backlog.recordAccept();
  t.false(backlog.hasBacklog);
});
