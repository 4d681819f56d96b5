import { asId, type HostId } from "@wasabivane/common";
import {
  type AcceptorState,
  applyRegisterReply,
  type Ballot,
  type Epoch,
  handleRegisterRequest,
  type MemberId,
  memberId,
  pendingRequest,
  type ProposerState,
  type RegisterReply,
  type RegisterRequest,
  type RegisterValue,
  startHolderProposal,
  startProposal,
} from "@wasabivane/coordination";

/** Protocol functions of the job register; tests substitute weakened ones. */
export interface RegisterRules {
  readonly handleRequest: typeof handleRegisterRequest;
  readonly applyReply: typeof applyRegisterReply;
  /** Whether the holder may use its own round twice with different values. */
  readonly canRepeatHolderRound: boolean;
}

/** The production rules. */
export const REGISTER_RULES: RegisterRules = {
  handleRequest: handleRegisterRequest,
  applyReply: applyRegisterReply,
  canRepeatHolderRound: false,
};

/** Bounds of a check. */
export interface RegisterCheckOptions {
  readonly rules?: RegisterRules;
  /** Number of proposals by the holder after its own round. */
  readonly holderProposals?: number;
  /** Number of proposals by the replica. */
  readonly copyProposals?: number;
  readonly maximumStates?: number;
}

/** Result of a check. */
export interface RegisterCheckReport {
  readonly states: number;
  readonly steps: number;
  readonly isComplete: boolean;
  /** Number of states in which the dispatch was chosen. */
  readonly dispatched: number;
  /** Number of states in which a move was chosen. */
  readonly moved: number;
  /** Trace to the first state in which two values were chosen. */
  readonly violation?: readonly string[];
}

interface Request {
  readonly from: number;
  readonly content: RegisterRequest;
}

interface Reply {
  readonly to: number;
  readonly content: RegisterReply;
}

/** Acceptor state of a member and its replies that may still have an effect. */
interface Member {
  readonly acceptor: AcceptorState;
  readonly replies: readonly number[];
}

interface State {
  /** Sorted, since states that differ by member order are equivalent. */
  readonly members: readonly number[];
  readonly proposals: readonly number[];
  /** Proposals started by each proposer, without the holder's own round. */
  readonly proposalCounts: readonly number[];
  readonly holderRounds: number;
  readonly requests: readonly number[];
}

const MEMBERS = ["holder", "copy", "other"].map((host) =>
  memberId(asId<HostId>(host), "1")
);
const [HOLDER, COPY] = MEMBERS as [MemberId, MemberId];
const PROPOSERS = [HOLDER, COPY];
const EPOCH: Epoch = { number: 0, members: MEMBERS, holder: HOLDER };
const DISPATCH: RegisterValue = {
  kind: "dispatch",
  upstream: asId("upstream"),
  nonce: asId("nonce"),
  by: HOLDER,
};

/** Limit of interned values of one kind; also the radix of combined keys. */
const MAX_VALUES = 65_536;

/** Assigns a number to each distinct value. */
class InternedValues<Value> {
  readonly #numbers = new Map<string, number>();
  readonly #values: Value[] = [];

  intern(value: Value): number {
    const key = JSON.stringify(value);
    const existing = this.#numbers.get(key);
    if (existing !== undefined) return existing;
    if (this.#values.length >= MAX_VALUES) {
      throw new Error(
        "The check has more distinct values than its keys can represent",
      );
    }
    this.#numbers.set(key, this.#values.length);
    return this.#values.push(value) - 1;
  }

  get(number: number): Value {
    return this.#values[number]!;
  }
}

/**
 * Explores all runs of a job register with three members and two proposers: the
 * holder, which proposes to dispatch and later to move, and a replica that
 * suspects the holder and proposes to move the job to itself.
 *
 * Messages may be delayed, duplicated, reordered or lost. A crash is a run in
 * which a process takes no further step.
 */
export function checkRegister(
  options: RegisterCheckOptions = {},
): RegisterCheckReport {
  return new RegisterExplorer(options).run();
}

