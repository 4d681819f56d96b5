import test from "ava";
import fc from "fast-check";
import {
  asId,
  asTier,
  type ClientAccountId,
  SeededRandom,
  type UpstreamId,
} from "@wasabivane/common";
import {
  AdaptiveConcurrencyLimit,
  OutputLengthEstimator,
  SpeedEstimator,
} from "@wasabivane/decisions";

const QUERY = {
  account: asId<ClientAccountId>("account-a"),
  tier: asTier(1),
  maximumOutputTokens: 8_192,
};

test("quantiles of lengths follow the sorted answers within a bucket", (t) => {
  fc.assert(
    fc.property(fc.integer(), (seed) => {
      const random = new SeededRandom(seed);
      const lengths = new OutputLengthEstimator();
      const seen: number[] = [];
      for (let index = 0; index < 500; index++) {
        const tokens = Math.ceil(150 * Math.exp(0.9 * random.normal()));
        seen.push(tokens);
        lengths.observe({ ...QUERY, outputTokens: tokens, isComplete: true });
      }
      seen.sort((left, right) => left - right);
      const known = lengths.distribution(QUERY);
      for (const quantile of [0.25, 0.5, 0.75]) {
        const exact = seen[Math.floor(quantile * seen.length)]!;
        const ratio = known.quantile(quantile) / exact;
        t.true(ratio > 0.75 && ratio < 1.35, `${quantile}: ${ratio}`);
      }
    }),
    { numRuns: 30, seed: 1 },
  );
});

test("the chance of a length grows with it and ends at the caller's bound", (t) => {
  const lengths = new OutputLengthEstimator();
  for (let tokens = 10; tokens < 500; tokens += 7) {
    lengths.observe({ ...QUERY, outputTokens: tokens, isComplete: true });
  }
  const known = lengths.distribution({ ...QUERY, maximumOutputTokens: 400 });
  let former = 0;
  for (let tokens = 0; tokens <= 400; tokens += 5) {
    const chance = known.probabilityWithin(tokens);
    t.true(chance >= former - 1e-9);
    former = chance;
  }
  t.is(known.probabilityWithin(400), 1);
});

test("an estimate of speed follows a slowdown within five answers", (t) => {
  const speeds = new SpeedEstimator();
  const upstream = asId<UpstreamId>("u0");
  speeds.register(upstream, "a");
  const answer = (msPerToken: number): void =>
    speeds.observeDecode({
      upstream,
      outputTokens: 101,
      elapsed: 100 * msPerToken,
      inFlight: 4,
    });
  for (let index = 0; index < 30; index++) answer(10);
  for (let index = 0; index < 5; index++) answer(60);
  t.true(speeds.times(upstream).decodeMsPerToken > 40);
});

// Callers see first tokens come ten times later from one upstream. Its engine
// turned slow while work was in flight; without a smaller bound it would be sent
// as much as before. The bound falls while the first tokens say so, and rises
// again with them.
test("the bound of a slow upstream shrinks within seconds and recovers", (t) => {
  const bound = new AdaptiveConcurrencyLimit({
    initialRequests: 8,
    maximumRequests: 64,
  });
  let now = 0;
  const observe = (elapsed: number): void => {
    now += 100;
    bound.observe({
      elapsed,
      backlogTokens: 1_000,
      uncachedTokens: 1_000,
      inFlightRequests: bound.requests,
      inFlightTokens: bound.requests * 2_000,
    }, now);
  };
  for (let index = 0; index < 100; index++) observe(120);
  const healthy = bound.requests;
  for (let index = 0; index < 40; index++) observe(1_200 * 4);
  t.is(healthy, 64);
  t.true(bound.requests <= 8);
  for (let index = 0; index < 150; index++) observe(120);
  t.true(bound.requests >= 32);
});

test("an overdue first token shrinks the bound before it comes", (t) => {
  const bound = new AdaptiveConcurrencyLimit({
    initialRequests: 16,
    maximumRequests: 64,
  });
  const sample = {
    backlogTokens: 1_000,
    uncachedTokens: 1_000,
    inFlightRequests: 16,
    inFlightTokens: 20_000,
  };
  bound.observe({ ...sample, elapsed: 100 }, 0);
  const before = bound.requests;
  bound.observeOverdue({ ...sample, elapsed: 5_000 }, 1_000);
  t.true(bound.requests < before);
});
