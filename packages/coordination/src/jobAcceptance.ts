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

const COPY_WAIT_MS: Milliseconds = 800;
const CONFIRM_WAIT_MS: Milliseconds = 1_500;
const FULL_RETRY_MS: Milliseconds = 30_000;
const ID_BYTES = 16;

/** What one job may take. */
export interface JobLimits {
  readonly maximumBodyBytes: number;
  readonly maximumAgeMs: Milliseconds;
}

/** What {@link JobAcceptance} needs. */
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
 * Takes new jobs. A job is accepted once its copies hold it and know that it
 * counts. Until then the copies never act, so that a refusal may
 * say "not run" whatever becomes of its messages.
 */
export class JobAcceptance {
  readonly #options: JobAcceptanceOptions;

  constructor(options: JobAcceptanceOptions) {
    this.#options = options;
  }

  async accept(offer: JobSubmission): Promise<Result<Job, JobRefusal>> {
    const result = await this.#accept(offer);
    const { metrics } = this.#options;
    if (result.isOk()) metrics.count("jobs_accepted");
    else metrics.count("jobs_refused", 1, { reason: result.error.kind });
    return result;
  }

  async #accept(offer: JobSubmission): Promise<Result<Job, JobRefusal>> {
    const { self, timer, store, lifecycle, members } = this.#options;
    const refusal = this.#check(offer);
    if (refusal !== undefined) return err(refusal);
    const needed = copiesNeeded(self, members);
    if (needed === 0) return err({ kind: "no-copies" });
    const key = asId<JobId>(this.#options.random.hex(ID_BYTES));
    const places = this.#places(key, []);
    const id = asId<JobId>(
      [key, hostOfMember(self), ...places.map(({ host }) => host)].join("~"),
    );
    const job: Job = { ...offer, id, acceptedAt: timer.wallNow() };
    if (!store.hasCapacityFor(job)) return err(FULL);
    const record = store.install(job, { now: timer.now() });
    const copies = await this.#copy(job, { places, needed });
    record.replicas = [self, ...copies];
    if (!this.#areEnough(copies, needed)) {
      lifecycle.remove(record);
      return err({ kind: "no-copies" });
    }
    return this.#confirm(record, [self, ...copies]);
  }

  #check(offer: JobSubmission): JobRefusal | undefined {
    const { maximumBodyBytes, maximumAgeMs, timer } = this.#options;
    if (offer.body.length > maximumBodyBytes) {
      return { kind: "too-large", maximumBytes: maximumBodyBytes };
    }
    if (offer.expiresAt - timer.wallNow() > maximumAgeMs) {
      return { kind: "too-long", maximumAgeMs };
    }
    return undefined;
  }

  /** Copies at the first places; where one does not answer, at others. */
  async #copy(
    job: Job,
    { places, needed }: { places: readonly JobMember[]; needed: number },
  ): Promise<MemberId[]> {
    const { replication: copying } = this.#options;
    const first = places.map(memberIdOf);
    const copies = await copying.replicateTo(first, {
      job,
      withinMs: COPY_WAIT_MS,
    });
    if (copies.length === first.length || this.#areEnough(copies, needed)) {
      return copies;
    }
    const others = this.#places(job.id, places).map(memberIdOf);
    const more = await copying.replicateTo(others, {
      job,
      withinMs: COPY_WAIT_MS,
    });
    return [...copies, ...more].slice(0, REPLICAS_PER_JOB - 1);
  }

  #places(id: JobId, excluded: readonly JobMember[]): JobMember[] {
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

  #areEnough(copies: readonly MemberId[], needed: number): boolean {
    const { self, members } = this.#options;
    const [own] = members.domainsOf([self]);
    const elsewhere = members.domainsOf(copies).filter((domain) =>
      domain !== own
    );
    return elsewhere.length >= needed;
  }

  /**
   * Every copy has to know that the job counts. With one of them cut off, the
   * death of the holder leaves the other alone, which has no majority, and a job
   * that was accepted never ends.
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
        CONFIRM_WAIT_MS,
        () => resolve(err({ kind: "unconfirmed", id: record.job.id })),
      );
      const copies = members.filter((member) => member !== self);
      const noted = new Set<MemberId>();
      for (const to of copies) {
        const onNoted = (isHeld: boolean): void => {
          if (!isHeld) return;
          noted.add(to);
          if (noted.size < copies.length) return;
          timeout.cancel();
          resolve(ok(record.job));
        };
        lifecycle.notifyMoved(to, { record, epoch, onNoted });
      }
    });
  }
}

const FULL: JobRefusal = { kind: "full", retryAfterMs: FULL_RETRY_MS };

/**
 * Copies that must lie in other failure domains: two where hosts of three
 * domains answer, one where there are two. A third member beyond these keeps a
 * majority when one is lost.
 */
function copiesNeeded(self: MemberId, members: JobMembers): number {
  const domains = new Set([
    ...members.domainsOf([self]),
    ...members.availableMembers().map(({ failureDomain }) => failureDomain),
  ]);
  return Math.min(domains.size, REPLICAS_PER_JOB) - 1;
}
