import { asId, type FailureDomain, type UpstreamId } from "@wasabivane/common";
import test from "ava";
import {
  type PendingRequest,
  type PlacementDecision,
  PrefixCacheIndex,
  type PromptPart,
  type RequestScheduler,
  type UpstreamStats,
} from "@wasabivane/admission";
import {
  buildCandidate,
  buildScheduler,
  buildUpstream,
  PLANS,
} from "./helpers/build.ts";
import { type Replay, replayLoad } from "./helpers/loadReplay.ts";

const UPSTREAMS = 13;
const OWN_TOKENS = 600;

function createScheduler(seed: number): RequestScheduler {
  const upstreams = Array.from(
    { length: UPSTREAMS },
    (_, index) => buildUpstream(index, { slots: 8 }),
  );
  return buildScheduler(upstreams, { seed }).scheduler;
}

/** A prompt that begins with a preface of so many tokens and ends with a part of its own. */
function promptOf(last: string, preface = 800): PromptPart[] {
  return [
    { part: "preface", tokens: preface },
    { part: last, tokens: OWN_TOKENS },
  ];
}

/** Name of the upstream that a prompt is sent to. */
function placeOf(
  scheduler: RequestScheduler,
  parts: readonly PromptPart[],
  now = 0,
): string {
  const promptTokens = parts.reduce((sum, { tokens }) => sum + tokens, 0);
  const [{ part }] = parts.slice(-1) as [PromptPart];
  const candidate = buildCandidate(part, { parts, promptTokens });
  scheduler.submit(candidate, now);
  const { verdict } = candidate;
  return verdict?.kind === "place" ? verdict.upstream.upstream : "none";
}

test("a session goes back to the engine that holds it, from any other prompt's place", (t) => {
  // A caller's dialogue grows; sent elsewhere, the engine reads all of it again.
  const scheduler = createScheduler(1);
  const first = placeOf(scheduler, promptOf("session"));
  for (let count = 0; count < 20; count++) {
    placeOf(scheduler, promptOf(`other-${count}`, 0));
    t.is(placeOf(scheduler, promptOf("session")), first);
  }
});

test("prompts that begin alike are read at few engines while these have room", (t) => {
  // Requests of one kind begin alike. Spread over every engine, each reads that
  // beginning once more whenever it has yielded meanwhile.
  const scheduler = createScheduler(1);
  const places = new Set<string>();
  for (let count = 0; count < 100; count++) {
    places.add(placeOf(scheduler, promptOf(`q${count}`)));
  }
  t.true(places.size <= UPSTREAMS / 4);
});

test("an engine that holds a prompt is not filled while others idle", (t) => {
  // A common beginning draws every request to one engine. Its streams would pause and
  // its last places go, for some milliseconds of reading saved.
  const { scheduler, begin } = buildScheduler(
    [0, 1, 2].map((index) => buildUpstream(index, { slots: 8 })),
  );
  const counts = new Map<string, number>();
  for (let count = 0; count < 9; count++) {
    const candidate = buildCandidate(`q${count}`, {
      parts: promptOf(`q${count}`),
      promptTokens: 1_400,
    });
    scheduler.submit(candidate, 0);
    if (candidate.verdict?.kind !== "place") return t.fail();
    const { upstream } = candidate.verdict.upstream;
    begin(upstream, 1_400);
    counts.set(upstream, (counts.get(upstream) ?? 0) + 1);
  }
  t.true(Math.max(...counts.values()) <= 6);
});

test("what was read long ago is taken for gone", (t) => {
  const scheduler = createScheduler(2);
  const first = placeOf(scheduler, promptOf("session"));
  const later = new Set<string>();
  for (let count = 1; count < 12; count++) {
    later.add(placeOf(scheduler, promptOf(`s${count}`), count * 30_000));
  }
  t.true(later.size > 1 || !later.has(first));
});

test("upstreams that have left are forgotten, however many there were", (t) => {
  // Engines restart thousands of times a day, each time under another id. A keeper that
  // remembered what each of them had read would run out of memory within days.
  const memory = new PrefixCacheIndex();
  const parts = [{ part: "document", tokens: 100 }];
  const ids = Array.from(
    { length: 2_000 },
    (_, index) => asId<UpstreamId>(`u${index}`),
  );
  for (const [index, id] of ids.entries()) {
    memory.recordPrompt(id, parts, index);
  }
  t.is(memory.cachedTokens(ids[0]!, parts, 2_000), 0);
  t.is(memory.cachedTokens(ids.at(-1)!, parts, 2_000), 100);
  t.true(memory.upstreamsCaching(parts).size <= 256);
});

/** An upstream was seen to read 50 tokens a millisecond. */
function learnReading(
  { firstEvents }: UpstreamStats,
  upstream: UpstreamId,
): void {
  for (let promptTokens = 0; promptTokens <= 6_000; promptTokens += 300) {
    const duration = 20 + promptTokens / 50;
    firstEvents.observe({ service: PLANS, upstream, promptTokens, duration });
  }
}

