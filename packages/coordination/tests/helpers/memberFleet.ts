import type { HostList } from "@wasabivane/bundle";
import {
  asId,
  Blackboard,
  type FailureDomain,
  type HostId,
  MemoryMetrics,
  type Milliseconds,
  SeededRandom,
} from "@wasabivane/common";
import {
  createIncarnation,
  HOST_LIST,
  KeyService,
  type Member,
  MEMBERS,
  MembershipController,
  type MemoryLink,
  MemoryNetwork,
  REACHABLE_SHARE,
  ViewController,
} from "@wasabivane/coordination";
import { HostTimer, SharedTimer } from "./hostTimer.ts";

const DOMAINS = ["hakata", "tenjin", "momochi"];

/** One entry host of a {@link MemberFleet}. */
export interface FleetHost {
  readonly host: HostId;
  readonly timer: HostTimer;
  readonly link: MemoryLink;
  readonly blackboard: Blackboard;
  readonly membership: MembershipController;
  readonly metrics: MemoryMetrics;
  readonly views: ViewController;
  readonly keys: KeyService;
}

/** Returns the name of a host by its number. */
export function hostName(index: number): HostId {
  return asId<HostId>(`entry-${index}`);
}

/** Creates a host list of the given hosts. */
export function createList(
  hosts: readonly HostId[],
  { version = 1 }: { version?: number } = {},
): HostList {
  const entryHosts = hosts.map((host, index) => ({
    host,
    peerAddress: addressOf(index + 1),
    failureDomain: domainOf(index + 1),
    state: "live" as const,
  }));
  return { version, entryHosts, upstreams: [] };
}

function addressOf(number: number): string {
  return `192.0.2.${number}:7000`;
}

function domainOf(number: number): FailureDomain {
  return asId<FailureDomain>(DOMAINS[(number - 1) % DOMAINS.length]!);
}

/** Options for starting a process of a {@link MemberFleet}. */
export interface StartOptions {
  /** Offset of its wall clock. */
  readonly skewMs?: Milliseconds;
  readonly list?: HostList;
}

/**
 * Runs the membership, view and key controllers of several hosts over one
 * in-memory network.
 */
export class MemberFleet {
  readonly sharedTimer = new SharedTimer();
  readonly random: SeededRandom;
  readonly network: MemoryNetwork;
  readonly hosts = new Map<HostId, FleetHost>();
  list: HostList;

  constructor({ size = 8, seed = 1 } = {}) {
    this.random = new SeededRandom(seed);
    this.network = new MemoryNetwork({
      timer: this.sharedTimer,
      random: this.random,
      jitterMs: 2,
    });
    const names = Array.from(
      { length: size },
      (_, index) => hostName(index + 1),
    );
    this.list = createList(names);
    for (const host of names) this.start(host);
  }

  /** Starts a process on a host, by default with the published host list. */
  start(
    host: HostId,
    { skewMs = 0, list = this.list }: StartOptions = {},
  ): FleetHost {
    const timer = new HostTimer(this.sharedTimer, { skewMs });
    const blackboard = new Blackboard();
    const link = this.network.join(host);
    const metrics = new MemoryMetrics();
    const [number] = /\d+$/.exec(host)!;
    const incarnation = createIncarnation(timer, this.random);
    const membership = new MembershipController({
      self: {
        host,
        incarnation,
        failureDomain: domainOf(Number(number)),
        peerAddress: addressOf(Number(number)),
        isLeaving: false,
      },
      blackboard,
      link,
      timer,
      random: this.random,
      metrics,
    });
    const views = new ViewController({
      host,
      incarnation,
      blackboard,
      link,
      timer,
      metrics,
    });
    const keys = new KeyService({
      host,
      incarnation,
      blackboard,
      link,
      timer,
      metrics,
      views,
      random: this.random,
      secrets: () => ["ticket secret"],
    });
    const started = {
      host,
      timer,
      link,
      blackboard,
      membership,
      metrics,
      views,
      keys,
    };
    this.hosts.set(host, started);
    blackboard.write(HOST_LIST, list);
    for (const controller of [membership, views, keys]) controller.start();
    return started;
  }

  kill(host: HostId): void {
    const dead = this.at(host);
    dead.timer.kill();
    dead.link.close();
    this.hosts.delete(host);
  }

  pause(host: HostId): void {
    this.at(host).timer.pause();
    this.at(host).link.pause();
  }

  resume(host: HostId): void {
    this.at(host).timer.resume();
    this.at(host).link.resume();
  }

  /** Publishes a list to the given hosts. */
  publish(list: HostList, readers: Iterable<HostId> = this.hosts.keys()): void {
    this.list = list;
    for (const host of readers) {
      this.at(host).blackboard.write(HOST_LIST, list);
    }
  }

  advance(span: Milliseconds): void {
    this.sharedTimer.advance(span);
  }

  at(host: HostId): FleetHost {
    return this.hosts.get(host)!;
  }

  /** Returns what `observer` knows of `host`. */
  memberAt(observer: HostId, host: HostId): Member | undefined {
    const members = this.at(observer).blackboard.read(MEMBERS);
    return members.find((member) => member.host === host);
  }

  shareAt(observer: HostId): number {
    return this.at(observer).blackboard.read(REACHABLE_SHARE);
  }
}
