import type { JobId, Metrics, Milliseconds, Timer } from "@wasabivane/common";
import type { Job, JobResponse, JobTakeover } from "./job.ts";
import type { JobUpdate } from "./jobMessages.ts";
import type { JobOutbox } from "./jobOutbox.ts";
import type { Epoch, MemberId, RegisterValue } from "./jobRegister.ts";
import type { JobOutcome, JobRecord, JobStore } from "./jobStore.ts";

/** A round that no attempt exceeds; a member that promised it takes no part any more. */
const LAST_ROUND = Number.MAX_SAFE_INTEGER;

/** Longer than a refused connection takes to be reported. */
const BODY_KEPT_MS: Milliseconds = 30_000;

/** An answer for a job that ended without one. */
export function emptyResponse(ending: "not-run" | "unknown"): JobResponse {
  return { ending, status: 0, headers: {}, body: new Uint8Array() };
}

/** What {@link JobLifecycle} needs. */
export interface JobLifecycleOptions {
  readonly self: MemberId;
  readonly timer: Timer;
  readonly metrics: Metrics;
  readonly store: JobStore;
  readonly outbox: JobOutbox;
}

/** Every change of a job's state in this process, and whom it is told to. */
export class JobLifecycle {
  readonly #options: JobLifecycleOptions;
  readonly #takeoverListeners = new Set<(takeover: JobTakeover) => void>();

  constructor(options: JobLifecycleOptions) {
    this.#options = options;
  }

  onTakeover(listener: (takeover: JobTakeover) => void): () => void {
    this.#takeoverListeners.add(listener);
    return () => this.#takeoverListeners.delete(listener);
  }

  /** An epoch is known to be the job's; a member that is not in it lets go. */
  adoptEpoch(record: JobRecord, epoch: Epoch): void {
    const { self, store, metrics } = this.#options;
    if (record.outcome !== undefined && !voids(epoch, record)) return;
    const known = record.epoch ?? record.formerEpoch;
    if (known !== undefined && known.number >= epoch.number) return;
    abortProposal(record);
    if (!epoch.members.includes(self)) {
      store.removeWithTombstone(record.job.id, epoch);
      return;
    }
    // Without the body this process could only dispatch an empty request.
    if (!record.hasBody) return;
    delete record.outcome;
    delete record.outcomeEpoch;
    delete record.runner;
    record.isDispatchGranted = false;
    const isTakeover = record.epoch?.holder !== self && epoch.holder === self;
    record.epoch = epoch;
    record.acceptor = {};
    record.hasUsedHolderRound = false;
    record.highestRound = 0;
    record.retryAt = 0;
    record.replicas = epoch.members;
    record.lostMembers.clear();
    if (epoch.number === 0 || !isTakeover) return;
    metrics.count("jobs_taken_over");
    this.#tellTakeover({ job: record.job });
  }

  /** A value was chosen in the job's epoch. */
  applyChosenValue(record: JobRecord, value: RegisterValue): void {
    if (value.kind === "move") this.#move(record, value.epoch);
    else {
      const epochNumber = record.epoch!.number;
      this.applyOutcome(record, { outcome: value, epochNumber });
    }
  }

  /** The job's outcome is known, by an own attempt or from a peer. */
  applyOutcome(
    record: JobRecord,
    { outcome, epochNumber, keepers, runner, answer, isNews = false }: {
      outcome: JobOutcome;
      epochNumber: number;
      keepers?: readonly MemberId[];
      runner?: MemberId;
      answer?: JobResponse;
      isNews?: boolean;
    },
  ): void {
    const isStale = (record.epoch?.number ?? 0) > epochNumber;
    if (isNews && isStale) return;
    abortProposal(record);
    if (record.outcome === undefined) {
      record.outcomeKnownSince = this.#options.timer.now();
    }
    record.outcome ??= outcome;
    record.outcomeEpoch ??= epochNumber;
    if (keepers !== undefined) record.replicas = keepers;
    if (runner !== undefined) record.runner = runner;
    else if (outcome.kind === "dispatch") record.runner ??= outcome.by;
    if (outcome.kind === "withdraw") {
      this.#keepAnswer(record, emptyResponse("not-run"));
    }
    if (answer !== undefined) this.#keepAnswer(record, answer);
    if (!isNews) this.notifyReplicas(record);
  }

  /** The job ended here. */
  finish(record: JobRecord, answer: JobResponse): void {
    this.#keepAnswer(record, answer);
    this.#options.metrics.count("jobs_ended", 1, { ending: answer.ending });
    if (record.outcome !== undefined) this.notifyReplicas(record);
  }

  /**
   * Ends a job whose other members are gone. This member takes no part in the
   * register any more, so that what it says stays true if they come back.
   */
  endWithoutQuorum(record: JobRecord, ending: "not-run" | "unknown"): void {
    const { self, metrics } = this.#options;
    abortProposal(record);
    const promised = { round: LAST_ROUND, proposer: self };
    record.acceptor = { ...record.acceptor, promised };
    metrics.count("jobs_stranded", 1, { ending });
    this.finish(record, emptyResponse(ending));
  }

  /**
   * Drops a body that no dispatch needs any more. It stays a while after the
   * outcome, since the upstream may refuse the dispatch.
   */
  dropUnneededBody(record: JobRecord): void {
    const { self, timer, store } = this.#options;
    if (!record.hasBody || record.outcome === undefined) return;
    const isOwn = knownDispatchOf(record)?.by === self;
    const isRecent = timer.now() - record.outcomeKnownSince < BODY_KEPT_MS;
    if (record.answer === undefined && (isOwn || isRecent)) return;
    store.dropBody(record);
  }

