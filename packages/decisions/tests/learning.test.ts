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

test("length quantiles match the sorted lengths within one bucket", (t) => {
  fc.assert(
    fc.property(fc.integer(), (seed) => {
      const random = new SeededRandom(seed);
      const lengths = new OutputLengthEstimator();
      const observed: number[] = [];
      for (let index = 0; index < 500; index++) {
        const tokens = Math.ceil(150 * Math.exp(0.9 * random.normal()));
        observed.push(tokens);
        lengths.observe({ ...QUERY, outputTokens: tokens, isComplete: true });
      }
      observed.sort((left, right) => left - right);
      const distribution = lengths.distribution(QUERY);
      for (const quantile of [0.25, 0.5, 0.75]) {
        const exact = observed[Math.floor(quantile * observed.length)]!;
        const ratio = distribution.quantile(quantile) / exact;
        t.true(ratio > 0.75 && ratio < 1.35, `${quantile}: ${ratio}`);
      }
    }),
    { numRuns: 30, seed: 1 },
  );
});

test("the probability of a length is monotonic and is 1 at the caller's limit", (t) => {
  const lengths = new OutputLengthEstimator();
  for (let tokens = 10; tokens < 500; tokens += 7) {
    lengths.observe({ ...QUERY, outputTokens: tokens, isComplete: true });
  }
  const distribution = lengths.distribution({
    ...QUERY,
    maximumOutputTokens: 400,
  });
  let previous = 0;
  for (let tokens = 0; tokens <= 400; tokens += 5) {
    const probability = distribution.probabilityWithin(tokens);
    t.true(probability >= previous - 1e-9);
    previous = probability;
  }
  t.is(distribution.probabilityWithin(400), 1);
});

test("the speed estimate follows a slowdown within five responses", (t) => {
  const speeds = new SpeedEstimator();
  const upstream = asId<UpstreamId>("u0");
  speeds.register(upstream, "a");
  const observeResponse = (msPerToken: number): void =>
    speeds.observeDecode({
      upstream,
      outputTokens: 101,
      elapsed: 100 * msPerToken,
      inFlight: 4,
    });
  for (let index = 0; index < 30; index++) observeResponse(10);
  for (let index = 0; index < 5; index++) observeResponse(60);
  t.true(speeds.times(upstream).decodeMsPerToken > 40);
});

// Guards against sending a slowed-down upstream as many requests as before.
test("the limit of a slow upstream shrinks within seconds and recovers", (t) => {
  const limit = new AdaptiveConcurrencyLimit({
    initialRequests: 8,
    maximumRequests: 64,
  });
  let now = 0;
  const observe = (elapsed: number): void => {
    now += 100;
    limit.observe({
      elapsed,
      backlogTokens: 1_000,
      uncachedTokens: 1_000,
      inFlightRequests: limit.requests,
      inFlightTokens: limit.requests * 2_000,
    }, now);
  };
  for (let index = 0; index < 100; index++) observe(120);
  const healthyLimit = limit.requests;
  for (let index = 0; index < 40; index++) observe(1_200 * 4);
  t.is(healthyLimit, 64);
  t.true(limit.requests <= 8);
  for (let index = 0; index < 150; index++) observe(120);
  t.true(limit.requests >= 32);
});

test("an overdue first token shrinks the limit before it arrives", (t) => {
  const limit = new AdaptiveConcurrencyLimit({
    initialRequests: 16,
    maximumRequests: 64,
  });
  const sample = {
    backlogTokens: 1_000,
    uncachedTokens: 1_000,
    inFlightRequests: 16,
    inFlightTokens: 20_000,
  };
  limit.observe({ ...sample, elapsed: 100 }, 0);
  const before = limit.requests;
  limit.observeOverdue({ ...sample, elapsed: 5_000 }, 1_000);
  t.true(limit.requests < before);
});
