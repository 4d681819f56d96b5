import { asId, type HostId, type IdempotencyKey } from "@wasabivane/common";
import {
  type ClaimReply,
  homeOf,
  type LeaseReply,
  type LeaseRequest,
  type View,
} from "@wasabivane/coordination";
import {
  copyHost,
  createClaim,
  createHostState,
  type ModelBounds,
  type ModelComponents,
  modelDispatch,
  type ModelHost,
  ModelProcess,
  type ModelState,
  PRODUCTION_COMPONENTS,
  StateDigests,
  TICK_MS,
} from "./modelState.ts";

/** One thing that may happen, with the state after it. */
interface Step {
  readonly name: string;
  readonly next: ModelState;
}

/** What an exploration found. */
export interface ModelResult {
  readonly states: number;
  /** False when the bound on states was reached first. */
  readonly isComplete: boolean;
  readonly violation?: {
    readonly what: string;
    readonly trace: readonly string[];
  };
}

/** How to explore. */
export interface ModelOptions {
  readonly bounds: ModelBounds;
  /** The home of the key in each list, by list index. */
  readonly homes: readonly HostId[];
  readonly components?: ModelComponents;
  readonly maximumStates?: number;
}

interface Visit {
  readonly state: ModelState;
  readonly parent: Visit | undefined;
  readonly step: string;
}

const MAX_STATES = 5_000_000;

/**
 * Explores every order of messages, restarts, list readings and steps of time
 * within the bounds, over the state machines that the daemons run. A pause of a
 * process is an order in which nothing happens at it while time goes on.
 */
export function checkModel(options: ModelOptions): ModelResult {
  return new ModelCheck(options).run();
}

/** A key whose home is the given host in each of the views. */
export function findKey(
  views: readonly View[],
  homes: readonly HostId[],
): IdempotencyKey {
  for (let index = 0;; index++) {
    const key = asId<IdempotencyKey>(`key-${index}`);
    const isFound = views.every((view, at) => homeOf(key, view) === homes[at]);
    if (isFound) return key;
  }
}

class ModelCheck {
  readonly #bounds: ModelBounds;
  readonly #machines: ModelComponents;
  readonly #maximum: number;
  readonly #key: IdempotencyKey;
  readonly #seen = new Set<string>();
  readonly #digests = new StateDigests();

  constructor(
    {
      bounds,
      homes,
      components: machines = PRODUCTION_COMPONENTS,
      maximumStates = MAX_STATES,
    }: ModelOptions,
  ) {
    this.#bounds = bounds;
    this.#machines = machines;
    this.#maximum = maximumStates;
    this.#key = findKey(bounds.lists, homes);
  }

