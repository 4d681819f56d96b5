import test from "ava";
import { SeededRandom } from "@wasabivane/common";
import {
  createDigests,
  createEngineFixture,
  PROFILE,
} from "./helpers/engineFixture.ts";

test("requests of one batch share its steps", (t) => {
  const alone = createEngineFixture();
  const single = alone.submit("a", { prompt: 100, output: 50 });
  alone.timer.advance(60_000);
  const shared = createEngineFixture();
  const both = ["a", "b"].map((id) =>
    shared.submit(id, { prompt: 100, output: 50 })
  );
  shared.timer.advance(60_000);
  t.is(single.finishedAt, 110 + 49 * 11);
  t.true(both.every(({ finishedAt }) => finishedAt < 2 * single.finishedAt));
  t.true(both.every(({ tokens }) => tokens === 50));
});

test("a full batch makes the next request wait, in order of arrival", (t) => {
  const { timer, engine, submit: run } = createEngineFixture();
  const seen = [1, 2, 3, 4, 5, 6].map((index) =>
    run(`r${index}`, { prompt: 50, output: 20 })
  );
  timer.advance(60_000);
  t.true(seen[4]!.firstTokenAt > seen[0]!.finishedAt);
  t.true(seen[5]!.firstTokenAt >= seen[4]!.firstTokenAt);
  t.is(engine.counters.finished, 6);
});

test("KV memory bounds admission below the batch size", (t) => {
  const { timer, submit: run } = createEngineFixture();
  const first = run("first", { prompt: 6_000, output: 10 });
  const second = run("second", { prompt: 6_000, output: 10 });
  timer.advance(600_000);
  t.true(second.firstTokenAt >= first.finishedAt + 6_000);
});

test("a cached prefix saves its prefill, and not another salt's", (t) => {
  const { timer, engine, submit: run } = createEngineFixture();
  const request = { prompt: 700, output: 1 };
  run("cold", { ...request, digests: createDigests("firm-a", 10) });
  timer.advance(60_000);
  const start = timer.now();
  const warm = run("warm", {
    ...request,
    digests: createDigests("firm-a", 10),
  });
  timer.advance(60_000);
  const other = run("other", {
    ...request,
    digests: createDigests("firm-b", 10),
  });
  timer.advance(60_000);
  t.is(warm.cachedTokens, 640);
  t.is(warm.finishedAt - start, 10 + 60);
  t.is(other.cachedTokens, 0);
  t.is(engine.counters.prefillTokens, 700 + 60 + 700);
});

test("the cache evicts the least recently used prompt under memory pressure", (t) => {
  const { timer, engine, submit: run } = createEngineFixture();
  const digests = createDigests("old", 60);
  run("old", { prompt: 3_840, output: 1, digests });
  timer.advance(60_000);
  run("large", {
    prompt: 9_000,
    output: 1,
    digests: createDigests("new", 140),
  });
  timer.advance(60_000);
  t.true(engine.exportBlocks(digests).length < 60);
  const kinds = engine.cacheEvents(0).map(({ kind }) => kind);
  t.true(kinds.includes("evicted"));
});

test("a long prompt slows the answers beside it", (t) => {
  const quiet = createEngineFixture();
  const undisturbed = quiet.submit("short", { prompt: 10, output: 100 });
  quiet.timer.advance(60_000);
  const loud = createEngineFixture();
  const disturbed = loud.submit("short", { prompt: 10, output: 100 });
  loud.submit("long", { prompt: 4_000, output: 10 });
  loud.timer.advance(60_000);
  t.true(disturbed.finishedAt > 3 * undisturbed.finishedAt);
  t.is(disturbed.tokens, 100);
});

test("a cancel frees its place and counts the computed prompt as wasted", (t) => {
  const { timer, engine, submit: run } = createEngineFixture();
  const cancelled = run("a", { prompt: 1_000, output: 10 });
  timer.advance(555);
  t.is(engine.cancel("a"), 500);
  t.is(engine.cancel("a"), undefined);
  const next = run("b", { prompt: 100, output: 1 });
  timer.advance(60_000);
  t.is(cancelled.tokens, 0);
  t.is(next.finishedAt, 660 + 110);
  t.is(engine.counters.wastedPrefillTokens, 500);
});

test("a crash loses everything in flight and the cache", (t) => {
  const { timer, engine, submit: run } = createEngineFixture();
  const digests = createDigests("firm", 2);
  run("done", { prompt: 130, output: 1, digests });
  timer.advance(1_000);
  const lost = [1, 2, 3, 4, 5].map((index) =>
    run(`r${index}`, { prompt: 130, output: 1_000 })
  );
  timer.advance(5_000);
  engine.crash();
  t.true(
    lost.every(({ lostPrefillTokens: lostPrefill }) =>
      lostPrefill !== undefined
    ),
  );
  t.is(engine.loadReport(), undefined);
  t.deepEqual(engine.exportBlocks(digests), []);
  t.true(Number.isNaN(run("down", { prompt: 1, output: 1 }).finishedAt));
  engine.restart();
  const after = run("after", { prompt: 130, output: 1, digests });
  timer.advance(1_000);
  t.is(after.cachedTokens, 0);
  t.is(engine.counters.lost, 5);
});

test("a pause stops the work and a slow-down stretches the steps", (t) => {
  const { timer, engine, submit: run } = createEngineFixture();
  const seen = run("a", { prompt: 100, output: 11 });
  timer.advance(110);
  engine.pause();
  timer.advance(1_000);
  t.is(seen.tokens, 1);
  engine.slowDown(10);
  engine.resume();
  timer.advance(10_000);
  t.is(seen.finishedAt, 1_110 + 10 * 110);
});

test("load reports lag, cache events come late and with gaps", (t) => {
  const { timer, engine, submit: run } = createEngineFixture({
    reportLagMs: 500,
    cacheEventLagMs: 2_000,
    cacheEventLossRate: 0.5,
  });
  run("a", { prompt: 100, output: 1_000 });
  timer.advance(499);
  t.is(engine.loadReport()?.running, 0);
  timer.advance(1);
  t.like(engine.loadReport(), { takenAt: 0, running: 1 });
  for (let index = 0; index < 20; index++) {
    run(`c${index}`, {
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

test("joined steps end every request at the same moment as single steps", (t) => {
  const ends = [1, Infinity].map((maximumStepsPerEvent) => {
    const { timer, engine, submit: run } = createEngineFixture({
      maximumStepsPerEvent,
    });
    const random = new SeededRandom(7);
    const seen = [];
    for (let index = 0; index < 200; index++) {
      const prompt = 1 + random.int(600);
      seen.push(run(`r${index}`, { prompt, output: 1 + random.int(60) }));
      timer.advance(random.exponential(400));
      if (random.int(10) === 0) engine.cancel(`r${index}`);
    }
    timer.advance(600_000);
    const times = seen.map(({ finishedAt }) => finishedAt.toFixed(3));
    return { times, counters: engine.counters, speed: PROFILE };
  });
  t.deepEqual(ends[0], ends[1]);
});