class RegisterExplorer {
  readonly #rules: RegisterRules;
  readonly #maximumProposals: readonly number[];
  readonly #maximumStates: number;
  readonly #members = new InternedValues<Member>();
  readonly #proposals = new InternedValues<ProposerState | null>();
  readonly #requests = new InternedValues<Request>();
  readonly #replies = new InternedValues<Reply>();
  readonly #seen = new Set<string>();
  readonly #queue: State[] = [];
  readonly #parents: number[] = [];
  readonly #labels: string[] = [];
  readonly #handledRequests = new Map<
    number,
    { member: number; label: string }
  >();
  readonly #appliedReplies = new Map<number, number>();
  readonly #pruned = new Map<number, number>();
  #current = 0;
  #steps = 0;

  constructor(
    {
      rules = REGISTER_RULES,
      holderProposals = 1,
      copyProposals = 1,
      maximumStates = 2_000_000,
    }: RegisterCheckOptions,
  ) {
    this.#rules = rules;
    this.#maximumProposals = [holderProposals, copyProposals];
    this.#maximumStates = maximumStates;
  }

  run(): RegisterCheckReport {
    const counts = { dispatched: 0, moved: 0 };
    this.#add(this.#start(), "start");
    for (; this.#current < this.#queue.length; this.#current++) {
      const state = this.#queue[this.#current]!;
      const chosen = this.#chosenValues(state);
      if (chosen.size > 1) return this.#report(counts, { isViolated: true });
      if (chosen.has("dispatch")) counts.dispatched++;
      else if (chosen.size === 1) counts.moved++;
      if (this.#queue.length >= this.#maximumStates) break;
      this.#expand(state);
    }
    return this.#report(counts, { isViolated: false });
  }

  #start(): State {
    const emptyMember = this.#members.intern({ acceptor: {}, replies: [] });
    const none = this.#proposals.intern(null);
    return {
      members: MEMBERS.map(() => emptyMember),
      proposals: PROPOSERS.map(() => none),
      proposalCounts: PROPOSERS.map(() => 0),
      holderRounds: 0,
      requests: [],
    };
  }

