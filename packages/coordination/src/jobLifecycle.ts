import type { JobId, Metrics, Milliseconds, Timer } from "@wasabivane/common";
import type { Job, JobResponse, JobTakeover } from "./job.ts";
import type { JobUpdate } from "./jobMessages.ts";
import type { JobOutbox } from "./jobOutbox.ts";
import type { Epoch, MemberId, RegisterValue } from "./jobRegister.ts";
import type { JobOutcome, JobRecord, JobStore } from "./jobStore.ts";

/** Highest round; a member that promised it accepts no further proposals. */
const LAST_ROUND = Number.MAX_SAFE_INTEGER;

/** Keeps the body until a refused connection has been reported. */
const BODY_RETENTION_MS: Milliseconds = 30_000;

/** Creates the response of a job that ended without one. */
export function emptyResponse(ending: "not-run" | "unknown"): JobResponse {
  return { ending, status: 0, headers: {}, body: new Uint8Array() };
}

/** Dependencies of {@link JobLifecycle}. */
export interface JobLifecycleOptions {
  readonly self: MemberId;
  readonly timer: Timer;
  readonly metrics: Metrics;
  readonly store: JobStore;
  readonly outbox: JobOutbox;
}

/** Applies state changes of jobs in this process and notifies the replicas. */
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

  /**
   * Adopts an epoch of the job; a process that is not a member removes its
   * copy.
   */
  adoptEpoch(record: JobRecord, epoch: Epoch): void {
    const { self, store, metrics } = this.#options;
    if (record.outcome !== undefined && !replacesOutcome(epoch, record)) return;
    const known = record.epoch ?? record.formerEpoch;
    if (known !== undefined && known.number >= epoch.number) return;
    abortProposal(record);
    if (!epoch.members.includes(self)) {
      store.removeWithTombstone(record.job.id, epoch);
      return;
    }
    // A member without the body could only dispatch an empty request.
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
    this.#notifyTakeover({ job: record.job });
  }

  /** Applies a value chosen in the job's epoch. */
  applyChosenValue(record: JobRecord, value: RegisterValue): void {
    if (value.kind === "move") this.#move(record, value.epoch);
    else {
      const epochNumber = record.epoch!.number;
      this.applyOutcome(record, { outcome: value, epochNumber });
    }
  }

  /**
   * Applies the job's outcome, chosen by a proposal of this process or received
   * from a peer.
   */
  applyOutcome(
    record: JobRecord,
    { outcome, epochNumber, keepers, runner, answer, isFromPeer = false }: {
      outcome: JobOutcome;
      epochNumber: number;
      keepers?: readonly MemberId[];
      runner?: MemberId;
      answer?: JobResponse;
      isFromPeer?: boolean;
    },
  ): void {
    const isStale = (record.epoch?.number ?? 0) > epochNumber;
    if (isFromPeer && isStale) return;
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
      this.#setResponse(record, emptyResponse("not-run"));
    }
    if (answer !== undefined) this.#setResponse(record, answer);
    if (!isFromPeer) this.notifyReplicas(record);
  }

  /** Records the response of a job that ended in this process. */
  finish(record: JobRecord, response: JobResponse): void {
    this.#setResponse(record, response);
    this.#options.metrics.count("jobs_ended", 1, { ending: response.ending });
    if (record.outcome !== undefined) this.notifyReplicas(record);
  }

  /**
   * Ends a job whose other members are lost. This member refuses all later
   * proposals, so that the reported ending stays true if the others recover.
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
   * Removes a body that no dispatch needs any more. It is kept for a while
   * after the outcome, since the upstream may refuse the dispatch.
   */
  dropUnneededBody(record: JobRecord): void {
    const { self, timer, store } = this.#options;
    if (!record.hasBody || record.outcome === undefined) return;
    const isOwn = knownDispatchOf(record)?.by === self;
    const isRecent = timer.now() - record.outcomeKnownSince < BODY_RETENTION_MS;
    if (record.response === undefined && (isOwn || isRecent)) return;
    store.dropBody(record);
  }

  /** Resumes the job's response at its upstream. */
  resume(record: JobRecord): void {
    const { self, metrics } = this.#options;
    const dispatch = knownDispatchOf(record);
    if (dispatch === undefined) return;
    record.runner = self;
    metrics.count("jobs_resumed");
    if (record.outcome !== undefined) this.notifyReplicas(record);
    const { upstream, nonce } = dispatch;
    this.#notifyTakeover({
      job: record.job,
      dispatchToResume: { upstream, nonce },
    });
  }

  /**
   * Removes a job that was fetched, expired or never accepted, and by default
   * notifies the other members.
   */
  remove(
    record: JobRecord,
    { shouldNotify = true }: { shouldNotify?: boolean } = {},
  ): void {
    const { store } = this.#options;
    abortProposal(record);
    const others = this.#otherMembersOf(record);
    store.removeWithTombstone(record.job.id);
    if (!shouldNotify) return;
    for (const to of others) {
      this.#sendUpdate(to, record.job.id, { kind: "gone" });
    }
  }

  /** Sends the outcome, and the response if there is one, to the replicas. */
  notifyReplicas(record: JobRecord): void {
    const update = createSettledUpdate(record);
    if (update === undefined) return;
    for (const to of this.#otherMembersOf(record)) {
      this.#sendUpdate(to, record.job.id, update);
    }
  }

  /**
   * Sends the latest update about a job to a process, unless it is up to date.
   */
  sendLatestUpdate(
    to: MemberId,
    { id, epochNumber }: { id: JobId; epochNumber: number },
  ): void {
    const { store } = this.#options;
    const record = store.find(id);
    const tombstone = store.tombstone(id);
    if (record?.outcome !== undefined) {
      this.#sendUpdate(to, id, createSettledUpdate(record)!);
      return;
    }
    const epoch = record?.epoch ?? record?.formerEpoch ?? tombstone?.movedTo;
    if (epoch !== undefined) {
      if (epoch.number <= epochNumber) return;
      this.#sendUpdate(to, id, { kind: "moved", epoch });
    } else if (tombstone !== undefined) {
      this.#sendUpdate(to, id, { kind: "gone" });
    }
  }

  /**
   * Starts a new epoch after a dispatch of this process was not made. No vote
   * is needed, since only this process may send the request of the recorded
   * dispatch.
   */
  reopen(record: JobRecord, copies: readonly MemberId[]): void {
    const { self, metrics } = this.#options;
    metrics.count("jobs_unsent");
    record.isDispatchGranted = false;
    // Without another copy, the recorded dispatch stays valid and can be made
    // later.
    if (copies.length === 0) return;
    this.#move(record, {
      number: record.outcomeEpoch! + 1,
      members: [self, ...copies],
      holder: self,
    });
  }

  #move(record: JobRecord, epoch: Epoch): void {
    const { self, metrics } = this.#options;
    const recipients = new Set([
      ...this.#otherMembersOf(record),
      ...epoch.members,
    ]);
    recipients.delete(self);
    metrics.count("jobs_moved");
    this.adoptEpoch(record, epoch);
    for (const to of recipients) this.notifyMoved(to, { record, epoch });
  }

  /**
   * Sends the job's epoch to a process; a member that replies without a copy is
   * marked as lost.
   */
  notifyMoved(
    to: MemberId,
    { record, epoch, onAck }: {
      record: JobRecord;
      epoch: Epoch;
      onAck?: (isHeld: boolean) => void;
    },
  ): void {
    this.#options.outbox.post(to, {
      id: record.job.id,
      update: { kind: "moved", epoch },
      onAck: (isHeld) => {
        if (!isHeld && epoch.members.includes(to)) record.lostMembers.add(to);
        onAck?.(isHeld);
      },
    });
  }

  #sendUpdate(to: MemberId, id: JobId, update: JobUpdate): void {
    this.#options.outbox.post(to, { id, update });
  }

  #otherMembersOf(record: JobRecord): MemberId[] {
    const all = new Set([...record.replicas, ...record.epoch?.members ?? []]);
    all.delete(this.#options.self);
    return [...all];
  }

  #setResponse(record: JobRecord, response: JobResponse): void {
    // A complete response replaces an ending without one, even if it arrives
    // late.
    if (record.response?.ending === "whole") return;
    this.#options.store.setResponse(record, response);
  }

  #notifyTakeover(takeover: JobTakeover): void {
    for (const listener of this.#takeoverListeners) listener(takeover);
  }
}

