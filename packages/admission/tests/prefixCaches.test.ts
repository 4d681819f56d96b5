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
  buildPendingRequest,
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

/** Builds a prompt from a shared preface and a part of its own. */
function promptOf(last: string, preface = 800): PromptPart[] {
  return [
    { part: "preface", tokens: preface },
    { part: last, tokens: OWN_TOKENS },
  ];
}

/** Returns the name of the upstream where a prompt is placed. */
function selectUpstream(
  scheduler: RequestScheduler,
  parts: readonly PromptPart[],
  now = 0,
): string {
  const promptTokens = parts.reduce((sum, { tokens }) => sum + tokens, 0);
  const [{ part }] = parts.slice(-1) as [PromptPart];
  const pending = buildPendingRequest(part, { parts, promptTokens });
  scheduler.submit(pending, now);
  const { decision } = pending;
  return decision?.kind === "place" ? decision.upstream.upstream : "none";
}

test("a session returns to the upstream that caches it", (t) => {
  // Guards against processing a growing conversation again at another upstream.
  const scheduler = createScheduler(1);
  const first = selectUpstream(scheduler, promptOf("session"));
  for (let count = 0; count < 20; count++) {
    selectUpstream(scheduler, promptOf(`other-${count}`, 0));
    t.is(selectUpstream(scheduler, promptOf("session")), first);
  }
});

test("prompts with a shared prefix use few upstreams while these have free slots", (t) => {
  // Guards against processing a shared prefix at every upstream.
  const scheduler = createScheduler(1);
  const upstreams = new Set<string>();
  for (let count = 0; count < 100; count++) {
    upstreams.add(selectUpstream(scheduler, promptOf(`q${count}`)));
  }
  t.true(upstreams.size <= UPSTREAMS / 4);
});

test("an upstream that caches a prompt is not filled while others are idle", (t) => {
  // Guards against a shared prefix that draws every request to one upstream.
  const { scheduler, begin } = buildScheduler(
    [0, 1, 2].map((index) => buildUpstream(index, { slots: 8 })),
  );
  const counts = new Map<string, number>();
  for (let count = 0; count < 9; count++) {
    const pending = buildPendingRequest(`q${count}`, {
      parts: promptOf(`q${count}`),
      promptTokens: 1_400,
    });
    scheduler.submit(pending, 0);
    if (pending.decision?.kind !== "place") return t.fail();
    const { upstream } = pending.decision.upstream;
    begin(upstream, 1_400);
    counts.set(upstream, (counts.get(upstream) ?? 0) + 1);
  }
  t.true(Math.max(...counts.values()) <= 6);
});

test("prompts processed long ago count as evicted", (t) => {
  const scheduler = createScheduler(2);
  const first = selectUpstream(scheduler, promptOf("session"));
  const later = new Set<string>();
  for (let count = 1; count < 12; count++) {
    later.add(selectUpstream(scheduler, promptOf(`s${count}`), count * 30_000));
  }
  t.true(later.size > 1 || !later.has(first));
});

test("former upstreams are dropped from the index", (t) => {
  // Guards against memory that grows with each upstream that restarts under a
  // new id.
  const caches = new PrefixCacheIndex();
  const parts = [{ part: "document", tokens: 100 }];
  const ids = Array.from(
    { length: 2_000 },
    (_, index) => asId<UpstreamId>(`u${index}`),
  );
  for (const [index, id] of ids.entries()) {
    caches.recordPrompt(id, parts, index);
  }
  t.is(caches.cachedTokens(ids[0]!, parts, 2_000), 0);
  t.is(caches.cachedTokens(ids.at(-1)!, parts, 2_000), 100);
  t.true(caches.upstreamsCaching(parts).size <= 256);
});

/** Trains the model with a prefill rate of 50 tokens per millisecond. */
function trainPrefill(
  { firstEvents }: UpstreamStats,
  upstream: UpstreamId,
): void {
  for (let promptTokens = 0; promptTokens <= 6_000; promptTokens += 300) {
    const duration = 20 + promptTokens / 50;
    firstEvents.observe({ service: PLANS, upstream, promptTokens, duration });
  }
}

test("a request waits briefly for a full upstream that caches its prompt", (t) => {
  // Guards against both processing a cached prompt again at once and waiting
  // for an upstream that has left.
  const upstreams = [0, 1].map((index) => buildUpstream(index, { slots: 1 }));
  const { scheduler, stats, directory, begin } = buildScheduler(upstreams);
  for (const { upstream } of upstreams) trainPrefill(stats, upstream);
  const prompt = (own: string): PromptPart[] => [
    { part: "document", tokens: 5_000 },
    { part: own, tokens: 100 },
  ];
  const submit = (name: string, now: number): PendingRequest & {
    decision: PlacementDecision | undefined;
  } => {
    const pending = buildPendingRequest(name, {
      parts: prompt(name),
      promptTokens: 5_100,
      since: now,
      onTimeUntil: now + 2_000,
      usefulUntil: now + 5_000,
    });
    scheduler.submit(pending, now);
    return pending;
  };
  const first = submit("first", 0).decision;
  if (first?.kind !== "place") return t.fail();
  begin(first.upstream.upstream);
  const second = submit("second", 10);
  t.is(second.decision, undefined);
  scheduler.review(100);
  t.is(second.decision, undefined);
  directory.remove(first.upstream.upstream);
  scheduler.review(110);
  t.is(second.decision?.kind, "place");
});

