import type { Branded, HostId, Nonce, UpstreamId } from "@wasabivane/common";

/** Identifies a process that holds a copy, by host and incarnation. */
export type MemberId = Branded<string, "MemberId">;

/** Returns the id of a process. */
export function memberId(host: HostId, incarnation: string): MemberId {
  return `${host}@${incarnation}` as MemberId;
}

/** Returns the host of a member. */
export function hostOfMember(member: MemberId): HostId {
  return member.slice(0, member.lastIndexOf("@")) as HostId;
}

/**
 * Set of processes that hold a job and choose what happens to it, until a move
 * to the next epoch.
 *
 * Each epoch has one write-once register among its members, decided by
 * single-decree Paxos, so that a job cannot be dispatched by two hosts even if
 * its holder pauses or is partitioned. A restarted process is a different
 * member, so lost state counts as a failed member.
 */
export interface Epoch {
  readonly number: number;
  readonly members: readonly MemberId[];
  /** The only member that may propose in round 0, without a prepare phase. */
  readonly holder: MemberId;
}

/**
 * Returns a unique key of an epoch; competing moves can lead to epochs with the
 * same number.
 */
export function epochKey({ number, members, holder }: Epoch): string {
  return [number, holder, ...members].join(" ");
}

/** Value that an epoch can choose. */
export type RegisterValue =
  | {
    readonly kind: "dispatch";
    readonly upstream: UpstreamId;
    readonly nonce: Nonce;
    /** The only process that may send the request to the upstream. */
    readonly by: MemberId;
  }
  | { readonly kind: "move"; readonly epoch: Epoch }
  /** Ends the job without running it. */
  | { readonly kind: "withdraw" };

/** Orders proposals by round, then by proposer. */
export interface Ballot {
  readonly round: number;
  readonly proposer: MemberId;
}

/** A value accepted by a member, not necessarily chosen. */
export interface Proposal {
  readonly ballot: Ballot;
  readonly value: RegisterValue;
}

/** Acceptor state of one member for one register. */
export interface AcceptorState {
  readonly promised?: Ballot;
  readonly accepted?: Proposal;
}

/** Request of a proposer to a member. */
export type RegisterRequest =
  | { readonly kind: "prepare"; readonly ballot: Ballot }
  | {
    readonly kind: "accept";
    readonly ballot: Ballot;
    readonly value: RegisterValue;
  };

/** Reply of a member to a {@link RegisterRequest}. */
export type RegisterReply =
  | {
    readonly kind: "promised";
    readonly ballot: Ballot;
    readonly accepted?: Proposal;
  }
  | { readonly kind: "accepted"; readonly ballot: Ballot }
  | {
    readonly kind: "refused";
    readonly ballot: Ballot;
    /** Round that the next proposal has to exceed. */
    readonly promisedRound: number;
  };

/** State of one proposal by one proposer. */
export interface ProposerState {
  readonly members: readonly MemberId[];
  readonly ballot: Ballot;
  readonly phase: "preparing" | "accepting" | "chosen" | "outbid";
  /** Value to propose unless another one may already have been chosen. */
  readonly preferredValue: RegisterValue;
  /** Proposed value; set in the accept phase. */
  readonly value?: RegisterValue;
  readonly promises: readonly MemberId[];
  readonly acceptances: readonly MemberId[];
  /** Accepted proposal with the highest ballot among the promises. */
  readonly latest?: Proposal;
  /** Round of the ballot that preempted this one. */
  readonly outbidBy?: number;
}

/** Tells whether the left ballot precedes the right one. */
export function isEarlierBallot(
  left: Ballot,
  right: Ballot | undefined,
): boolean {
  if (right === undefined) return false;
  if (left.round !== right.round) return left.round < right.round;
  return left.proposer < right.proposer;
}

/** Handles a request as acceptor; returns the reply and the new state. */
export function handleRegisterRequest(
  acceptor: AcceptorState,
  request: RegisterRequest,
): { acceptor: AcceptorState; reply: RegisterReply } {
  const { ballot } = request;
  if (isEarlierBallot(ballot, acceptor.promised)) {
    const promisedRound = acceptor.promised?.round ?? 0;
    return { acceptor, reply: { kind: "refused", ballot, promisedRound } };
  }
  if (request.kind === "prepare") {
    const { accepted } = acceptor;
    return {
      acceptor: { ...acceptor, promised: ballot },
      reply: { kind: "promised", ballot, ...(accepted && { accepted }) },
    };
  }
  const accepted = { ballot, value: request.value };
  return {
    acceptor: { promised: ballot, accepted },
    reply: { kind: "accepted", ballot },
  };
}

