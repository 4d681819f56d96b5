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
  type JobAnswer,
  type JobDispatch,
  type JobLookUpError,
  type JobOffer,
  type JobRefusal,
  JobService,
  type JobStatus,
  type JobTakeover,
  type ReadyJob,
} from "./job.ts";
import { JobAcceptance, type JobBounds } from "./jobAcceptance.ts";
import { JobCopying } from "./jobCopying.ts";
import { JobInbox } from "./jobInbox.ts";
import { type JobStep, MEMBERS_PER_JOB, nextStep } from "./jobKeeping.ts";
import { dispatchOf, JobLifecycle } from "./jobLifecycle.ts";
import { JobLookUps } from "./jobLookUps.ts";
import { type JobMember, JobMembers } from "./jobMembers.ts";
import { JOB_CHECK } from "./jobMessages.ts";
import { JobOutbox } from "./jobOutbox.ts";
import { JobProposals } from "./jobProposals.ts";
import {
  type Epoch,
  hostOf,
  type MemberId,
  memberId,
  type RegisterValue,
} from "./jobRegister.ts";
import { type JobRecord, JobStore, type JobStoreOptions } from "./jobStore.ts";
import { sendMessage } from "./peerMessages.ts";

const TICK_MS: Milliseconds = 250;
const MOVE_COPY_WAIT_MS: Milliseconds = 1_000;
const MOVE_RETRY_MS: Milliseconds = 2_000;
/** A copy that nobody confirms vanishes; it has promised nothing. */
const UNCONFIRMED_MS: Milliseconds = 60_000;
/** How often a copy asks whether it is still needed, after lost news. */
const CHECK_PERIOD_MS: Milliseconds = 300_000;
const MAXIMUM_BODY_BYTES = 1024 * 1024;
const MAXIMUM_AGE_MS: Milliseconds = 24 * 3_600_000;

/** What a {@link JobController} needs from its process. */
export interface JobControllerOptions
  extends JobStoreOptions, Partial<JobBounds> {
  readonly blackboard: Blackboard;
  readonly link: PeerLink;
  readonly timer: Timer;
  readonly random: Random;
  readonly metrics: Metrics;
  /** This start of the process; the members name it to the others. */
  readonly incarnation: string;
  readonly members: Topic<readonly JobMember[]>;
}

/** Keeps overnight jobs alive among the entry hosts. */
export class JobController extends JobService {
  readonly #options: JobControllerOptions;
  readonly #self: MemberId;
  readonly #store: JobStore;
  readonly #members = new JobMembers();
  readonly #copying: JobCopying;
  readonly #outbox: JobOutbox;
  readonly #lifecycle: JobLifecycle;
  readonly #proposals: JobProposals;
  readonly #acceptance: JobAcceptance;
  readonly #lookUps: JobLookUps;
  readonly #inbox: JobInbox;
  #endings: (() => void)[] = [];
  #isStopping = false;

