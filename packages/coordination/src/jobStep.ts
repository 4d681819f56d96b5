import type { Milliseconds } from "@wasabivane/common";
import { knownDispatchOf } from "./jobLifecycle.ts";
import {
  chooseReplicaHosts,
  type JobMembers,
  memberIdOf,
} from "./jobMembers.ts";
import { type Epoch, isMajority, type MemberId } from "./jobRegister.ts";
import type { JobRecord } from "./jobStore.ts";

/**
 * Number of processes that hold a job. Three survive the loss of any one and
 * need one reply for a majority.
 */
export const REPLICAS_PER_JOB = 3;
/** Time after which a dead process is replaced. */
export const DEAD_GRACE_MS: Milliseconds = 500;
/** Additional wait per rank before a replica takes over. */
export const TAKEOVER_STAGGER_MS: Milliseconds = 2_000;
/**
 * Time after which a job is ended if its other members have certainly
 * terminated.
 */
export const QUORUM_LOST_WAIT_MS: Milliseconds = 5_000;
/**
 * Time after which a job is ended if its other members may only be partitioned.
 */
export const QUORUM_UNREACHABLE_WAIT_MS: Milliseconds = 600_000;

/** Next step of a process for a job. */
export type JobStep =
  | { readonly kind: "wait" }
  /**
   * Proposes a new epoch with `remaining` and `added` members; the latter
   * receive copies first.
   */
  | {
    readonly kind: "move";
    readonly remaining: readonly MemberId[];
    readonly added: readonly MemberId[];
    /** Unresponsive members, which may recover with their copies. */
    readonly unreachable: readonly MemberId[];
    readonly holder: "self" | "other";
    /** Whether to move even if no member can be added. */
    readonly isRequired: boolean;
  }
  | { readonly kind: "end-alone"; readonly ending: "not-run" | "unknown" }
  | { readonly kind: "resume" }
  /** Sends the outcome or the response to more hosts. */
  | { readonly kind: "replenish"; readonly replicas: readonly MemberId[] };

/** State that {@link nextJobStep} depends on. */
export interface JobStepContext {
  readonly self: MemberId;
  readonly now: Milliseconds;
  readonly members: JobMembers;
  /** Whether this process is handing over its jobs. */
  readonly isStopping: boolean;
}

const WAIT: JobStep = { kind: "wait" };

/** Returns the next step of this process for a job. */
export function nextJobStep(
  record: JobRecord,
  context: JobStepContext,
): JobStep {
  if (record.proposal !== undefined || record.isMoving) return WAIT;
  if (record.outcome !== undefined) return stepWhenDecided(record, context);
  if (record.epoch === undefined || record.response !== undefined) return WAIT;
  if (context.now < record.retryAt) return WAIT;
  return stepWhenUndecided(record, { epoch: record.epoch, context });
}

function stepWhenUndecided(
  record: JobRecord,
  { epoch, context }: { epoch: Epoch; context: JobStepContext },
): JobStep {
  const responsive = epoch.members.filter((member) =>
    isResponsive(member, { record, context })
  );
  if (!isMajority(responsive, epoch.members)) {
    return stepWithoutQuorum(record, { epoch, responsive, context });
  }
  const { self, members, now } = context;
  if (epoch.holder === self) {
    return stepAsHolder(record, { epoch, responsive, context });
  }
  const others = responsive.filter((member) => member !== epoch.holder);
  const waitMs = DEAD_GRACE_MS + others.indexOf(self) * TAKEOVER_STAGGER_MS;
  const isHolderGone = members.deadFor(epoch.holder, now) >= waitMs &&
    members.isDead(epoch.holder);
  if (!isHolderGone) return WAIT;
  return move(record, { epoch, remaining: others, context, isRequired: true });
}

function stepAsHolder(
  record: JobRecord,
  { epoch, responsive, context }: {
    epoch: Epoch;
    responsive: readonly MemberId[];
    context: JobStepContext;
  },
): JobStep {
  const { members, now } = context;
  const remaining = responsive.filter((member) => !isLeaving(member, context));
  // After the holder has used round 0, only a new epoch allows it to propose
  // without a prepare phase.
  const mustMove = record.hasUsedHolderRound ||
    remaining.length < responsive.length;
  if (mustMove) {
    return move(record, { epoch, remaining, context, isRequired: true });
  }
  const isAnyGone = epoch.members.some((member) =>
    record.lostMembers.has(member) ||
    members.deadFor(member, now) >= DEAD_GRACE_MS
  );
  if (!isAnyGone && epoch.members.length >= REPLICAS_PER_JOB) return WAIT;
  const step = move(record, { epoch, remaining, context, isRequired: false });
  const isImprovement = step.kind === "move" && step.added.length > 0;
  return isImprovement ? step : WAIT;
}

