import {
  asId,
  asTier,
  type ClientAccountId,
  type FailureDomain,
  type Milliseconds,
  type Random,
  type RequestId,
  SeededRandom,
  type UpstreamId,
  VirtualTimer,
} from "@wasabivane/common";
import type { PromptPart, RouteId, Upstream } from "@wasabivane/admission";
import { buildUpstream, PLANS, WEST } from "./build.ts";
import { VirtualFleet, type VirtualHost } from "./virtualFleet.ts";

const CONNECT_TIMEOUT_MS: Milliseconds = 250;
/** Upstreams at which a request is tried before it is refused. */
const MAXIMUM_TRIES = 4;

/** The requests of one tier, or of one account in it. */
export interface ReplayedTier {
  readonly tier: number;
  /** Account of the requests; none if absent. */
  readonly account?: string;
  /** Whether a host gets such requests; any host if absent. */
  readonly usesHost?: (host: VirtualHost) => boolean;
  /** Arrivals per second over all hosts at a given time. */
  readonly rateAt: (at: Milliseconds) => number;
  /** When arrivals begin; at once if absent. */
  readonly from?: Milliseconds;
  /** Time at an upstream of speed 1; constant or drawn. */
  readonly work: Milliseconds | ((random: Random) => Milliseconds);
  /** Called at the end of each request, with the host that had it. */
  readonly onEnd?: (
    work: Milliseconds,
    isServed: boolean,
    host: VirtualHost,
  ) => void;
  readonly target: Milliseconds;
  readonly usefulWithin: Milliseconds;
  /** Draws the length of a prompt; 0 if absent. */
  readonly promptTokens?: (random: Random) => number;
  /**
   * Draws the shared parts that a prompt begins with, which upstreams cache.
   */
  readonly sharedParts?: (random: Random) => readonly PromptPart[];
}

/** A simulated load on a fleet of hosts and upstreams. */
export interface Replay {
  readonly hosts: number;
  readonly upstreams: number;
  readonly slots: number;
  readonly speeds: readonly number[];
  readonly tiers: readonly ReplayedTier[];
  readonly duration: Milliseconds;
  readonly seed: number;
  /**
   * Whether cells have a coordinator; otherwise each host schedules locally.
   */
  readonly isCoordinated: boolean;
  /**
   * Failure domains, assigned to hosts and upstreams in turn; a single one if
   * absent.
   */
  readonly failureDomains?: readonly FailureDomain[];
  /** Share of datagrams that are lost. */
  readonly loss?: number;
  /** One-way delay between two hosts. */
  readonly delay?: Milliseconds;
  /**
   * Draws the index of the failure domain whose hosts get a request; any host
   * if absent.
   */
  readonly hostOf?: (random: Random) => number;
  /** Called before the replay starts. */
  readonly onStart?: (fleet: VirtualFleet, timer: VirtualTimer) => void;
  /**
   * Prefill time per prompt token at an upstream of speed 1; prompts are
   * processed one after another.
   */
  readonly prefillTimePerToken?: Milliseconds;
  /** Whether upstreams report their number of requests. */
  readonly isReportingLoad?: boolean;
  /**
   * Returns the requests per second that an upstream names in a response;
   * `undefined` for none.
   */
  readonly namedLimitOf?: (
    upstream: Upstream,
    at: Milliseconds,
  ) => number | undefined;
  /**
   * Difference between the seeds of two hosts; close seeds start with similar
   * numbers.
   */
  readonly seedStep?: number;
  /** Starts per second that an upstream can take while warming up. */
  readonly coldStarts?: number;
  /** Called for each request that is sent. */
  readonly onSend?: (
    upstream: Upstream,
    at: Milliseconds,
    host: VirtualHost,
  ) => void;
  /**
   * Returns for how long an upstream that turns requests away wants none from
   * the host; `undefined` if it takes them.
   */
  readonly backoffOf?: (
    upstream: Upstream,
    at: Milliseconds,
  ) => Milliseconds | undefined;
  /**
   * Upstreams that reject what they have no room for and name the rejections
   * per second that they tolerate; they queue any number if absent.
   */
  readonly brittle?: {
    readonly rejectionsPerSecond: number;
    /** Requests that wait at an upstream at most. */
    readonly maximumQueue: number;
    readonly from: Milliseconds;
    readonly until: Milliseconds;
    readonly onReject: (upstream: Upstream, at: Milliseconds) => void;
  };
  /** Whether a host can connect to an upstream; always if absent. */
  readonly canConnect?: (
    host: VirtualHost,
    upstream: Upstream,
    at: Milliseconds,
  ) => boolean;
  /**
   * Whether hosts learn the time to the first event; otherwise they assume a
   * constant.
   */
  readonly isLearningLatency?: boolean;
  /**
   * Whether responses are plain: due when complete, with the report in front of
   * the whole response.
   */
  readonly isPlain?: boolean;
  /** Factor on the time of a request that starts at the given time. */
  readonly slowdownOf?: (upstream: Upstream, at: Milliseconds) => number;
  /** Returns the slowdown that an upstream reports; `undefined` for none. */
  readonly reportedSlowdownOf?: (
    upstream: Upstream,
    at: Milliseconds,
  ) => number | undefined;
}

