import type { Milliseconds, PeerLink, Random, Timer } from "@wasabivane/common";
import type { JobLifecycle } from "./jobLifecycle.ts";
import { endAttempt } from "./jobLifecycle.ts";
import {
  JOB_REGISTER,
  JOB_REPLY,
  type JobRegisterReply,
  type JobRegisterRequest,
} from "./jobMessages.ts";
import {
  answerRequest,
  type Attempt,
  epochKey,
  hostOf,
  type MemberId,
  type RegisterReply,
  type RegisterValue,
  requestOf,
  startAsHolder,
  startAttempt,
  takeReply,
} from "./jobRegister.ts";
import type { AttemptEnd, JobRecord, JobStore } from "./jobStore.ts";
import { sendMessage } from "./peerMessages.ts";

const REPEAT_MS: Milliseconds = 250;
/** An attempt that found no majority by then starts again later. */
export const ATTEMPT_MS: Milliseconds = 2_000;
const MIN_RETRY_MS: Milliseconds = 100;
/** Two members that outbid each other draw different pauses soon. */
const RETRY_SPREAD_MS: Milliseconds = 400;

/** What {@link JobProposals} needs. */
export interface JobProposalsOptions {
  readonly self: MemberId;
  readonly link: PeerLink;
  readonly timer: Timer;
  readonly random: Random;
  readonly store: JobStore;
  readonly lifecycle: JobLifecycle;
}

/** Carries requests and replies of the job registers between the members. */
export class JobProposals {
  readonly #options: JobProposalsOptions;

  constructor(options: JobProposalsOptions) {
    this.#options = options;
  }

  /** Tries to have a value chosen in the job's epoch; one attempt at a time. */
  propose(record: JobRecord, wish: RegisterValue): Promise<AttemptEnd> {
    const { self, timer } = this.#options;
    const epoch = record.epoch!;
    const canUseHolderRound = epoch.holder === self &&
      !record.hasUsedHolderRound;
    if (canUseHolderRound) record.hasUsedHolderRound = true;
    else record.highestRound++;
    const ballot = { round: record.highestRound, proposer: self };
    const attempt = canUseHolderRound
      ? startAsHolder(epoch, wish)
      : startAttempt(epoch, { ballot, wish });
    return new Promise((onEnd) => {
      const startedAt = timer.now();
      record.attempt = { attempt, startedAt, sentAt: startedAt, onEnd };
      this.#send(record);
    });
  }

  /** Repeats what got no reply and ends attempts that take too long. */
  poll(record: JobRecord): void {
    const running = record.attempt;
    if (running === undefined) return;
    const now = this.#options.timer.now();
    if (now - running.startedAt >= ATTEMPT_MS) {
      this.#retryLater(record);
      endAttempt(record);
    } else if (now - running.sentAt >= REPEAT_MS) {
      this.#send(record);
    }
  }

  /** Answers as a member. */
  onRequest(body: JobRegisterRequest): void {
    const { self, store, lifecycle, link } = this.#options;
    const { id, epoch, request, by } = body;
    if (!epoch.members.includes(self)) return;
    const record = store.find(id);
    // Only members of an epoch that was chosen propose in it.
    if (record !== undefined) lifecycle.confirm(record, epoch);
    const reply = record && this.#answer(record, body);
    if (reply === undefined) {
      lifecycle.tellLatest(by, { id, epochNumber: epoch.number });
      return;
    }
    record!.highestRound = Math.max(record!.highestRound, request.ballot.round);
    const key = epochKey(epoch);
    sendMessage(link, JOB_REPLY, {
      to: hostOf(by),
      body: { id, key, member: self, reply },
    });
  }

  /** Takes a member's reply to the attempt of this process. */
  onReply({ id, key, member, reply }: JobRegisterReply): void {
    const record = this.#options.store.find(id);
    if (record?.attempt === undefined || record.epoch === undefined) return;
    if (epochKey(record.epoch) !== key) return;
    this.#take(record, { from: member, reply });
  }

  #answer(
    record: JobRecord,
    { epoch, request }: JobRegisterRequest,
  ): RegisterReply | undefined {
    const isCurrent = record.epoch !== undefined &&
      record.outcome === undefined &&
      epochKey(record.epoch) === epochKey(epoch);
    if (!isCurrent) return undefined;
    const { acceptor, reply } = answerRequest(record.acceptor, request);
    record.acceptor = acceptor;
    return reply;
  }

  #send(record: JobRecord): void {
    const { self, link, timer } = this.#options;
    const running = record.attempt;
    const epoch = record.epoch;
    if (running === undefined || epoch === undefined) return;
    const request = requestOf(running.attempt);
    if (request === undefined) return;
    running.sentAt = timer.now();
    const id = record.job.id;
    const body: JobRegisterRequest = { id, epoch, request, by: self };
    for (const member of silentMembers(running.attempt, self)) {
      sendMessage(link, JOB_REGISTER, { to: hostOf(member), body });
    }
    this.#answerOwn(record, running.attempt);
  }

  /**
   * A holder accepts its own proposal last, together with the reply that makes
   * the majority. Had it accepted first, a proposal that reached nobody would
   * still bind it to an upstream that may be gone when the copies answer again.
   */
  #answerOwn(record: JobRecord, attempt: Attempt): void {
    const { self } = this.#options;
    const request = requestOf(attempt);
    if (request === undefined || hasReplied(attempt, self)) return;
    const othersNeeded = Math.floor(attempt.members.length / 2);
    if (
      attempt.ballot.round === 0 && attempt.acceptances.length < othersNeeded
    ) return;
    const { acceptor, reply } = answerRequest(record.acceptor, request);
    record.acceptor = acceptor;
    this.#take(record, { from: self, reply });
  }

  #take(
    record: JobRecord,
    answer: { from: MemberId; reply: RegisterReply },
  ): void {
    const { lifecycle } = this.#options;
    const running = record.attempt;
    if (running === undefined) return;
    const before = running.attempt;
    const attempt = takeReply(before, answer);
    running.attempt = attempt;
    if (attempt.phase === "chosen") {
      delete record.attempt;
      const value = attempt.value!;
      lifecycle.choose(record, value);
      running.onEnd({ kind: "chosen", value });
    } else if (attempt.phase === "outbid") {
      record.highestRound = Math.max(
        record.highestRound,
        attempt.outbidBy ?? 0,
      );
      this.#retryLater(record);
      endAttempt(record);
    } else if (attempt.phase !== before.phase) {
      this.#send(record);
    } else {
      this.#answerOwn(record, attempt);
    }
  }

  #retryLater(record: JobRecord): void {
    const { timer, random } = this.#options;
    record.retryAt = timer.now() + MIN_RETRY_MS +
      random.float() * RETRY_SPREAD_MS;
  }
}

function silentMembers(attempt: Attempt, self: MemberId): MemberId[] {
  return attempt.members.filter((member) =>
    member !== self && !hasReplied(attempt, member)
  );
}

function hasReplied(attempt: Attempt, member: MemberId): boolean {
  const replies = attempt.phase === "preparing"
    ? attempt.promises
    : attempt.acceptances;
  return replies.includes(member);
}
