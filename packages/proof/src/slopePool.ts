import process from "node:process";
import {
  asId,
  Blackboard,
  createTopic,
  type HostId,
  MemoryMetrics,
  type Milliseconds,
  SeededRandom,
  type ServiceId,
  VirtualTimer,
} from "@wasabivane/common";
import {
  coordinatorOf,
  MemoryNetwork,
  PoolClient,
  PoolCoordinator,
  type PoolMember,
} from "@wasabivane/coordination";
import { type PlacementRequest, PoolScheduler } from "@wasabivane/decisions";
import { processorMsSince } from "./resourceMeasurement.ts";
import type { SlopePoint } from "./slope.ts";
import { createTargetPolicy, createTargetRequest } from "./slopeScheduler.ts";
import { TARGET } from "./slopeTarget.ts";

const RATES = [10, 20, 40, 80];
/** Runs until the code is compiled. */
const WARM_UP_RUNS = 8;
const WARM_UP_RATE = 160;
const POOL_COUNTS = [1, 4, 8, 14];
const MEASURED_MS: Milliseconds = 4_000;
const FIRST_TOKEN_MS: Milliseconds = 300;
/** Mean output tokens: the target's tokens per request. */
const OUTPUT_TOKENS = 219;
const RESPONSE_MS: Milliseconds = OUTPUT_TOKENS * TARGET.tokenGapMs;
const SECOND = 1_000;
const REACHABLE_SHARE = createTopic("slope-fleet-share", 1);
const MEMBERS = createTopic<readonly PoolMember[]>("slope-pool-members", []);
const HOSTS = ["entry-1", "entry-2"].map((host) => asId<HostId>(host));

/** Measures the pool protocol by requests per second of one host. */
export function measurePoolProtocol(): {
  bytes: SlopePoint[];
  processorMs: SlopePoint[];
} {
  for (let run = 0; run < WARM_UP_RUNS; run++) measureAtRate(WARM_UP_RATE);
  const costs = RATES.map((rate) => ({ rate, ...measureAtRate(rate) }));
  return {
    bytes: costs.map(({ rate, bytes }) => [rate, bytes]),
    processorMs: costs.map(({ rate, processorMs }) => [rate, processorMs]),
  };
}

/** Measures the synchronization traffic of one host by active pools. */
export function measurePoolSync(): SlopePoint[] {
  return POOL_COUNTS.map((pools) => {
    const pair = new PoolPair();
    for (let number = 0; number < pools; number++) {
      pair.run(pair.services[number]!, {
        placementRequest: createTargetRequest(number),
        durationMs: MEASURED_MS * 2,
      });
    }
    pair.timer.advance(SECOND);
    const before = pair.network.sentBytes;
    pair.timer.advance(MEASURED_MS);
    return [pools, (pair.network.sentBytes - before) / MEASURED_MS * SECOND];
  });
}

function measureAtRate(rate: number): { bytes: number; processorMs: number } {
  const pair = new PoolPair();
  const requests = Array.from(
    { length: rate * MEASURED_MS / SECOND },
    (_, number) => createTargetRequest(number),
  );
  const start = process.cpuUsage();
  for (const [number, placementRequest] of requests.entries()) {
    pair.timer.after(
      number * SECOND / rate,
      () =>
        pair.run(pair.services[0]!, {
          placementRequest,
          durationMs: RESPONSE_MS,
        }),
    );
  }
  pair.timer.advance(MEASURED_MS + RESPONSE_MS + SECOND);
  return {
    bytes: pair.network.sentBytes / MEASURED_MS * SECOND,
    processorMs: processorMsSince(start) / MEASURED_MS * SECOND,
  };
}

/** An entry host and the host that coordinates its pools. */
class PoolPair {
  readonly timer = new VirtualTimer();
  readonly network: MemoryNetwork;
  /** Services whose coordinator is the other host. */
  readonly services: ServiceId[];
  readonly #client: PoolClient;

  constructor() {
    const { timer } = this;
    const random = new SeededRandom(1);
    this.network = new MemoryNetwork({ timer, random });
    const members = HOSTS.map((host) => ({
      host,
      incarnation: "1",
      state: "alive" as const,
      isLeaving: false,
    }));
    this.services = Array.from(
      { length: 100 },
      (_, index) => asId<ServiceId>(`model-${index}`),
    ).filter((service) => coordinatorOf(service, members)?.host === HOSTS[1]);
    const [client] = HOSTS.map((host) => this.#start(host, members));
    this.#client = client!;
    timer.advance(SECOND);
  }

  /** Runs a request from its placement to its end. */
  run(
    service: ServiceId,
    { placementRequest, durationMs }: {
      placementRequest: PlacementRequest;
      durationMs: Milliseconds;
    },
  ): void {
    this.#client.submit(service, placementRequest, {
      decide: (decision) => {
        if (decision.kind !== "grant") {
          throw new Error(`Request was refused: ${decision.reason}`);
        }
        const { request } = placementRequest;
        const { upstream } = decision;
        this.timer.after(
          FIRST_TOKEN_MS,
          () => this.#client.recordFirstToken(service, request),
        );
        this.timer.after(durationMs, () =>
          this.#client.finish(service, {
            request,
            upstream,
            outcome: "whole",
            outputTokens: OUTPUT_TOKENS,
            cachedTokens: 0,
          }));
      },
    });
  }

  #start(host: HostId, members: readonly PoolMember[]): PoolClient {
    const blackboard = new Blackboard();
    blackboard.write(MEMBERS, members);
    const shared = {
      blackboard,
      link: this.network.join(host),
      timer: this.timer,
      metrics: new MemoryMetrics(),
      members: MEMBERS,
    };
    const client: PoolClient = new PoolClient({
      ...shared,
      localCoordinator: () => coordinator,
    });
    const coordinator = new PoolCoordinator({
      ...shared,
      reachableShare: REACHABLE_SHARE,
      policyOf: () => createTargetPolicy(857, { accounts: TARGET.accounts }),
      createScheduler: (_service, policy) =>
        new PoolScheduler(policy, { random: new SeededRandom(2) }),
      onLocalDecision: (service, decision) =>
        client.applyLocalDecision(service, decision),
    });
    client.start();
    coordinator.start();
    return client;
  }
}
