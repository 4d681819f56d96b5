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

/** A possible transition and its resulting state. */
interface Transition {
  readonly name: string;
  readonly next: ModelState;
}

/** Result of an exploration. */
export interface ModelResult {
  readonly states: number;
  /** Whether all reachable states were explored within the limit. */
  readonly isComplete: boolean;
  readonly violation?: {
    readonly what: string;
    readonly trace: readonly string[];
  };
}

/** Options of {@link checkModel}. */
export interface ModelOptions {
  readonly bounds: ModelBounds;
  /** Home of the key in each host list, by list index. */
  readonly homes: readonly HostId[];
  readonly components?: ModelComponents;
  readonly maximumStates?: number;
}

interface VisitedState {
  readonly state: ModelState;
  readonly parent: VisitedState | undefined;
  readonly step: string;
}

const MAX_STATES = 5_000_000;

/**
 * Explores all interleavings of messages, restarts, host list reads and time
 * steps within the bounds, using the production state machines. A process pause
 * is an interleaving in which time advances without transitions at that
 * process.
 */
export function checkModel(options: ModelOptions): ModelResult {
  return new StateExplorer(options).run();
}

/** Finds a key whose home in each view is the given host. */
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

class StateExplorer {
  readonly #bounds: ModelBounds;
  readonly #components: ModelComponents;
  readonly #maximumStates: number;
  readonly #key: IdempotencyKey;
  readonly #seen = new Set<string>();
  readonly #digests = new StateDigests();

  constructor(
    {
      bounds,
      homes,
      components = PRODUCTION_COMPONENTS,
      maximumStates = MAX_STATES,
    }: ModelOptions,
  ) {
    this.#bounds = bounds;
    this.#components = components;
    this.#maximumStates = maximumStates;
    this.#key = findKey(bounds.lists, homes);
  }

