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

const RESEND_MS: Milliseconds = 250;
/** Time limit for a proposal; it is retried later. */
export const PROPOSAL_TIMEOUT_MS: Milliseconds = 2_000;
const MIN_RETRY_DELAY_MS: Milliseconds = 100;
/**
 * Random share of the retry delay, so that competing proposers do not preempt
 * each other repeatedly.
 */
const RETRY_JITTER_MS: Milliseconds = 400;

/** Dependencies of {@link JobConsensus}. */
export interface JobConsensusOptions {
  readonly self: MemberId;
  readonly link: PeerLink;
  readonly timer: Timer;
  readonly random: Random;
  readonly store: JobStore;
  readonly lifecycle: JobLifecycle;
}

/** Exchanges register requests and replies of jobs between the members. */
export class JobConsensus {
  readonly #options: JobConsensusOptions;

  constructor(options: JobConsensusOptions) {
    this.#options = options;
  }

  /** Proposes a value in the job's epoch; at most one proposal at a time. */
  propose(record: JobRecord, value: RegisterValue): Promise<ProposalResult> {
    const { self, timer } = this.#options;
    const epoch = record.epoch!;
    const canUseHolderRound = epoch.holder === self &&
      !record.hasUsedHolderRound;
    if (canUseHolderRound) record.hasUsedHolderRound = true;
    else record.highestRound++;
    const ballot = { round: record.highestRound, proposer: self };
    const state = canUseHolderRound
      ? startHolderProposal(epoch, value)
      : startProposal(epoch, { ballot, wish: value });
    return new Promise((onEnd) => {
      const startedAt = timer.now();
      record.proposal = { state, startedAt, sentAt: startedAt, onEnd };
      this.#send(record);
    });
  }

  /** Resends unanswered requests and ends proposals that time out. */
  poll(record: JobRecord): void {
    const running = record.proposal;
    if (running === undefined) return;
    const now = this.#options.timer.now();
    if (now - running.startedAt >= PROPOSAL_TIMEOUT_MS) {
      this.#retryLater(record);
      abortProposal(record);
    } else if (now - running.sentAt >= RESEND_MS) {
      this.#send(record);
    }
  }

  /** Handles a request as acceptor. */
  onRequest(body: JobRegisterRequest): void {
    const { self, store, lifecycle, link } = this.#options;
    const { id, epoch, request, by } = body;
    if (!epoch.members.includes(self)) return;
    const record = store.find(id);
    // A proposal in an epoch implies that the epoch was chosen.
    if (record !== undefined) lifecycle.adoptEpoch(record, epoch);
    const reply = record && this.#handleAsAcceptor(record, body);
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

  /** Handles a member's reply to a proposal of this process. */
  onReply({ id, key, member, reply }: JobRegisterReply): void {
    const record = this.#options.store.find(id);
    if (record?.proposal === undefined || record.epoch === undefined) return;
    if (epochKey(record.epoch) !== key) return;
    this.#applyReply(record, { from: member, reply });
  }

  #handleAsAcceptor(
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
    for (const member of membersWithoutReply(running.state, self)) {
      sendMessage(link, JOB_REGISTER_REQUEST, {
        to: hostOfMember(member),
        body,
      });
    }
    this.#handleOwnRequest(record, running.state);
  }

  /**
   * Handles the request of a proposal as a member of the epoch. In round 0 the
   * holder accepts last, with the reply that completes the majority; otherwise
   * a proposal that reached no other member would bind it to an upstream that
   * may no longer exist.
   */
  #handleOwnRequest(record: JobRecord, state: ProposerState): void {
    const { self } = this.#options;
    const request = pendingRequest(state);
    if (request === undefined || hasReplied(state, self)) return;
    const othersNeeded = Math.floor(state.members.length / 2);
    if (
      state.ballot.round === 0 && state.acceptances.length < othersNeeded
    ) return;
    const { acceptor, reply } = handleRegisterRequest(record.acceptor, request);
    record.acceptor = acceptor;
    this.#applyReply(record, { from: self, reply });
  }

  #applyReply(
    record: JobRecord,
    received: { from: MemberId; reply: RegisterReply },
  ): void {
    const { lifecycle } = this.#options;
    const running = record.proposal;
    if (running === undefined) return;
    const before = running.state;
    const state = applyRegisterReply(before, received);
    running.state = state;
    if (state.phase === "chosen") {
      delete record.proposal;
      const value = state.value!;
      lifecycle.applyChosenValue(record, value);
      running.onEnd({ kind: "chosen", value });
    } else if (state.phase === "outbid") {
      record.highestRound = Math.max(
        record.highestRound,
        state.outbidBy ?? 0,
      );
      this.#retryLater(record);
      abortProposal(record);
    } else if (state.phase !== before.phase) {
      this.#send(record);
    } else {
      this.#handleOwnRequest(record, state);
    }
  }

  #retryLater(record: JobRecord): void {
    const { timer, random } = this.#options;
    record.retryAt = timer.now() + MIN_RETRY_DELAY_MS +
      random.float() * RETRY_JITTER_MS;
  }
}

function membersWithoutReply(
  state: ProposerState,
  self: MemberId,
): MemberId[] {
  return state.members.filter((member) =>
    member !== self && !hasReplied(state, member)
  );
}

function hasReplied(state: ProposerState, member: MemberId): boolean {
  const replies = state.phase === "preparing"
    ? state.promises
    : state.acceptances;
  return replies.includes(member);
}