/** Results of one tier. */
export interface TierResult {
  submitted: number;
  onTime: number;
  late: number;
  refused: number;
  /** Tokens of shared prompt parts in all placed requests. */
  sharedTokens: number;
  /**
   * Shared tokens that were processed although another upstream had cached
   * them.
   */
  recomputedTokens: number;
}

interface SimulatedUpstream {
  readonly upstream: Upstream;
  readonly speed: number;
  running: number;
  readonly cachedParts: Set<string>;
  /** When all prompts sent to it are processed. */
  prefillUntil: Milliseconds;
  readonly waiting: (() => void)[];
}

/**
 * Simulates a load in virtual time, with upstreams that start requests in order
 * of arrival.
 */
export function replayLoad(replay: Replay): Map<number, TierResult> {
  const timer = new VirtualTimer();
  const random = new SeededRandom(replay.seed);
  const simulatedUpstreams = createSimulatedUpstreams(replay);
  const fleet = new VirtualFleet({
    timer,
    hosts: replay.hosts,
    upstreams: simulatedUpstreams.map(({ upstream }) => upstream),
    failureDomains: replay.failureDomains ?? [WEST],
    seed: replay.seed,
    loss: replay.loss ?? 0,
    ...replay.delay !== undefined && { delay: replay.delay },
    ...replay.seedStep !== undefined && { seedStep: replay.seedStep },
    ...replay.coldStarts !== undefined && { coldStarts: replay.coldStarts },
  });
  if (!replay.isCoordinated) fleet.candidates = [];
  replay.onStart?.(fleet, timer);
  const results = new Map<number, TierResult>();
  for (const { tier } of replay.tiers) {
    results.set(tier, {
      submitted: 0,
      onTime: 0,
      late: 0,
      refused: 0,
      sharedTokens: 0,
      recomputedTokens: 0,
    });
  }
  for (const tier of replay.tiers) {
    scheduleArrivals(tier, {
      replay,
      timer,
      random,
      fleet,
      simulatedUpstreams,
      results,
    });
  }
  timer.runUntil(replay.duration + 20_000);
  return results;
}