  run(): ModelResult {
    const stack: VisitedState[] = [
      { state: this.#initial(), parent: undefined, step: "start" },
    ];
    while (stack.length > 0) {
      const visit = stack.pop()!;
      const digest = this.#digests.of(visit.state);
      if (this.#seen.has(digest)) continue;
      this.#seen.add(digest);
      const states = this.#seen.size;
      const violation = visit.state.violation ??
        findConflictingViews(visit.state);
      if (violation !== undefined) {
        const trace = buildTrace(visit);
        return {
          states,
          isComplete: false,
          violation: { what: violation, trace },
        };
      }
      if (states >= this.#maximumStates) return { states, isComplete: false };
      for (const { name, next } of this.#transitions(visit.state)) {
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
        components: this.#components,
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

  #transitions(state: ModelState): Transition[] {
    return [
      ...this.#timeTransitions(state),
      ...this.#listTransitions(state),
      ...this.#restartTransitions(state),
      ...this.#leaseRoundTransitions(state),
      ...this.#leaseMessageTransitions(state),
      ...this.#claimTransitions(state),
      ...this.#claimReplyTransitions(state),
      ...this.#claimantTransitions(state),
    ];
  }

  #timeTransitions(state: ModelState): Transition[] {
    if (state.tick >= this.#bounds.ticks) return [];
    const tick = state.tick + 1;
    const hosts = new Map([...state.hosts].map(([name, host]) => {
      if (host.records.size === 0) return [name, host];
      const copy = copyHost(host);
      const process = this.#process(name, copy, { tick });
      process.keyTable.expire(tick * TICK_MS);
      return [name, copy];
    }));
    return [{
      name: `time advances to tick ${tick}`,
      next: { ...state, tick, hosts },
    }];
  }

  #listTransitions(state: ModelState): Transition[] {
    const transitions: Transition[] = [];
    for (const host of this.#bounds.readers) {
      const { lease } = state.hosts.get(host)!;
      for (const view of this.#bounds.lists) {
        const { version } = view;
        const isKnown = lease.views.has(version) || lease.retired.has(version);
        if (isKnown) continue;
        const next = this.#update(state, host, (process) => {
          process.lease.addView(view);
        });
        transitions.push({ name: `${host} reads list ${version}`, next });
      }
    }
    return transitions;
  }

  #restartTransitions(state: ModelState): Transition[] {
    return state.restartsLeft.map((host) => {
      const hosts = new Map(state.hosts);
      const previous = state.hosts.get(host)!;
      hosts.set(
        host,
        createHostState({
          incarnation: previous.incarnation + 1,
          startedAt: state.tick * TICK_MS,
          isJoined: false,
          firstView: this.#bounds.lists[0],
          components: this.#components,
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

  #leaseRoundTransitions(state: ModelState): Transition[] {
    const transitions: Transition[] = [];
    for (const [host, left] of state.roundsLeft) {
      const { lease } = state.hosts.get(host)!;
      const hasRequested =
        lease.sentAt.get(lease.serial) === state.tick * TICK_MS;
      if (left === 0 || hasRequested) continue;
      transitions.push({
        name: `${host} requests leases`,
        next: this.#requestLeases(state, host),
      });
    }
    return transitions;
  }

  #requestLeases(state: ModelState, host: HostId): ModelState {
    const now = state.tick * TICK_MS;
    const leaseMessages = new Map(state.leaseMessages);
    const next = this.#update(state, host, ({ lease }) => {
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

  #leaseMessageTransitions(state: ModelState): Transition[] {
    return [...state.leaseMessages].map(([route, message]) => {
      const [from, to] = route.split(">") as [HostId, HostId];
      const leaseMessages = new Map(state.leaseMessages);
      leaseMessages.delete(route);
      const base = { ...state, leaseMessages };
      return "isJoined" in (message as object)
        ? this.#deliverLeaseReply(base, {
          from,
          to,
          reply: message as LeaseReply,
        })
        : this.#deliverLeaseRequest(base, {
          from,
          to,
          request: message as LeaseRequest,
        });
    });
  }

  #deliverLeaseRequest(
    state: ModelState,
    { from, to, request }: { from: HostId; to: HostId; request: LeaseRequest },
  ): Transition {
    const now = state.tick * TICK_MS;
    let reply: LeaseReply | undefined;
    const next = this.#update(state, to, ({ lease }) => {
      reply = lease.handleRequest(from, request, now);
    });
    const name = `${to} receives the lease request of ${from}`;
    if (!this.#bounds.hasDelayedReplies) {
      const step = this.#deliverLeaseReply(next, {
        from: to,
        to: from,
        reply: reply!,
      });
      return { name, next: step.next };
    }
    next.leaseMessages.set(`${to}>${from}`, reply);
    return { name, next };
  }

  #deliverLeaseReply(
    state: ModelState,
    { from, to, reply }: { from: HostId; to: HostId; reply: LeaseReply },
  ): Transition {
    const next = this.#update(state, to, ({ lease }) => {
      lease.applyReply(from, reply, state.tick * TICK_MS);
    });
    return { name: `${to} receives the lease reply of ${from}`, next };
  }

  #claimTransitions(state: ModelState): Transition[] {
    const transitions: Transition[] = state.entriesLeft.map((entry) => ({
      name: `the caller sends the request to ${entry}`,
      next: this.#sendClaim(state, entry),
    }));
    for (const claimId of state.claimMessages.keys()) {
      transitions.push(this.#decideClaim(state, claimId));
    }
    return transitions;
  }

  #decideClaim(state: ModelState, claimId: string): Transition {
    const message = state.claimMessages.get(claimId)!;
    const { claim, home, left } = message;
    const claimMessages = new Map(state.claimMessages);
    if (left === 1) claimMessages.delete(claimId);
    else claimMessages.set(claimId, { ...message, left: left - 1 });
    let reply: ClaimReply | undefined;
    const decided = this.#update(state, home, (process) => {
      reply = process.decide(claim, {
        isTerminated: (host, incarnation) =>
          String(state.hosts.get(host)!.incarnation) !== incarnation,
      });
    });
    const claimReplies = new Map(state.claimReplies);
    const route = `${claimId} ${left}`;
    const to = claim.claimant.host;
    claimReplies.set(route, { reply: reply!, to, from: home });
    const next = { ...decided, claimMessages, claimReplies };
    const name = `${home} decides ${claimId}: ${JSON.stringify(reply)}`;
    return this.#bounds.hasDelayedReplies
      ? { name, next }
      : { name, next: this.#deliverClaimReply(next, route) };
  }

  #sendClaim(state: ModelState, entry: HostId): ModelState {
    const issued = {
      ...state,
      issuedAt: state.issuedAt ?? state.tick * TICK_MS,
    };
    const claim = createClaim(entry, issued, {
      key: this.#key,
      bounds: this.#bounds,
    });
    const claimMessages = new Map(state.claimMessages);
    const next = this.#update(issued, entry, ({ lease, claimTable }) => {
      const home = homeOf(
        this.#key,
        lease.newestView ?? this.#bounds.lists[0]!,
      )!;
      claimTable.add(claim, home);
      const left = this.#bounds.claimDeliveries;
      claimMessages.set(claim.claimId, { claim, home, left });
    });
    const entriesLeft = state.entriesLeft.filter((other) => other !== entry);
    return { ...next, entriesLeft, claimMessages };
  }

  #claimReplyTransitions(state: ModelState): Transition[] {
    return [...state.claimReplies].map(([route, { reply, to }]) => ({
      name: `${to} receives the claim reply: ${reply.kind}`,
      next: this.#deliverClaimReply(state, route),
    }));
  }

  #deliverClaimReply(state: ModelState, route: string): ModelState {
    const { reply, to, from } = state.claimReplies.get(route)!;
    const claimId = route.split(" ")[0]!;
    const claimReplies = new Map(state.claimReplies);
    claimReplies.delete(route);
    let isReturned = false;
    const applied = this.#update(
      { ...state, claimReplies },
      to,
      ({ claimTable }) => {
        isReturned =
          claimTable.applyReply(claimId, reply, { from }) === "give-back";
      },
    );
    return isReturned
      ? this.#release(applied, { claimId, home: from })
      : applied;
  }

  #claimantTransitions(state: ModelState): Transition[] {
    const transitions: Transition[] = [];
    for (const [host, { claims }] of state.hosts) {
      for (const [claimId, own] of claims) {
        if (own.state === "owned") {
          transitions.push(
            ...this.#ownedClaimTransitions(state, { host, claimId }),
          );
        }
        if (own.state === "pending" && this.#bounds.hasAbandonment) {
          const next = this.#update(state, host, ({ claimTable }) => {
            claimTable.abandon(claimId);
          });
          transitions.push({ name: `${host} abandons the claim`, next });
        }
      }
    }
    return transitions;
  }

  #ownedClaimTransitions(
    state: ModelState,
    { host, claimId }: { host: HostId; claimId: string },
  ): Transition[] {
    const unreported = this.#dispatch(state, {
      host,
      claimId,
      isReported: false,
    });
    const reported = this.#dispatch(state, { host, claimId, isReported: true });
    const transitions = [
      {
        name: `${host} dispatches, its update to the home is lost`,
        next: unreported,
      },
      { name: `${host} dispatches and updates the home`, next: reported },
    ];
    if (!this.#bounds.hasAbandonment) return transitions;
    const released = this.#abandonGrant(state, host, claimId);
    return [...transitions, {
      name: `${host} releases the grant`,
      next: released,
    }];
  }

  #dispatch(
    state: ModelState,
    { host, claimId, isReported }: {
      host: HostId;
      claimId: string;
      isReported: boolean;
    },
  ): ModelState {
    const now = state.tick * TICK_MS;
    let isDispatched = false;
    const consumed = this.#update(state, host, ({ claimTable }) => {
      isDispatched = claimTable.consumeGrant(claimId, now);
    });
    if (!isDispatched) return consumed;
    const { claim, home } = state.hosts.get(host)!.claims.get(claimId)!;
    const next = isReported
      ? this.#update(consumed, home, (process) => {
        process.keyTable.markDispatched(
          { ...claim, sequence: 1 },
          modelDispatch(),
        );
      })
      : consumed;
    const dispatches = state.dispatches + 1;
    const isSecond = dispatches > 1 && !this.#bounds.isIdempotent;
    return isSecond
      ? { ...next, dispatches, violation: "The key was dispatched twice" }
      : { ...next, dispatches };
  }

  #abandonGrant(state: ModelState, host: HostId, claimId: string): ModelState {
    const { home } = state.hosts.get(host)!.claims.get(claimId)!;
    let isReleased = false;
    const released = this.#update(state, host, ({ claimTable }) => {
      isReleased = claimTable.release(claimId);
    });
    if (!isReleased) return released;
    const reported = this.#release(released, { claimId, home });
    const isFalse = state.dispatches > 0;
    const violation = isFalse
      ? "A request that ran was reported as not run"
      : undefined;
    const next = { ...reported, hasReportedNotRun: true };
    return violation === undefined ? next : { ...next, violation };
  }

  #release(
    state: ModelState,
    { claimId, home }: { claimId: string; home: HostId },
  ): ModelState {
    const account =
      createClaim(home, state, { key: this.#key, bounds: this.#bounds })
        .account;
    return this.#update(state, home, (process) => {
      process.keyTable.release({
        account,
        key: this.#key,
        claimId,
        sequence: 1,
      }, 0);
    });
  }

  #update(
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
      components: this.#components,
    });
  }
}

/** Finds hosts active in different views, which could both be a key's home. */
function findConflictingViews(state: ModelState): string | undefined {
  const now = state.tick * TICK_MS;
  const versions = new Set<number>();
  for (const { lease } of state.hosts.values()) {
    const newest = Math.max(...lease.views.keys());
    const active = lease.tenures[0]?.view.version;
    if (lease.activeUntil > now && active === newest) versions.add(active);
  }
  return versions.size > 1 ? "Two views were active at once" : undefined;
}

function buildTrace(visit: VisitedState): string[] {
  const trace: string[] = [];
  for (
    let at: VisitedState | undefined = visit;
    at !== undefined;
    at = at.parent
  ) {
    trace.unshift(at.step);
  }
  return trace;
}
