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
 * Decides what this process does next for one job that it holds.
 *
 * Load pattern: hosts die, pause, stop and are cut off while jobs wait for
 * hours. Without it each loss would leave one copy less until the last is gone.
 * Three members survive any one loss and need one round trip to one of two
 * copies per dispatch; five would survive two at twice the memory.
 */
export const REPLICAS_PER_JOB = 3;
/** A process that looks dead for so long is replaced. */
export const DEAD_GRACE_MS: Milliseconds = 500;
/** Each further copy waits so much longer before it takes over. */
export const TAKEOVER_STAGGER_MS: Milliseconds = 2_000;
/** Copies whose other members are certainly gone end a job after so long. */
export const QUORUM_LOST_WAIT_MS: Milliseconds = 5_000;
/** The same where they may only be cut off. */
export const QUORUM_UNREACHABLE_WAIT_MS: Milliseconds = 600_000;

/** What a process does for a job. */
export type JobStep =
  | { readonly kind: "wait" }
  /** Have this epoch follow; `fresh` members need copies first. */
  | {
    readonly kind: "move";
    readonly remaining: readonly MemberId[];
    readonly added: readonly MemberId[];
    /** Members that do not answer now but may come back with their copies. */
    readonly unreachable: readonly MemberId[];
    readonly holder: "self" | "other";
    /** Worth it also without a fresh member. */
    readonly isRequired: boolean;
  }
  | { readonly kind: "end-alone"; readonly ending: "not-run" | "unknown" }
  | { readonly kind: "resume" }
  /** Give the outcome or the answer to more hosts. */
  | { readonly kind: "replenish"; readonly replicas: readonly MemberId[] };

/** What a decision rests on. */
export interface JobStepContext {
  readonly self: MemberId;
  readonly now: Milliseconds;
  readonly members: JobMembers;
  /** This process hands over for a planned stop. */
  readonly isStopping: boolean;
}

const WAIT: JobStep = { kind: "wait" };

/** The next step for a job. */
export function nextJobStep(record: JobRecord, view: JobStepContext): JobStep {
  if (record.proposal !== undefined || record.isMoving) return WAIT;
  if (record.outcome !== undefined) return stepWhenSettled(record, view);
  if (record.epoch === undefined || record.answer !== undefined) return WAIT;
  if (view.now < record.retryAt) return WAIT;
  return stepWhenOpen(record, { epoch: record.epoch, view });
}

function stepWhenOpen(
  record: JobRecord,
  { epoch, view }: { epoch: Epoch; view: JobStepContext },
): JobStep {
  const answering = epoch.members.filter((member) =>
    isAnswering(member, { record, view })
  );
  if (!isMajority(answering, epoch.members)) {
    return stepWhenStranded(record, { epoch, answering, view });
  }
  const { self, members, now } = view;
  if (epoch.holder === self) {
    return stepAsHolder(record, { epoch, answering, view });
  }
  const others = answering.filter((member) => member !== epoch.holder);
  const patience = DEAD_GRACE_MS + others.indexOf(self) * TAKEOVER_STAGGER_MS;
  const isHolderGone = members.deadFor(epoch.holder, now) >= patience &&
    members.isDead(epoch.holder);
  if (!isHolderGone) return WAIT;
  return move(record, { epoch, staying: others, view, isRequired: true });
}

function stepAsHolder(
  record: JobRecord,
  { epoch, answering, view }: {
    epoch: Epoch;
    answering: readonly MemberId[];
    view: JobStepContext;
  },
): JobStep {
  const { members, now } = view;
  const staying = answering.filter((member) => !isLeaving(member, view));
  // The holder's own round is spent, so a fresh epoch must follow in any case.
  const mustMove = record.hasUsedHolderRound ||
    staying.length < answering.length;
  if (mustMove) return move(record, { epoch, staying, view, isRequired: true });
  const isAnyGone = epoch.members.some((member) =>
    record.lostMembers.has(member) ||
    members.deadFor(member, now) >= DEAD_GRACE_MS
  );
  if (!isAnyGone && epoch.members.length >= REPLICAS_PER_JOB) return WAIT;
  const step = move(record, { epoch, staying, view, isRequired: false });
  const isHelped = step.kind === "move" && step.added.length > 0;
  return isHelped ? step : WAIT;
}

