import { Buffer } from "node:buffer";
import {
  asId,
  asTier,
  Blackboard,
  type ClientAccountId,
  createTopic,
  type FailureDomain,
  type HostId,
  type JobId,
  MemoryMetrics,
  type Milliseconds,
  type Nonce,
  SeededRandom,
  type ServiceId,
  type UpstreamId,
  VirtualTimer,
} from "@wasabivane/common";
import {
  type Job,
  JobController,
  type JobControllerOptions,
  type JobDispatch,
  type JobMember,
  type JobResponse,
  type JobSubmission,
  type MemoryLink,
  MemoryNetwork,
} from "@wasabivane/coordination";
import { advance } from "./asyncTime.ts";
import { hostName } from "./configurationFleet.ts";
import { PausableTimer } from "./pausableTimer.ts";

const MEMBERS = createTopic<readonly JobMember[]>("members", []);
const DAY_MS = 86_400_000;
/** Time after which the membership considers a silent host dead. */
export const DETECTION_MS = 3_000;

/** Client account of the jobs. */
export const ACCOUNT = asId<ClientAccountId>("lawyer");

/** Process of an entry host. */
export interface JobHost {
  readonly host: HostId;
  readonly incarnation: string;
  readonly domain: FailureDomain;
  readonly blackboard: Blackboard;
  readonly link: MemoryLink;
  readonly metrics: MemoryMetrics;
  readonly controller: JobController;
  isPaused: boolean;
  isLeaving: boolean;
}

/** Runs job controllers of several hosts with fake upstreams. */
export class JobFleet {
  readonly timer = new VirtualTimer();
  readonly random: SeededRandom;
  readonly network: MemoryNetwork;
  readonly hosts = new Map<HostId, JobHost>();
  /** Dispatches that reached an upstream. */
  readonly dispatches = new Map<JobId, JobDispatch[]>();
  /** Share of dispatches that the upstream refuses before any byte is sent. */
  refusedShare = 0;
  /** Whether hosts dispatch the jobs that are ready. */
  isDispatching = false;
  readonly #domains: number;
  readonly #options: Partial<JobControllerOptions>;
  #groups: readonly (readonly HostId[])[] = [];
  #starts = 0;

