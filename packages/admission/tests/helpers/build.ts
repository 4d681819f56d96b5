import {
  type Address,
  asId,
  asTier,
  type ClientAccountId,
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

/** Builds an upstream `u<index>` of the service used in tests. */
export function buildUpstream(
  index: number,
  changes: Partial<Upstream> = {},
): Upstream {
  return {
    upstream: asId<UpstreamId>(`u${index}`),
    name: `u${index}`,
    bornAt: 0,
    service: PLANS,
    address: asId<Address>(`127.0.0.1:${9_000 + index}`),
    failureDomain: WEST,
    slots: 2,
    isLeaving: false,
    coldFor: 0,
    softwareVersion: asId("1"),
    ...changes,
  };
}

/** Builds a pending request that records its decision. */
export function buildPendingRequest(
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
    slotTime = 300,
    deadline = 60_000,
    responseDuration: duration = 0,
    pauseTarget = 0,
    account,
  }: {
    tier?: number;
    account?: string;
    since?: number;
    onTimeUntil?: number;
    usefulUntil?: number;
    excluded?: readonly string[];
    promptTokens?: number;
    parts?: readonly PromptPart[];
    isContinuation?: boolean;
    slotTime?: Milliseconds;
    deadline?: Milliseconds;
    responseDuration?: Milliseconds;
    pauseTarget?: Milliseconds;
  } = {},
): PendingRequest & { decision: PlacementDecision | undefined } {
  const pending = {
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
    slotTime,
    excluded: new Set(excluded.map((id) => asId<UpstreamId>(id))),
    ...account !== undefined && { account: asId<ClientAccountId>(account) },
    decision: undefined as PlacementDecision | undefined,
    decide: (decision: PlacementDecision): void => {
      pending.decision = decision;
    },
  };
  return pending;
}

/** A scheduler for some upstreams, with methods to simulate load. */
export interface SchedulerHarness {
  readonly scheduler: RequestScheduler;
  readonly stats: UpstreamStats;
  readonly directory: UpstreamDirectory;
  /** Starts a request at an upstream. */
  readonly begin: (upstream: UpstreamId, promptTokens?: number) => void;
  /** Ends a request at an upstream and re-evaluates the queue. */
  readonly end: (upstream: UpstreamId, now: Milliseconds) => void;
}

/** Builds a {@link SchedulerHarness}. */
export function buildScheduler(
  upstreams: readonly Upstream[],
  { seed = 1 }: { seed?: number } = {},
): SchedulerHarness {
  const directory = new UpstreamDirectory();
  for (const upstream of upstreams) directory.set(upstream);
  const stats = new UpstreamStats();
  const scheduler = new RequestScheduler({
    upstreams: directory,
    stats,
    health: stats.health,
    random: new SeededRandom(seed),
    starts: new CoordinatorStartLimit({
      coldStartsOf: () => undefined,
      stats,
      isPartitioned: () => false,
      timeInCharge: () => Infinity,
      hostCount: () => 1,
    }),
  });
  return {
    scheduler,
    stats,
    directory,
    begin: (upstream, promptTokens = 0) =>
      scheduler.load.begin(upstream, promptTokens),
    end: (upstream, now) => {
      scheduler.load.end(upstream);
      scheduler.review(now);
    },
  };
}

/** Builds a placement request. */
export function buildPlacementRequest(
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
