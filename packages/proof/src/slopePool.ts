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
/** Code that the runtime has not compiled yet costs several times as much. */
const WARM_UP_RUNS = 8;
const WARM_UP_RATE = 160;
const POOL_COUNTS = [1, 4, 8, 14];
const MEASURED_MS: Milliseconds = 4_000;
const FIRST_TOKEN_MS: Milliseconds = 300;
/** Tokens of a mean answer: 5.9 million over 27,000 requests. */
const OUTPUT_TOKENS = 219;
const ANSWER_MS: Milliseconds = OUTPUT_TOKENS * TARGET.tokenGapMs;
const SECOND = 1_000;
const FLEET_SHARE = createTopic("slope-fleet-share", 1);
const MEMBERS = createTopic<readonly PoolMember[]>("slope-pool-members", []);
const HOSTS = ["entry-1", "entry-2"].map((host) => asId<HostId>(host));

/** Bytes and processor time of the pool protocol by requests of one host in a second. */
export function measurePoolProtocol(): {
  bytes: SlopePoint[];
  processorMs: SlopePoint[];
} {
  for (let run = 0; run < WARM_UP_RUNS; run++) costAt(WARM_UP_RATE);
  const costs = RATES.map((rate) => ({ rate, ...costAt(rate) }));
  return {
    bytes: costs.map(({ rate, bytes }) => [rate, bytes]),
    processorMs: costs.map(({ rate, processorMs }) => [rate, processorMs]),
  };
}

/** Bytes that one host sends each second to keep pools in step, by pools in which something runs. */
export function measurePoolSync(): SlopePoint[] {
  return POOL_COUNTS.map((pools) => {
    const pair = new PoolPair();
    for (let number = 0; number < pools; number++) {
      pair.run(pair.services[number]!, {
        ask: createTargetRequest(number),
        lengthMs: MEASURED_MS * 2,
      });
    }
    pair.timer.advance(SECOND);
    const before = pair.network.sentBytes;
    pair.timer.advance(MEASURED_MS);
    return [pools, (pair.network.sentBytes - before) / MEASURED_MS * SECOND];
  });
}

function costAt(rate: number): { bytes: number; processorMs: number } {
  const pair = new PoolPair();
  const asks = Array.from(
    { length: rate * MEASURED_MS / SECOND },
    (_, number) => createTargetRequest(number),
  );
  const start = process.cpuUsage();
  for (const [number, ask] of asks.entries()) {
    pair.timer.after(
      number * SECOND / rate,
      () => pair.run(pair.services[0]!, { ask, lengthMs: ANSWER_MS }),
    );
  }
  pair.timer.advance(MEASURED_MS + ANSWER_MS + SECOND);
  return {
    bytes: pair.network.sentBytes / MEASURED_MS * SECOND,
    processorMs: processorMsSince(start) / MEASURED_MS * SECOND,
  };
}

/** An entry host whose pools are all kept by another host. */
class PoolPair {
  readonly timer = new VirtualTimer();
  readonly network: MemoryNetwork;
  /** Services whose keeper is the other host. */
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

  /** Takes one request from its ask to its end. */
  run(
    service: ServiceId,
    { ask, lengthMs }: { ask: PlacementRequest; lengthMs: Milliseconds },
  ): void {
    this.#client.submit(service, ask, {
      decide: (decision) => {
        if (decision.kind !== "grant") {
          throw new Error(`A request was refused: ${decision.reason}`);
        }
        const { request } = ask;
        const { upstream } = decision;
        this.timer.after(
          FIRST_TOKEN_MS,
          () => this.#client.recordFirstToken(service, request),
        );
        this.timer.after(lengthMs, () =>
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
      localCoordinator: () => keeper,
    });
    const keeper = new PoolCoordinator({
      ...shared,
      reachableShare: FLEET_SHARE,
      policyOf: () => createTargetPolicy(857, { accounts: TARGET.accounts }),
      createScheduler: (_service, policy) =>
        new PoolScheduler(policy, { random: new SeededRandom(2) }),
      onLocalDecision: (service, decision) =>
        client.applyLocalDecision(service, decision),
    });
    client.start();
    keeper.start();
    return client;
  }
}