  #report(
    counts: { dispatched: number; moved: number },
    { isViolated }: { isViolated: boolean },
  ): RegisterCheckReport {
    return {
      ...counts,
      states: this.#queue.length,
      steps: this.#steps,
      isComplete: this.#current === this.#queue.length,
      ...(isViolated && { violation: this.#traceTo(this.#current) }),
    };
  }

  #traceTo(index: number): string[] {
    const trace: string[] = [];
    for (let at = index; at > 0; at = this.#parents[at]!) {
      trace.unshift(this.#labels[at]!);
    }
    return trace;
  }

  #expand(state: State): void {
    this.#startHolderRound(state);
    PROPOSERS.forEach((_, proposer) => {
      this.#startProposal(state, proposer);
      this.#deliverReplies(state, proposer);
    });
    for (const request of state.requests) this.#deliver(state, request);
  }

  #startHolderRound(state: State): void {
    const maximum = this.#rules.canRepeatHolderRound ? 2 : 1;
    if (state.holderRounds >= maximum || state.proposalCounts[0]! > 0) return;
    const value = state.holderRounds === 0 ? DISPATCH : createMove(HOLDER);
    const holderRounds = state.holderRounds + 1;
    this.#propose({ ...state, holderRounds }, {
      proposer: 0,
      proposal: startHolderProposal(EPOCH, value),
      label: `holder proposes ${value.kind} in its own round`,
    });
  }

  #startProposal(state: State, proposer: number): void {
    const count = state.proposalCounts[proposer]!;
    if (count >= this.#maximumProposals[proposer]!) return;
    if (proposer === 0 && state.holderRounds === 0) return;
    const previous = this.#proposals.get(state.proposals[proposer]!);
    if (previous?.phase === "chosen") return;
    const self = PROPOSERS[proposer]!;
    const highestRound = Math.max(
      previous?.ballot.round ?? 0,
      previous?.outbidBy ?? 0,
    );
    const ballot = { round: highestRound + 1, proposer: self };
    const proposal = startProposal(EPOCH, { ballot, wish: createMove(self) });
    const next = {
      ...state,
      proposalCounts: replaceAt(state.proposalCounts, proposer, count + 1),
    };
    const label = `${self} prepares round ${ballot.round}`;
    this.#propose(next, { proposer, proposal, label });
  }

  #propose(
    state: State,
    { proposer, proposal, label }: {
      proposer: number;
      proposal: ProposerState;
      label: string;
    },
  ): void {
    const number = this.#proposals.intern(withoutPhaseState(proposal));
    const content = pendingRequest(proposal);
    const requests = content === undefined ? state.requests : insertSorted(
      state.requests,
      this.#requests.intern({ from: proposer, content }),
    );
    const proposals = replaceAt(state.proposals, proposer, number);
    this.#add({ ...state, proposals, requests }, label);
  }

  #deliver(state: State, request: number): void {
    state.members.forEach((before, index) => {
      const { member, label } = this.#handleRequest(before, request);
      const members = replaceAt(state.members, index, member);
      this.#add({ ...state, members }, `member ${label}`);
    });
  }

  #handleRequest(
    before: number,
    number: number,
  ): { member: number; label: string } {
    const key = before * MAX_VALUES + number;
    const existing = this.#handledRequests.get(key);
    if (existing !== undefined) return existing;
    const previous = this.#members.get(before);
    const { from, content } = this.#requests.get(number);
    const { acceptor, reply } = this.#rules.handleRequest(
      previous.acceptor,
      content,
    );
    const replyNumber = this.#replies.intern({ to: from, content: reply });
    const replies = insertSorted(previous.replies, replyNumber);
    const { round, proposer } = content.ballot;
    const result = {
      member: this.#members.intern({ acceptor, replies }),
      label: `gets ${content.kind} ${round} of ${proposer}: ${reply.kind}`,
    };
    this.#handledRequests.set(key, result);
    return result;
  }

  /**
   * Delivers one or two replies up to a phase change. Replies that do not
   * change the phase have no visible effect, so the interleavings between are
   * skipped.
   */
  #deliverReplies(state: State, proposer: number): void {
    const before = state.proposals[proposer]!;
    if (this.#proposals.get(before) === null) return;
    state.members.forEach((_, first) => {
      for (
        const once of this.#applyReplies(before, {
          state,
          proposer,
          from: first,
        })
      ) {
        if (this.#addIfPhaseChanged(state, { proposer, before, after: once })) {
          continue;
        }
        state.members.forEach((_, from) => {
          if (from === first) return;
          for (
            const twice of this.#applyReplies(once, { state, proposer, from })
          ) {
            this.#addIfPhaseChanged(state, { proposer, before, after: twice });
          }
        });
      }
    });
  }

  #applyReplies(
    before: number,
    { state, proposer, from }: { state: State; proposer: number; from: number },
  ): number[] {
    const { replies } = this.#members.get(state.members[from]!);
    return replies
      .filter((reply) => this.#replies.get(reply).to === proposer)
      .map((reply) => this.#applyReply(before, { reply, from }))
      .filter((after) => after !== before);
  }

  #applyReply(
    before: number,
    { reply, from }: { reply: number; from: number },
  ): number {
    const key = (before * MAX_VALUES + reply) * MEMBERS.length + from;
    const existing = this.#appliedReplies.get(key);
    if (existing !== undefined) return existing;
    const proposal = this.#rules.applyReply(this.#proposals.get(before)!, {
      from: MEMBERS[from]!,
      reply: this.#replies.get(reply).content,
    });
    const number = this.#proposals.intern(proposal);
    this.#appliedReplies.set(key, number);
    return number;
  }

  #addIfPhaseChanged(
    state: State,
    { proposer, before, after }: {
      proposer: number;
      before: number;
      after: number;
    },
  ): boolean {
    const proposal = this.#proposals.get(after)!;
    if (proposal.phase === this.#proposals.get(before)!.phase) return false;
    const label = `${PROPOSERS[proposer]} is ${proposal.phase} in round ` +
      proposal.ballot.round;
    this.#propose(state, { proposer, proposal, label });
    return true;
  }

  /** Removes replies that can no longer have an effect. */
  #withoutObsoleteReplies(
    number: number,
    proposals: readonly number[],
  ): number {
    const [first, second] = proposals as [number, number];
    const key = (number * MAX_VALUES + first) * MAX_VALUES + second;
    const existing = this.#pruned.get(key);
    if (existing !== undefined) return existing;
    const pruned = this.#prune(number, proposals);
    this.#pruned.set(key, pruned);
    return pruned;
  }

  #prune(number: number, proposals: readonly number[]): number {
    const member = this.#members.get(number);
    const replies = member.replies.filter((reply) => {
      const { to, content } = this.#replies.get(reply);
      if (content.kind === "accepted") return true;
      return isAwaited(content, this.#proposals.get(proposals[to]!));
    });
    if (replies.length === member.replies.length) return number;
    return this.#members.intern({ ...member, replies });
  }

  #add(state: State, label: string): void {
    this.#steps++;
    const members = state.members
      .map((member) => this.#withoutObsoleteReplies(member, state.proposals))
      .sort((left, right) => left - right);
    const key = String.fromCharCode(
      ...members,
      ...state.proposals,
      ...state.proposalCounts,
      state.holderRounds,
      ...state.requests,
    );
    if (this.#seen.has(key)) return;
    this.#seen.add(key);
    this.#queue.push({ ...state, members });
    this.#parents.push(this.#current);
    this.#labels.push(label);
  }

  /** Values that a majority accepted in one round or a proposer has chosen. */
  #chosenValues(state: State): Set<string> {
    const votes = new Map<string, number>();
    for (const member of state.members) {
      for (const reply of this.#members.get(member).replies) {
        const { content } = this.#replies.get(reply);
        if (content.kind !== "accepted") continue;
        const ballot = ballotKey(content.ballot);
        votes.set(ballot, (votes.get(ballot) ?? 0) + 1);
      }
    }
    const chosen = new Set<string>();
    for (const request of state.requests) {
      const { content } = this.#requests.get(request);
      if (content.kind !== "accept") continue;
      const count = votes.get(ballotKey(content.ballot)) ?? 0;
      if (count * 2 > MEMBERS.length) chosen.add(describeValue(content.value));
    }
    for (const number of state.proposals) {
      const proposal = this.#proposals.get(number);
      if (proposal?.phase === "chosen") {
        chosen.add(describeValue(proposal.value!));
      }
    }
    return chosen;
  }
}