/**
 * Starts a proposal by the holder in round 0. It needs no promises, since only
 * the holder uses round 0. The holder must do this at most once per epoch.
 */
export function startHolderProposal(
  epoch: Epoch,
  preferredValue: RegisterValue,
): ProposerState {
  return {
    members: epoch.members,
    ballot: { round: 0, proposer: epoch.holder },
    phase: "accepting",
    preferredValue,
    value: preferredValue,
    promises: [],
    acceptances: [],
  };
}

/**
 * Starts a proposal by any member; `round` must be above 0 and above any round
 * that the member has seen.
 */
export function startProposal(
  epoch: Epoch,
  { ballot, wish: preferredValue }: { ballot: Ballot; wish: RegisterValue },
): ProposerState {
  return {
    members: epoch.members,
    ballot,
    phase: "preparing",
    preferredValue,
    promises: [],
    acceptances: [],
  };
}

/**
 * Returns the request to send to the members; `undefined` once the proposal has
 * ended.
 */
export function pendingRequest(
  state: ProposerState,
): RegisterRequest | undefined {
  const { ballot, phase, value } = state;
  if (phase === "preparing") return { kind: "prepare", ballot };
  if (phase === "accepting" && value !== undefined) {
    return { kind: "accept", ballot, value };
  }
  return undefined;
}

/**
 * Applies a member's reply to a proposal; duplicate and late replies have no
 * effect.
 */
export function applyRegisterReply(
  state: ProposerState,
  { from, reply }: { from: MemberId; reply: RegisterReply },
): ProposerState {
  if (!state.members.includes(from)) return state;
  if (!isSameBallot(reply.ballot, state.ballot)) return state;
  if (reply.kind === "refused") return applyRefusal(state, reply);
  if (reply.kind === "promised") return applyPromise(state, { from, reply });
  return applyAcceptance(state, from);
}

function applyRefusal(
  state: ProposerState,
  { promisedRound }: { promisedRound: number },
): ProposerState {
  if (state.phase === "chosen") return state;
  const outbidBy = Math.max(promisedRound, state.outbidBy ?? 0);
  return { ...state, phase: "outbid", outbidBy };
}

function applyPromise(
  state: ProposerState,
  { from, reply }: {
    from: MemberId;
    reply: Extract<RegisterReply, { kind: "promised" }>;
  },
): ProposerState {
  if (state.phase !== "preparing") return state;
  const promises = addMember(state.promises, from);
  const latest = laterProposal(state.latest, reply.accepted);
  const next = { ...state, promises, ...(latest && { latest }) };
  if (!isMajority(promises, state.members)) return next;
  // An accepted value may already have been chosen.
  return {
    ...next,
    phase: "accepting",
    value: latest?.value ?? state.preferredValue,
  };
}

function applyAcceptance(
  state: ProposerState,
  from: MemberId,
): ProposerState {
  if (state.phase !== "accepting") return state;
  const acceptances = addMember(state.acceptances, from);
  const isChosen = isMajority(acceptances, state.members);
  return { ...state, acceptances, phase: isChosen ? "chosen" : "accepting" };
}

/** Tells whether a subset is a majority of the members. */
export function isMajority(
  some: readonly MemberId[],
  members: readonly MemberId[],
): boolean {
  return some.length * 2 > members.length;
}

function addMember(
  members: readonly MemberId[],
  member: MemberId,
): readonly MemberId[] {
  return members.includes(member) ? members : [...members, member];
}

function laterProposal(
  left: Proposal | undefined,
  right: Proposal | undefined,
): Proposal | undefined {
  if (left === undefined || right === undefined) return left ?? right;
  return isEarlierBallot(left.ballot, right.ballot) ? right : left;
}

function isSameBallot(left: Ballot, right: Ballot): boolean {
  return left.round === right.round && left.proposer === right.proposer;
}
