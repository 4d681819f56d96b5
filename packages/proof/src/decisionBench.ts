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

/** What one decision cost in a pool of this size. */
export interface DecisionCost {
  readonly upstreams: number;
  /** Mean time of an ask, which decides about itself and what waits. */
  readonly microsecondsPerDecision: number;
  /** Mean time of a whole request: ask, first token, end and its share of ticks. */
  readonly microsecondsPerRequest: number;
}

const POOL_SIZES = [16, 256, 4_096, 12_000];
const WARM_UP_DECISIONS = 20_000;
const MEASURED_DECISIONS = 40_000;
/** Requests in flight at each upstream, so that about half the places are taken. */
const IN_FLIGHT_PER_UPSTREAM = 4;
const PREFIX_BLOCKS = 16;
const ACCOUNTS = 5;
const TIERS = 4;
const FIRST_TOKEN_MS = 200;
const ANSWER_MS = 2_000;
const TICK_MS = 100;

/** Times a stream of requests through pools of several sizes. */
export function benchDecisions(): DecisionCost[] {
  return POOL_SIZES.map(timePool);
}

function timePool(upstreams: number): DecisionCost {
  const load = new BenchLoad(upstreams);
  load.run(WARM_UP_DECISIONS);
  load.askMs = 0;
  load.otherMs = 0;
  load.run(MEASURED_DECISIONS);
  return {
    upstreams,
    microsecondsPerDecision: microseconds(load.askMs),
    microsecondsPerRequest: microseconds(load.askMs + load.otherMs),
  };
}

function microseconds(total: number): number {
  return Math.round(total * 100_000 / MEASURED_DECISIONS) / 100;
}

interface Running {
  readonly request: RequestId;
  readonly upstream: UpstreamId;
  readonly firstTokenAt: number;
  readonly endsAt: number;
  hasFirstToken: boolean;
}

/** A stream of requests whose answers take two seconds each. */
class BenchLoad {
  readonly #scheduler: PoolScheduler;
  readonly #random = new SeededRandom(7);
  readonly #gapMs: number;
  #running: Running[] = [];
  #firstTokens: Running[] = [];
  #nextEnd = 0;
  #nextFirstToken = 0;
  #now = 0;
  #tickAt = 0;
  #asked = 0;
  askMs = 0;
  otherMs = 0;

  constructor(upstreams: number) {
    this.#scheduler = new PoolScheduler(benchPolicy(upstreams), {
      random: new SeededRandom(1),
    });
    this.#gapMs = ANSWER_MS / (upstreams * IN_FLIGHT_PER_UPSTREAM);
  }

  run(decisions: number): void {
    for (let index = 0; index < decisions; index++) {
      this.#now += this.#gapMs;
      const ask = this.#buildAsk();
      const start = performance.now();
      this.#settle();
      const settled = performance.now();
      const decisions = this.#scheduler.submit(ask, this.#now);
      this.askMs += performance.now() - settled;
      this.otherMs += settled - start;
      this.#follow(decisions);
    }
    this.#running = this.#running.slice(this.#nextEnd);
    this.#firstTokens = this.#firstTokens.slice(this.#nextFirstToken);
    this.#nextEnd = 0;
    this.#nextFirstToken = 0;
  }

  #settle(): void {
    if (this.#now >= this.#tickAt) {
      this.#tickAt = this.#now + TICK_MS;
      this.#follow(this.#scheduler.tick(this.#now));
    }
    while (
      this.#firstTokens[this.#nextFirstToken]?.firstTokenAt! <= this.#now
    ) {
      const { request } = this.#firstTokens[this.#nextFirstToken++]!;
      this.#scheduler.recordFirstToken(request, this.#now);
    }
    while (this.#running[this.#nextEnd]?.endsAt! <= this.#now) {
      const { request, upstream } = this.#running[this.#nextEnd++]!;
      this.#follow(this.#scheduler.finish(
        { request, upstream, outcome: "whole", outputTokens: 90 },
        this.#now,
      ));
    }
  }

  #follow(decisions: readonly Decision[]): void {
    for (const decision of decisions) {
      if (decision.kind === "refuse") continue;
      const running = {
        request: decision.placementRequest.request,
        upstream: decision.upstream,
        firstTokenAt: this.#now + FIRST_TOKEN_MS,
        endsAt: this.#now + ANSWER_MS,
        hasFirstToken: false,
      };
      this.#running.push(running);
      this.#firstTokens.push(running);
    }
  }

  #buildAsk(): PlacementRequest {
    const number = this.#asked++;
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