  constructor(options: JobControllerOptions) {
    super();
    const { link, incarnation } = options;
    this.#options = options;
    const self = memberId(link.self, incarnation);
    this.#self = self;
    this.#store = new JobStore(options);
    const shared = { ...options, self, store: this.#store };
    this.#copying = new JobCopying(options);
    this.#outbox = new JobOutbox({ ...options, members: this.#members });
    this.#lifecycle = new JobLifecycle({ ...shared, outbox: this.#outbox });
    const parts = {
      ...shared,
      members: this.#members,
      copying: this.#copying,
      outbox: this.#outbox,
      lifecycle: this.#lifecycle,
    };
    this.#proposals = new JobProposals(parts);
    this.#acceptance = new JobAcceptance({
      ...parts,
      maximumBodyBytes: options.maximumBodyBytes ?? MAXIMUM_BODY_BYTES,
      maximumAgeMs: options.maximumAgeMs ?? MAXIMUM_AGE_MS,
    });
    this.#lookUps = new JobLookUps(parts);
    this.#inbox = new JobInbox({
      ...parts,
      proposals: this.#proposals,
      isOpen: () => !this.#isStopping,
    });
  }

  /** Subscribes to members and messages. */
  start(): void {
    const { blackboard, members, timer } = this.#options;
    this.#members.set(blackboard.read(members));
    const ticking = timer.every(TICK_MS, () => this.#tick());
    this.#endings = [
      blackboard.watch(members, (value) => this.#members.set(value)),
      ...this.#inbox.start(),
      ...this.#lookUps.start(),
      () => ticking.cancel(),
    ];
  }

  /** Ends all subscriptions. */
  stop(): void {
    for (const end of this.#endings.splice(0)) end();
  }

  /** How much this process holds, for status and metrics. */
  get held(): { jobs: number; bytes: number } {
    return { jobs: this.#store.size, bytes: this.#store.bytes };
  }

  override accept(offer: JobOffer): Promise<Result<Job, JobRefusal>> {
    if (this.#isStopping) return Promise.resolve(err({ kind: "stopping" }));
    return this.#acceptance.accept(offer);
  }

  override readyJobs(): ReadyJob[] {
    if (this.#isStopping) return [];
    return this.#store.records().flatMap((record) => this.#readyJob(record));
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
    const isOpen = this.#readyJob(record).length > 0;
    if (isOpen && record.outcome === undefined) {
      const refusal = await this.#settle(record, value);
      if (refusal !== undefined) return err(refusal);
    }
    return this.#release(record, { upstream, nonce });
  }

  override async recordUnsent(
    id: JobId,
  ): Promise<Result<void, DispatchRefusal>> {
    const record = this.#store.find(id);
    if (record === undefined) return err({ kind: "not-held" });
    if (!this.#isReleasedHere(record)) return err({ kind: "settled" });
    record.isMoving = true;
    const others = record.keepers.filter((member) => member !== this.#self);
    const copies = await this.#copying.copyTo(others, {
      job: record.job,
      withinMs: MOVE_COPY_WAIT_MS,
    });
    record.isMoving = false;
    if (!this.#isReleasedHere(record)) return err({ kind: "settled" });
    this.#lifecycle.reopen(record, copies);
    return ok(undefined);
  }

  override recordFinished(id: JobId, answer: JobAnswer): void {
    const record = this.#store.find(id);
    if (record !== undefined) this.#lifecycle.finish(record, answer);
  }

  override async withdraw(id: JobId): Promise<Result<void, DispatchRefusal>> {
    const record = this.#store.find(id);
    if (record === undefined) return err({ kind: "not-held" });
    if (this.#readyJob(record).length === 0) return err({ kind: "settled" });
    const refusal = await this.#settle(record, { kind: "withdraw" });
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

  #readyJob(record: JobRecord): ReadyJob[] {
    const { job, epoch, outcome } = record;
    if (this.#isExpired(record) || record.answer !== undefined) return [];
    if (outcome === undefined) {
      const isReady = epoch?.holder === this.#self &&
        record.attempt === undefined && !record.isMoving &&
        !record.hasUsedHolderRound;
      return isReady ? [{ job }] : [];
    }
    const dispatch = dispatchOf(record);
    if (dispatch?.by !== this.#self || record.isReleased) return [];
    const { upstream, nonce } = dispatch;
    return [{ job, pinned: { upstream, nonce } }];
  }

  /** Undefined once the value was chosen. */
  async #settle(
    record: JobRecord,
    value: RegisterValue,
  ): Promise<DispatchRefusal | undefined> {
    const end = await this.#proposals.propose(record, value);
    if (end.kind === "failed") return { kind: "unconfirmed" };
    return end.value === value ? undefined : { kind: "settled" };
  }

  /** Gives the right to dispatch, at most once in this process. */
  #release(
    record: JobRecord,
    { upstream, nonce }: JobDispatch,
  ): Result<void, DispatchRefusal> {
    const { outcome } = record;
    if (record.attempt !== undefined || record.isMoving) {
      return err({ kind: "busy" });
    }
    const isMine = outcome?.kind === "dispatch" && outcome.by === this.#self &&
      outcome.upstream === upstream && outcome.nonce === nonce;
    const isOver = record.answer !== undefined || this.#isExpired(record);
    if (!isMine || isOver || record.isReleased) {
      return err({ kind: "settled" });
    }
    record.isReleased = true;
    this.#options.metrics.count("jobs_dispatched");
    return ok(undefined);
  }

  /** Whether the dispatch is this process's to make and nobody has ended it. */
  #isReleasedHere(record: JobRecord): boolean {
    return record.isReleased && record.answer === undefined &&
      dispatchOf(record)?.by === this.#self &&
      this.#store.find(record.job.id) === record;
  }

  #isExpired({ job }: JobRecord): boolean {
    return job.expiresAt <= this.#options.timer.wallNow();
  }

  #hasJobsToMove(): boolean {
    const untold = this.#outbox.pendingJobs();
    return this.#store.records().some(({ job, epoch, outcome, answer }) => {
      const isOpen = epoch !== undefined && outcome === undefined &&
        answer === undefined;
      return isOpen || untold.has(job.id);
    });
  }

  #tick(): void {
    const { timer } = this.#options;
    this.#outbox.poll();
    this.#store.dropOldTombstones(timer.wallNow());
    for (const record of this.#store.records()) {
      if (this.#dropIfOver(record)) continue;
      this.#proposals.poll(record);
      this.#lifecycle.dropIdleBody(record);
      this.#take(record, this.#nextStep(record));
      this.#check(record);
    }
  }

  #nextStep(record: JobRecord): JobStep {
    return nextStep(record, {
      self: this.#self,
      now: this.#options.timer.now(),
      members: this.#members,
      isStopping: this.#isStopping,
    });
  }

  #dropIfOver(record: JobRecord): boolean {
    const { timer, metrics } = this.#options;
    if (this.#isExpired(record)) {
      metrics.count("jobs_expired");
      this.#lifecycle.forget(record, { isTold: false });
      return true;
    }
    const isUnconfirmed = record.epoch === undefined &&
      record.outcome === undefined;
    const age = timer.now() - record.installedAt;
    if (!isUnconfirmed || age < UNCONFIRMED_MS) return false;
    this.#store.removeUnconfirmed(record);
    return true;
  }

  #take(record: JobRecord, step: JobStep): void {
    if (step.kind === "move") void this.#move(record, step);
    else if (step.kind === "end-alone") {
      this.#lifecycle.endAlone(record, step.ending);
    } else if (step.kind === "resume") this.#lifecycle.resume(record);
    else if (step.kind === "replenish") {
      record.keepers = step.keepers;
      this.#lifecycle.tellKeepers(record);
    }
  }

  async #move(
    record: JobRecord,
    { staying, fresh, spare, holder, isRequired }: Extract<
      JobStep,
      { kind: "move" }
    >,
  ): Promise<void> {
    const epoch = record.epoch!;
    record.isMoving = true;
    const copies = await this.#copying.copyTo(fresh, {
      job: record.job,
      withinMs: MOVE_COPY_WAIT_MS,
    });
    record.isMoving = false;
    const members = padded([...staying, ...copies], spare);
    const isCurrent = this.#store.find(record.job.id) === record &&
      record.epoch === epoch && record.outcome === undefined;
    if (!isCurrent) return;
    record.retryAt = this.#options.timer.now() + MOVE_RETRY_MS;
    const isHelped = members.length > 1 &&
      (isRequired || copies.length > 0);
    if (!isHelped) return;
    const next: Epoch = {
      number: epoch.number + 1,
      members,
      holder: holder === "self" ? this.#self : members[0]!,
    };
    await this.#proposals.propose(record, { kind: "move", epoch: next });
  }

  #check(record: JobRecord): void {
    const { timer, link } = this.#options;
    const now = timer.now();
    if (now - record.checkedAt < CHECK_PERIOD_MS) return;
    record.checkedAt = now;
    const epochNumber = record.epoch?.number ?? 0;
    const body = { id: record.job.id, epochNumber, by: this.#self };
    for (const member of record.keepers) {
      if (member === this.#self) continue;
      sendMessage(link, JOB_CHECK, { to: hostOf(member), body });
    }
  }
}

/** Members up to the usual number; spare ones may come back with their copies. */
function padded(
  members: readonly MemberId[],
  spare: readonly MemberId[],
): MemberId[] {
  return [...members, ...spare].slice(
    0,
    Math.max(members.length, MEMBERS_PER_JOB),
  );
}
