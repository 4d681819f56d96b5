import type {
  HostId,
  Incarnation,
  Milliseconds,
  Random,
  RequestId,
  UpstreamId,
} from "@wasabivane/common";
import { CellUpstreams } from "./cellUpstreams.ts";
import type { Cell } from "./cells.ts";
import type {
  CellDecision,
  CellReply,
  CellSnapshot,
  CellUpdate,
  NumberedDecision,
} from "./cellMessages.ts";
import type { UpstreamLoad } from "./fleetLoad.ts";
import {
  type PlacementDecision,
  RequestScheduler,
  type UpstreamSource,
} from "./requestScheduler.ts";
import {
  createPendingRequest,
  type PlacementRequest,
} from "./placementRequest.ts";
import { CoordinatorStartLimit } from "./startLimit.ts";
import type { Upstream } from "./types.ts";
import type { UpstreamStats } from "./upstreamStats.ts";

/**
 * Asks that come within this time are decided together. A burst costs one look at the
 * line and one answer for each host, not one for each ask; alone, an ask is decided at
 * once.
 */
const TURN_MS: Milliseconds = 4;
/**
 * A decision that its host has not seen is told again after this time, then after twice
 * as long and so on: longer than hosts take to say that they have seen it.
 */
const REPEAT_MS: Milliseconds = 120;
/**
 * A place that was given and that its host does not speak of is free again: it was told
 * of it four times by then, so it is gone or has turned elsewhere.
 */
const VERDICT_MS: Milliseconds = 1_200;
/** A host that says nothing for so long waits here no more; it confirms twice a second. */
const SILENT_MS: Milliseconds = 1_500;
/** A host that says nothing for so long is forgotten. */
const FORGOTTEN_MS: Milliseconds = 10_000;
/** A keeper that nobody asks for so long has been replaced. */
const IDLE_MS: Milliseconds = 3_000;

/** What a {@link CellCoordinator} is built from. */
export interface CellCoordinatorOptions {
  readonly host: HostId;
  readonly incarnation: Incarnation;
  readonly cell: Cell;
  readonly upstreams: UpstreamSource;
  readonly stats: UpstreamStats;
  readonly random: Random;
  /** Starts in one second that a cold upstream bears; `undefined` where it bears any. */
  readonly coldStartsOf: (upstream: Upstream) => number | undefined;
  /** Hosts that live as far as is known, this one included. */
  readonly hostCount: () => number;
  readonly send: (to: HostId, answer: CellReply) => void;
  /** Calls back once after a while. */
  readonly after: (span: Milliseconds, callback: () => void) => void;
  readonly now: () => Milliseconds;
  /** Snapshots of the other cells of the service. */
  readonly otherSnapshots: () => readonly CellSnapshot[];
  readonly isLeaving: () => boolean;
}

/** What a keeper remembers of a host that asks it. */
interface Asker {
  readonly incarnation: Incarnation;
  sequence: number;
  heardAt: Milliseconds;
  observationsSeen: number;
  verdictCount: number;
  inFlight: ReadonlyMap<UpstreamId, UpstreamLoad>;
  /** Decisions that it has not seen yet. */
  unseen: UnseenVerdict[];
  readonly waiting: Set<RequestId>;
  /** Requests that it says wait and that are not known here. */
  unknown: RequestId[];
  hasNews: boolean;
  /** When it is told again what it has not seen, and the time to the next repetition. */
  repeatAt: Milliseconds;
  repeatSpan: Milliseconds;
}

interface UnseenVerdict extends NumberedDecision {
  readonly until: Milliseconds;
  readonly promptTokens: number;
}

/**
 * Keeps the line of one cell for all hosts.
 *
 * Answers the load pattern of hundreds of hosts with one request each before some
 * hundred places. Each host alone sees next to nothing of the others' work: engines
 * are filled twice while others idle, and a tier-1 request waits at one host while
 * tier 3 starts at another. One host that all ask knows every place and every waiting
 * request of its cell.
 *
 * Nothing here has to survive. A host describes its work with each ask and lists what
 * waits ten times a second, so that a keeper that starts or takes over knows both by
 * the host's first asks.
 * Two keepers of one cell, while hosts disagree on who lives, fill it twice at most:
 * engines reject what they cannot take, and the request is asked for again.
 */
export class CellCoordinator {
  readonly #options: CellCoordinatorOptions;
  readonly #scheduler: RequestScheduler;
  readonly #askers = new Map<HostId, Asker>();
  #askedAt: Milliseconds;
  #turnAt: Milliseconds = -Infinity;
  #isTurnPlanned = false;

