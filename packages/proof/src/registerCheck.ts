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

/**
 * Explores every run of one job register with three members, two of which
 * propose: the holder, which wants to dispatch and later to move, and a copy
 * that believes the holder dead and wants to move the job to itself.
 *
 * The network is a set of messages that were ever sent; any of them may arrive
 * now, later, again or never. A crash is a process that takes no further step,
 * and one that lost its memory is no member any more, so that both are among
 * the runs. The functions are those that the entry hosts run.
 */
export interface RegisterRules {
  readonly handleRequest: typeof handleRegisterRequest;
  readonly applyReply: typeof applyRegisterReply;
  /** Whether the holder may use its own round twice with other values. */
  readonly canRepeatHolderRound: boolean;
}

/** The rules as they are. */
export const REGISTER_RULES: RegisterRules = {
  handleRequest: handleRegisterRequest,
  applyReply: applyRegisterReply,
  canRepeatHolderRound: false,
};

/** How far a check goes. */
export interface RegisterCheckOptions {
  readonly rules?: RegisterRules;
  /** Attempts of the holder after its own round. */
  readonly holderProposals?: number;
  /** Attempts of the copy. */
  readonly copyProposals?: number;
  readonly maximumStates?: number;
}

/** What a check found. */
export interface RegisterCheckReport {
  readonly states: number;
  readonly steps: number;
  readonly isComplete: boolean;
  /** States in which the dispatch was chosen, and in which a move was. */
  readonly dispatched: number;
  readonly moved: number;
  /** Steps to the first state in which two values were chosen. */
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

/** A member with the replies that it ever gave and that still matter. */
interface Member {
  readonly acceptor: AcceptorState;
  readonly replies: readonly number[];
}

interface State {
  /** In sorted order: members differ in what they remember, not in their names. */
  readonly members: readonly number[];
  readonly attempts: readonly number[];
  /** Attempts made by each proposer; the holder's own round counts apart. */
  readonly made: readonly number[];
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

/** Bound of interned values of one kind; a factor in keys of pairs. */
const MAX_VALUES = 65_536;

/** Gives equal values equal small numbers. */
class Interned<Value> {
  readonly #numbers = new Map<string, number>();
  readonly #values: Value[] = [];

  numberOf(value: Value): number {
    const key = JSON.stringify(value);
    const known = this.#numbers.get(key);
    if (known !== undefined) return known;
    if (this.#values.length >= MAX_VALUES) {
      throw new Error("The check has more values than its keys can hold");
    }
    this.#numbers.set(key, this.#values.length);
    return this.#values.push(value) - 1;
  }

  get(number: number): Value {
    return this.#values[number]!;
  }
}

/** Explores all runs within the options' bounds. */
export function checkRegister(
  options: RegisterCheckOptions = {},
): RegisterCheckReport {
  return new RegisterCheck(options).run();
}

class RegisterCheck {
  readonly #rules: RegisterRules;
  readonly #maximumAttempts: readonly number[];
  readonly #maximumStates: number;
  readonly #members = new Interned<Member>();
  readonly #attempts = new Interned<ProposerState | null>();
  readonly #requests = new Interned<Request>();
  readonly #replies = new Interned<Reply>();
  readonly #seen = new Set<string>();
  readonly #queue: State[] = [];
  readonly #parents: number[] = [];
  readonly #labels: string[] = [];
  readonly #answers = new Map<number, { member: number; label: string }>();
  readonly #taken = new Map<number, number>();
  readonly #pruned = new Map<number, number>();
  #current = 0;
  #steps = 0;

  constructor(
    {
      rules = REGISTER_RULES,
      holderProposals: holderAttempts = 1,
      copyProposals: copyAttempts = 1,
      maximumStates = 2_000_000,
    }: RegisterCheckOptions,
  ) {
    this.#rules = rules;
    this.#maximumAttempts = [holderAttempts, copyAttempts];
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
    const blank = this.#members.numberOf({ acceptor: {}, replies: [] });
    const none = this.#attempts.numberOf(null);
    return {
      members: MEMBERS.map(() => blank),
      attempts: PROPOSERS.map(() => none),
      made: PROPOSERS.map(() => 0),
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
      this.#startNext(state, proposer);
      this.#hearReplies(state, proposer);
    });
    for (const request of state.requests) this.#deliver(state, request);
  }

