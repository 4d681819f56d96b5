import {
  asId,
  asTier,
  type FailureDomain,
  type Milliseconds,
  type Random,
  type RequestId,
  SeededRandom,
  VirtualTimer,
} from "@wasabivane/common";
import type { PromptPart, RouteId, Upstream } from "@wasabivane/admission";
import { buildUpstream, PLANS, WEST } from "./build.ts";
import { VirtualFleet, type VirtualHost } from "./virtualFleet.ts";

/** Requests of one tier. */
export interface ReplayedTier {
  readonly tier: number;
  /** Arrivals a second over all hosts, by time. */
  readonly rateAt: (at: Milliseconds) => number;
  /** Time at an engine that runs at speed 1, the same for all or drawn. */
  readonly work: Milliseconds | ((random: Random) => Milliseconds);
  /** Told of each request's work, and whether it was served at all. */
  readonly noteEnding?: (work: Milliseconds, isServed: boolean) => void;
  readonly target: Milliseconds;
  readonly patience: Milliseconds;
  /** Draws the length of a prompt; without it there is nothing to read. */
  readonly promptTokens?: (random: Random) => number;
  /** Draws the shared parts that a prompt begins with; engines keep what they read. */
  readonly sharedParts?: (random: Random) => readonly PromptPart[];
}

/** A load before a fleet of hosts and engines. */
export interface Replay {
  readonly hosts: number;
  readonly engines: number;
  readonly slots: number;
  readonly speeds: readonly number[];
  readonly tiers: readonly ReplayedTier[];
  readonly duration: Milliseconds;
  readonly seed: number;
  /** Whether one host keeps the places for all; otherwise each decides alone. */
  readonly areKeeping: boolean;
  /** Failure domains of hosts and engines, in turn; all are in one without it. */
  readonly failureDomains?: readonly FailureDomain[];
  /** Share of datagrams that get lost. */
  readonly loss?: number;
  /** One way between two hosts. */
  readonly delay?: Milliseconds;
  /** Draws the failure domain's number to whose hosts a request comes; any host without it. */
  readonly hostOf?: (random: Random) => number;
  /** Told of the fleet before anything happens. */
  readonly onStart?: (fleet: VirtualFleet, timer: VirtualTimer) => void;
  /** Time that an engine of speed 1 reads a prompt token; prompts are read in turn. */
  readonly tokenTime?: Milliseconds;
  /** Whether engines say in their answers how many requests they have. */
  readonly areReporting?: boolean;
  /** Between the seeds of two hosts; near seeds begin with like numbers. */
  readonly seedStep?: number;
  /** Starts in one second that a cold engine bears. */
  readonly coldStarts?: number;
  /** Told of each request that is sent. */
  readonly onSend?: (upstream: Upstream, at: Milliseconds) => void;
  /** Whether hosts learn when first events come; otherwise they expect a constant. */
  readonly areLearning?: boolean;
}

/** What callers of one tier saw. */
export interface TierResult {
  asked: number;
  onTime: number;
  late: number;
  refused: number;
  /** Tokens of shared parts of the prompts that were placed, */
  sharedTokens: number;
  /** and of those that some engine had read, but not the one that got them. */
  readAgain: number;
}

interface Engine {
  readonly upstream: Upstream;
  readonly speed: number;
  running: number;
  readonly held: Set<string>;
  /** When all prompts that were sent are read. */
  readUntil: Milliseconds;
  readonly waiting: (() => void)[];
}

/** Plays a load in virtual time: engines admit in order of arrival and know no tiers. */
export function replayLoad(replay: Replay): Map<number, TierResult> {
  const timer = new VirtualTimer();
  const random = new SeededRandom(replay.seed);
  const engines = createEngines(replay);
  const fleet = new VirtualFleet({
    timer,
    hosts: replay.hosts,
    upstreams: engines.map(({ upstream }) => upstream),
    failureDomains: replay.failureDomains ?? [WEST],
    seed: replay.seed,
    loss: replay.loss ?? 0,
    ...replay.delay !== undefined && { delay: replay.delay },
    ...replay.seedStep !== undefined && { seedStep: replay.seedStep },
    ...replay.coldStarts !== undefined && { coldStarts: replay.coldStarts },
  });
  if (!replay.areKeeping) fleet.candidates = [];
  replay.onStart?.(fleet, timer);
  const results = new Map<number, TierResult>();
  for (const { tier } of replay.tiers) {
    results.set(tier, {
      asked: 0,
      onTime: 0,
      late: 0,
      refused: 0,
      sharedTokens: 0,
      readAgain: 0,
    });
  }
  for (const tier of replay.tiers) {
    scheduleArrivals(tier, { replay, timer, random, fleet, engines, results });
  }
  timer.runUntil(replay.duration + 20_000);
  return results;
}

function createEngines(
  { engines, slots, speeds, failureDomains = [WEST] }: Replay,
): Engine[] {
  return Array.from({ length: engines }, (_, index) => ({
    upstream: buildUpstream(index, {
      slots,
      failureDomain: failureDomains[index % failureDomains.length]!,
    }),
    speed: speeds[index % speeds.length]!,
    running: 0,
    held: new Set(),
    readUntil: 0,
    waiting: [],
  }));
}