/**
 * Returns where the job was or may have been dispatched, as far as this process
 * knows.
 */
export function knownDispatchOf(
  record: JobRecord,
): Extract<JobOutcome, { kind: "dispatch" }> | undefined {
  const value = record.outcome ?? record.acceptor.accepted?.value;
  return value?.kind === "dispatch" ? value : undefined;
}

/** Ends the current proposal of this process, if any. */
export function abortProposal(record: JobRecord): void {
  const { proposal } = record;
  delete record.proposal;
  proposal?.onEnd({ kind: "failed" });
}

/** Tells whether an epoch replaces an outcome whose dispatch was not made. */
function replacesOutcome(
  epoch: Epoch,
  { outcome, outcomeEpoch }: JobRecord,
): boolean {
  return outcome?.kind === "dispatch" && outcome.by === epoch.holder &&
    epoch.number > (outcomeEpoch ?? 0);
}

function withoutBody(job: Job): Job {
  return { ...job, body: new Uint8Array() };
}

function createSettledUpdate(record: JobRecord): JobUpdate | undefined {
  const { outcome, outcomeEpoch = 0, replicas, runner, response } = record;
  if (outcome === undefined) return undefined;
  return {
    kind: "settled",
    job: withoutBody(record.job),
    outcome,
    epochNumber: outcomeEpoch,
    keepers: replicas,
    ...(runner && { runner }),
    ...(response && { answer: response }),
  };
}
