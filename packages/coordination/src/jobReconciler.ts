import type {
  Metrics,
  Milliseconds,
  PeerLink,
  Timer,
} from "@wasabivane/common";
import type { JobReplication } from "./jobReplication.ts";
import { type JobStep, nextJobStep, REPLICAS_PER_JOB } from "./jobStep.ts";
import type { JobLifecycle } from "./jobLifecycle.ts";
import type { JobMembers } from "./jobMembers.ts";
import { JOB_COPY_CHECK } from "./jobMessages.ts";
import type { JobOutbox } from "./jobOutbox.ts";
import type { JobConsensus } from "./jobConsensus.ts";
import { type Epoch, hostOfMember, type MemberId } from "./jobRegister.ts";
import type { JobRecord, JobStore } from "./jobStore.ts";
import { sendMessage } from "./peerMessages.ts";

/** Time limit for copies at new members. */
export const MOVE_COPY_WAIT_MS: Milliseconds = 1_000;
const MOVE_RETRY_MS: Milliseconds = 2_000;
/** An unconfirmed copy is removed after this time. */
const UNCONFIRMED_RETENTION_MS: Milliseconds = 60_000;
/**
 * Interval at which a process asks whether its copy is still needed, in case
 * updates were lost.
 */
const CHECK_PERIOD_MS: Milliseconds = 300_000;

/** Dependencies of {@link JobReconciler}. */
export interface JobReconcilerOptions {
  readonly self: MemberId;
  readonly link: PeerLink;
  readonly timer: Timer;
  readonly metrics: Metrics;
  readonly store: JobStore;
  readonly members: JobMembers;
  readonly replication: JobReplication;
  readonly outbox: JobOutbox;
  readonly lifecycle: JobLifecycle;
  readonly consensus: JobConsensus;
  /** Tells whether this host is handing over its jobs. */
  readonly isStopping: () => boolean;
}

/** Carries out the steps that `nextJobStep` selects for each job. */
export class JobReconciler {
  readonly #options: JobReconcilerOptions;

  constructor(options: JobReconcilerOptions) {
    this.#options = options;
  }

  /** Carries out the next step of each job that this process holds. */
  reconcileAll(): void {
    const { timer, store, outbox, consensus, lifecycle } = this.#options;
    outbox.resendDue();
    store.removeExpiredTombstones(timer.wallNow());
    for (const record of store.records()) {
      if (this.#removeIfExpired(record)) continue;
      consensus.poll(record);
      lifecycle.dropUnneededBody(record);
      this.#carryOut(record, this.#nextStep(record));
      this.#checkReplicas(record);
    }
  }

  #nextStep(record: JobRecord): JobStep {
    const { self, timer, members, isStopping } = this.#options;
    return nextJobStep(record, {
      self,
      now: timer.now(),
      members,
      isStopping: isStopping(),
    });
  }

  #removeIfExpired(record: JobRecord): boolean {
    const { timer, metrics, store, lifecycle } = this.#options;
    if (record.job.expiresAt <= timer.wallNow()) {
      metrics.count("jobs_expired");
      lifecycle.remove(record, { shouldNotify: false });
      return true;
    }
    const isUnconfirmed = record.epoch === undefined &&
      record.outcome === undefined;
    const age = timer.now() - record.installedAt;
    if (!isUnconfirmed || age < UNCONFIRMED_RETENTION_MS) return false;
    store.removeUnconfirmed(record);
    return true;
  }

  #carryOut(record: JobRecord, step: JobStep): void {
    const { lifecycle } = this.#options;
    if (step.kind === "move") void this.#move(record, step);
    else if (step.kind === "end-alone") {
      lifecycle.endWithoutQuorum(record, step.ending);
    } else if (step.kind === "resume") lifecycle.resume(record);
    else if (step.kind === "replenish") {
      record.replicas = step.replicas;
      lifecycle.notifyReplicas(record);
    }
  }

  async #move(
    record: JobRecord,
    {
      remaining,
      added,
      unreachable,
      holder,
      isRequired,
    }: Extract<
      JobStep,
      { kind: "move" }
    >,
  ): Promise<void> {
    const { self, timer, store, replication, consensus } = this.#options;
    const epoch = record.epoch!;
    record.isMoving = true;
    const copies = await replication.replicateTo(added, {
      job: record.job,
      withinMs: MOVE_COPY_WAIT_MS,
    });
    record.isMoving = false;
    const members = withUnreachable([...remaining, ...copies], unreachable);
    const isCurrent = store.find(record.job.id) === record &&
      record.epoch === epoch && record.outcome === undefined;
    if (!isCurrent) return;
    record.retryAt = timer.now() + MOVE_RETRY_MS;
    const isImprovement = members.length > 1 &&
      (isRequired || copies.length > 0);
    if (!isImprovement) return;
    const next: Epoch = {
      number: epoch.number + 1,
      members,
      holder: holder === "self" ? self : members[0]!,
    };
    await consensus.propose(record, { kind: "move", epoch: next });
  }

  #checkReplicas(record: JobRecord): void {
    const { self, timer, link } = this.#options;
    const now = timer.now();
    if (now - record.checkedAt < CHECK_PERIOD_MS) return;
    record.checkedAt = now;
    const epochNumber = record.epoch?.number ?? 0;
    const body = { id: record.job.id, epochNumber, by: self };
    for (const member of record.replicas) {
      if (member === self) continue;
      sendMessage(link, JOB_COPY_CHECK, { to: hostOfMember(member), body });
    }
  }
}

/**
 * Adds unreachable members up to the usual number of replicas; they may recover
 * with their copies.
 */
function withUnreachable(
  members: readonly MemberId[],
  unreachable: readonly MemberId[],
): MemberId[] {
  return [...members, ...unreachable].slice(
    0,
    Math.max(members.length, REPLICAS_PER_JOB),
  );
}