  /** This process resumes the job's answer at its upstream. */
  resume(record: JobRecord): void {
    const { self, metrics } = this.#options;
    const dispatch = knownDispatchOf(record);
    if (dispatch === undefined) return;
    record.runner = self;
    metrics.count("jobs_resumed");
    if (record.outcome !== undefined) this.notifyReplicas(record);
    const { upstream, nonce } = dispatch;
    this.#tellTakeover({
      job: record.job,
      resumeAt: { upstream, nonce },
    });
  }

  /** Drops a job everywhere: fetched, expired or never accepted. */
  remove(
    record: JobRecord,
    { isTold = true }: { isTold?: boolean } = {},
  ): void {
    const { store } = this.#options;
    abortProposal(record);
    const others = this.#othersOf(record);
    store.removeWithTombstone(record.job.id);
    if (!isTold) return;
    for (const to of others) this.#post(to, record.job.id, { kind: "gone" });
  }

  /** Tells the keepers the outcome, and the answer once there is one. */
  notifyReplicas(record: JobRecord): void {
    const news = settledNews(record);
    if (news === undefined) return;
    for (const to of this.#othersOf(record)) {
      this.#post(to, record.job.id, news);
    }
  }

  /** Tells a process what it missed about a job; nothing when it is up to date. */
  sendLatestUpdate(
    to: MemberId,
    { id, epochNumber }: { id: JobId; epochNumber: number },
  ): void {
    const { store } = this.#options;
    const record = store.find(id);
    const tombstone = store.tombstone(id);
    if (record?.outcome !== undefined) {
      this.#post(to, id, settledNews(record)!);
      return;
    }
    const epoch = record?.epoch ?? record?.formerEpoch ?? tombstone?.movedTo;
    if (epoch !== undefined) {
      if (epoch.number <= epochNumber) return;
      this.#post(to, id, { kind: "moved", epoch });
    } else if (tombstone !== undefined) {
      this.#post(to, id, { kind: "gone" });
    }
  }

  /**
   * Opens a fresh epoch in place of a dispatch of this process that was not
   * made. Only the process that the outcome names may write the request, so
   * that its word alone voids it; the former epoch needs no further choice.
   */
  reopen(record: JobRecord, copies: readonly MemberId[]): void {
    const { self, metrics } = this.#options;
    metrics.count("jobs_unsent");
    record.isDispatchGranted = false;
    // With no other copy the recorded dispatch stands and may be made later.
    if (copies.length === 0) return;
    this.#move(record, {
      number: record.outcomeEpoch! + 1,
      members: [self, ...copies],
      holder: self,
    });
  }

  #move(record: JobRecord, epoch: Epoch): void {
    const { self, metrics } = this.#options;
    const told = new Set([...this.#othersOf(record), ...epoch.members]);
    told.delete(self);
    metrics.count("jobs_moved");
    this.adoptEpoch(record, epoch);
    for (const to of told) this.notifyMoved(to, { record, epoch });
  }

  /** Tells a process the job's epoch; one without a copy counts as lost. */
  notifyMoved(
    to: MemberId,
    { record, epoch, onNoted }: {
      record: JobRecord;
      epoch: Epoch;
      onNoted?: (isHeld: boolean) => void;
    },
  ): void {
    this.#options.outbox.post(to, {
      id: record.job.id,
      news: { kind: "moved", epoch },
      onNoted: (isHeld) => {
        if (!isHeld && epoch.members.includes(to)) record.lostMembers.add(to);
        onNoted?.(isHeld);
      },
    });
  }

  #post(to: MemberId, id: JobId, news: JobUpdate): void {
    this.#options.outbox.post(to, { id, news });
  }

  #othersOf(record: JobRecord): MemberId[] {
    const all = new Set([...record.replicas, ...record.epoch?.members ?? []]);
    all.delete(this.#options.self);
    return [...all];
  }

  #keepAnswer(record: JobRecord, answer: JobResponse): void {
    // A whole answer that comes late is better than an ending without one.
    if (record.answer?.ending === "whole") return;
    this.#options.store.setAnswer(record, answer);
  }

  #tellTakeover(takeover: JobTakeover): void {
    for (const listener of this.#takeoverListeners) listener(takeover);
  }
}

/** Where the job was or may have been dispatched, as far as this process knows. */
export function knownDispatchOf(
  record: JobRecord,
): Extract<JobOutcome, { kind: "dispatch" }> | undefined {
  const value = record.outcome ?? record.acceptor.accepted?.value;
  return value?.kind === "dispatch" ? value : undefined;
}

/** Ends this process's attempt, if one is under way. */
export function abortProposal(record: JobRecord): void {
  const { proposal: attempt } = record;
  delete record.proposal;
  attempt?.onEnd({ kind: "failed" });
}

/** Whether an epoch replaces an outcome whose dispatch was not made. */
function voids(epoch: Epoch, { outcome, outcomeEpoch }: JobRecord): boolean {
  return outcome?.kind === "dispatch" && outcome.by === epoch.holder &&
    epoch.number > (outcomeEpoch ?? 0);
}

function withoutBody(job: Job): Job {
  return { ...job, body: new Uint8Array() };
}

function settledNews(record: JobRecord): JobUpdate | undefined {
  const { outcome, outcomeEpoch = 0, replicas: keepers, runner, answer } =
    record;
  if (outcome === undefined) return undefined;
  return {
    kind: "settled",
    job: withoutBody(record.job),
    outcome,
    epochNumber: outcomeEpoch,
    keepers,
    ...(runner && { runner }),
    ...(answer && { answer }),
  };
}
