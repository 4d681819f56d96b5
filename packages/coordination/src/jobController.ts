import {
  type Blackboard,
  type ClientAccountId,
  type JobId,
  type Metrics,
  type Milliseconds,
  type PeerLink,
  type Random,
  sleep,
  type Timer,
  type Topic,
} from "@wasabivane/common";
import { err, ok, type Result } from "neverthrow";
import {
  type DispatchRefusal,
  type Job,
  type JobDispatch,
  type JobLookUpError,
  type JobRefusal,
  type JobResponse,
  JobService,
  type JobStatus,
  type JobSubmission,
  type JobTakeover,
  type ReadyJob,
} from "./job.ts";
import { JobAcceptance, type JobLimits } from "./jobAcceptance.ts";
import { JobReconciler, MOVE_COPY_WAIT_MS } from "./jobReconciler.ts";
import { JobReplication } from "./jobReplication.ts";
import { JobInbox } from "./jobInbox.ts";
import { JobLifecycle, knownDispatchOf } from "./jobLifecycle.ts";
import { JobLookUps } from "./jobLookUps.ts";
import { type JobMember, JobMembers } from "./jobMembers.ts";
import { JobOutbox } from "./jobOutbox.ts";
import { JobConsensus } from "./jobConsensus.ts";
import { type MemberId, memberId, type RegisterValue } from "./jobRegister.ts";
import { type JobRecord, JobStore, type JobStoreOptions } from "./jobStore.ts";

const TICK_MS: Milliseconds = 250;
const MAXIMUM_BODY_BYTES = 1024 * 1024;
const MAXIMUM_AGE_MS: Milliseconds = 24 * 3_600_000;

/** Dependencies and limits of a {@link JobController}. */
export interface JobControllerOptions
  extends JobStoreOptions, Partial<JobLimits> {
  readonly blackboard: Blackboard;
  readonly link: PeerLink;
  readonly timer: Timer;
  readonly random: Random;
  readonly metrics: Metrics;
  /** Incarnation of this process, part of its member id. */
  readonly incarnation: string;
  readonly members: Topic<readonly JobMember[]>;
}

/**
 * Stores jobs on several entry hosts, so that they survive the loss of a host.
 */
export class JobController extends JobService {
  readonly #options: JobControllerOptions;
  readonly #self: MemberId;
  readonly #store: JobStore;
  readonly #members = new JobMembers();
  readonly #replication: JobReplication;
  readonly #outbox: JobOutbox;
  readonly #lifecycle: JobLifecycle;
  readonly #consensus: JobConsensus;
  readonly #acceptance: JobAcceptance;
  readonly #lookUps: JobLookUps;
  readonly #inbox: JobInbox;
  readonly #reconciler: JobReconciler;
  #subscriptions: (() => void)[] = [];
  #isStopping = false;

