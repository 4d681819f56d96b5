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

/**
 * Usage is counted over eight seconds; a quarter above the quota is tolerated.
 */
const TOLERANCE = { overrun: 0.25, slack: 0, span: 8_000 };
const NONE = { overrun: 0, slack: 0, span: 0 };

/**
 * Returns the units admitted by a fleet for one account that exceeds its quota
 * at every host.
 */
function admittedByFleet(
  { hosts, seconds, isSharingReports }: {
    hosts: number;
    seconds: number;
    isSharingReports: boolean;
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
    if (!isSharingReports) continue;
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

test("hosts that share reports keep an account within its quota", (t) => {
  // Guards against every host admitting the whole quota.
  const admitted = admittedByFleet({
    hosts: 8,
    seconds: 8,
    isSharingReports: true,
  });
  t.true(admitted <= (10_000 * 8 + 10_000) * 1.25);
  t.true(admitted >= 10_000 * 8);
});

/**
 * Returns the units that one host admits within `seconds` for an account that
 * sends without pause.
 */
function admittedByOneHost(
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

test("the tolerance above a quota is used only while slots are idle", (t) => {
  // Guards against tolerated usage that takes capacity from other accounts.
  const most = (10_000 * 8 + 10_000) * 1.25 + 20_000;
  const idle = admittedByOneHost({ seconds: 8, slack: 20_000, isIdle: true });
  t.true(idle > most * 0.8);
  t.true(idle <= most);
  const busy = admittedByOneHost({ seconds: 8, slack: 20_000, isIdle: false });
  t.true(busy <= 10_000 * 8 + 10_000);
  t.true(busy >= 10_000 * 8);
});

test("an account served by a single host gets its whole quota", (t) => {
  const admitted = admittedByFleet({
    hosts: 1,
    seconds: 8,
    isSharingReports: true,
  });
  t.true(admitted >= 10_000 * 8);
});

test("a silent peer stays charged at its last rate", (t) => {
  // Guards against partitioned hosts that each admit the whole quota.
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

test("a check of a quota takes nothing and agrees with the charge that follows", (t) => {
  // Guards against an account that is charged twice, or refused while it has units.
  const book = new QuotaLimiter(NONE);
  const request = { account: FAMILY, quota: QUOTA, units: 500, isIdle: false };
  let taken = 0;
  for (let now = 0; now < 2_000; now += 10) {
    const checks = [book.check(request, now), book.check(request, now)];
    const charge = book.take(request, now);
    for (const check of checks) t.deepEqual(check, charge);
    if (charge.isOk()) taken += request.units;
  }
  t.is(book.used().get(FAMILY), taken);
  t.true(taken >= 2 * QUOTA.perSecond);
});

test("units of a request that did not run are refunded", (t) => {
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

test("an account over its quota learns when its quota is available again", (t) => {
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

test("retries stay within the shared budget", (t) => {
  // Guards against retries that overload a failing service.
  const budget = new RetryBudget({ ratio: 0.2, slack: 40, window: 10_000 });
  let retries = 0;
  for (let index = 0; index < 1_000; index++) {
    const now = index * 10;
    budget.countInitial(PLANS, now);
    if (budget.takeRetry(PLANS, { hosts: 8, now })) retries++;
  }
  t.true(retries <= 0.2 * 1_000 + 40 / 8);
  t.true(retries >= 0.1 * 1_000);
});

test("retry delays are spread and within the time that callers have left", (t) => {
  const random = new SeededRandom(3);
  const waits = Array.from(
    { length: 50 },
    () => computeRetryDelay({ wait: 2_000, timeLeft: 4_000 }, random),
  );
  t.true(Math.max(...waits) <= 1_200);
  t.true(Math.min(...waits) >= 600);
  t.true(Math.max(...waits) - Math.min(...waits) > 300);
});
