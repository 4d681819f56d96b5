import type { StopPlan } from "@wasabivane/bundle";
import {
  asId,
  Blackboard,
  createTopic,
  type FailureDomain,
  type HostId,
  MemoryMetrics,
  type Milliseconds,
  SeededRandom,
  VirtualTimer,
} from "@wasabivane/common";
import {
  type MemoryLink,
  MemoryNetwork,
  STOP_PHASE,
  StopController,
  type StopMember,
} from "@wasabivane/coordination";
import { advance } from "./asyncTime.ts";
import { hostName } from "./configurationFleet.ts";

const MEMBERS = createTopic<readonly StopMember[]>("members", []);

/** Stop plan that allows one host per failure domain at a time. */
export const PLAN: StopPlan = {
  stopPlan: "usual",
  readinessMs: 2_000,
  streamsMs: 60_000,
  handoverMs: 10_000,
  hostsAtOnce: 1,
};

/** One host of a {@link StopFleet}. */
export interface StoppingHost {
  readonly host: HostId;
  readonly domain: FailureDomain;
  readonly incarnation: string;
  readonly blackboard: Blackboard;
  readonly link: MemoryLink;
  readonly controller: StopController;
  readonly phases: string[];
  openStreams: number;
  handOverMs: Milliseconds;
  isAlive: boolean;
}

/** Runs stop controllers of hosts in several failure domains. */
export class StopFleet {
  readonly timer = new VirtualTimer();
  readonly network: MemoryNetwork;
  readonly hosts: StoppingHost[] = [];
  /** Maximum number of hosts of one failure domain stopping at once. */
  mostAtOnce = 0;
  #starts = 0;

  constructor({ size = 6, domains = 2, seed = 1, jitterMs = 5 } = {}) {
    this.network = new MemoryNetwork({
      timer: this.timer,
      random: new SeededRandom(seed),
      jitterMs,
    });
    for (let index = 1; index <= size; index++) {
      this.hosts.push(
        this.#start(hostName(index), `domain-${index % domains}`),
      );
    }
    this.refreshMembers();
    this.timer.every(10, () => this.#recordStopping());
  }

  at(index: number): StoppingHost {
    return this.hosts[index - 1]!;
  }

  stop(...indices: number[]): void {
    for (const index of indices) this.at(index).controller.requestStop(PLAN);
  }

  phaseOf(index: number): string {
    return this.at(index).blackboard.read(STOP_PHASE).kind;
  }

  /** Kills a process; the others detect it after three seconds. */
  kill(index: number): void {
    const killed = this.at(index);
    killed.isAlive = false;
    killed.controller.stop();
    killed.link.close();
    this.timer.after(3_000, () => this.refreshMembers());
  }

  restart(index: number): void {
    const { host, domain } = this.at(index);
    this.hosts[index - 1] = this.#start(host, domain);
    this.refreshMembers();
  }

  refreshMembers(): void {
    const members = this.hosts.map((host): StopMember => ({
      host: host.host,
      incarnation: host.incarnation,
      failureDomain: host.domain,
      state: host.isAlive ? "alive" : "dead",
    }));
    for (const { blackboard } of this.hosts) blackboard.write(MEMBERS, members);
  }

  advance(span: Milliseconds): Promise<void> {
    return advance(this.timer, span, { grain: 5 });
  }

  #start(host: HostId, domain: string): StoppingHost {
    const blackboard = new Blackboard();
    const phases: string[] = [];
    const incarnation = `start-${++this.#starts}`;
    const { timer } = this;
    const link = this.network.join(host);
    const failureDomain = asId<FailureDomain>(domain);
    const started: StoppingHost = {
      host,
      domain: failureDomain,
      incarnation,
      blackboard,
      link,
      phases,
      openStreams: 0,
      handOverMs: 200,
      isAlive: true,
      controller: new StopController({
        blackboard,
        link,
        timer,
        metrics: new MemoryMetrics(),
        incarnation,
        failureDomain,
        members: MEMBERS,
        openStreams: () => started.openStreams,
        handOver: () =>
          new Promise((resolve) =>
            timer.after(started.handOverMs, () => resolve(true))
          ),
        setLeaving: () => {},
      }),
    };
    blackboard.watch(STOP_PHASE, ({ kind }) => {
      phases.push(kind);
      if (kind === "ended") timer.after(50, () => this.#end(started));
    });
    started.controller.start();
    return started;
  }

  #end(host: StoppingHost): void {
    host.isAlive = false;
    host.controller.stop();
    host.link.close();
    this.refreshMembers();
  }

  #recordStopping(): void {
    const stopping = new Map<string, number>();
    for (const { blackboard, domain, isAlive } of this.hosts) {
      const { kind } = blackboard.read(STOP_PHASE);
      const isStopping = kind === "unready" || kind === "draining" ||
        kind === "handing-over";
      if (!isAlive || !isStopping) continue;
      stopping.set(domain, (stopping.get(domain) ?? 0) + 1);
    }
    this.mostAtOnce = Math.max(this.mostAtOnce, ...stopping.values());
  }
}
