import type { Milliseconds, PeerLink, Random, Timer } from "@wasabivane/common";
import type { JobLifecycle } from "./jobLifecycle.ts";
import { abortProposal } from "./jobLifecycle.ts";
import {
  JOB_REGISTER_REPLY,
  JOB_REGISTER_REQUEST,
  type JobRegisterReply,
  type JobRegisterRequest,
} from "./jobMessages.ts";
import {
  applyRegisterReply,
  epochKey,
  handleRegisterRequest,
  hostOfMember,
  type MemberId,
  pendingRequest,
  type ProposerState,
  type RegisterReply,
  type RegisterValue,
  startHolderProposal,
  startProposal,
} from "./jobRegister.ts";
import type { JobRecord, JobStore, ProposalResult } from "./jobStore.ts";
import { sendMessage } from "./peerMessages.ts";

const REPEAT_MS: Milliseconds = 250;
/** An attempt that found no majority by then starts again later. */
export const PROPOSAL_TIMEOUT_MS: Milliseconds = 2_000;
const MIN_RETRY_MS: Milliseconds = 100;
/** Two members that outbid each other draw different pauses soon. */
const RETRY_SPREAD_MS: Milliseconds = 400;

/** What {@link JobConsensus} needs. */
export interface JobConsensusOptions {
  readonly self: MemberId;
  readonly link: PeerLink;
  readonly timer: Timer;
  readonly random: Random;
  readonly store: JobStore;
  readonly lifecycle: JobLifecycle;
}

/** Carries requests and replies of the job registers between the members. */
export class JobConsensus {
  readonly #options: JobConsensusOptions;

  constructor(options: JobConsensusOptions) {
    this.#options = options;
  }

  /** Tries to have a value chosen in the job's epoch; one attempt at a time. */
  propose(record: JobRecord, wish: RegisterValue): Promise<ProposalResult> {
    const { self, timer } = this.#options;
    const epoch = record.epoch!;
    const canUseHolderRound = epoch.holder === self &&
      !record.hasUsedHolderRound;
    if (canUseHolderRound) record.hasUsedHolderRound = true;
    else record.highestRound++;
    const ballot = { round: record.highestRound, proposer: self };
    const attempt = canUseHolderRound
      ? startHolderProposal(epoch, wish)
      : startProposal(epoch, { ballot, wish });
    return new Promise((onEnd) => {
      const startedAt = timer.now();
      record.proposal = { state: attempt, startedAt, sentAt: startedAt, onEnd };
      this.#send(record);
    });
  }

  /** Repeats what got no reply and ends attempts that take too long. */
  poll(record: JobRecord): void {
    const running = record.proposal;
    if (running === undefined) return;
    const now = this.#options.timer.now();
    if (now - running.startedAt >= PROPOSAL_TIMEOUT_MS) {
      this.#retryLater(record);
      abortProposal(record);
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
    if (record !== undefined) lifecycle.adoptEpoch(record, epoch);
    const reply = record && this.#answer(record, body);
    if (reply === undefined) {
      lifecycle.sendLatestUpdate(by, { id, epochNumber: epoch.number });
      return;
    }
    record!.highestRound = Math.max(record!.highestRound, request.ballot.round);
    const key = epochKey(epoch);
    sendMessage(link, JOB_REGISTER_REPLY, {
      to: hostOfMember(by),
      body: { id, key, member: self, reply },
    });
  }

  /** Takes a member's reply to the attempt of this process. */
  onReply({ id, key, member, reply }: JobRegisterReply): void {
    const record = this.#options.store.find(id);
    if (record?.proposal === undefined || record.epoch === undefined) return;
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
    const { acceptor, reply } = handleRegisterRequest(record.acceptor, request);
    record.acceptor = acceptor;
    return reply;
  }

  #send(record: JobRecord): void {
    const { self, link, timer } = this.#options;
    const running = record.proposal;
    const epoch = record.epoch;
    if (running === undefined || epoch === undefined) return;
    const request = pendingRequest(running.state);
    if (request === undefined) return;
    running.sentAt = timer.now();
    const id = record.job.id;
    const body: JobRegisterRequest = { id, epoch, request, by: self };
    for (const member of silentMembers(running.state, self)) {
      sendMessage(link, JOB_REGISTER_REQUEST, {
        to: hostOfMember(member),
        body,
      });
    }
    this.#answerOwn(record, running.state);
  }

  /**
   * A holder accepts its own proposal last, together with the reply that makes
   * the majority. Had it accepted first, a proposal that reached nobody would
   * still bind it to an upstream that may be gone when the copies answer again.
   */
  #answerOwn(record: JobRecord, attempt: ProposerState): void {
    const { self } = this.#options;
    const request = pendingRequest(attempt);
    if (request === undefined || hasReplied(attempt, self)) return;
    const othersNeeded = Math.floor(attempt.members.length / 2);
    if (
      attempt.ballot.round === 0 && attempt.acceptances.length < othersNeeded
    ) return;
    const { acceptor, reply } = handleRegisterRequest(record.acceptor, request);
    record.acceptor = acceptor;
    this.#take(record, { from: self, reply });
  }

  #take(
    record: JobRecord,
    answer: { from: MemberId; reply: RegisterReply },
  ): void {
    const { lifecycle } = this.#options;
    const running = record.proposal;
    if (running === undefined) return;
    const before = running.state;
    const attempt = applyRegisterReply(before, answer);
    running.state = attempt;
    if (attempt.phase === "chosen") {
      delete record.proposal;
      const value = attempt.value!;
      lifecycle.applyChosenValue(record, value);
      running.onEnd({ kind: "chosen", value });
    } else if (attempt.phase === "outbid") {
      record.highestRound = Math.max(
        record.highestRound,
        attempt.outbidBy ?? 0,
      );
      this.#retryLater(record);
      abortProposal(record);
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

function silentMembers(attempt: ProposerState, self: MemberId): MemberId[] {
  return attempt.members.filter((member) =>
    member !== self && !hasReplied(attempt, member)
  );
}

function hasReplied(attempt: ProposerState, member: MemberId): boolean {
  const replies = attempt.phase === "preparing"
    ? attempt.promises
    : attempt.acceptances;
  return replies.includes(member);
}