test("a request waits a moment for a full engine that holds its prompt, not for a free one", (t) => {
  // Two engines of one place. The second request's document is held by the first engine:
  // while that one is full the request waits as long as reading would take; once it has
  // left the list, or has a place free, there is nothing to wait for.
  const upstreams = [0, 1].map((index) => buildUpstream(index, { slots: 1 }));
  const { scheduler, knowledge, directory, begin } = buildScheduler(upstreams);
  for (const { upstream } of upstreams) learnReading(knowledge, upstream);
  const prompt = (own: string): PromptPart[] => [
    { part: "document", tokens: 5_000 },
    { part: own, tokens: 100 },
  ];
  const submit = (name: string, now: number): PendingRequest & {
    verdict: PlacementDecision | undefined;
  } => {
    const candidate = buildCandidate(name, {
      parts: prompt(name),
      promptTokens: 5_100,
      since: now,
      onTimeUntil: now + 2_000,
      usefulUntil: now + 5_000,
    });
    scheduler.submit(candidate, now);
    return candidate;
  };
  const first = submit("first", 0).verdict;
  if (first?.kind !== "place") return t.fail();
  begin(first.upstream.upstream);
  const second = submit("second", 10);
  t.is(second.verdict, undefined);
  scheduler.review(100);
  t.is(second.verdict, undefined);
  directory.remove(first.upstream.upstream);
  scheduler.review(110);
  t.is(second.verdict?.kind, "place");
});

test("long work does not take the place that the room for short work pays for", (t) => {
  // A long answer of the first tier has earned a little room for short work of the third.
  // Another request of the third tier is as due, its document is held where the place is,
  // but its answer is long: it would pass the first tier on a room that is not its own.
  const { scheduler, knowledge, begin, end } = buildScheduler([
    buildUpstream(0, { slots: 1 }),
  ]);
  const { upstream } = buildUpstream(0);
  learnReading(knowledge, upstream);
  const document = { part: "document", tokens: 5_000 };
  const due = { onTimeUntil: 9_000, usefulUntil: 20_000 };
  const long = { ...due, hold: 1_000, parts: [document], promptTokens: 5_000 };
  scheduler.submit(buildCandidate("running", long), 0);
  begin(upstream);
  const urgent = buildCandidate("urgent", { ...due, hold: 1_000 });
  const short = buildCandidate("short", { ...due, tier: 3, hold: 100 });
  const other = buildCandidate("other", { ...long, tier: 3 });
  for (const candidate of [urgent, short, other]) {
    scheduler.submit(candidate, 10);
  }
  end(upstream, 50);
  t.is(short.verdict?.kind, "place");
  t.is(other.verdict, undefined);
});

const PREFACE: PromptPart = { part: "preface", tokens: 400 };
const SUBJECTS = 400;

/** Requests about many subjects, each of which a few requests have in common. */
const SUBJECT_LOAD: Replay = {
  hosts: 20,
  engines: 20,
  slots: 5,
  speeds: [0.8, 1.2],
  duration: 20_000,
  seed: 3,
  areKeeping: true,
  areLearning: true,
  tokenTime: 1 / 60,
  tiers: [{
    tier: 1,
    rateAt: () => 110,
    work: 450,
    target: 1_000,
    patience: 3_000,
    promptTokens: () => 600,
    sharedParts: (random) => [PREFACE, {
      part: `subject ${Math.floor(SUBJECTS * random.float())}`,
      tokens: 4_000,
    }],
  }],
};

/** Share of the shared tokens that are read again, and of the requests on time. */
function subjectsAt(
  rate: number,
  changes: Partial<Replay> = {},
): { again: number; onTime: number } {
  const [tier] = SUBJECT_LOAD.tiers;
  const replay = { ...SUBJECT_LOAD, ...changes };
  const results = replayLoad({
    ...replay,
    tiers: [{ ...tier!, rateAt: () => rate }],
  });
  const { asked, onTime, sharedTokens, readAgain } = results.get(1)!;
  return { again: readAgain / sharedTokens, onTime: onTime / asked };
}

test("a subject is seldom read again while places are free", (t) => {
  // Callers ask about documents that many of them have in common. Each engine that gets
  // one for the first time reads it, and holds up the streams beside it.
  const { again, onTime } = subjectsAt(110);
  t.true(again < 0.1);
  t.true(onTime > 0.98);
});

test("a subject is seldom enough read again when every place is taken", (t) => {
  // In a lasting burst one place comes free at a time. Whoever is next in line would get
  // it, wherever its document was read, and a quarter of what engines do would be reading
  // what others hold.
  const { again, onTime } = subjectsAt(260);
  t.true(again < 0.4);
  t.true(onTime > 0.55);
});

test("a subject is seldom read again where a service has many cells", (t) => {
  const domains = ["a", "b", "c"].map((name) => asId<FailureDomain>(name));
  const { again, onTime } = subjectsAt(200, {
    engines: 40,
    failureDomains: domains,
  });
  t.true(again < 0.15);
  t.true(onTime > 0.98);
});
