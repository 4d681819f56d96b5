import type { Branded, HostId, Nonce, UpstreamId } from "@wasabivane/common";

/**
 * Settles once and for all what happens to a waiting job: where it is
 * dispatched and by whom, or to whom the right to decide moves.
 *
 * Load pattern: overnight work whose holder dies, pauses for an hour or is cut
 * off while its copies believe it dead. Without it two hosts would dispatch the
 * same job, and a lawyer would be billed twice. Each epoch of a job is one
 * write-once register among the processes that hold a copy, settled by ballots
 * (single-decree Paxos). Two majorities of one epoch share a member, and a
 * member that has promised a later ballot refuses an earlier one, so at most
 * one value is ever chosen. A restarted process is another member, so that
 * lost memory counts as silence and breaks nothing.
 */

/** One process that holds a copy: a host and its incarnation. */
export type MemberId = Branded<string, "MemberId">;

/** Names a process by host and incarnation. */
export function memberId(host: HostId, incarnation: string): MemberId {
  return `${host}@${incarnation}` as MemberId;
}

/** The host of a member. */
export function hostOfMember(member: MemberId): HostId {
  return member.slice(0, member.lastIndexOf("@")) as HostId;
}

/** The processes that hold a job and decide about it, until they move it on. */
export interface Epoch {
  readonly number: number;
  readonly members: readonly MemberId[];
  /** The only member that may use round 0, without asking first. */
  readonly holder: MemberId;
}

/** Tells registers apart; two rival moves may lead to epochs of one number. */
export function epochKey({ number, members, holder }: Epoch): string {
  return [number, holder, ...members].join(" ");
}

/** What an epoch may settle on. */
export type RegisterValue =
  | {
    readonly kind: "dispatch";
    readonly upstream: UpstreamId;
    readonly nonce: Nonce;
    /** The only process that may write the request to the upstream. */
    readonly by: MemberId;
  }
  | { readonly kind: "move"; readonly epoch: Epoch }
  /** The job ends without having run. */
  | { readonly kind: "withdraw" };

/** Orders proposals; rounds first, then proposers. */
export interface Ballot {
  readonly round: number;
  readonly proposer: MemberId;
}

/** A value that a member accepted, not necessarily chosen. */
export interface Proposal {
  readonly ballot: Ballot;
  readonly value: RegisterValue;
}

/** What one member remembers of one register. */
export interface AcceptorState {
  readonly promised?: Ballot;
  readonly accepted?: Proposal;
}

/** What a proposer asks of every member. */
export type RegisterRequest =
  | { readonly kind: "prepare"; readonly ballot: Ballot }
  | {
    readonly kind: "accept";
    readonly ballot: Ballot;
    readonly value: RegisterValue;
  };

/** What a member answers. */
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
    /** Round that a new attempt has to exceed. */
    readonly promisedRound: number;
  };

/** One attempt of one proposer. */
export interface ProposerState {
  readonly members: readonly MemberId[];
  readonly ballot: Ballot;
  readonly phase: "preparing" | "accepting" | "chosen" | "outbid";
  /** What the proposer wants, if nothing else may have been chosen before. */
  readonly preferredValue: RegisterValue;
  /** What it proposes; set once it accepts. */
  readonly value?: RegisterValue;
  readonly promises: readonly MemberId[];
  readonly acceptances: readonly MemberId[];
  /** The latest accepted proposal among the promises. */
  readonly latest?: Proposal;
  /** Round of the ballot that outbid this one. */
  readonly outbidBy?: number;
}

/** Whether the left ballot is earlier than the right one. */
export function isEarlierBallot(
  left: Ballot,
  right: Ballot | undefined,
): boolean {
  if (right === undefined) return false;
  if (left.round !== right.round) return left.round < right.round;
  return left.proposer < right.proposer;
}

