import {
  asId,
  type JobId,
  type Metrics,
  type Milliseconds,
  type Random,
  type Timer,
} from "@wasabivane/common";
import { err, ok, type Result } from "neverthrow";
import type { Job, JobRefusal, JobSubmission } from "./job.ts";
import type { JobReplication } from "./jobReplication.ts";
import { REPLICAS_PER_JOB } from "./jobStep.ts";
import type { JobLifecycle } from "./jobLifecycle.ts";
import {
  chooseReplicaHosts,
  type JobMember,
  type JobMembers,
  memberIdOf,
} from "./jobMembers.ts";
import { type Epoch, hostOfMember, type MemberId } from "./jobRegister.ts";
import type { JobRecord, JobStore } from "./jobStore.ts";

const COPY_TIMEOUT_MS: Milliseconds = 800;
const CONFIRM_TIMEOUT_MS: Milliseconds = 1_500;
const FULL_RETRY_AFTER_MS: Milliseconds = 30_000;
const ID_BYTES = 16;

/** Limits of one job. */
export interface JobLimits {
  readonly maximumBodyBytes: number;
  readonly maximumAgeMs: Milliseconds;
}

/** Dependencies of {@link JobAcceptance}. */
export interface JobAcceptanceOptions extends JobLimits {
  readonly self: MemberId;
  readonly timer: Timer;
  readonly random: Random;
  readonly metrics: Metrics;
  readonly store: JobStore;
  readonly members: JobMembers;
  readonly replication: JobReplication;
  readonly lifecycle: JobLifecycle;
}

/**
 * Accepts new jobs. A job is accepted once its replicas hold it and know its
 * epoch. Until then copies are inactive, so a refused job is certain not to
 * run.
 */
export class JobAcceptance {
  readonly #options: JobAcceptanceOptions;

  constructor(options: JobAcceptanceOptions) {
    this.#options = options;
  }

  async accept(submission: JobSubmission): Promise<Result<Job, JobRefusal>> {
    const result = await this.#accept(submission);
    const { metrics } = this.#options;
    if (result.isOk()) metrics.count("jobs_accepted");
    else metrics.count("jobs_refused", 1, { reason: result.error.kind });
    return result;
  }

  async #accept(submission: JobSubmission): Promise<Result<Job, JobRefusal>> {
    const { self, timer, store, lifecycle, members } = this.#options;
    const refusal = this.#checkLimits(submission);
    if (refusal !== undefined) return err(refusal);
    const needed = copiesNeeded(self, members);
    if (needed === 0) return err({ kind: "no-copies" });
    const key = asId<JobId>(this.#options.random.hex(ID_BYTES));
    const targets = this.#chooseHosts(key, []);
    const id = asId<JobId>(
      [key, hostOfMember(self), ...targets.map(({ host }) => host)].join("~"),
    );
    const job: Job = { ...submission, id, acceptedAt: timer.wallNow() };
    if (!store.hasCapacityFor(job)) return err(FULL_REFUSAL);
    const record = store.install(job, { now: timer.now() });
    const copies = await this.#replicate(job, { targets, needed });
    record.replicas = [self, ...copies];
    if (!this.#hasEnoughCopies(copies, needed)) {
      lifecycle.remove(record);
      return err({ kind: "no-copies" });
    }
    return this.#confirm(record, [self, ...copies]);
  }

  #checkLimits(submission: JobSubmission): JobRefusal | undefined {
    const { maximumBodyBytes, maximumAgeMs, timer } = this.#options;
    if (submission.body.length > maximumBodyBytes) {
      return { kind: "too-large", maximumBytes: maximumBodyBytes };
    }
    if (submission.expiresAt - timer.wallNow() > maximumAgeMs) {
      return { kind: "too-long", maximumAgeMs };
    }
    return undefined;
  }

  /**
   * Replicates to the preferred hosts and, if some of them do not reply, to
   * others.
   */
  async #replicate(
    job: Job,
    { targets, needed }: { targets: readonly JobMember[]; needed: number },
  ): Promise<MemberId[]> {
    const { replication } = this.#options;
    const preferred = targets.map(memberIdOf);
    const copies = await replication.replicateTo(preferred, {
      job,
      withinMs: COPY_TIMEOUT_MS,
    });
    if (
      copies.length === preferred.length ||
      this.#hasEnoughCopies(copies, needed)
    ) {
      return copies;
    }
    const others = this.#chooseHosts(job.id, targets).map(memberIdOf);
    const more = await replication.replicateTo(others, {
      job,
      withinMs: COPY_TIMEOUT_MS,
    });
    return [...copies, ...more].slice(0, REPLICAS_PER_JOB - 1);
  }

  #chooseHosts(id: JobId, excluded: readonly JobMember[]): JobMember[] {
    const { self, members } = this.#options;
    const candidates = members.availableMembers().filter((member) =>
      memberIdOf(member) !== self && !excluded.includes(member)
    );
    return chooseReplicaHosts(id, {
      candidates,
      usedDomains: members.domainsOf([self]),
      count: REPLICAS_PER_JOB - 1,
    });
  }

  #hasEnoughCopies(copies: readonly MemberId[], needed: number): boolean {
    const { self, members } = this.#options;
    const [own] = members.domainsOf([self]);
    const elsewhere = members.domainsOf(copies).filter((domain) =>
      domain !== own
    );
    return elsewhere.length >= needed;
  }

  /**
   * Confirms the epoch at every replica. If one of them missed it, the loss of
   * the holder would leave the other one without a majority.
   */
  #confirm(
    record: JobRecord,
    members: readonly MemberId[],
  ): Promise<Result<Job, JobRefusal>> {
    const { self, timer, lifecycle } = this.#options;
    const epoch: Epoch = { number: 0, members, holder: self };
    lifecycle.adoptEpoch(record, epoch);
    return new Promise((resolve) => {
      const timeout = timer.after(
        CONFIRM_TIMEOUT_MS,
        () => resolve(err({ kind: "unconfirmed", id: record.job.id })),
      );
      const copies = members.filter((member) => member !== self);
      const acked = new Set<MemberId>();
      for (const to of copies) {
        const onAck = (isHeld: boolean): void => {
          if (!isHeld) return;
          acked.add(to);
          if (acked.size < copies.length) return;
          timeout.cancel();
          resolve(ok(record.job));
        };
        lifecycle.notifyMoved(to, { record, epoch, onAck });
      }
    });
  }
}

const FULL_REFUSAL: JobRefusal = {
  kind: "full",
  retryAfterMs: FULL_RETRY_AFTER_MS,
};

/**
 * Returns the required number of copies in other failure domains: two if hosts
 * of three domains are available, one if there are two. A third member beyond
 * these keeps a majority after one loss.
 */
function copiesNeeded(self: MemberId, members: JobMembers): number {
  const domains = new Set([
    ...members.domainsOf([self]),
    ...members.availableMembers().map(({ failureDomain }) => failureDomain),
  ]);
  return Math.min(domains.size, REPLICAS_PER_JOB) - 1;
}