  constructor(options: JobControllerOptions) {
    super();
    const { link, incarnation } = options;
    this.#options = options;
    const self = memberId(link.self, incarnation);
    this.#self = self;
    this.#store = new JobStore(options);
    const shared = { ...options, self, store: this.#store };
    this.#replication = new JobReplication(options);
    this.#outbox = new JobOutbox({ ...options, members: this.#members });
    this.#lifecycle = new JobLifecycle({ ...shared, outbox: this.#outbox });
    const parts = {
      ...shared,
      members: this.#members,
      replication: this.#replication,
      outbox: this.#outbox,
      lifecycle: this.#lifecycle,
    };
    this.#consensus = new JobConsensus(parts);
    this.#acceptance = new JobAcceptance({
      ...parts,
      maximumBodyBytes: options.maximumBodyBytes ?? MAXIMUM_BODY_BYTES,
      maximumAgeMs: options.maximumAgeMs ?? MAXIMUM_AGE_MS,
    });
    this.#lookUps = new JobLookUps(parts);
    this.#reconciler = new JobReconciler({
      ...parts,
      consensus: this.#consensus,
      isStopping: () => this.#isStopping,
    });
    this.#inbox = new JobInbox({
      ...parts,
      consensus: this.#consensus,
      isAcceptingCopies: () => !this.#isStopping,
    });
  }

  /** Subscribes to members and messages. */
  start(): void {
    const { blackboard, members, timer } = this.#options;
    this.#members.set(blackboard.read(members));
    const ticking = timer.every(TICK_MS, () => this.#reconciler.reconcileAll());
    this.#subscriptions = [
      blackboard.watch(members, (value) => this.#members.set(value)),
      ...this.#inbox.start(),
      ...this.#lookUps.start(),
      () => ticking.cancel(),
    ];
  }

  /** Ends all subscriptions. */
  stop(): void {
    for (const end of this.#subscriptions.splice(0)) end();
  }

  /** Number and size of the jobs held by this process. */
  get held(): { jobs: number; bytes: number } {
    return { jobs: this.#store.size, bytes: this.#store.bytes };
  }

  override accept(submission: JobSubmission): Promise<Result<Job, JobRefusal>> {
    if (this.#isStopping) return Promise.resolve(err({ kind: "stopping" }));
    return this.#acceptance.accept(submission);
  }

  override readyJobs(): ReadyJob[] {
    if (this.#isStopping) return [];
    return this.#store.records().flatMap((record) => this.#readyJobOf(record));
  }

  override async recordDispatch(
    id: JobId,
    { upstream, nonce }: JobDispatch,
  ): Promise<Result<void, DispatchRefusal>> {
    const record = this.#store.find(id);
    if (record === undefined) return err({ kind: "not-held" });
    const value: RegisterValue = {
      kind: "dispatch",
      upstream,
      nonce,
      by: this.#self,
    };
    const isOpen = this.#readyJobOf(record).length > 0;
    if (isOpen && record.outcome === undefined) {
      const refusal = await this.#proposeAndWait(record, value);
      if (refusal !== undefined) return err(refusal);
    }
    return this.#grantDispatch(record, { upstream, nonce });
  }

  override async recordUnsent(
    id: JobId,
  ): Promise<Result<void, DispatchRefusal>> {
    const record = this.#store.find(id);
    if (record === undefined) return err({ kind: "not-held" });
    if (!this.#isDispatchGranted(record)) return err({ kind: "settled" });
    record.isMoving = true;
    const others = record.replicas.filter((member) => member !== this.#self);
    const copies = await this.#replication.replicateTo(others, {
      job: record.job,
      withinMs: MOVE_COPY_WAIT_MS,
    });
    record.isMoving = false;
    if (!this.#isDispatchGranted(record)) return err({ kind: "settled" });
    this.#lifecycle.reopen(record, copies);
    return ok(undefined);
  }

  override recordFinished(id: JobId, response: JobResponse): void {
    const record = this.#store.find(id);
    if (record !== undefined) this.#lifecycle.finish(record, response);
  }

  override async withdraw(id: JobId): Promise<Result<void, DispatchRefusal>> {
    const record = this.#store.find(id);
    if (record === undefined) return err({ kind: "not-held" });
    if (this.#readyJobOf(record).length === 0) return err({ kind: "settled" });
    const refusal = await this.#proposeAndWait(record, { kind: "withdraw" });
    return refusal === undefined ? ok(undefined) : err(refusal);
  }

  override lookUp(
    id: JobId,
    account: ClientAccountId,
  ): Promise<Result<JobStatus, JobLookUpError>> {
    return this.#lookUps.lookUp(id, account);
  }

  override recordFetched(id: JobId, account: ClientAccountId): void {
    this.#lookUps.recordFetched(id, account);
  }

  override async fetchOnce(
    id: JobId,
    account: ClientAccountId,
  ): Promise<Result<JobStatus, JobLookUpError>> {
    const result = await this.lookUp(id, account);
    const isEnded = result.isOk() && result.value.kind === "ended";
    if (isEnded) this.recordFetched(id, account);
    return result;
  }

  override async handOver(withinMs: Milliseconds): Promise<boolean> {
    const { timer } = this.#options;
    this.#isStopping = true;
    const end = timer.now() + withinMs;
    while (this.#hasJobsToMove() && timer.now() < end) {
      await sleep(timer, TICK_MS);
    }
    return !this.#hasJobsToMove();
  }

  override onTakeover(listener: (takeover: JobTakeover) => void): () => void {
    return this.#lifecycle.onTakeover(listener);
  }

  #readyJobOf(record: JobRecord): ReadyJob[] {
    const { job, epoch, outcome } = record;
    if (this.#isExpired(record) || record.response !== undefined) return [];
    if (outcome === undefined) {
      const isReady = epoch?.holder === this.#self &&
        record.proposal === undefined && !record.isMoving &&
        !record.hasUsedHolderRound;
      return isReady ? [{ job }] : [];
    }
    const dispatch = knownDispatchOf(record);
    if (dispatch?.by !== this.#self || record.isDispatchGranted) return [];
    const { upstream, nonce } = dispatch;
    return [{ job, recordedDispatch: { upstream, nonce } }];
  }

  /** Proposes a value; resolves with `undefined` if it was chosen. */
  async #proposeAndWait(
    record: JobRecord,
    value: RegisterValue,
  ): Promise<DispatchRefusal | undefined> {
    const end = await this.#consensus.propose(record, value);
    if (end.kind === "failed") return { kind: "unconfirmed" };
    return end.value === value ? undefined : { kind: "settled" };
  }

  /** Permits a dispatch, at most once in this process. */
  #grantDispatch(
    record: JobRecord,
    { upstream, nonce }: JobDispatch,
  ): Result<void, DispatchRefusal> {
    const { outcome } = record;
    if (record.proposal !== undefined || record.isMoving) {
      return err({ kind: "busy" });
    }
    const isOwnDispatch = outcome?.kind === "dispatch" &&
      outcome.by === this.#self &&
      outcome.upstream === upstream && outcome.nonce === nonce;
    const isOver = record.response !== undefined || this.#isExpired(record);
    if (!isOwnDispatch || isOver || record.isDispatchGranted) {
      return err({ kind: "settled" });
    }
    record.isDispatchGranted = true;
    this.#options.metrics.count("jobs_dispatched");
    return ok(undefined);
  }

  /**
   * Tells whether this process was permitted to dispatch the job and the job
   * has not ended.
   */
  #isDispatchGranted(record: JobRecord): boolean {
    return record.isDispatchGranted && record.response === undefined &&
      knownDispatchOf(record)?.by === this.#self &&
      this.#store.find(record.job.id) === record;
  }

  #isExpired({ job }: JobRecord): boolean {
    return job.expiresAt <= this.#options.timer.wallNow();
  }

  #hasJobsToMove(): boolean {
    const pending = this.#outbox.jobsWithPendingUpdates();
    return this.#store.records().some(({ job, epoch, outcome, response }) => {
      const isOpen = epoch !== undefined && outcome === undefined &&
        response === undefined;
      return isOpen || pending.has(job.id);
    });
  }
}