function move(
  record: JobRecord,
  { epoch, staying, view, isRequired }: {
    epoch: Epoch;
    staying: readonly MemberId[];
    view: JobStepContext;
    isRequired: boolean;
  },
): JobStep {
  const { self, members } = view;
  const fresh = freshMembers(record, { staying, view });
  const spare = epoch.members.filter((member) =>
    !staying.includes(member) && !record.lostMembers.has(member) &&
    !members.isReplaced(member) && !isLeaving(member, view)
  );
  if (staying.length + fresh.length < 2) return WAIT;
  const holder = staying.includes(self) ? "self" : "other";
  return {
    kind: "move",
    remaining: staying,
    added: fresh,
    unreachable: spare,
    holder,
    isRequired,
  };
}

/**
 * Too few members answer to choose anything. What this member knows decides
 * what is true: an accepted dispatch may have been made, so it may be resumed
 * at its upstream. Of two members each is needed for every choice, so one that
 * accepted nothing knows that the job has not run. Of three, the other two may
 * have chosen without this one.
 */
function stepWhenStranded(
  record: JobRecord,
  { epoch, answering, view }: {
    epoch: Epoch;
    answering: readonly MemberId[];
    view: JobStepContext;
  },
): JobStep {
  const { self, members, now } = view;
  const missing = epoch.members.filter((member) => !answering.includes(member));
  const isCertain = missing.every((member) =>
    record.lostMembers.has(member) || members.isReplaced(member)
  );
  const patience = isCertain ? QUORUM_LOST_WAIT_MS : QUORUM_UNREACHABLE_WAIT_MS;
  const silences = missing.filter((member) => !record.lostMembers.has(member))
    .map((member) => members.deadFor(member, now));
  if (silences.some((silence) => silence < patience)) return WAIT;
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

function stepWhenSettled(record: JobRecord, view: JobStepContext): JobStep {
  const { self, members, now } = view;
  const answering = record.replicas.filter((member) =>
    isAnswering(member, { record, view })
  );
  const runner = record.runner;
  const isOpen = record.answer === undefined && runner !== undefined;
  if (isOpen && runner !== self && members.isDead(runner)) {
    const rank = Math.max(0, answering.indexOf(self));
    const patience = DEAD_GRACE_MS + rank * TAKEOVER_STAGGER_MS;
    if (members.deadFor(runner, now) >= patience) return { kind: "resume" };
  }
  const staying = answering.filter((member) => !isLeaving(member, view));
  const leader = isOpen && !members.isDead(runner) ? runner : answering[0];
  if (leader !== self || staying.length >= REPLICAS_PER_JOB) return WAIT;
  const isSettling = record.replicas.some((member) =>
    members.isDead(member) && members.deadFor(member, now) < DEAD_GRACE_MS
  );
  if (isSettling) return WAIT;
  const fresh = freshMembers(record, { staying, view });
  if (fresh.length === 0) return WAIT;
  return { kind: "replenish", replicas: [...staying, ...fresh] };
}

function freshMembers(
  record: JobRecord,
  { staying, view }: { staying: readonly MemberId[]; view: JobStepContext },
): MemberId[] {
  const { self, members, isStopping } = view;
  const taken = new Set([...staying, ...record.lostMembers]);
  const candidates = members.availableMembers().filter((member) => {
    const id = memberIdOf(member);
    return !taken.has(id) && !(isStopping && id === self);
  });
  return chooseReplicaHosts(record.job.id, {
    candidates,
    usedDomains: members.domainsOf(staying),
    count: Math.max(0, REPLICAS_PER_JOB - staying.length),
  }).map(memberIdOf);
}

function isAnswering(
  member: MemberId,
  { record, view }: { record: JobRecord; view: JobStepContext },
): boolean {
  if (member === view.self) return true;
  return !record.lostMembers.has(member) && !view.members.isDead(member);
}

function isLeaving(member: MemberId, view: JobStepContext): boolean {
  if (member === view.self) return view.isStopping;
  return view.members.isLeaving(member);
}