  constructor(options: CellCoordinatorOptions, now: Milliseconds) {
    const { cell, upstreams, stats: knowledge, random, coldStartsOf } = options;
    this.#options = options;
    this.#askedAt = now;
    this.#scheduler = new RequestScheduler({
      upstreams: new CellUpstreams(cell, upstreams),
      stats: knowledge,
      random,
      starts: new CoordinatorStartLimit({
        coldStartsOf,
        warmth: knowledge.warmup,
        isCutOff: (now) => this.#isCutOff(now),
      }),
    });
  }

  get cell(): Cell {
    return this.#options.cell;
  }

  /** Whether requests wait here. */
  get hasWaiting(): boolean {
    return this.#scheduler.waitingTotal > 0;
  }

  /** Nobody asks here any more. */
  isIdle(now: Milliseconds): boolean {
    return now - this.#askedAt > IDLE_MS;
  }

  /** How full the cell is. */
  snapshot(now: Milliseconds): CellSnapshot {
    const { cell } = this.#options;
    return { cell, at: now, ...this.#scheduler.counts(cell.service, now) };
  }

  /** Takes in an ask; answers go to every host about which something was decided. */
  receive(ask: CellUpdate, now: Milliseconds): void {
    this.#askedAt = now;
    const asker = this.#askerOf(ask, now);
    if (ask.sequence <= asker.sequence) return;
    asker.sequence = ask.sequence;
    // Before the host's work is counted anew: the upstream had what has ended since.
    for (const [upstream, requests] of ask.reports) {
      this.#scheduler.load.recordReport(upstream, requests, now);
    }
    asker.heardAt = now;
    asker.inFlight = ask.inFlight;
    asker.unseen = asker.unseen.filter(({ number }) =>
      number > ask.decisionsSeen
    );
    this.#scheduler.recordTurnaround(ask.replyTime);
    this.#learn(asker, ask, now);
    this.#count(ask.host, asker, now);
    this.#takeWishes(asker, ask, now);
    if (ask.wantsReply) asker.hasNews = true;
    this.#planTurn(now);
  }

  /** Looks at the line again: time went by, or upstreams have changed. */
  review(now: Milliseconds): void {
    for (const [host, asker] of this.#askers) this.#age(host, asker, now);
    this.#scheduler.load.expirePeers(now);
    this.#scheduler.review(now);
    this.#answer(now);
  }

  #isCutOff(now: Milliseconds): boolean {
    const { host, hostCount } = this.#options;
    if (hostCount() <= 1) return false;
    for (const [asker, { heardAt }] of this.#askers) {
      if (asker !== host && now - heardAt < SILENT_MS) return false;
    }
    return true;
  }

  /** Decides at once, or together with what comes in the next milliseconds. */
  #planTurn(now: Milliseconds): void {
    if (this.#isTurnPlanned) return;
    const wait = this.#turnAt + TURN_MS - now;
    if (wait <= 0) return this.#takeTurn(now);
    this.#isTurnPlanned = true;
    this.#options.after(wait, () => {
      this.#isTurnPlanned = false;
      this.#takeTurn(this.#options.now());
    });
  }

  #takeTurn(now: Milliseconds): void {
    this.#turnAt = now;
    this.#scheduler.fillSlots(this.cell.service, now);
    this.#answer(now);
  }

  #askerOf({ host, incarnation }: CellUpdate, now: Milliseconds): Asker {
    const known = this.#askers.get(host);
    if (known?.incarnation === incarnation) return known;
    if (known !== undefined) this.#withdrawAll(known);
    const asker: Asker = {
      incarnation,
      sequence: 0,
      heardAt: now,
      observationsSeen: 0,
      verdictCount: 0,
      inFlight: new Map(),
      unseen: [],
      waiting: new Set(),
      unknown: [],
      hasNews: false,
      repeatAt: Infinity,
      repeatSpan: REPEAT_MS,
    };
    this.#askers.set(host, asker);
    return asker;
  }

  #learn(asker: Asker, ask: CellUpdate, now: Milliseconds): void {
    const { stats: knowledge, host } = this.#options;
    const { observations, firstObservation: observationsFrom } = ask;
    for (const [index, observation] of observations.entries()) {
      if (observationsFrom + index <= asker.observationsSeen) continue;
      if (observation.outcome === "whole") {
        this.#scheduler.recordResidence(
          observation.service,
          observation.residence,
        );
      }
      // What this host did itself it has learned already.
      if (ask.host !== host) knowledge.record(observation, now);
    }
    const last = observationsFrom + observations.length - 1;
    asker.observationsSeen = Math.max(asker.observationsSeen, last);
  }

  /** Counts a host's work: what it tells, and places that it has not seen yet. */
  #count(host: HostId, asker: Asker, now: Milliseconds): void {
    const inFlight = new Map(asker.inFlight);
    for (const { decision, promptTokens } of asker.unseen) {
      if (decision.kind !== "place") continue;
      const { requests, pendingPrefillTokens: unreadTokens } =
        inFlight.get(decision.upstream) ??
          { requests: 0, pendingPrefillTokens: 0 };
      inFlight.set(decision.upstream, {
        requests: requests + 1,
        pendingPrefillTokens: unreadTokens + promptTokens,
      });
    }
    this.#scheduler.load.setPeerLoad(host, { inFlight }, now);
  }

  #takeWishes(asker: Asker, ask: CellUpdate, now: Milliseconds): void {
    for (const request of ask.withdrawn) this.#withdraw(asker, request);
    const decided = new Set(asker.unseen.map(({ request }) => request));
    if (ask.waiting !== undefined) {
      this.#compare(asker, ask.waiting, { wishes: ask.requests, decided });
    }
    for (const wish of ask.requests) {
      if (asker.waiting.has(wish.request) || decided.has(wish.request)) {
        continue;
      }
      asker.waiting.add(wish.request);
      const candidate = createPendingRequest(
        wish,
        this.#options.stats,
        (verdict) => this.#decide(ask.host, { asker, wish, verdict, now }),
      );
      this.#scheduler.enqueue(candidate, now);
    }
  }

  /** Compares what waits here for a host with all that it says waits. */
  #compare(
    asker: Asker,
    told: readonly RequestId[],
    { wishes, decided }: {
      wishes: readonly PlacementRequest[];
      decided: ReadonlySet<RequestId>;
    },
  ): void {
    const all = new Set(told);
    for (const request of [...asker.waiting]) {
      if (!all.has(request)) this.#withdraw(asker, request);
    }
    const described = new Set(wishes.map(({ request }) => request));
    asker.unknown = told.filter((request) =>
      !asker.waiting.has(request) && !decided.has(request) &&
      !described.has(request)
    );
  }

  #decide(
    host: HostId,
    { asker, wish, verdict, now }: {
      asker: Asker;
      wish: PlacementRequest;
      verdict: PlacementDecision;
      now: Milliseconds;
    },
  ): void {
    asker.waiting.delete(wish.request);
    asker.hasNews = true;
    asker.repeatSpan = REPEAT_MS;
    asker.unseen.push({
      number: ++asker.verdictCount,
      request: wish.request,
      decision: decisionOf(verdict),
      promptTokens: wish.promptTokens,
      until: Math.max(now, asker.heardAt) + VERDICT_MS,
    });
    if (verdict.kind === "place") this.#count(host, asker, asker.heardAt);
  }

  /** Gives up what a silent host does not speak of. */
  #age(host: HostId, asker: Asker, now: Milliseconds): void {
    const silence = now - asker.heardAt;
    if (asker.unseen.length > 0 && now >= asker.repeatAt) {
      asker.hasNews = true;
      asker.repeatSpan *= 2;
    }
    if (silence > SILENT_MS) this.#withdrawAll(asker);
    if (silence > FORGOTTEN_MS) this.#askers.delete(host);
    const kept = asker.unseen.filter(({ until }) => until > now);
    if (kept.length === asker.unseen.length) return;
    asker.unseen = kept;
    this.#count(host, asker, asker.heardAt);
  }

  #withdrawAll(asker: Asker): void {
    for (const request of [...asker.waiting]) this.#withdraw(asker, request);
  }

  #withdraw(asker: Asker, request: RequestId): void {
    asker.waiting.delete(request);
    this.#scheduler.withdraw(this.#options.cell.service, request);
  }

  #answer(now: Milliseconds): void {
    let snapshots: readonly CellSnapshot[] | undefined;
    for (const [host, asker] of this.#askers) {
      if (!asker.hasNews) continue;
      asker.hasNews = false;
      asker.repeatAt = now + asker.repeatSpan;
      snapshots ??= [this.snapshot(now), ...this.#options.otherSnapshots()];
      this.#options.send(host, this.#answerTo(asker, snapshots));
    }
  }

  #answerTo(
    asker: Asker,
    snapshots: readonly CellSnapshot[],
  ): CellReply {
    const { host, incarnation, cell, isLeaving } = this.#options;
    return {
      host,
      incarnation,
      cell,
      toIncarnation: asker.incarnation,
      sequence: asker.sequence,
      observationsSeen: asker.observationsSeen,
      decisions: asker.unseen,
      unknownRequests: asker.unknown.splice(0),
      snapshots,
      isLeaving: isLeaving(),
    };
  }
}

function decisionOf(verdict: PlacementDecision): CellDecision {
  if (verdict.kind === "refuse") return verdict;
  const { kind, upstream, inFlight, pendingPrefillTokens: unreadTokens } =
    verdict;
  return {
    kind,
    upstream: upstream.upstream,
    inFlight,
    pendingPrefillTokens: unreadTokens,
  };
}