  #startHolderRound(state: State): void {
    const maximum = this.#rules.canRepeatHolderRound ? 2 : 1;
    if (state.holderRounds >= maximum || state.made[0]! > 0) return;
    const wish = state.holderRounds === 0 ? DISPATCH : moveTo(HOLDER);
    const holderRounds = state.holderRounds + 1;
    this.#propose({ ...state, holderRounds }, {
      proposer: 0,
      attempt: startHolderProposal(EPOCH, wish),
      label: `holder proposes ${wish.kind} in its own round`,
    });
  }

  #startNext(state: State, proposer: number): void {
    const made = state.made[proposer]!;
    if (made >= this.#maximumAttempts[proposer]!) return;
    if (proposer === 0 && state.holderRounds === 0) return;
    const former = this.#attempts.get(state.attempts[proposer]!);
    if (former?.phase === "chosen") return;
    const self = PROPOSERS[proposer]!;
    const highest = Math.max(former?.ballot.round ?? 0, former?.outbidBy ?? 0);
    const ballot = { round: highest + 1, proposer: self };
    const attempt = startProposal(EPOCH, { ballot, wish: moveTo(self) });
    const next = { ...state, made: replaced(state.made, proposer, made + 1) };
    const label = `${self} prepares round ${ballot.round}`;
    this.#propose(next, { proposer, attempt, label });
  }

  #propose(
    state: State,
    { proposer, attempt, label }: {
      proposer: number;
      attempt: ProposerState;
      label: string;
    },
  ): void {
    const number = this.#attempts.numberOf(forgetful(attempt));
    const content = pendingRequest(attempt);
    const requests = content === undefined ? state.requests : withNumber(
      state.requests,
      this.#requests.numberOf({ from: proposer, content }),
    );
    const attempts = replaced(state.attempts, proposer, number);
    this.#add({ ...state, attempts, requests }, label);
  }

  #deliver(state: State, request: number): void {
    state.members.forEach((before, index) => {
      const { member, label } = this.#answer(before, request);
      const members = replaced(state.members, index, member);
      this.#add({ ...state, members }, `member ${label}`);
    });
  }

  #answer(before: number, number: number): { member: number; label: string } {
    const key = before * MAX_VALUES + number;
    const known = this.#answers.get(key);
    if (known !== undefined) return known;
    const former = this.#members.get(before);
    const { from, content } = this.#requests.get(number);
    const { acceptor, reply } = this.#rules.handleRequest(
      former.acceptor,
      content,
    );
    const replyNumber = this.#replies.numberOf({ to: from, content: reply });
    const replies = withNumber(former.replies, replyNumber);
    const { round, proposer } = content.ballot;
    const answer = {
      member: this.#members.numberOf({ acceptor, replies }),
      label: `gets ${content.kind} ${round} of ${proposer}: ${reply.kind}`,
    };
    this.#answers.set(key, answer);
    return answer;
  }

  /**
   * A reply that does not change the phase is seen by nobody else, so it may as
   * well be heard right before the one that does: one reply, or two of them.
   */
  #hearReplies(state: State, proposer: number): void {
    const before = state.attempts[proposer]!;
    if (this.#attempts.get(before) === null) return;
    state.members.forEach((_, first) => {
      for (const once of this.#hear(before, { state, proposer, from: first })) {
        if (this.#turn(state, { proposer, before, after: once })) continue;
        state.members.forEach((_, from) => {
          if (from === first) return;
          for (const twice of this.#hear(once, { state, proposer, from })) {
            this.#turn(state, { proposer, before, after: twice });
          }
        });
      }
    });
  }

  #hear(
    before: number,
    { state, proposer, from }: { state: State; proposer: number; from: number },
  ): number[] {
    const { replies } = this.#members.get(state.members[from]!);
    return replies
      .filter((reply) => this.#replies.get(reply).to === proposer)
      .map((reply) => this.#take(before, { reply, from }))
      .filter((after) => after !== before);
  }

  #take(
    before: number,
    { reply, from }: { reply: number; from: number },
  ): number {
    const key = (before * MAX_VALUES + reply) * MEMBERS.length + from;
    const known = this.#taken.get(key);
    if (known !== undefined) return known;
    const attempt = this.#rules.applyReply(this.#attempts.get(before)!, {
      from: MEMBERS[from]!,
      reply: this.#replies.get(reply).content,
    });
    const number = this.#attempts.numberOf(attempt);
    this.#taken.set(key, number);
    return number;
  }

  #turn(
    state: State,
    { proposer, before, after }: {
      proposer: number;
      before: number;
      after: number;
    },
  ): boolean {
    const attempt = this.#attempts.get(after)!;
    if (attempt.phase === this.#attempts.get(before)!.phase) return false;
    const label = `${PROPOSERS[proposer]} is ${attempt.phase} in round ` +
      attempt.ballot.round;
    this.#propose(state, { proposer, attempt, label });
    return true;
  }

  /** Drops replies that can no longer change anything. */
  #withoutIdleReplies(number: number, attempts: readonly number[]): number {
    const [first, second] = attempts as [number, number];
    const key = (number * MAX_VALUES + first) * MAX_VALUES + second;
    const known = this.#pruned.get(key);
    if (known !== undefined) return known;
    const pruned = this.#prune(number, attempts);
    this.#pruned.set(key, pruned);
    return pruned;
  }

  #prune(number: number, attempts: readonly number[]): number {
    const member = this.#members.get(number);
    const replies = member.replies.filter((reply) => {
      const { to, content } = this.#replies.get(reply);
      if (content.kind === "accepted") return true;
      return isAwaited(content, this.#attempts.get(attempts[to]!));
    });
    if (replies.length === member.replies.length) return number;
    return this.#members.numberOf({ ...member, replies });
  }

  #add(state: State, label: string): void {
    this.#steps++;
    const members = state.members
      .map((member) => this.#withoutIdleReplies(member, state.attempts))
      .sort((left, right) => left - right);
    const key = String.fromCharCode(
      ...members,
      ...state.attempts,
      ...state.made,
      state.holderRounds,
      ...state.requests,
    );
    if (this.#seen.has(key)) return;
    this.#seen.add(key);
    this.#queue.push({ ...state, members });
    this.#parents.push(this.#current);
    this.#labels.push(label);
  }

  /** Names of the values that a majority accepted in one round, or that a proposer takes for chosen. */
  #chosenValues(state: State): Set<string> {
    const votes = new Map<string, number>();
    for (const member of state.members) {
      for (const reply of this.#members.get(member).replies) {
        const { content } = this.#replies.get(reply);
        if (content.kind !== "accepted") continue;
        const ballot = keyOf(content.ballot);
        votes.set(ballot, (votes.get(ballot) ?? 0) + 1);
      }
    }
    const chosen = new Set<string>();
    for (const request of state.requests) {
      const { content } = this.#requests.get(request);
      if (content.kind !== "accept") continue;
      const count = votes.get(keyOf(content.ballot)) ?? 0;
      if (count * 2 > MEMBERS.length) chosen.add(nameOf(content.value));
    }
    for (const number of state.attempts) {
      const attempt = this.#attempts.get(number);
      if (attempt?.phase === "chosen") chosen.add(nameOf(attempt.value!));
    }
    return chosen;
  }
}

