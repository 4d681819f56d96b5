import type { Result } from "neverthrow";
import type {
  ClientAccountId,
  EpochMilliseconds,
  JobId,
  Milliseconds,
  Nonce,
  RequestOutcome,
  ServiceId,
  Tier,
  UpstreamId,
} from "@wasabivane/common";

/** What a caller gives to be run later, with everything a dispatch needs. */
export interface JobSubmission {
  readonly account: ClientAccountId;
  readonly service: ServiceId;
  readonly tier: Tier;
  readonly method: string;
  /** Path and query below the service's prefix. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  /** When the job and its answer may be forgotten. */
  readonly expiresAt: EpochMilliseconds;
}

/** An offer that was accepted. */
export interface Job extends JobSubmission {
  /** Names the hosts that took it, so that any entry finds it again. */
  readonly id: JobId;
  readonly acceptedAt: EpochMilliseconds;
}

/** How a job ended; an answer only where one arrived. */
export interface JobResponse {
  readonly ending: RequestOutcome;
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

/** Where a job was dispatched. */
export interface JobDispatch {
  readonly upstream: UpstreamId;
  readonly nonce: Nonce;
}

/** Why a job was not taken. */
export type JobRefusal =
  | { readonly kind: "full"; readonly retryAfterMs: Milliseconds }
  | { readonly kind: "too-large"; readonly maximumBytes: number }
  | { readonly kind: "too-long"; readonly maximumAgeMs: Milliseconds }
  /** No peer of another failure domain took a copy; the job has not run. */
  | { readonly kind: "no-copies" }
  | { readonly kind: "stopping" }
  /** The copies may or may not keep it; the job's ending is unknown. */
  | { readonly kind: "unconfirmed"; readonly id: JobId };

/** Why a dispatch must not be made. */
export type DispatchRefusal =
  | { readonly kind: "not-held" }
  /** Another process has the right, or the job has run or ended. */
  | { readonly kind: "settled" }
  | { readonly kind: "busy" }
  /**
   * Too few copies answered in time. The job comes back from `readyJobs` once
   * it is clear whether the dispatch counts; then perhaps `pinned`.
   */
  | { readonly kind: "unconfirmed" };

/** What is known of a job. */
export type JobStatus =
  | { readonly kind: "waiting" }
  | { readonly kind: "running"; readonly upstream: UpstreamId }
  | { readonly kind: "ended"; readonly answer: JobResponse };

/** Why a job was not found. */
export type JobLookUpError =
  /** No host that may have it knows it: fetched, expired or lost with all copies. */
  | { readonly kind: "not-found" }
  /** Some host that may have it did not answer. */
  | { readonly kind: "unreachable" };

/** A job that this host may ask the scheduler for. */
export interface ReadyJob {
  readonly job: Job;
  /**
   * The copies hold this dispatch already, but it was never made. Only this
   * upstream and nonce may be used.
   */
  readonly pinned?: JobDispatch;
}

/** A job that this host took over from another one. */
export interface JobTakeover {
  readonly job: Job;
  /** Resume there; never dispatch. Absent when the job has not been dispatched. */
  readonly resumeAt?: JobDispatch;
}

/** Jobs that outlive the host that took them, as the daemon sees them. */
export abstract class JobService {
  /** Resolves once copies hold the job; only then is it accepted. */
  abstract accept(offer: JobSubmission): Promise<Result<Job, JobRefusal>>;
  /** Jobs that this host holds and that nobody has dispatched. */
  abstract readyJobs(): ReadyJob[];
  /** Must succeed before any byte of the job is written to the upstream. */
  abstract recordDispatch(
    id: JobId,
    dispatch: JobDispatch,
  ): Promise<Result<void, DispatchRefusal>>;
  /**
   * A recorded dispatch was not made: no byte left, and none will. The job may
   * be dispatched again; it comes back from `readyJobs`.
   */
  abstract recordUnsent(id: JobId): Promise<Result<void, DispatchRefusal>>;
  /** The dispatch, or a resume, has ended; copies keep the answer. */
  abstract recordFinished(id: JobId, answer: JobResponse): void;
  /** Ends a job that has not been dispatched; it ends as not run. */
  abstract withdraw(id: JobId): Promise<Result<void, DispatchRefusal>>;
  /** What the hosts know of a job of this client account. */
  abstract lookUp(
    id: JobId,
    account: ClientAccountId,
  ): Promise<Result<JobStatus, JobLookUpError>>;
  /** The caller has the whole answer; every copy goes. */
  abstract recordFetched(id: JobId, account: ClientAccountId): void;
  /** As `lookUp`, and forgets the job at once if it has ended. */
  abstract fetchOnce(
    id: JobId,
    account: ClientAccountId,
  ): Promise<Result<JobStatus, JobLookUpError>>;
  /** Moves all jobs to other hosts for a planned stop; false when some are left. */
  abstract handOver(withinMs: Milliseconds): Promise<boolean>;
  /** Called for each job that this host takes over from another one. */
  abstract onTakeover(listener: (takeover: JobTakeover) => void): () => void;
}
