import { performance } from "node:perf_hooks";
import {
  asId,
  asTier,
  type ClientAccountId,
  type Digest,
  type FailureDomain,
  type HostId,
  type RequestId,
  SeededRandom,
  type UpstreamId,
} from "@wasabivane/common";
import {
  type Decision,
  type PlacementRequest,
  type PoolPolicy,
  PoolScheduler,
} from "@wasabivane/decisions";

/** Processor cost of scheduling in a pool of a given size. */
export interface DecisionCost {
  readonly upstreams: number;
  /** Mean time of a submission, which may also place queued requests. */
  readonly microsecondsPerDecision: number;
  /** Mean time of a request: placement, first token, end and ticks. */
  readonly microsecondsPerRequest: number;
}

const POOL_SIZES = [16, 256, 4_096, 12_000];
const WARM_UP_DECISIONS = 20_000;
const MEASURED_DECISIONS = 40_000;
/** Requests in flight at each upstream, about half of its slots. */
const IN_FLIGHT_PER_UPSTREAM = 4;
const PREFIX_BLOCKS = 16;
const ACCOUNTS = 5;
const TIERS = 4;
const FIRST_TOKEN_MS = 200;
const RESPONSE_MS = 2_000;
const TICK_MS = 100;

/** Measures the scheduling cost in pools of several sizes. */
export function benchDecisions(): DecisionCost[] {
  return POOL_SIZES.map(measurePool);
}

function measurePool(upstreams: number): DecisionCost {
  const load = new BenchLoad(upstreams);
  load.run(WARM_UP_DECISIONS);
  load.placementMs = 0;
  load.otherMs = 0;
  load.run(MEASURED_DECISIONS);
  return {
    upstreams,
    microsecondsPerDecision: meanMicroseconds(load.placementMs),
    microsecondsPerRequest: meanMicroseconds(load.placementMs + load.otherMs),
  };
}

function meanMicroseconds(total: number): number {
  return Math.round(total * 100_000 / MEASURED_DECISIONS) / 100;
}

interface RunningRequest {
  readonly request: RequestId;
  readonly upstream: UpstreamId;
  readonly firstTokenAt: number;
  readonly endsAt: number;
  hasFirstToken: boolean;
}

/** Request stream with a constant response duration. */
class BenchLoad {
  readonly #scheduler: PoolScheduler;
  readonly #random = new SeededRandom(7);
  readonly #arrivalIntervalMs: number;
  #running: RunningRequest[] = [];
  #firstTokens: RunningRequest[] = [];
  #nextEnd = 0;
  #nextFirstToken = 0;
  #now = 0;
  #tickAt = 0;
  #requestCount = 0;
  placementMs = 0;
  otherMs = 0;

  constructor(upstreams: number) {
    this.#scheduler = new PoolScheduler(benchPolicy(upstreams), {
      random: new SeededRandom(1),
    });
    this.#arrivalIntervalMs = RESPONSE_MS /
      (upstreams * IN_FLIGHT_PER_UPSTREAM);
  }

  run(decisions: number): void {
    for (let index = 0; index < decisions; index++) {
      this.#now += this.#arrivalIntervalMs;
      const request = this.#buildRequest();
      const start = performance.now();
      this.#processDue();
      const placementStart = performance.now();
      const decisions = this.#scheduler.submit(request, this.#now);
      this.placementMs += performance.now() - placementStart;
      this.otherMs += placementStart - start;
      this.#applyDecisions(decisions);
    }
    this.#running = this.#running.slice(this.#nextEnd);
    this.#firstTokens = this.#firstTokens.slice(this.#nextFirstToken);
    this.#nextEnd = 0;
    this.#nextFirstToken = 0;
  }

  #processDue(): void {
    if (this.#now >= this.#tickAt) {
      this.#tickAt = this.#now + TICK_MS;
      this.#applyDecisions(this.#scheduler.tick(this.#now));
    }
    while (
      this.#firstTokens[this.#nextFirstToken]?.firstTokenAt! <= this.#now
    ) {
      const { request } = this.#firstTokens[this.#nextFirstToken++]!;
      this.#scheduler.recordFirstToken(request, this.#now);
    }
    while (this.#running[this.#nextEnd]?.endsAt! <= this.#now) {
      const { request, upstream } = this.#running[this.#nextEnd++]!;
      this.#applyDecisions(this.#scheduler.finish(
        { request, upstream, outcome: "whole", outputTokens: 90 },
        this.#now,
      ));
    }
  }

  #applyDecisions(decisions: readonly Decision[]): void {
    for (const decision of decisions) {
      if (decision.kind === "refuse") continue;
      const running = {
        request: decision.placementRequest.request,
        upstream: decision.upstream,
        firstTokenAt: this.#now + FIRST_TOKEN_MS,
        endsAt: this.#now + RESPONSE_MS,
        hasFirstToken: false,
      };
      this.#running.push(running);
      this.#firstTokens.push(running);
    }
  }

  #buildRequest(): PlacementRequest {
    const number = this.#requestCount++;
    const account = `account-${this.#random.int(ACCOUNTS)}`;
    const prefix = this.#random.int(64);
    return {
      request: asId<RequestId>(`r${number}`),
      origin: asId<HostId>("host-1"),
      originDomain: asId<FailureDomain>(`domain-${number % 3}`),
      account: asId<ClientAccountId>(account),
      tier: asTier(1 + this.#random.int(TIERS)),
      promptTokens: 1_200 + this.#random.int(1_000),
      maximumOutputTokens: 1_024,
      bodyBytes: 6_000,
      deadline: this.#now + 30_000,
      prefixDigests: Array.from(
        { length: PREFIX_BLOCKS },
        (_, block) => asId<Digest>(`${account}/${prefix}/${block}`),
      ),
      fingerprint: asId<Digest>(`print-${number}`),
    };
  }
}

function benchPolicy(upstreams: number): PoolPolicy {
  return {
    upstreams: Array.from({ length: upstreams }, (_, index) => ({
      upstream: asId<UpstreamId>(`u${index}`),
      failureDomain: asId<FailureDomain>(`domain-${index % 3}`),
      generation: `g${index % 3}`,
      isLeaving: false,
    })),
    accounts: [],
    tiers: [1, 2, 3, 4].map(asTier),
    initialConcurrency: 8,
    maximumConcurrency: 64,
    maximumWaitingTokens: 10_000_000,
    maximumWaitingBytes: 64_000_000,
    maximumEjectedShare: 0.4,
    domainDistanceMs: 1,
  };
}
