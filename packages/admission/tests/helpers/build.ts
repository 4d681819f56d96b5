import {
  asId,
  asTier,
  type FailureDomain,
  type Milliseconds,
  type RequestId,
  SeededRandom,
  type ServiceId,
  type UpstreamId,
} from "@wasabivane/common";
import {
  CoordinatorStartLimit,
  type PendingRequest,
  type PlacementDecision,
  type PlacementRequest,
  type PromptPart,
  RequestScheduler,
  type RouteId,
  type Upstream,
  UpstreamDirectory,
  UpstreamStats,
} from "@wasabivane/admission";

export const PLANS = asId<ServiceId>("plans");
export const WEST = asId<FailureDomain>("west");

/** An upstream `u<index>` of the tests' service. */
export function buildUpstream(
  index: number,
  changes: Partial<Upstream> = {},
): Upstream {
  return {
    upstream: asId<UpstreamId>(`u${index}`),
    name: `u${index}`,
    bornAt: 0,
    service: PLANS,
    address: `127.0.0.1:${9_000 + index}`,
    failureDomain: WEST,
    slots: 2,
    isLeaving: false,
    coldFor: 0,
    ...changes,
  };
}

/** A candidate that records its verdict. */
export function buildCandidate(
  name: string,
  {
    tier = 1,
    since = 0,
    onTimeUntil = 500,
    usefulUntil = 2_000,
    excluded = [],
    promptTokens = 0,
    parts = [],
    isContinuation = false,
    hold = 300,
    deadline = 60_000,
    responseDuration: duration = 0,
    pauseTarget = 0,
  }: {
    tier?: number;
    since?: number;
    onTimeUntil?: number;
    usefulUntil?: number;
    excluded?: readonly string[];
    promptTokens?: number;
    parts?: readonly PromptPart[];
    isContinuation?: boolean;
    hold?: Milliseconds;
    deadline?: Milliseconds;
    responseDuration?: Milliseconds;
    pauseTarget?: Milliseconds;
  } = {},
): PendingRequest & { verdict: PlacementDecision | undefined } {
  const candidate = {
    request: asId<RequestId>(name),
    service: PLANS,
    failureDomain: WEST,
    tier: asTier(tier),
    since,
    promptTokens,
    parts,
    dueAt: onTimeUntil,
    target: onTimeUntil - since,
    deadline,
    responseDuration: duration,
    pauseTarget,
    onTimeUntil,
    usefulUntil,
    isContinuation,
    hold,
    excluded: new Set(excluded.map((id) => asId<UpstreamId>(id))),
    verdict: undefined as PlacementDecision | undefined,
    decide: (verdict: PlacementDecision): void => {
      candidate.verdict = verdict;
    },
  };
  return candidate;
}

/** A scheduler before some upstreams, and the work that they do. */
export interface SchedulerBench {
  readonly scheduler: RequestScheduler;
  readonly knowledge: UpstreamStats;
  readonly directory: UpstreamDirectory;
  /** A request begins at an upstream. */
  readonly begin: (upstream: UpstreamId, promptTokens?: number) => void;
  /** One ends there, and the line is looked at. */
  readonly end: (upstream: UpstreamId, now: Milliseconds) => void;
}

/** Builds a {@link SchedulerBench}. */
export function buildScheduler(
  upstreams: readonly Upstream[],
  { seed = 1 }: { seed?: number } = {},
): SchedulerBench {
  const directory = new UpstreamDirectory();
  for (const upstream of upstreams) directory.set(upstream);
  const knowledge = new UpstreamStats();
  const scheduler = new RequestScheduler({
    upstreams: directory,
    stats: knowledge,
    random: new SeededRandom(seed),
    starts: new CoordinatorStartLimit({
      coldStartsOf: () => undefined,
      warmth: knowledge.warmup,
      isCutOff: () => false,
    }),
  });
  return {
    scheduler,
    knowledge,
    directory,
    begin: (upstream, promptTokens = 0) =>
      scheduler.load.begin(upstream, promptTokens),
    end: (upstream, now) => {
      scheduler.load.end(upstream);
      scheduler.review(now);
    },
  };
}

/** A request that seeks a place. */
export function buildWish(
  name: string,
  changes: Partial<PlacementRequest> = {},
): PlacementRequest {
  return {
    request: asId<RequestId>(name),
    service: PLANS,
    failureDomain: WEST,
    route: asId<RouteId>("r"),
    tier: asTier(1),
    arrivedAt: 0,
    target: 500,
    deadline: 60_000,
    firstByteTimeout: 2_000,
    promptTokens: 0,
    expectedTokens: 0,
    pauseTarget: 0,
    parts: [],
    excluded: new Set(),
    isContinuation: false,
    ...changes,
  };
}
