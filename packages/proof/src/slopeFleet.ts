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

/** Virtual time until a fleet that started at once is idle. */
export const WARM_UP_MS: Milliseconds = 8_000;
/** Virtual time of one measurement. */
export const MEASURED_MS: Milliseconds = 10_000;
/** One way between two hosts, as within a region. */
export const LINK_DELAY_MS: Milliseconds = 1;
const SECOND = 1_000;

/** What one host of a fleet spends each second of virtual time. */
export interface HostCost {
  readonly messages: number;
  readonly bytes: number;
  /** Processor time without sockets: encoding, checks, decisions, both ends. */
  readonly processorMs: number;
}

/** What a change of the members costs, over the whole fleet. */
export interface MemberChangeCost {
  /** Bytes that all hosts send beyond those of an idle fleet when one dies. */
  readonly deathBytes: number;
  /** The same when a host starts that nobody knows. */
  readonly startBytes: number;
}

/** Membership of a fleet of `size` hosts in virtual time, idle. */
export function measureMembership(size: number): HostCost {
  const fleet = new MembershipFleet(size);
  fleet.timer.advance(WARM_UP_MS);
  return idleCost(fleet, size);
}

/** What a death and a start add to an idle fleet of `size` hosts. */
export function measureMemberChanges(size: number): MemberChangeCost {
  const fleet = new MembershipFleet(size);
  fleet.timer.advance(WARM_UP_MS);
  const idle = idleCost(fleet, size);
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

/** Starts membership on `size` hosts and lets them settle; the fleet keeps their state alive. */
export function createSettledFleet(size: number): unknown {
  const fleet = new MembershipFleet(size);
  fleet.timer.advance(WARM_UP_MS);
  return fleet;
}

function idleCost(fleet: MembershipFleet, size: number): HostCost {
  const start = readCostCounters(fleet.network);
  fleet.timer.advance(MEASURED_MS);
  return costSince(start, fleet.network, { size, span: MEASURED_MS });
}

/** Membership controllers over one network, in virtual time. */
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

  /** Starts the host with that number, also one that the list does not name. */
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

  /** Ends the newest host without a word. */
  stopLast(): void {
    const { controller, link } = this.#hosts.pop()!;
    controller.stop();
    link.close();
  }
}

/** A list of so many hosts over all failure domains of the target. */
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

/** The name of the host with that number, counted from 0. */
export function hostName(index: number): HostId {
  return asId<HostId>(`entry-${index + 1}`);
}

/** Counters at the start of a measurement. */
export interface CostCounters {
  readonly messages: number;
  readonly bytes: number;
  readonly processor: NodeJS.CpuUsage;
}

/** Reads the counters that {@link costSince} compares with. */
export function readCostCounters(network: MemoryNetwork): CostCounters {
  return {
    messages: network.sentMessages,
    bytes: network.sentBytes,
    processor: process.cpuUsage(),
  };
}

/** What each host spent since a reading. */
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