function move(
  record: JobRecord,
  { epoch, remaining, context, isRequired }: {
    epoch: Epoch;
    remaining: readonly MemberId[];
    context: JobStepContext;
    isRequired: boolean;
  },
): JobStep {
  const { self, members } = context;
  const added = membersToAdd(record, { remaining, context });
  const unreachable = epoch.members.filter((member) =>
    !remaining.includes(member) && !record.lostMembers.has(member) &&
    !members.isReplaced(member) && !isLeaving(member, context)
  );
  if (remaining.length + added.length < 2) return WAIT;
  const holder = remaining.includes(self) ? "self" : "other";
  return {
    kind: "move",
    remaining,
    added,
    unreachable,
    holder,
    isRequired,
  };
}

/**
 * Selects the step of a member that cannot reach a majority. An accepted
 * dispatch may have been made, so it is resumed at its upstream. With two
 * members every choice needs both, so a member that accepted nothing knows that
 * the job has not run. With three, the other two may have chosen a value.
 */
function stepWithoutQuorum(
  record: JobRecord,
  { epoch, responsive, context }: {
    epoch: Epoch;
    responsive: readonly MemberId[];
    context: JobStepContext;
  },
): JobStep {
  const { self, members, now } = context;
  const missing = epoch.members.filter((member) =>
    !responsive.includes(member)
  );
  const isCertain = missing.every((member) =>
    record.lostMembers.has(member) || members.isReplaced(member)
  );
  const waitMs = isCertain ? QUORUM_LOST_WAIT_MS : QUORUM_UNREACHABLE_WAIT_MS;
  const deadDurations = missing.filter((member) =>
    !record.lostMembers.has(member)
  )
    .map((member) => members.deadFor(member, now));
  if (deadDurations.some((duration) => duration < waitMs)) return WAIT;
  const accepted = record.acceptor.accepted?.value;
  const dispatch = knownDispatchOf(record);
  if (dispatch !== undefined && dispatch.by !== self) {
    return record.runner === self ? WAIT : { kind: "resume" };
  }
  const isPair = epoch.members.length === 2;
  const hasNotRun = isPair &&
    (accepted === undefined || dispatch !== undefined);
  return { kind: "end-alone", ending: hasNotRun ? "not-run" : "unknown" };
}

function stepWhenDecided(record: JobRecord, context: JobStepContext): JobStep {
  const { self, members, now } = context;
  const responsive = record.replicas.filter((member) =>
    isResponsive(member, { record, context })
  );
  const runner = record.runner;
  const isOpen = record.response === undefined && runner !== undefined;
  if (isOpen && runner !== self && members.isDead(runner)) {
    const rank = Math.max(0, responsive.indexOf(self));
    const waitMs = DEAD_GRACE_MS + rank * TAKEOVER_STAGGER_MS;
    if (members.deadFor(runner, now) >= waitMs) return { kind: "resume" };
  }
  const remaining = responsive.filter((member) => !isLeaving(member, context));
  const leader = isOpen && !members.isDead(runner) ? runner : responsive[0];
  if (leader !== self || remaining.length >= REPLICAS_PER_JOB) return WAIT;
  const isLossRecent = record.replicas.some((member) =>
    members.isDead(member) && members.deadFor(member, now) < DEAD_GRACE_MS
  );
  if (isLossRecent) return WAIT;
  const added = membersToAdd(record, { remaining, context });
  if (added.length === 0) return WAIT;
  return { kind: "replenish", replicas: [...remaining, ...added] };
}

function membersToAdd(
  record: JobRecord,
  { remaining, context }: {
    remaining: readonly MemberId[];
    context: JobStepContext;
  },
): MemberId[] {
  const { self, members, isStopping } = context;
  const taken = new Set([...remaining, ...record.lostMembers]);
  const candidates = members.availableMembers().filter((member) => {
    const id = memberIdOf(member);
    return !taken.has(id) && !(isStopping && id === self);
  });
  return chooseReplicaHosts(record.job.id, {
    candidates,
    usedDomains: members.domainsOf(remaining),
    count: Math.max(0, REPLICAS_PER_JOB - remaining.length),
  }).map(memberIdOf);
}

function isResponsive(
  member: MemberId,
  { record, context }: { record: JobRecord; context: JobStepContext },
): boolean {
  if (member === context.self) return true;
  return !record.lostMembers.has(member) && !context.members.isDead(member);
}

function isLeaving(member: MemberId, context: JobStepContext): boolean {
  if (member === context.self) return context.isStopping;
  return context.members.isLeaving(member);
}
