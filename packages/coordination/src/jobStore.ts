import type {
  EpochMilliseconds,
  JobId,
  Milliseconds,
} from "@wasabivane/common";
import type { Job, JobResponse } from "./job.ts";
import type {
  AcceptorState,
  Epoch,
  MemberId,
  ProposerState,
  RegisterValue,
} from "./jobRegister.ts";

/** A chosen value that is final: the job does not move any more. */
export type JobOutcome = Exclude<RegisterValue, { kind: "move" }>;

/** Result of a proposal. */
export type ProposalResult =
  | { readonly kind: "chosen"; readonly value: RegisterValue }
  | { readonly kind: "failed" };

/** A proposal in progress. */
export interface RunningProposal {
  state: ProposerState;
  readonly startedAt: Milliseconds;
  sentAt: Milliseconds;
  readonly onEnd: (end: ProposalResult) => void;
}

/** State of one job in this process. */
export interface JobRecord {
  job: Job;
  /** Whether the body is available, as a dispatch needs it. */
  hasBody: boolean;
  readonly installedAt: Milliseconds;
  /** Absent until the copy is confirmed; an unconfirmed copy is inactive. */
  epoch?: Epoch;
  /**
   * Last known epoch from when this process held the job before. It takes part
   * only in later ones, since its acceptor state for earlier ones is lost.
   */
  formerEpoch?: Epoch;
  /** Acceptor state of this process in the epoch. */
  acceptor: AcceptorState;
  proposal?: RunningProposal;
  /** Whether the holder has used round 0 of the epoch. */
  hasUsedHolderRound: boolean;
  highestRound: number;
  retryAt: Milliseconds;
  isMoving: boolean;
  /** Members that are alive but hold no copy. */
  readonly lostMembers: Set<MemberId>;
  outcome?: JobOutcome;
  outcomeKnownSince: Milliseconds;
  /** Number of the epoch that chose the outcome. */
  outcomeEpoch?: number;
  /** Processes that currently hold the job or its outcome. */
  replicas: readonly MemberId[];
  /** Process that dispatches or resumes the job. */
  runner?: MemberId;
  /**
   * Whether `recordDispatch` has permitted the dispatch here; it does so once.
   */
  isDispatchGranted: boolean;
  response?: JobResponse;
  checkedAt: Milliseconds;
}

/** Marks a job that this process no longer holds. */
interface Tombstone {
  readonly until: EpochMilliseconds;
  readonly movedTo?: Epoch;
}

/** Limits of a {@link JobStore}. */
export interface JobStoreOptions {
  readonly maximumJobs?: number;
  /** Maximum bytes of bodies and responses. */
  readonly maximumBytes?: number;
  readonly maximumTombstones?: number;
}

/** How long tombstones outlive their jobs, to allow for clock skew. */
export const TOMBSTONE_MARGIN_MS: Milliseconds = 600_000;
/** Bytes that a job without a body counts for. */
const RECORD_BYTES = 1024;

/**
 * Stores the jobs of this process, limited by count and bytes.
 *
 * A removed job leaves a tombstone until it would have expired. Without it, a
 * copy delivered late could make this process a member without its acceptor
 * state, and a job could be dispatched twice. If no tombstone can be stored, no
 * new job is accepted.
 */
export class JobStore {
  readonly #records = new Map<JobId, JobRecord>();
  readonly #tombstones = new Map<JobId, Tombstone>();
  readonly #options: Required<JobStoreOptions>;
  #bytes = 0;

  constructor(
    {
      maximumJobs = 5_000,
      maximumBytes = 128 * 1024 * 1024,
      maximumTombstones = 100_000,
    }: JobStoreOptions = {},
  ) {
    this.#options = { maximumJobs, maximumBytes, maximumTombstones };
  }

  get size(): number {
    return this.#records.size;
  }

  get bytes(): number {
    return this.#bytes;
  }

  find(id: JobId): JobRecord | undefined {
    return this.#records.get(id);
  }

  records(): JobRecord[] {
    return [...this.#records.values()];
  }

  tombstone(id: JobId): Tombstone | undefined {
    return this.#tombstones.get(id);
  }

  hasCapacityFor(job: Job): boolean {
    const { maximumJobs, maximumBytes, maximumTombstones } = this.#options;
    return this.#records.size < maximumJobs &&
      this.#bytes + bytesOf(job) <= maximumBytes &&
      this.#records.size + this.#tombstones.size < maximumTombstones;
  }

  /**
   * Tells whether a copy may be installed: the job has not ended here before.
   */
  canInstall(id: JobId): boolean {
    const tombstone = this.#tombstones.get(id);
    return tombstone === undefined || tombstone.movedTo !== undefined;
  }

  /** Adds an unconfirmed job. */
  install(
    job: Job,
    { now, hasBody = true }: { now: Milliseconds; hasBody?: boolean },
  ): JobRecord {
    const formerEpoch = this.#tombstones.get(job.id)?.movedTo;
    this.#tombstones.delete(job.id);
    const record: JobRecord = {
      job,
      hasBody,
      installedAt: now,
      ...(formerEpoch && { formerEpoch }),
      acceptor: {},
      hasUsedHolderRound: false,
      highestRound: 0,
      retryAt: 0,
      isMoving: false,
      lostMembers: new Set(),
      replicas: [],
      isDispatchGranted: false,
      outcomeKnownSince: now,
      checkedAt: now,
    };
    this.#records.set(job.id, record);
    this.#bytes += bytesOf(job);
    return record;
  }

  /** Removes the body, which is not needed after a dispatch elsewhere. */
  dropBody(record: JobRecord): void {
    this.#bytes -= record.job.body.length;
    record.job = { ...record.job, body: new Uint8Array() };
    record.hasBody = false;
  }

  /** Restores the body for a dispatch that was recorded but not made. */
  restoreBody(record: JobRecord, { body }: Job): void {
    if (record.hasBody) return;
    this.#bytes += body.length;
    record.job = { ...record.job, body };
    record.hasBody = true;
  }

  setResponse(record: JobRecord, response: JobResponse): void {
    this.#bytes += response.body.length - (record.response?.body.length ?? 0);
    record.response = response;
  }

  /** Removes a job and stores a tombstone. */
  removeWithTombstone(id: JobId, movedTo?: Epoch): void {
    const record = this.#records.get(id);
    if (record === undefined) return;
    this.#remove(id);
    const until = record.job.expiresAt + TOMBSTONE_MARGIN_MS;
    this.#tombstones.set(id, { until, ...(movedTo && { movedTo }) });
  }

  /** Removes a copy that was never confirmed; it has no acceptor state. */
  removeUnconfirmed({ job, formerEpoch }: JobRecord): void {
    if (formerEpoch === undefined) this.#remove(job.id);
    else this.removeWithTombstone(job.id, formerEpoch);
  }

  #remove(id: JobId): void {
    const record = this.#records.get(id);
    if (record === undefined) return;
    this.#bytes -= bytesOf(record.job) + (record.response?.body.length ?? 0);
    this.#records.delete(id);
  }

  removeExpiredTombstones(wallNow: EpochMilliseconds): void {
    for (const [id, { until }] of this.#tombstones) {
      if (until <= wallNow) this.#tombstones.delete(id);
    }
  }
}

function bytesOf(job: Job): number {
  return RECORD_BYTES + job.body.length;
}