test("a long request does not use the slot that the bypass budget pays for", (t) => {
  // Guards against a long request of a lower tier that uses the bypass budget
  // of a short one because its prompt is cached.
  const { scheduler, stats, begin, end } = buildScheduler([
    buildUpstream(0, { slots: 1 }),
  ]);
  const { upstream } = buildUpstream(0);
  trainPrefill(stats, upstream);
  const document = { part: "document", tokens: 5_000 };
  const due = { onTimeUntil: 9_000, usefulUntil: 20_000 };
  const long = {
    ...due,
    slotTime: 1_000,
    parts: [document],
    promptTokens: 5_000,
  };
  scheduler.submit(buildPendingRequest("running", long), 0);
  begin(upstream);
  const urgent = buildPendingRequest("urgent", { ...due, slotTime: 1_000 });
  const short = buildPendingRequest("short", {
    ...due,
    tier: 3,
    slotTime: 100,
  });
  const other = buildPendingRequest("other", { ...long, tier: 3 });
  for (const pending of [urgent, short, other]) {
    scheduler.submit(pending, 10);
  }
  end(upstream, 50);
  t.is(short.decision?.kind, "place");
  t.is(other.decision, undefined);
});

test("a cached prompt does not take the slot of an account that received less work", (t) => {
  // Guards against an account whose prompts are cached everywhere and that
  // takes the slots of others with them.
  const placedFirst = (account: string): boolean => {
    const { scheduler, stats, begin, end } = buildScheduler([
      buildUpstream(0, { slots: 2 }),
    ]);
    const { upstream } = buildUpstream(0);
    trainPrefill(stats, upstream);
    const cached = {
      account: "large",
      parts: [{ part: "document", tokens: 5_000 }],
      promptTokens: 5_000,
      usefulUntil: 20_000,
      onTimeUntil: 9_010,
    };
    for (const name of ["first", "second"]) {
      scheduler.submit(buildPendingRequest(name, cached), 0);
      begin(upstream);
    }
    const next = buildPendingRequest("next", {
      account,
      onTimeUntil: 9_000,
      usefulUntil: 20_000,
    });
    const other = buildPendingRequest("other", cached);
    for (const pending of [next, other]) scheduler.submit(pending, 10);
    end(upstream, 50);
    return next.decision?.kind === "place";
  };
  t.true(placedFirst("small"));
  t.false(placedFirst("large"));
});

const PREFACE: PromptPart = { part: "preface", tokens: 400 };
const SUBJECTS = 400;

/** Requests about many subjects, each shared by a few requests. */
const SUBJECT_LOAD: Replay = {
  hosts: 20,
  upstreams: 20,
  slots: 5,
  speeds: [0.8, 1.2],
  duration: 20_000,
  seed: 3,
  isCoordinated: true,
  isLearningLatency: true,
  prefillTimePerToken: 1 / 60,
  tiers: [{
    tier: 1,
    rateAt: () => 110,
    work: 450,
    target: 1_000,
    usefulWithin: 3_000,
    promptTokens: () => 600,
    sharedParts: (random) => [PREFACE, {
      part: `subject ${Math.floor(SUBJECTS * random.float())}`,
      tokens: 4_000,
    }],
  }],
};

/**
 * Returns the share of shared tokens that are processed again, and of requests
 * on time.
 */
function replaySubjects(
  rate: number,
  changes: Partial<Replay> = {},
): { recomputed: number; onTime: number } {
  const [tier] = SUBJECT_LOAD.tiers;
  const replay = { ...SUBJECT_LOAD, ...changes };
  const results = replayLoad({
    ...replay,
    tiers: [{ ...tier!, rateAt: () => rate }],
  });
  const { submitted, onTime, sharedTokens, recomputedTokens } = results.get(1)!;
  return {
    recomputed: recomputedTokens / sharedTokens,
    onTime: onTime / submitted,
  };
}

test("shared subjects are rarely processed again while slots are free", (t) => {
  // Guards against spreading requests with a common document over all
  // upstreams.
  const { recomputed, onTime } = replaySubjects(110);
  t.true(recomputed < 0.1);
  t.true(onTime > 0.98);
});

test("shared subjects are not processed again too often under full load", (t) => {
  // Guards against ignoring cached prompts under full load, when one slot
  // becomes free at a time.
  const { recomputed, onTime } = replaySubjects(260);
  t.true(recomputed < 0.4);
  t.true(onTime > 0.55);
});

test("shared subjects are rarely processed again in a service with many cells", (t) => {
  const domains = ["a", "b", "c"].map((name) => asId<FailureDomain>(name));
  const { recomputed, onTime } = replaySubjects(200, {
    upstreams: 40,
    failureDomains: domains,
  });
  t.true(recomputed < 0.15);
  t.true(onTime > 0.98);
});