/** Whether an attempt may still change by a reply of this kind. */
function isAwaited(
  reply: RegisterReply,
  attempt: ProposerState | null,
): boolean {
  if (attempt === null || keyOf(reply.ballot) !== keyOf(attempt.ballot)) {
    return false;
  }
  if (reply.kind === "promised") return attempt.phase === "preparing";
  return attempt.phase === "preparing" || attempt.phase === "accepting";
}

/** The attempt without what it no longer looks at after a change of phase. */
function forgetful(attempt: ProposerState): ProposerState {
  const { latest: _latest, ...rest } = attempt;
  return { ...rest, promises: [], acceptances: [] };
}

function keyOf({ round, proposer }: Ballot): string {
  return `${round} ${proposer}`;
}

function moveTo(holder: MemberId): RegisterValue {
  return { kind: "move", epoch: { ...EPOCH, number: 1, holder } };
}

function nameOf(value: RegisterValue): string {
  return value.kind === "move" ? `move ${value.epoch.holder}` : value.kind;
}

function withNumber(
  numbers: readonly number[],
  number: number,
): readonly number[] {
  if (numbers.includes(number)) return numbers;
  return [...numbers, number].sort((left, right) => left - right);
}

function replaced(
  numbers: readonly number[],
  index: number,
  number: number,
): readonly number[] {
  return numbers.map((former, at) => at === index ? number : former);
}
