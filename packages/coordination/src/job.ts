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

/** Job submitted by a caller, with everything that its dispatch needs. */
export interface JobSubmission {
  readonly account: ClientAccountId;
  readonly service: ServiceId;
  readonly tier: Tier;
  readonly method: string;
  /** Path and query below the service's prefix. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  /** When the job and its response may be deleted. */
  readonly expiresAt: EpochMilliseconds;
}

/** An accepted job. */
export interface Job extends JobSubmission {
  /**
   * Contains the hosts that accepted it, so that any entry host can find it.
   */
  readonly id: JobId;
  readonly acceptedAt: EpochMilliseconds;
}

/** Response of an ended job; empty unless one was received. */
export interface JobResponse {
  readonly ending: RequestOutcome;
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

/** Upstream and nonce of a job's dispatch. */
export interface JobDispatch {
  readonly upstream: UpstreamId;
  readonly nonce: Nonce;
}

/** Why a job was not accepted. */
export type JobRefusal =
  | { readonly kind: "full"; readonly retryAfterMs: Milliseconds }
  | { readonly kind: "too-large"; readonly maximumBytes: number }
  | { readonly kind: "too-long"; readonly maximumAgeMs: Milliseconds }
  /**
   * Too few hosts of other failure domains accepted a copy; the job has not
   * run.
   */
  | { readonly kind: "no-copies" }
  | { readonly kind: "stopping" }
  /** Some replicas may have accepted the job; its outcome is unknown. */
  | { readonly kind: "unconfirmed"; readonly id: JobId };

/** Why a dispatch is not allowed. */
export type DispatchRefusal =
  | { readonly kind: "not-held" }
  /** Another process may dispatch it, or the job has run or ended. */
  | { readonly kind: "settled" }
  | { readonly kind: "busy" }
  /**
   * Too few replicas replied in time. Once the outcome is clear, the job is
   * returned by `readyJobs` again, possibly with `recordedDispatch` set.
   */
  | { readonly kind: "unconfirmed" };

/** Status of a job. */
export type JobStatus =
  | { readonly kind: "waiting" }
  | { readonly kind: "running"; readonly upstream: UpstreamId }
  | { readonly kind: "ended"; readonly answer: JobResponse };

/** Why a job's status is not available. */
export type JobLookUpError =
  /** No host has it: fetched, expired, or lost with all replicas. */
  | { readonly kind: "not-found" }
  /** A host that may have it did not reply. */
  | { readonly kind: "unreachable" };

/** A job that this host may submit to the scheduler. */
export interface ReadyJob {
  readonly job: Job;
  /**
   * Recorded dispatch that was not made; only this upstream and nonce may be
   * used.
   */
  readonly recordedDispatch?: JobDispatch;
}

/** A job taken over from another host. */
export interface JobTakeover {
  readonly job: Job;
  /**
   * Dispatch to resume instead of dispatching again; absent if the job has not
   * been dispatched.
   */
  readonly dispatchToResume?: JobDispatch;
}

/** Accepts jobs and keeps them available when their host fails. */
export abstract class JobService {
  /** Accepts a job. Resolves once enough replicas hold it. */
  abstract accept(submission: JobSubmission): Promise<Result<Job, JobRefusal>>;
  /**
   * Returns the jobs that this host holds and that have not been dispatched.
   */
  abstract readyJobs(): ReadyJob[];
  /**
   * Records a dispatch. It must succeed before any byte of the job is written
   * to the upstream.
   */
  abstract recordDispatch(
    id: JobId,
    dispatch: JobDispatch,
  ): Promise<Result<void, DispatchRefusal>>;
  /**
   * Cancels a recorded dispatch of which no byte was sent. The job may then be
   * dispatched again and is returned by `readyJobs`.
   */
  abstract recordUnsent(id: JobId): Promise<Result<void, DispatchRefusal>>;
  /**
   * Records the end of a dispatch or a resumed one; the replicas keep the
   * response.
   */
  abstract recordFinished(id: JobId, response: JobResponse): void;
  /** Withdraws a job that has not been dispatched; it ends as not run. */
  abstract withdraw(id: JobId): Promise<Result<void, DispatchRefusal>>;
  /** Returns the status of a job of the client account. */
  abstract lookUp(
    id: JobId,
    account: ClientAccountId,
  ): Promise<Result<JobStatus, JobLookUpError>>;
  /** Deletes all copies of a job whose response the caller has received. */
  abstract recordFetched(id: JobId, account: ClientAccountId): void;
  /** Returns the status of a job and deletes the job if it has ended. */
  abstract fetchOnce(
    id: JobId,
    account: ClientAccountId,
  ): Promise<Result<JobStatus, JobLookUpError>>;
  /** Moves all jobs to other hosts for a planned stop; false if some remain. */
  abstract handOver(withinMs: Milliseconds): Promise<boolean>;
  /** Subscribes to jobs that this host takes over. */
  abstract onTakeover(listener: (takeover: JobTakeover) => void): () => void;
}