function createSimulatedUpstreams(
  { upstreams, slots, speeds, failureDomains = [WEST] }: Replay,
): SimulatedUpstream[] {
  return Array.from({ length: upstreams }, (_, index) => ({
    upstream: buildUpstream(index, {
      slots,
      failureDomain: failureDomains[index % failureDomains.length]!,
    }),
    speed: speeds[index % speeds.length]!,
    running: 0,
    cachedParts: new Set(),
    prefillUntil: 0,
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
    simulatedUpstreams: readonly SimulatedUpstream[];
    results: Map<number, TierResult>;
  },
): void {
  const { replay, timer, random, fleet } = context;
  let count = 0;
  const next = (): void => {
    const now = timer.now();
    if (now >= replay.duration) return;
    const name = `${tier.account ?? ""}${tier.tier}-${count++}`;
    const domain = replay.failureDomains?.[replay.hostOf?.(random) ?? -1];
    const host = random.pick(
      fleet.hosts.filter((host) =>
        !host.isDead && tier.usesHost?.(host) !== false &&
        (domain === undefined || host.failureDomain === domain)
      ),
    );
    arrive(name, tier, { ...context, host });
    timer.after(random.exponential(1_000 / tier.rateAt(now)), next);
  };
  const { from = 0 } = tier;
  timer.after(from + random.exponential(1_000 / tier.rateAt(from)), next);
}

function arrive(
  name: string,
  {
    tier,
    account,
    work: drawWork,
    onEnd,
    target,
    usefulWithin,
    promptTokens: drawTokens,
    sharedParts: drawParts,
  }: ReplayedTier,
  { replay, random, timer, host, simulatedUpstreams, results }: {
    replay: Replay;
    random: SeededRandom;
    timer: VirtualTimer;
    host: VirtualHost;
    simulatedUpstreams: readonly SimulatedUpstream[];
    results: Map<number, TierResult>;
  },
): void {
  const since = timer.now();
  const result = results.get(tier)!;
  const work = typeof drawWork === "number" ? drawWork : drawWork(random);
  const ownTokens = drawTokens?.(random) ?? 0;
  const sharedParts = drawParts?.(random) ?? [];
  const promptTokens = ownTokens + tokensOf(sharedParts);
  const { client, stats } = host;
  result.submitted++;
  const submit = (excluded: ReadonlySet<UpstreamId>): void => {
    if (excluded.size >= MAXIMUM_TRIES) {
      result.refused++;
      return onEnd?.(work, false, host);
    }
    client.submit(
      {
        request: asId<RequestId>(name),
        service: PLANS,
        failureDomain: host.failureDomain,
        route: asId<RouteId>(`${tier}`),
        tier: asTier(tier),
        arrivedAt: since,
        target,
        deadline: since + target + 60_000,
        // A start is useful within three quarters of the first-byte timeout.
        firstByteTimeout: usefulWithin / 0.75,
        promptTokens,
        expectedTokens: Math.round(work),
        pauseTarget: 0,
        parts: sharedParts.length === 0
          ? []
          : [...sharedParts, { part: name, tokens: ownTokens }],
        excluded,
        isContinuation: false,
        ...account !== undefined &&
          { account: asId<ClientAccountId>(account) },
      },
      (decision) => {
        if (decision.kind === "refuse") {
          result.refused++;
          onEnd?.(work, false, host);
          return;
        }
        const { upstream, pendingPrefillTokens } = decision;
        const simulated = simulatedUpstreams.find((item) =>
          item.upstream === upstream
        )!;
        client.begin(upstream.upstream, promptTokens);
        const sentAt = timer.now();
        replay.onSend?.(upstream, sentAt, host);
        const retryAfter = replay.backoffOf?.(upstream, sentAt);
        if (retryAfter !== undefined) {
          timer.after(replay.delay ?? 1, () => {
            reject(host, upstream, {
              promptTokens,
              retryAfter,
              now: timer.now(),
            });
            submit(new Set([...excluded, upstream.upstream]));
          });
          return;
        }
        if (replay.canConnect?.(host, upstream, sentAt) === false) {
          timer.after(CONNECT_TIMEOUT_MS, () => {
            failToConnect(host, upstream, { promptTokens, now: timer.now() });
            submit(new Set([...excluded, upstream.upstream]));
          });
          return;
        }
        const brittle = isBrittle(replay, sentAt) ? replay.brittle : undefined;
        const hasRoom = brittle === undefined ||
          simulated.running + simulated.waiting.length <
            upstream.slots + brittle.maximumQueue;
        if (!hasRoom) {
          brittle.onReject(upstream, sentAt);
          timer.after(replay.delay ?? 1, () => {
            const now = timer.now();
            const { rejectionsPerSecond } = brittle;
            client.recordUpstreamReport(upstream, {
              requests: undefined,
              startsPerSecond: undefined,
              rejectionsPerSecond,
            }, now);
            reject(host, upstream, { promptTokens, now });
            submit(new Set([...excluded, upstream.upstream]));
          });
          return;
        }
        let latency = 0;
        const uncached = sharedParts.filter(({ part }) =>
          !simulated.cachedParts.has(part)
        );
        const recomputed = uncached.filter(({ part }) =>
          simulatedUpstreams.some(({ cachedParts }) => cachedParts.has(part))
        );
        result.sharedTokens += tokensOf(sharedParts);
        result.recomputedTokens += tokensOf(recomputed);
        for (const { part } of uncached) simulated.cachedParts.add(part);
        run(simulated, {
          timer,
          work,
          isPlain: replay.isPlain ?? false,
          slowdownAt: (at) => replay.slowdownOf?.(upstream, at) ?? 1,
          prefillTime: (ownTokens + tokensOf(uncached)) *
            (replay.prefillTimePerToken ?? 0),
          onFirstEvent: () => {
            const now = timer.now();
            latency = now - sentAt;
            const requests = replay.isReportingLoad
              ? simulated.running + simulated.waiting.length
              : undefined;
            const startsPerSecond = replay.namedLimitOf?.(upstream, now);
            const slowdown = replay.reportedSlowdownOf?.(upstream, now);
            const report = {
              requests,
              startsPerSecond,
              ...isBrittle(replay, now) && {
                rejectionsPerSecond: replay.brittle!.rejectionsPerSecond,
              },
              ...slowdown !== undefined && { slowdown },
            };
            client.recordUpstreamReport(upstream, report, now);
            client.endPrefill(upstream, promptTokens, now);
            if (now - since <= target) result.onTime++;
            else result.late++;
          },
          onEnd: () => {
            const now = timer.now();
            onEnd?.(work, true, host);
            const observation = {
              upstream: upstream.upstream,
              service: upstream.service,
              outcome: "whole" as const,
              residence: now - sentAt,
              times: {
                route: asId<RouteId>(`${tier}`),
                expectedTokens: Math.round(work),
                promptTokens: promptTokens + pendingPrefillTokens,
                latency: replay.isLearningLatency ? latency : 0,
                events: 0,
                latePauses: 0,
                ownTokens: promptTokens,
              },
            };
            stats.record(observation, now);
            client.end(upstream, observation, now);
          },
        });
      },
      timer.now(),
    );
  };
  submit(new Set());
}

/** Ends an attempt for which no connection could be opened. */
function failToConnect(
  { client, stats }: VirtualHost,
  upstream: Upstream,
  { promptTokens, now }: { promptTokens: number; now: Milliseconds },
): void {
  const observation = {
    upstream: upstream.upstream,
    service: upstream.service,
    outcome: "unreachable" as const,
    residence: CONNECT_TIMEOUT_MS,
  };
  client.endPrefill(upstream, promptTokens, now);
  stats.record(observation, now);
  client.end(upstream, observation, now);
}

/** Ends an attempt that its upstream turned away. */
function reject(
  { client, stats }: VirtualHost,
  { upstream, service, ...rest }: Upstream,
  { promptTokens, retryAfter, now }: {
    promptTokens: number;
    retryAfter?: Milliseconds;
    now: Milliseconds;
  },
): void {
  const rejecting = { upstream, service, ...rest };
  const observation = {
    upstream,
    service,
    outcome: "not-run" as const,
    residence: 0,
  };
  if (retryAfter !== undefined) {
    client.recordBackoff(rejecting, retryAfter, now);
  }
  client.endPrefill(rejecting, promptTokens, now);
  stats.record(observation, now);
  client.end(rejecting, observation, now);
}

function isBrittle({ brittle }: Replay, at: Milliseconds): boolean {
  return brittle !== undefined && at >= brittle.from && at < brittle.until;
}

function tokensOf(parts: readonly PromptPart[]): number {
  return parts.reduce((sum, { tokens }) => sum + tokens, 0);
}

function run(
  simulated: SimulatedUpstream,
  { timer, work, isPlain, slowdownAt, prefillTime, onFirstEvent, onEnd }: {
    timer: VirtualTimer;
    work: Milliseconds;
    isPlain: boolean;
    slowdownAt: (at: Milliseconds) => number;
    prefillTime: Milliseconds;
    onFirstEvent: () => void;
    onEnd: () => void;
  },
): void {
  const begin = (): void => {
    const now = timer.now();
    const speed = simulated.speed / slowdownAt(now);
    simulated.running++;
    const prefillFrom = Math.max(now, simulated.prefillUntil);
    simulated.prefillUntil = prefillFrom + prefillTime / speed;
    const rest = work / speed;
    timer.after(simulated.prefillUntil - now + (isPlain ? rest : 0), () => {
      onFirstEvent();
      timer.after(isPlain ? 0 : rest, () => {
        simulated.running--;
        simulated.waiting.shift()?.();
        onEnd();
      });
    });
  };
  if (simulated.running < simulated.upstream.slots) begin();
  else simulated.waiting.push(begin);
}