/** A member's answer and what it remembers afterwards. */
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
 * An attempt by the holder in round 0. It needs no promises: nobody else may
 * use round 0, so nothing can have been accepted before it. The holder must
 * make at most one such attempt per epoch.
 */
export function startHolderProposal(
  epoch: Epoch,
  wish: RegisterValue,
): ProposerState {
  return {
    members: epoch.members,
    ballot: { round: 0, proposer: epoch.holder },
    phase: "accepting",
    preferredValue: wish,
    value: wish,
    promises: [],
    acceptances: [],
  };
}

/** An attempt by any member; `round` is above 0 and above any it has seen. */
export function startProposal(
  epoch: Epoch,
  { ballot, wish }: { ballot: Ballot; wish: RegisterValue },
): ProposerState {
  return {
    members: epoch.members,
    ballot,
    phase: "preparing",
    preferredValue: wish,
    promises: [],
    acceptances: [],
  };
}

/** What the attempt asks of its members now; nothing once it has ended. */
export function pendingRequest(
  attempt: ProposerState,
): RegisterRequest | undefined {
  const { ballot, phase, value } = attempt;
  if (phase === "preparing") return { kind: "prepare", ballot };
  if (phase === "accepting" && value !== undefined) {
    return { kind: "accept", ballot, value };
  }
  return undefined;
}

/** The attempt after a member's reply; doubled and late replies change nothing. */
export function applyRegisterReply(
  attempt: ProposerState,
  { from, reply }: { from: MemberId; reply: RegisterReply },
): ProposerState {
  if (!attempt.members.includes(from)) return attempt;
  if (!isSameBallot(reply.ballot, attempt.ballot)) return attempt;
  if (reply.kind === "refused") return takeRefusal(attempt, reply);
  if (reply.kind === "promised") return takePromise(attempt, { from, reply });
  return takeAcceptance(attempt, from);
}

function takeRefusal(
  attempt: ProposerState,
  { promisedRound }: { promisedRound: number },
): ProposerState {
  if (attempt.phase === "chosen") return attempt;
  const outbidBy = Math.max(promisedRound, attempt.outbidBy ?? 0);
  return { ...attempt, phase: "outbid", outbidBy };
}

function takePromise(
  attempt: ProposerState,
  { from, reply }: {
    from: MemberId;
    reply: Extract<RegisterReply, { kind: "promised" }>;
  },
): ProposerState {
  if (attempt.phase !== "preparing") return attempt;
  const promises = withMember(attempt.promises, from);
  const latest = laterOf(attempt.latest, reply.accepted);
  const next = { ...attempt, promises, ...(latest && { latest }) };
  if (!isMajority(promises, attempt.members)) return next;
  // A value that some member accepted may have been chosen, so it goes first.
  return {
    ...next,
    phase: "accepting",
    value: latest?.value ?? attempt.preferredValue,
  };
}

function takeAcceptance(attempt: ProposerState, from: MemberId): ProposerState {
  if (attempt.phase !== "accepting") return attempt;
  const acceptances = withMember(attempt.acceptances, from);
  const isChosen = isMajority(acceptances, attempt.members);
  return { ...attempt, acceptances, phase: isChosen ? "chosen" : "accepting" };
}

/** Whether some of the members are more than half of them. */
export function isMajority(
  some: readonly MemberId[],
  members: readonly MemberId[],
): boolean {
  return some.length * 2 > members.length;
}

function withMember(
  members: readonly MemberId[],
  member: MemberId,
): readonly MemberId[] {
  return members.includes(member) ? members : [...members, member];
}

function laterOf(
  left: Proposal | undefined,
  right: Proposal | undefined,
): Proposal | undefined {
  if (left === undefined || right === undefined) return left ?? right;
  return isEarlierBallot(left.ballot, right.ballot) ? right : left;
}

function isSameBallot(left: Ballot, right: Ballot): boolean {
  return left.round === right.round && left.proposer === right.proposer;
}
