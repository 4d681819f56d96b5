import test from "ava";
import { SeededRandom } from "@wasabivane/common";
import {
  createDigests,
  createEngineFixture,
  PROFILE,
} from "./helpers/engineFixture.ts";

test("batched requests share decode steps", (t) => {
  const singleFixture = createEngineFixture();
  const single = singleFixture.submit("a", { prompt: 100, output: 50 });
  singleFixture.timer.advance(60_000);
  const sharedFixture = createEngineFixture();
  const batched = ["a", "b"].map((id) =>
    sharedFixture.submit(id, { prompt: 100, output: 50 })
  );
  sharedFixture.timer.advance(60_000);
  t.is(single.finishedAt, 110 + 49 * 11);
  t.true(batched.every(({ finishedAt }) => finishedAt < 2 * single.finishedAt));
  t.true(batched.every(({ tokens }) => tokens === 50));
});

test("requests queue in arrival order while the batch is full", (t) => {
  const { timer, engine, submit } = createEngineFixture();
  const observed = [1, 2, 3, 4, 5, 6].map((index) =>
    submit(`r${index}`, { prompt: 50, output: 20 })
  );
  timer.advance(60_000);
  t.true(observed[4]!.firstTokenAt > observed[0]!.finishedAt);
  t.true(observed[5]!.firstTokenAt >= observed[4]!.firstTokenAt);
  t.is(engine.counters.finished, 6);
});

test("admission is limited by KV memory below the batch size", (t) => {
  const { timer, submit } = createEngineFixture();
  const first = submit("first", { prompt: 6_000, output: 10 });
  const second = submit("second", { prompt: 6_000, output: 10 });
  timer.advance(600_000);
  t.true(second.firstTokenAt >= first.finishedAt + 6_000);
});

test("a cached prefix skips its prefill only under the same salt", (t) => {
  const { timer, engine, submit } = createEngineFixture();
  const request = { prompt: 700, output: 1 };
  submit("cold", { ...request, digests: createDigests("firm-a", 10) });
  timer.advance(60_000);
  const start = timer.now();
  const warm = submit("warm", {
    ...request,
    digests: createDigests("firm-a", 10),
  });
  timer.advance(60_000);
  const other = submit("other", {
    ...request,
    digests: createDigests("firm-b", 10),
  });
  timer.advance(60_000);
  t.is(warm.cachedTokens, 640);
  t.is(warm.finishedAt - start, 10 + 60);
  t.is(other.cachedTokens, 0);
  t.is(engine.counters.prefillTokens, 700 + 60 + 700);
});

test("memory pressure evicts the least recently used prompt", (t) => {
  const { timer, engine, submit } = createEngineFixture();
  const digests = createDigests("old", 60);
  submit("old", { prompt: 3_840, output: 1, digests });
  timer.advance(60_000);
  submit("large", {
    prompt: 9_000,
    output: 1,
    digests: createDigests("new", 140),
  });
  timer.advance(60_000);
  t.true(engine.exportBlocks(digests).length < 60);
  const kinds = engine.cacheEvents(0).map(({ kind }) => kind);
  t.true(kinds.includes("evicted"));
});

test("prefill of a long prompt slows concurrent responses", (t) => {
  const undisturbedFixture = createEngineFixture();
  const undisturbed = undisturbedFixture.submit("short", {
    prompt: 10,
    output: 100,
  });
  undisturbedFixture.timer.advance(60_000);
  const disturbedFixture = createEngineFixture();
  const disturbed = disturbedFixture.submit("short", {
    prompt: 10,
    output: 100,
  });
  disturbedFixture.submit("long", { prompt: 4_000, output: 10 });
  disturbedFixture.timer.advance(60_000);
  t.true(disturbed.finishedAt > 3 * undisturbed.finishedAt);
  t.is(disturbed.tokens, 100);
});

test("cancelling frees the slot and counts computed prompt tokens as wasted", (t) => {
  const { timer, engine, submit } = createEngineFixture();
  const cancelled = submit("a", { prompt: 1_000, output: 10 });
  timer.advance(555);
  t.is(engine.cancel("a"), 500);
  t.is(engine.cancel("a"), undefined);
  const next = submit("b", { prompt: 100, output: 1 });
  timer.advance(60_000);
  t.is(cancelled.tokens, 0);
  t.is(next.finishedAt, 660 + 110);
  t.is(engine.counters.wastedPrefillTokens, 500);
});

test("a crash drops all requests and the cache", (t) => {
  const { timer, engine, submit } = createEngineFixture();
  const digests = createDigests("firm", 2);
  submit("done", { prompt: 130, output: 1, digests });
  timer.advance(1_000);
  const lost = [1, 2, 3, 4, 5].map((index) =>
    submit(`r${index}`, { prompt: 130, output: 1_000 })
  );
  timer.advance(5_000);
  engine.crash();
  t.true(
    lost.every(({ lostPrefillTokens }) => lostPrefillTokens !== undefined),
  );
  t.is(engine.loadReport(), undefined);
  t.deepEqual(engine.exportBlocks(digests), []);
  t.true(Number.isNaN(submit("down", { prompt: 1, output: 1 }).finishedAt));
  engine.restart();
  const after = submit("after", { prompt: 130, output: 1, digests });
  timer.advance(1_000);
  t.is(after.cachedTokens, 0);
  t.is(engine.counters.lost, 5);
});

test("pausing suspends execution and slowing down lengthens steps", (t) => {
  const { timer, engine, submit } = createEngineFixture();
  const observed = submit("a", { prompt: 100, output: 11 });
  timer.advance(110);
  engine.pause();
  timer.advance(1_000);
  t.is(observed.tokens, 1);
  engine.slowDown(10);
  engine.resume();
  timer.advance(10_000);
  t.is(observed.finishedAt, 1_110 + 10 * 110);
});

test("load reports and cache events are delayed, and some events are lost", (t) => {
  const { timer, engine, submit } = createEngineFixture({
    reportLagMs: 500,
    cacheEventLagMs: 2_000,
    cacheEventLossRate: 0.5,
  });
  submit("a", { prompt: 100, output: 1_000 });
  timer.advance(499);
  t.is(engine.loadReport()?.running, 0);
  timer.advance(1);
  t.like(engine.loadReport(), { takenAt: 0, running: 1 });
  for (let index = 0; index < 20; index++) {
    submit(`c${index}`, {
      prompt: 70,
      output: 1,
      digests: createDigests(`salt-${index}`, 1),
    });
    timer.advance(200);
  }
  t.true(engine.cacheEvents(0).length < 10);
  timer.advance(2_000);
  const sequences = engine.cacheEvents(0).map(({ sequence }) => sequence);
  t.true(sequences.length > 0 && sequences.length < 20);
  t.true(sequences.at(-1)! > sequences.length);
});

test("combining steps does not change when requests finish", (t) => {
  const ends = [1, Infinity].map((maximumStepsPerEvent) => {
    const { timer, engine, submit } = createEngineFixture({
      maximumStepsPerEvent,
    });
    const random = new SeededRandom(7);
    const observed = [];
    for (let index = 0; index < 200; index++) {
      const prompt = 1 + random.int(600);
      observed.push(
        submit(`r${index}`, { prompt, output: 1 + random.int(60) }),
      );
      timer.advance(random.exponential(400));
      if (random.int(10) === 0) engine.cancel(`r${index}`);
    }
    timer.advance(600_000);
    const times = observed.map(({ finishedAt }) => finishedAt.toFixed(3));
    return { times, counters: engine.counters, profile: PROFILE };
  });
  t.deepEqual(ends[0], ends[1]);
});
