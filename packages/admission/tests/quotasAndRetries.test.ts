import test from "ava";
import {
  asId,
  type ClientAccountId,
  type HostId,
  type Incarnation,
  SeededRandom,
} from "@wasabivane/common";
import {
  computeRetryDelay,
  type Quota,
  QuotaLimiter,
  RetryBudget,
} from "@wasabivane/admission";
import { PLANS } from "./helpers/build.ts";

const FAMILY = asId<ClientAccountId>("family");
const QUOTA: Quota = {
  unit: "tokens",
  perSecond: 10_000,
  burst: 10_000,
  plainTokens: 200,
};

/** Operators count over eight seconds and tolerate a quarter above. */
const TOLERANCE = { overrun: 0.25, slack: 0, span: 8_000 };
const NONE = { overrun: 0, slack: 0, span: 0 };

/** Plays one account that asks for far more than its quota at every host. */
function admittedByFleet(
  { hosts, seconds, areTelling }: {
    hosts: number;
    seconds: number;
    areTelling: boolean;
  },
): number {
  const books = Array.from(
    { length: hosts },
    () => new QuotaLimiter(TOLERANCE),
  );
  let admitted = 0;
  for (let now = 0; now < seconds * 1_000; now += 25) {
    for (const book of books) {
      const taken = book.take(
        { account: FAMILY, quota: QUOTA, units: 500, isIdle: true },
        now,
      );
      if (taken.isOk()) admitted += 500;
    }
    if (!areTelling) continue;
    for (const [index, book] of books.entries()) {
      const report = {
        host: asId<HostId>(`h${index}`),
        incarnation: asId<Incarnation>("1"),
        used: new Map(book.used()),
      };
      for (const other of books) {
        if (other !== book) other.applyUsage(report, now);
      }
    }
  }
  return admitted;
}

test("hosts that tell each other keep an account within its quota", (t) => {
  // One account sends many times its usual through all hosts at once. Each host has
  // the whole quota in its bucket; what the others admitted has to come out of it.
  const admitted = admittedByFleet({ hosts: 8, seconds: 8, areTelling: true });
  t.true(admitted <= (10_000 * 8 + 10_000) * 1.25);
  t.true(admitted >= 10_000 * 8);
});

/** Units that one host admits in `seconds` of an account that asks without end. */
function admittedAlone(
  { seconds, slack, isIdle }: {
    seconds: number;
    slack: number;
    isIdle: boolean;
  },
): number {
  const book = new QuotaLimiter({ ...TOLERANCE, slack });
  let admitted = 0;
  for (let now = 0; now < seconds * 1_000; now += 10) {
    const taken = book.take({
      account: FAMILY,
      quota: QUOTA,
      units: 500,
      isIdle,
    }, now);
    if (taken.isOk()) admitted += 500;
  }
  return admitted;
}

test("what operators tolerate above a quota is used only where nobody else wants it", (t) => {
  // One account asks for all it can get. While places are free and nobody waits, it
  // gets what operators tolerate; when others wait, its quota and no more.
  const most = (10_000 * 8 + 10_000) * 1.25 + 20_000;
  const idle = admittedAlone({ seconds: 8, slack: 20_000, isIdle: true });
  t.true(idle > most * 0.8);
  t.true(idle <= most);
  const busy = admittedAlone({ seconds: 8, slack: 20_000, isIdle: false });
  t.true(busy <= 10_000 * 8 + 10_000);
  t.true(busy >= 10_000 * 8);
});

test("an account that one host serves alone gets its whole quota", (t) => {
  const admitted = admittedByFleet({ hosts: 1, seconds: 8, areTelling: true });
  t.true(admitted >= 10_000 * 8);
});

test("a peer that falls silent stays charged with its last rate", (t) => {
  // A partition parts two hosts that each admit half of a quota. Both go on
  // serving their callers; without the charge both would admit all of it.
  const book = new QuotaLimiter(NONE);
  const peer = {
    host: asId<HostId>("peer"),
    incarnation: asId<Incarnation>("1"),
  };
  for (let second = 0; second <= 4; second++) {
    book.applyUsage(
      { ...peer, used: new Map([[FAMILY, second * 5_000]]) },
      second * 1_000,
    );
    book.take(
      { account: FAMILY, quota: QUOTA, units: 5_000, isIdle: true },
      second * 1_000,
    );
  }
  let admitted = 0;
  for (let now = 5_500; now < 13_500; now += 50) {
    const taken = book.take({
      account: FAMILY,
      quota: QUOTA,
      units: 500,
      isIdle: true,
    }, now);
    if (taken.isOk()) admitted += 500;
  }
  t.true(admitted < 10_000 * 8 * 0.7);
  t.true(admitted > 10_000 * 8 * 0.3);
});

test("what did not run is given back", (t) => {
  const book = new QuotaLimiter(NONE);
  t.true(
    book.take({ account: FAMILY, quota: QUOTA, units: 9_000, isIdle: true }, 0)
      .isOk(),
  );
  t.true(
    book.take({ account: FAMILY, quota: QUOTA, units: 500, isIdle: true }, 0)
      .isErr(),
  );
  book.refund(FAMILY, 9_000);
  t.true(
    book.take({ account: FAMILY, quota: QUOTA, units: 500, isIdle: true }, 0)
      .isOk(),
  );
});

test("an account over its quota is told when there is room again", (t) => {
  const book = new QuotaLimiter(NONE);
  book.take({ account: FAMILY, quota: QUOTA, units: 15_000, isIdle: true }, 0);
  const refused = book.take({
    account: FAMILY,
    quota: QUOTA,
    units: 1,
    isIdle: true,
  }, 0);
  t.true(refused.isErr() && refused.error.retryAfter === 1_000);
});

test("further sends stay within the shared budget", (t) => {
  // A service fails half of its requests. Every failed one is sent again, unless
  // the budget over all hosts is spent; more load on what is left fails more.
  const budget = new RetryBudget({ ratio: 0.2, slack: 40, window: 10_000 });
  let further = 0;
  for (let index = 0; index < 1_000; index++) {
    const now = index * 10;
    budget.countInitial(PLANS, now);
    if (budget.takeRetry(PLANS, { hosts: 8, now })) further++;
  }
  t.true(further <= 0.2 * 1_000 + 40 / 8);
  t.true(further >= 0.1 * 1_000);
});

test("refused callers come back spread, and within what they will wait", (t) => {
  const random = new SeededRandom(3);
  const waits = Array.from(
    { length: 50 },
    () => computeRetryDelay({ wait: 2_000, timeLeft: 4_000 }, random),
  );
  t.true(Math.max(...waits) <= 1_200);
  t.true(Math.min(...waits) >= 600);
  t.true(Math.max(...waits) - Math.min(...waits) > 300);
});
