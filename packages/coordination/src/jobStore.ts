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

/** A value that ends the choice: the job moves no more. */
export type JobOutcome = Exclude<RegisterValue, { kind: "move" }>;

/** How an attempt to settle a job ended. */
export type ProposalResult =
  | { readonly kind: "chosen"; readonly value: RegisterValue }
  | { readonly kind: "failed" };

/** An attempt of this process that is under way. */
export interface RunningProposal {
  state: ProposerState;
  readonly startedAt: Milliseconds;
  sentAt: Milliseconds;
  readonly onEnd: (end: ProposalResult) => void;
}

/** One job as this process holds it. */
export interface JobRecord {
  job: Job;
  /** Whether the job could be dispatched from here. */
  hasBody: boolean;
  readonly installedAt: Milliseconds;
  /** Absent for a copy that nobody has confirmed yet; such a copy never acts. */
  epoch?: Epoch;
  /**
   * The epoch that this process learned of when it let go of the job earlier. It
   * takes part in later ones only: in those before it may have promised things
   * that it has forgotten.
   */
  formerEpoch?: Epoch;
  /** What this process has promised and accepted in the epoch. */
  acceptor: AcceptorState;
  proposal?: RunningProposal;
  /** The holder's round 0 serves once per epoch. */
  hasUsedHolderRound: boolean;
  highestRound: number;
  retryAt: Milliseconds;
  isMoving: boolean;
  /** Members that answer but hold no copy any more. */
  readonly lostMembers: Set<MemberId>;
  outcome?: JobOutcome;
  outcomeKnownSince: Milliseconds;
  /** Number of the epoch that settled on the outcome. */
  outcomeEpoch?: number;
  /** Processes that hold the job or its outcome now. */
  replicas: readonly MemberId[];
  /** Who dispatches or resumes. */
  runner?: MemberId;
  /** `recordDispatch` has given the right here; it gives it once. */
  isDispatchGranted: boolean;
  answer?: JobResponse;
  checkedAt: Milliseconds;
}

/** What remains of a job that was here. */
interface Tombstone {
  readonly until: EpochMilliseconds;
  readonly movedTo?: Epoch;
}

/** Bounds of a {@link JobStore}. */
export interface JobStoreOptions {
  readonly maximumJobs?: number;
  /** Bytes of bodies and answers. */
  readonly maximumBytes?: number;
  readonly maximumTombstones?: number;
}

/** Largest clock difference between hosts that tombstones allow for. */
export const TOMBSTONE_MARGIN_MS: Milliseconds = 600_000;
/** Bytes that a job without body is charged with. */
const RECORD_BYTES = 1024;

/**
 * The jobs of this process, bounded by count and bytes.
 *
 * A job that was here leaves a tombstone until it would have expired. Without
 * one, a copy that the network delivers again long after would make this
 * process a member with an empty memory, which could let a job that ran be
 * dispatched again. Tombstones are bounded, too: when there is no room for one
 * more, no new job is taken.
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

  /** Whether a copy may come here: the job has not ended here before. */
  canInstall(id: JobId): boolean {
    const tombstone = this.#tombstones.get(id);
    return tombstone === undefined || tombstone.movedTo !== undefined;
  }

  /** Adds a job that nobody has confirmed yet. */
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

  /** Drops the body, which nobody needs after a dispatch elsewhere. */
  dropBody(record: JobRecord): void {
    this.#bytes -= record.job.body.length;
    record.job = { ...record.job, body: new Uint8Array() };
    record.hasBody = false;
  }

  /** Takes the body again, for a dispatch that was recorded but not made. */
  restoreBody(record: JobRecord, { body }: Job): void {
    if (record.hasBody) return;
    this.#bytes += body.length;
    record.job = { ...record.job, body };
    record.hasBody = true;
  }

  setAnswer(record: JobRecord, answer: JobResponse): void {
    this.#bytes += answer.body.length - (record.answer?.body.length ?? 0);
    record.answer = answer;
  }

  /** Removes a job and leaves a tombstone. */
  removeWithTombstone(id: JobId, movedTo?: Epoch): void {
    const record = this.#records.get(id);
    if (record === undefined) return;
    this.#remove(id);
    const until = record.job.expiresAt + TOMBSTONE_MARGIN_MS;
    this.#tombstones.set(id, { until, ...(movedTo && { movedTo }) });
  }

  /** Removes a copy that was never confirmed; it has promised nothing. */
  removeUnconfirmed({ job, formerEpoch }: JobRecord): void {
    if (formerEpoch === undefined) this.#remove(job.id);
    else this.removeWithTombstone(job.id, formerEpoch);
  }

  #remove(id: JobId): void {
    const record = this.#records.get(id);
    if (record === undefined) return;
    this.#bytes -= bytesOf(record.job) + (record.answer?.body.length ?? 0);
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
