import process from "node:process";
import type { HostList, ListedHost } from "@wasabivane/bundle";
import {
  asId,
  Blackboard,
  type FailureDomain,
  type HostId,
  MemoryMetrics,
  type Milliseconds,
  SeededRandom,
  VirtualTimer,
} from "@wasabivane/common";
import {
  createIncarnation,
  HOST_LIST,
  MembershipController,
  type MemoryLink,
  MemoryNetwork,
} from "@wasabivane/coordination";
import { processorMsSince } from "./resourceMeasurement.ts";
import { TARGET } from "./slopeTarget.ts";

/** Virtual time until a newly started fleet is idle. */
export const WARM_UP_MS: Milliseconds = 8_000;
/** Virtual duration of a measurement. */
export const MEASURED_MS: Milliseconds = 10_000;
/** One-way latency between two hosts of a region. */
export const LINK_DELAY_MS: Milliseconds = 1;
const SECOND = 1_000;

/** Cost per host and second of virtual time. */
export interface HostCost {
  readonly messages: number;
  readonly bytes: number;
  /** Processor time of both sender and receiver, without sockets. */
  readonly processorMs: number;
}

/** Cost of a membership change, summed over the fleet. */
export interface MemberChangeCost {
  /** Bytes sent in addition to idle traffic when a host dies. */
  readonly deathBytes: number;
  /** Bytes sent in addition to idle traffic when an unlisted host starts. */
  readonly startBytes: number;
}

/** Measures the membership cost of an idle fleet of `size` hosts. */
export function measureMembership(size: number): HostCost {
  const fleet = new MembershipFleet(size);
  fleet.timer.advance(WARM_UP_MS);
  return measureIdleCost(fleet, size);
}

/** Measures the cost of a host's death and start in a fleet of `size` hosts. */
export function measureMemberChanges(size: number): MemberChangeCost {
  const fleet = new MembershipFleet(size);
  fleet.timer.advance(WARM_UP_MS);
  const idle = measureIdleCost(fleet, size);
  const idleBytes = idle.bytes * size * MEASURED_MS / SECOND;
  const addedBytes = (change: () => void): number => {
    const before = fleet.network.sentBytes;
    change();
    fleet.timer.advance(MEASURED_MS);
    return fleet.network.sentBytes - before - idleBytes;
  };
  return {
    deathBytes: addedBytes(() => fleet.stopLast()),
    startBytes: addedBytes(() => fleet.start(size)),
  };
}

/** Creates a settled fleet of `size` hosts to measure its memory. */
export function createSettledFleet(size: number): unknown {
  const fleet = new MembershipFleet(size);
  fleet.timer.advance(WARM_UP_MS);
  return fleet;
}

function measureIdleCost(fleet: MembershipFleet, size: number): HostCost {
  const start = readCostCounters(fleet.network);
  fleet.timer.advance(MEASURED_MS);
  return costSince(start, fleet.network, { size, span: MEASURED_MS });
}

/** Membership controllers on a simulated network in virtual time. */
class MembershipFleet {
  readonly timer = new VirtualTimer();
  readonly network: MemoryNetwork;
  readonly #random: SeededRandom;
  readonly #list: HostList;
  readonly #hosts: { controller: MembershipController; link: MemoryLink }[] =
    [];

  constructor(size: number) {
    const { timer } = this;
    this.#random = new SeededRandom(size);
    this.network = new MemoryNetwork({
      timer,
      random: this.#random,
      delayMs: LINK_DELAY_MS,
    });
    this.#list = hostListOf(size);
    for (let index = 0; index < size; index++) this.start(index);
  }

  /** Starts the host with an index, which may exceed the host list. */
  start(index: number): void {
    const { timer } = this;
    const { host, failureDomain, peerAddress } = listedHost(index);
    const blackboard = new Blackboard();
    blackboard.write(HOST_LIST, this.#list);
    const link = this.network.join(host);
    const controller = new MembershipController({
      self: {
        host,
        incarnation: createIncarnation(timer, this.#random),
        failureDomain,
        peerAddress,
        isLeaving: false,
      },
      blackboard,
      link,
      timer,
      random: this.#random,
      metrics: new MemoryMetrics(),
    });
    controller.start();
    this.#hosts.push({ controller, link });
  }

  /** Stops the last started host without notice. */
  stopLast(): void {
    const { controller, link } = this.#hosts.pop()!;
    controller.stop();
    link.close();
  }
}

/** Creates a list of `size` hosts across the target's failure domains. */
export function hostListOf(size: number): HostList {
  const entryHosts = Array.from(
    { length: size },
    (_, index) => listedHost(index),
  );
  return { version: 1, entryHosts, upstreams: [] };
}

function listedHost(index: number): ListedHost {
  return {
    host: hostName(index),
    peerAddress: `192.0.2.${index % 250 + 1}:7000`,
    failureDomain: asId<FailureDomain>(
      `domain-${index % TARGET.failureDomains + 1}`,
    ),
    state: "live",
  };
}

/** Returns the name of the host with a zero-based index. */
export function hostName(index: number): HostId {
  return asId<HostId>(`entry-${index + 1}`);
}

/** Network and processor counters at the start of a measurement. */
export interface CostCounters {
  readonly messages: number;
  readonly bytes: number;
  readonly processor: NodeJS.CpuUsage;
}

/** Reads the counters for {@link costSince}. */
export function readCostCounters(network: MemoryNetwork): CostCounters {
  return {
    messages: network.sentMessages,
    bytes: network.sentBytes,
    processor: process.cpuUsage(),
  };
}

/** Computes the cost per host since the start of a measurement. */
export function costSince(
  start: CostCounters,
  network: MemoryNetwork,
  { size, span }: { size: number; span: Milliseconds },
): HostCost {
  const hostSeconds = size * span / SECOND;
  return {
    messages: (network.sentMessages - start.messages) / hostSeconds,
    bytes: (network.sentBytes - start.bytes) / hostSeconds,
    processorMs: processorMsSince(start.processor) / hostSeconds,
  };
}