function scheduleArrivals(
  tier: ReplayedTier,
  context: {
    replay: Replay;
    timer: VirtualTimer;
    random: SeededRandom;
    fleet: VirtualFleet;
    engines: readonly Engine[];
    results: Map<number, TierResult>;
  },
): void {
  const { replay, timer, random, fleet } = context;
  let count = 0;
  const next = (): void => {
    const now = timer.now();
    if (now >= replay.duration) return;
    const name = `${tier.tier}-${count++}`;
    const domain = replay.failureDomains?.[replay.hostOf?.(random) ?? -1];
    const host = random.pick(
      fleet.hosts.filter(({ isDead, failureDomain }) =>
        !isDead && (domain === undefined || failureDomain === domain)
      ),
    );
    arrive(name, tier, { ...context, host });
    timer.after(random.exponential(1_000 / tier.rateAt(now)), next);
  };
  timer.after(random.exponential(1_000 / tier.rateAt(0)), next);
}

function arrive(
  name: string,
  {
    tier,
    work: drawWork,
    noteEnding,
    target,
    patience,
    promptTokens: drawTokens,
    sharedParts: drawParts,
  }: ReplayedTier,
  { replay, random, timer, host, engines, results }: {
    replay: Replay;
    random: SeededRandom;
    timer: VirtualTimer;
    host: VirtualHost;
    engines: readonly Engine[];
    results: Map<number, TierResult>;
  },
): void {
  const since = timer.now();
  const result = results.get(tier)!;
  const work = typeof drawWork === "number" ? drawWork : drawWork(random);
  const ownTokens = drawTokens?.(random) ?? 0;
  const sharedParts = drawParts?.(random) ?? [];
  const promptTokens = ownTokens + tokensOf(sharedParts);
  const { seeker, knowledge } = host;
  result.asked++;
  seeker.submit(
    {
      request: asId<RequestId>(name),
      service: PLANS,
      failureDomain: host.failureDomain,
      route: asId<RouteId>(`${tier}`),
      tier: asTier(tier),
      arrivedAt: since,
      target,
      deadline: since + target + 60_000,
      // A start is of use for three quarters of the patience that a caller has.
      firstByteTimeout: patience / 0.75,
      promptTokens,
      expectedTokens: Math.round(work),
      pauseTarget: 0,
      parts: sharedParts.length === 0
        ? []
        : [...sharedParts, { part: name, tokens: ownTokens }],
      excluded: new Set(),
      isContinuation: false,
    },
    (verdict) => {
      if (verdict.kind === "refuse") {
        result.refused++;
        noteEnding?.(work, false);
        return;
      }
      const { upstream, pendingPrefillTokens: unreadTokens } = verdict;
      const engine = engines.find((item) => item.upstream === upstream)!;
      seeker.begin(upstream.upstream, promptTokens);
      const sentAt = timer.now();
      replay.onSend?.(upstream, sentAt);
      let latency = 0;
      const unheld = sharedParts.filter(({ part }) => !engine.held.has(part));
      const again = unheld.filter(({ part }) =>
        engines.some(({ held }) => held.has(part))
      );
      result.sharedTokens += tokensOf(sharedParts);
      result.readAgain += tokensOf(again);
      for (const { part } of unheld) engine.held.add(part);
      run(engine, {
        timer,
        work,
        reading: (ownTokens + tokensOf(unheld)) * (replay.tokenTime ?? 0),
        started: () => {
          const now = timer.now();
          latency = now - sentAt;
          if (replay.areReporting) {
            const requests = engine.running + engine.waiting.length;
            seeker.recordUpstreamLoad(upstream, requests, now);
          }
          seeker.endPrefill(upstream, promptTokens, now);
          if (now - since <= target) result.onTime++;
          else result.late++;
        },
        ended: () => {
          const now = timer.now();
          noteEnding?.(work, true);
          const observation = {
            upstream: upstream.upstream,
            service: upstream.service,
            outcome: "whole" as const,
            residence: now - sentAt,
            times: {
              route: asId<RouteId>(`${tier}`),
              expectedTokens: Math.round(work),
              promptTokens: promptTokens + unreadTokens,
              latency: replay.areLearning ? latency : 0,
              events: 0,
              latePauses: 0,
              ownTokens: promptTokens,
            },
          };
          knowledge.record(observation, now);
          seeker.end(upstream, observation, now);
        },
      });
    },
    since,
  );
}

function tokensOf(parts: readonly PromptPart[]): number {
  return parts.reduce((sum, { tokens }) => sum + tokens, 0);
}

function run(
  engine: Engine,
  { timer, work, reading, started, ended }: {
    timer: VirtualTimer;
    work: Milliseconds;
    reading: Milliseconds;
    started: () => void;
    ended: () => void;
  },
): void {
  const begin = (): void => {
    engine.running++;
    const readFrom = Math.max(timer.now(), engine.readUntil);
    engine.readUntil = readFrom + reading / engine.speed;
    timer.after(engine.readUntil - timer.now(), () => {
      started();
      timer.after(work / engine.speed, () => {
        engine.running--;
        engine.waiting.shift()?.();
        ended();
      });
    });
  };
  if (engine.running < engine.upstream.slots) begin();
  else engine.waiting.push(begin);
}