/** Whether a reply may still change the proposal. */
function isAwaited(
  reply: RegisterReply,
  proposal: ProposerState | null,
): boolean {
  if (
    proposal === null || ballotKey(reply.ballot) !== ballotKey(proposal.ballot)
  ) {
    return false;
  }
  if (reply.kind === "promised") return proposal.phase === "preparing";
  return proposal.phase === "preparing" || proposal.phase === "accepting";
}

/** Drops the proposal fields that are unused after a phase change. */
function withoutPhaseState(proposal: ProposerState): ProposerState {
  const { latest: _latest, ...rest } = proposal;
  return { ...rest, promises: [], acceptances: [] };
}

function ballotKey({ round, proposer }: Ballot): string {
  return `${round} ${proposer}`;
}

function createMove(holder: MemberId): RegisterValue {
  return { kind: "move", epoch: { ...EPOCH, number: 1, holder } };
}

function describeValue(value: RegisterValue): string {
  return value.kind === "move" ? `move ${value.epoch.holder}` : value.kind;
}

function insertSorted(
  numbers: readonly number[],
  number: number,
): readonly number[] {
  if (numbers.includes(number)) return numbers;
  return [...numbers, number].sort((left, right) => left - right);
}

function replaceAt(
  numbers: readonly number[],
  index: number,
  number: number,
): readonly number[] {
  return numbers.map((previous, at) => at === index ? number : previous);
}