  constructor({ size = 6, domains = 3, seed = 1, options = {} }: {
    size?: number;
    domains?: number;
    seed?: number;
    options?: Partial<JobControllerOptions>;
  } = {}) {
    this.random = new SeededRandom(seed);
    this.#domains = domains;
    this.#options = options;
    const { timer, random } = this;
    this.network = new MemoryNetwork({
      timer,
      random,
      delayMs: 1,
      jitterMs: 1,
    });
    for (let index = 1; index <= size; index++) this.start(index);
    this.refreshMembers();
    timer.every(100, () => this.#dispatchReady());
  }

  /** Starts a process on a host, replacing its former one. */
  start(index: number): JobHost {
    const host = hostName(index);
    this.hosts.get(host)?.controller.stop();
    const blackboard = new Blackboard();
    const metrics = new MemoryMetrics();
    const link = this.network.join(host);
    const incarnation = `start-${++this.#starts}`;
    const { timer, random } = this;
    const controller = new JobController({
      blackboard,
      link,
      timer: new PausableTimer(timer, () => this.hosts.get(host)),
      random,
      metrics,
      incarnation,
      members: MEMBERS,
      ...this.#options,
    });
    const domain = asId<FailureDomain>(`domain-${index % this.#domains}`);
    const started = {
      host,
      incarnation,
      domain,
      blackboard,
      link,
      metrics,
      controller,
      isPaused: false,
      isLeaving: false,
    };
    this.hosts.set(host, started);
    controller.onTakeover(({ job, dispatchToResume }) => {
      if (dispatchToResume) {
        this.#resume(started, { job, dispatch: dispatchToResume });
      }
    });
    controller.start();
    return started;
  }

  /** Updates each host's membership to the hosts that it can reach. */
  refreshMembers(): void {
    for (const { host, blackboard } of this.hosts.values()) {
      const members = [...this.hosts.values()].map((other): JobMember => ({
        host: other.host,
        incarnation: other.incarnation,
        failureDomain: other.domain,
        state: this.#canReach(host, other) ? "alive" : "dead",
        isLeaving: other.isLeaving,
      }));
      blackboard.write(MEMBERS, members);
    }
  }

  /** Kills processes and waits until the others have detected it. */
  async kill(...hosts: HostId[]): Promise<void> {
    for (const host of hosts) {
      const { link, controller } = this.hosts.get(host)!;
      link.close();
      controller.stop();
      this.hosts.delete(host);
    }
    await this.advance(DETECTION_MS);
    this.refreshMembers();
  }

  /**
   * Pauses a process; its state and incoming messages are kept until it wakes.
   */
  async pause(host: HostId): Promise<void> {
    const paused = this.hosts.get(host)!;
    paused.isPaused = true;
    paused.link.pause();
    await this.advance(DETECTION_MS);
    this.refreshMembers();
  }

  wake(host: HostId): void {
    const paused = this.hosts.get(host)!;
    paused.isPaused = false;
    paused.link.resume();
  }

  async partition(groups: readonly (readonly HostId[])[]): Promise<void> {
    this.network.partition(groups);
    this.#groups = groups;
    await this.advance(DETECTION_MS);
    this.refreshMembers();
  }

  heal(): void {
    this.network.heal();
    this.#groups = [];
    this.refreshMembers();
  }

  advance(span: Milliseconds): Promise<void> {
    return advance(this.timer, span);
  }

  /** Advances the time in steps of 250 ms, for long durations. */
  advanceCoarsely(span: Milliseconds): Promise<void> {
    return advance(this.timer, span, { grain: 250 });
  }

  /** Submits a job at a host and waits until it is accepted. */
  async accept(
    host: HostId,
    changes: Partial<JobSubmission> = {},
  ): Promise<Job> {
    const accepting = this.hosts.get(host)!.controller.accept(
      this.createSubmission(changes),
    );
    await this.advance(20);
    return (await accepting)._unsafeUnwrap();
  }

  createSubmission(changes: Partial<JobSubmission> = {}): JobSubmission {
    return {
      account: ACCOUNT,
      service: asId<ServiceId>("drafter"),
      tier: asTier(4),
      method: "POST",
      path: "/v1/chat/completions",
      headers: {},
      body: Buffer.from("clause review"),
      expiresAt: this.timer.wallNow() + DAY_MS,
      ...changes,
    };
  }

  /** Returns the hosts in a job's id: its holder, then its copies. */
  membersOf(job: Job): HostId[] {
    return job.id.split("~").slice(1) as HostId[];
  }

  /** Returns a host that holds no copy of the job. */
  nonMemberOf(job: Job): HostId {
    const members = this.membersOf(job);
    return [...this.hosts.keys()].find((host) => !members.includes(host))!;
  }

  /** Returns the status of a job that a host reports to its caller. */
  async statusAt(host: HostId, job: Job): Promise<string> {
    const asking = this.hosts.get(host)!.controller.lookUp(job.id, ACCOUNT);
    await this.advance(1_100);
    const result = await asking;
    if (result.isErr()) return result.error.kind;
    const status = result.value;
    return status.kind === "ended" ? status.answer.ending : status.kind;
  }

  /** Records a dispatch and makes it if that is allowed. */
  async dispatch(
    host: HostId,
    job: Job,
    dispatch: JobDispatch = this.#dispatchFor(job),
  ): Promise<string> {
    const { controller } = this.hosts.get(host)!;
    const result = await controller.recordDispatch(job.id, dispatch);
    if (result.isErr()) return result.error.kind;
    if (this.random.float() < this.refusedShare) {
      void controller.recordUnsent(job.id);
      return "refused";
    }
    const made = this.dispatches.get(job.id) ?? [];
    this.dispatches.set(job.id, [...made, dispatch]);
    return "dispatched";
  }

  /** Ends a job with a complete response. */
  finish(host: HostId, job: Job): void {
    this.hosts.get(host)!.controller.recordFinished(job.id, WHOLE);
  }

  timesDispatched(job: Job): number {
    return this.dispatches.get(job.id)?.length ?? 0;
  }

  /** Returns the number of copies held by all hosts. */
  heldCopies(): number {
    return [...this.hosts.values()].reduce(
      (sum, { controller }) => sum + controller.held.jobs,
      0,
    );
  }

  #dispatchReady(): void {
    if (!this.isDispatching) return;
    for (const { host, controller, isPaused } of this.hosts.values()) {
      if (isPaused) continue;
      for (const { job, recordedDispatch } of controller.readyJobs()) {
        const dispatch = recordedDispatch ?? this.#dispatchFor(job);
        void this.dispatch(host, job, dispatch).then((outcome) => {
          if (outcome !== "dispatched") return;
          this.timer.after(200, () => {
            if (this.hosts.get(host)?.controller === controller) {
              this.finish(host, job);
            }
          });
        });
      }
    }
  }

  /**
   * Ends a resumed job; the upstream knows it only if it was dispatched there.
   */
  #resume(
    { controller }: JobHost,
    { job, dispatch }: { job: Job; dispatch: JobDispatch },
  ): void {
    const isKnown = this.dispatches.get(job.id)?.some(({ nonce }) =>
      nonce === dispatch.nonce
    );
    this.timer.after(50, () => {
      controller.recordFinished(job.id, isKnown ? WHOLE : LOST);
    });
  }

  #dispatchFor(_job: Job): JobDispatch {
    return {
      upstream: asId<UpstreamId>("drafter-1"),
      nonce: asId<Nonce>(this.random.hex(8)),
    };
  }

  #canReach(from: HostId, to: JobHost): boolean {
    if (from === to.host) return true;
    if (to.isPaused) return false;
    if (this.#groups.length === 0) return true;
    return this.#groups.some((group) =>
      group.includes(from) && group.includes(to.host)
    );
  }
}

/** A complete response. */
export const WHOLE: JobResponse = {
  ending: "whole",
  status: 200,
  headers: {},
  body: Buffer.from("reviewed"),
};
const LOST: JobResponse = {
  ...WHOLE,
  ending: "unknown",
  body: Buffer.from(""),
};