  run(): ModelResult {
    const stack: Visit[] = [
      { state: this.#initial(), parent: undefined, step: "start" },
    ];
    while (stack.length > 0) {
      const visit = stack.pop()!;
      const digest = this.#digests.of(visit.state);
      if (this.#seen.has(digest)) continue;
      this.#seen.add(digest);
      const states = this.#seen.size;
      const violation = visit.state.violation ?? activeViewsClash(visit.state);
      if (violation !== undefined) {
        const trace = traceOf(visit);
        return {
          states,
          isComplete: false,
          violation: { what: violation, trace },
        };
      }
      if (states >= this.#maximum) return { states, isComplete: false };
      for (const { name, next } of this.#steps(visit.state)) {
        stack.push({ state: next, parent: visit, step: name });
      }
    }
    return { states: this.#seen.size, isComplete: true };
  }

  #initial(): ModelState {
    const { lists, rounds, restarts, entries } = this.#bounds;
    const names = [
      ...new Set([...lists.flatMap(({ hosts }) => hosts), ...entries]),
    ];
    const hosts = new Map(names.map((host) => [
      host,
      createHostState({
        incarnation: 1,
        startedAt: -100 * TICK_MS,
        isJoined: true,
        firstView: lists[0],
        machines: this.#machines,
        host,
      }),
    ]));
    return {
      tick: 0,
      hosts,
      roundsLeft: new Map(names.map((host) => [host, rounds[host] ?? 0])),
      restartsLeft: restarts,
      entriesLeft: entries,
      leaseMessages: new Map(),
      claimMessages: new Map(),
      claimReplies: new Map(),
      issuedAt: undefined,
      dispatches: 0,
      hasReportedNotRun: false,
    };
  }

  #steps(state: ModelState): Step[] {
    return [
      ...this.#timeSteps(state),
      ...this.#listSteps(state),
      ...this.#restartSteps(state),
      ...this.#roundSteps(state),
      ...this.#leaseSteps(state),
      ...this.#claimSteps(state),
      ...this.#answerSteps(state),
      ...this.#ownerSteps(state),
    ];
  }

  #timeSteps(state: ModelState): Step[] {
    if (state.tick >= this.#bounds.ticks) return [];
    const tick = state.tick + 1;
    const hosts = new Map([...state.hosts].map(([name, host]) => {
      if (host.records.size === 0) return [name, host];
      const copy = copyHost(host);
      const process = this.#process(name, copy, { tick });
      process.keyTable.expire(tick * TICK_MS);
      return [name, copy];
    }));
    return [{ name: `time is ${tick}`, next: { ...state, tick, hosts } }];
  }

  #listSteps(state: ModelState): Step[] {
    const steps: Step[] = [];
    for (const host of this.#bounds.readers) {
      const { lease } = state.hosts.get(host)!;
      for (const view of this.#bounds.lists) {
        const { version } = view;
        const isKnown = lease.views.has(version) || lease.retired.has(version);
        if (isKnown) continue;
        const next = this.#change(state, host, (process) => {
          process.lease.addView(view);
        });
        steps.push({ name: `${host} reads list ${version}`, next });
      }
    }
    return steps;
  }

  #restartSteps(state: ModelState): Step[] {
    return state.restartsLeft.map((host) => {
      const hosts = new Map(state.hosts);
      const former = state.hosts.get(host)!;
      hosts.set(
        host,
        createHostState({
          incarnation: former.incarnation + 1,
          startedAt: state.tick * TICK_MS,
          isJoined: false,
          firstView: this.#bounds.lists[0],
          machines: this.#machines,
          host,
        }),
      );
      const restartsLeft = state.restartsLeft.filter((other) => other !== host);
      const leaseMessages = new Map(state.leaseMessages);
      for (const key of leaseMessages.keys()) {
        if (key.startsWith(`${host}>`)) leaseMessages.delete(key);
      }
      const next = { ...state, hosts, restartsLeft, leaseMessages };
      return { name: `${host} restarts`, next };
    });
  }

  #roundSteps(state: ModelState): Step[] {
    const steps: Step[] = [];
    for (const [host, left] of state.roundsLeft) {
      const { lease } = state.hosts.get(host)!;
      const isDone = lease.sentAt.get(lease.serial) === state.tick * TICK_MS;
      if (left === 0 || isDone) continue;
      steps.push({
        name: `${host} asks for leases`,
        next: this.#ask(state, host),
      });
    }
    return steps;
  }

  #ask(state: ModelState, host: HostId): ModelState {
    const now = state.tick * TICK_MS;
    const leaseMessages = new Map(state.leaseMessages);
    const next = this.#change(state, host, ({ lease }) => {
      const request = lease.nextRequest(now);
      for (const target of lease.targets()) {
        if (target === host) {
          lease.applyReply(host, lease.handleRequest(host, request, now), now);
        } else leaseMessages.set(`${host}>${target}`, request);
      }
    });
    const roundsLeft = new Map(state.roundsLeft);
    roundsLeft.set(host, roundsLeft.get(host)! - 1);
    return { ...next, roundsLeft, leaseMessages };
  }

  #leaseSteps(state: ModelState): Step[] {
    return [...state.leaseMessages].map(([way, message]) => {
      const [from, to] = way.split(">") as [HostId, HostId];
      const leaseMessages = new Map(state.leaseMessages);
      leaseMessages.delete(way);
      const base = { ...state, leaseMessages };
      return "isJoined" in (message as object)
        ? this.#takeAnswer(base, { from, to, answer: message as LeaseReply })
        : this.#takeRequest(base, {
          from,
          to,
          request: message as LeaseRequest,
        });
    });
  }

  #takeRequest(
    state: ModelState,
    { from, to, request }: { from: HostId; to: HostId; request: LeaseRequest },
  ): Step {
    const now = state.tick * TICK_MS;
    let answer: LeaseReply | undefined;
    const next = this.#change(state, to, ({ lease }) => {
      answer = lease.handleRequest(from, request, now);
    });
    const name = `${to} hears ${from}`;
    if (!this.#bounds.hasDelayedReplies) {
      const step = this.#takeAnswer(next, {
        from: to,
        to: from,
        answer: answer!,
      });
      return { name, next: step.next };
    }
    next.leaseMessages.set(`${to}>${from}`, answer);
    return { name, next };
  }

  #takeAnswer(
    state: ModelState,
    { from, to, answer }: { from: HostId; to: HostId; answer: LeaseReply },
  ): Step {
    const next = this.#change(state, to, ({ lease }) => {
      lease.applyReply(from, answer, state.tick * TICK_MS);
    });
    return { name: `${to} gets the answer of ${from}`, next };
  }

  #claimSteps(state: ModelState): Step[] {
    const steps: Step[] = state.entriesLeft.map((entry) => ({
      name: `the caller asks ${entry}`,
      next: this.#beginClaim(state, entry),
    }));
    for (const claimId of state.claimMessages.keys()) {
      steps.push(this.#decideClaim(state, claimId));
    }
    return steps;
  }

  #decideClaim(state: ModelState, claimId: string): Step {
    const message = state.claimMessages.get(claimId)!;
    const { claim, home, left } = message;
    const claimMessages = new Map(state.claimMessages);
    if (left === 1) claimMessages.delete(claimId);
    else claimMessages.set(claimId, { ...message, left: left - 1 });
    let answer: ClaimReply | undefined;
    const decided = this.#change(state, home, (process) => {
      answer = process.decide(claim, {
        isGone: (host, incarnation) =>
          String(state.hosts.get(host)!.incarnation) !== incarnation,
      });
    });
    const answers = new Map(state.claimReplies);
    const way = `${claimId} ${left}`;
    const to = claim.claimant.host;
    answers.set(way, { answer: answer!, to, from: home });
    const next = { ...decided, claimMessages, claimReplies: answers };
    const name = `${home} decides about ${claimId}: ${JSON.stringify(answer)}`;
    return this.#bounds.hasDelayedReplies
      ? { name, next }
      : { name, next: this.#hearAnswer(next, way) };
  }

  #beginClaim(state: ModelState, entry: HostId): ModelState {
    const issued = {
      ...state,
      issuedAt: state.issuedAt ?? state.tick * TICK_MS,
    };
    const claim = createClaim(entry, issued, {
      key: this.#key,
      bounds: this.#bounds,
    });
    const claimMessages = new Map(state.claimMessages);
    const next = this.#change(issued, entry, ({ lease, claimTable: owner }) => {
      const home = homeOf(
        this.#key,
        lease.newestView ?? this.#bounds.lists[0]!,
      )!;
      owner.add(claim, home);
      const left = this.#bounds.claimDeliveries;
      claimMessages.set(claim.claimId, { claim, home, left });
    });
    const entriesLeft = state.entriesLeft.filter((other) => other !== entry);
    return { ...next, entriesLeft, claimMessages };
  }

  #answerSteps(state: ModelState): Step[] {
    return [...state.claimReplies].map(([way, { answer, to }]) => ({
      name: `${to} hears of its claim: ${answer.kind}`,
      next: this.#hearAnswer(state, way),
    }));
  }

  #hearAnswer(state: ModelState, way: string): ModelState {
    const { answer, to, from } = state.claimReplies.get(way)!;
    const claimId = way.split(" ")[0]!;
    const answers = new Map(state.claimReplies);
    answers.delete(way);
    let isGivenBack = false;
    const taken = this.#change(
      { ...state, claimReplies: answers },
      to,
      ({ claimTable: owner }) => {
        isGivenBack =
          owner.applyReply(claimId, answer, { from }) === "give-back";
      },
    );
    return isGivenBack ? this.#release(taken, { claimId, home: from }) : taken;
  }

  #ownerSteps(state: ModelState): Step[] {
    const steps: Step[] = [];
    for (const [host, { claims }] of state.hosts) {
      for (const [claimId, own] of claims) {
        if (own.state === "owned") {
          steps.push(...this.#useSteps(state, { host, claimId }));
        }
        if (own.state === "pending" && this.#bounds.hasAbandonment) {
          const next = this.#change(state, host, ({ claimTable: owner }) => {
            owner.abandon(claimId);
          });
          steps.push({ name: `${host} waits no longer`, next });
        }
      }
    }
    return steps;
  }

  #useSteps(
    state: ModelState,
    { host, claimId }: { host: HostId; claimId: string },
  ): Step[] {
    const written = this.#write(state, { host, claimId, isTold: false });
    const told = this.#write(state, { host, claimId, isTold: true });
    const steps = [
      { name: `${host} writes, its home does not hear`, next: written },
      { name: `${host} writes, its home hears`, next: told },
    ];
    if (!this.#bounds.hasAbandonment) return steps;
    const released = this.#giveUp(state, host, claimId);
    return [...steps, { name: `${host} gives up`, next: released }];
  }

  #write(
    state: ModelState,
    { host, claimId, isTold }: {
      host: HostId;
      claimId: string;
      isTold: boolean;
    },
  ): ModelState {
    const now = state.tick * TICK_MS;
    let isWritten = false;
    const spent = this.#change(state, host, ({ claimTable: owner }) => {
      isWritten = owner.consumeGrant(claimId, now);
    });
    if (!isWritten) return spent;
    const { claim, home } = state.hosts.get(host)!.claims.get(claimId)!;
    const next = isTold
      ? this.#change(spent, home, (process) => {
        process.keyTable.markDispatched(
          { ...claim, sequence: 1 },
          modelDispatch(),
        );
      })
      : spent;
    const dispatches = state.dispatches + 1;
    const isSecond = dispatches > 1 && !this.#bounds.isIdempotent;
    return isSecond
      ? { ...next, dispatches, violation: "The key was dispatched twice" }
      : { ...next, dispatches };
  }

  #giveUp(state: ModelState, host: HostId, claimId: string): ModelState {
    const { home } = state.hosts.get(host)!.claims.get(claimId)!;
    let isReleased = false;
    const released = this.#change(state, host, ({ claimTable: owner }) => {
      isReleased = owner.release(claimId);
    });
    if (!isReleased) return released;
    const told = this.#release(released, { claimId, home });
    const isFalse = state.dispatches > 0;
    const violation = isFalse
      ? "Not run was said of a key that ran"
      : undefined;
    const next = { ...told, hasReportedNotRun: true };
    return violation === undefined ? next : { ...next, violation };
  }

  #release(
    state: ModelState,
    { claimId, home }: { claimId: string; home: HostId },
  ): ModelState {
    const account =
      createClaim(home, state, { key: this.#key, bounds: this.#bounds })
        .account;
    return this.#change(state, home, (process) => {
      process.keyTable.release({
        account,
        key: this.#key,
        claimId,
        sequence: 1,
      }, 0);
    });
  }

  #change(
    state: ModelState,
    host: HostId,
    apply: (process: ModelProcess) => void,
  ): ModelState {
    const copy = copyHost(state.hosts.get(host)!);
    apply(this.#process(host, copy, state));
    const hosts = new Map(state.hosts);
    hosts.set(host, copy);
    return { ...state, hosts };
  }

  #process(
    host: HostId,
    state: ModelHost,
    { tick }: { tick: number },
  ): ModelProcess {
    return new ModelProcess(host, state, {
      now: tick * TICK_MS,
      bounds: this.#bounds,
      machines: this.#machines,
    });
  }
}

/** Two hosts that act under different views could each be the home of one key. */
function activeViewsClash(state: ModelState): string | undefined {
  const now = state.tick * TICK_MS;
  const versions = new Set<number>();
  for (const { lease } of state.hosts.values()) {
    const newest = Math.max(...lease.views.keys());
    const active = lease.tenures[0]?.view.version;
    if (lease.activeUntil > now && active === newest) versions.add(active);
  }
  return versions.size > 1 ? "Two views were active at once" : undefined;
}

function traceOf(visit: Visit): string[] {
  const trace: string[] = [];
  for (let at: Visit | undefined = visit; at !== undefined; at = at.parent) {
    trace.unshift(at.step);
  }
  return trace;
}
