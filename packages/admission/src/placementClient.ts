import type {
  FailureDomain,
  HostId,
  Incarnation,
  Milliseconds,
  Random,
  RequestId,
  ServiceId,
  UpstreamId,
} from "@wasabivane/common";
import { CellSession, type FailoverReason } from "./cellSession.ts";
import { CellSelector } from "./cellSelector.ts";
import { CellMap } from "./cellMap.ts";
import { type Cell, type CellKey, cellKeyOf } from "./cells.ts";
import type {
  CellReply,
  CellUpdate,
  NumberedDecision,
} from "./cellMessages.ts";
import { CellSnapshots } from "./cellSnapshots.ts";
import { CoordinatorSelector } from "./coordinatorSelector.ts";
import type { CoordinatorCandidate } from "./rankCoordinators.ts";
import {
  type PlacementDecision,
  RequestScheduler,
} from "./requestScheduler.ts";
import {
  createPendingRequest,
  type PlacementRequest,
} from "./placementRequest.ts";
import { LocalStartLimit } from "./startLimit.ts";
import type { Upstream } from "./types.ts";
import type { UpstreamDirectory } from "./upstreamDirectory.ts";
import type { AttemptObservation, UpstreamStats } from "./upstreamStats.ts";

/** Keepers that may be silent in a row before a host decides alone. */
const SILENT_KEEPERS = 2;
/**
 * Looks come every few milliseconds while an answer is due. After a longer time between
 * two of them this host has stood still: small machines do when their share is used up.
 */
const OWN_PAUSE_MS: Milliseconds = 40;
/** What makes upstreams look busier than they are is told by then, */
const TELL_MS: Milliseconds = 40;
/** and what only saves the keeper a repetition by then. */
const SEEN_MS: Milliseconds = 80;
/** An evacuation lasts for seconds at least; callers come back no sooner than this. */
const EVACUATED_RETURN_MS: Milliseconds = 1_000;
/** Cells that one request waits in at most. */
const CELLS_AT_ONCE = 2;

/** What a {@link PlacementClient} is built from. */
export interface PlacementClientOptions {
  readonly host: HostId;
  readonly incarnation: Incarnation;
  readonly failureDomain: FailureDomain;
  readonly directory: UpstreamDirectory;
  readonly stats: UpstreamStats;
  readonly random: Random;
  /** The hosts that live, this one included. */
  readonly candidates: () => readonly CoordinatorCandidate[];
  /** Starts in one second that a cold upstream bears; `undefined` where it bears any. */
  readonly coldStartsOf: (upstream: Upstream) => number | undefined;
  readonly send: (keeper: HostId, ask: CellUpdate) => void;
  /** A keeper is to be told something in a while; see {@link PlacementClient.sendAt}. */
  readonly onSendScheduled: () => void;
  /** Something changed about who keeps a cell. */
  readonly onCoordinatorChange: (change: CoordinatorChange) => void;
}

/** A host turned to another keeper, or to none. */
export interface CoordinatorChange {
  readonly cell: CellKey;
  readonly kind: "silent" | "leaving" | "alone";
  readonly coordinator: HostId | undefined;
}

/** A request that waits, and where. */
interface Seeking {
  wish: PlacementRequest;
  readonly decide: (verdict: PlacementDecision) => void;
  readonly cells: Set<CellKey>;
  isAlone: boolean;
}

/**
 * Seeks places for the requests of one host: asks the keepers of cells, passes over
 * silent ones, and decides alone when none answers.
 *
 * A request asks the nearest cell that was seen with a free place. Where it has to
 * wait, it also waits in one other cell and takes what comes first; the other keeper
 * learns that from the next ask. A dead keeper costs the first request that asks it a
 * tenth of a second, less than the shortest target; others hear of it.
 */
export class PlacementClient {
  readonly #options: PlacementClientOptions;
  readonly #alone: RequestScheduler;
  readonly #seeking = new Map<RequestId, Seeking>();
  readonly #cells: CellMap;
  readonly #askings = new Map<CellKey, CellSession>();
  readonly #snapshots = new CellSnapshots();
  readonly #choice: CellSelector;
  readonly #keepers: CoordinatorSelector;
  #tickedAt: Milliseconds = -Infinity;

  constructor(options: PlacementClientOptions) {
    const { directory, stats: knowledge, random } = options;
    this.#options = options;
    this.#cells = new CellMap(directory);
    this.#choice = new CellSelector({
      ...options,
      cells: this.#cells,
      snapshots: this.#snapshots,
    });
    this.#keepers = new CoordinatorSelector(options);
    this.#alone = new RequestScheduler({
      upstreams: directory,
      stats: knowledge,
      random,
      starts: new LocalStartLimit({
        coldStartsOf: options.coldStartsOf,
        warmth: knowledge.warmup,
        hosts: () => options.candidates().length,
        random,
      }),
    });
  }

  /** Requests that wait for a place. */
  get waitingTotal(): number {
    return this.#seeking.size;
  }

  /** Requests of this host that upstreams work on. */
  get inFlightTotal(): number {
    let total = 0;
    for (const { requests } of this.#alone.load.ownInFlight().values()) {
      total += requests;
    }
    return total;
  }

  /** Whether an answer is due or this host decides alone, so that it looks often. */
  get isBusy(): boolean {
    if (this.#alone.waitingTotal > 0) return true;
    for (const { isAwaitingReply: isUnanswered } of this.#askings.values()) {
      if (isUnanswered) return true;
    }
    return false;
  }

  /** When a keeper is to be told something at the latest; `Infinity` if nothing is. */
  get sendAt(): Milliseconds {
    let at = Infinity;
    for (const { sendAt: tellAt } of this.#askings.values()) {
      at = Math.min(at, tellAt);
    }
    return at;
  }

  /** Seeks a place; the verdict may come before the call returns. */
  submit(
    wish: PlacementRequest,
    decide: (verdict: PlacementDecision) => void,
    now: Milliseconds,
  ): void {
    const seeking = { wish, decide, cells: new Set<CellKey>(), isAlone: false };
    this.#seeking.set(wish.request, seeking);
    if (this.#options.directory.isEvacuated(wish.service)) {
      return this.#refuseEvacuated(seeking, now);
    }
    const cell = this.#choice.selectFirst(wish, now);
    if (cell === undefined) this.#decideAlone(seeking, now);
    else this.#seekIn(cell, seeking, now);
  }

  /** Takes back a request that still waits. */
  withdraw(service: ServiceId, request: RequestId, now: Milliseconds): void {
    const seeking = this.#seeking.get(request);
    if (seeking === undefined) return;
    this.#close(seeking);
    this.#alone.withdraw(service, request);
    for (const key of seeking.cells) this.#ask(key, now);
  }

  /** A request was sent to an upstream. */
  begin(upstream: UpstreamId, promptTokens: number): void {
    this.#alone.load.begin(upstream, promptTokens);
  }

  /** The upstream has read a request's prompt, or will not any more. */
  endPrefill(
    upstream: Upstream,
    promptTokens: number,
    now: Milliseconds,
  ): void {
    this.#alone.load.endPrefill(upstream.upstream, promptTokens);
    if (promptTokens <= 0) return;
    const cell = this.#cells.cellOf(upstream);
    if (cell === undefined) return;
    this.#askingOf(cell).sendBy(now + TELL_MS);
    this.#options.onSendScheduled();
  }

  /** An upstream said how many requests it has; the keeper hears of it with the next ask. */
  recordUpstreamLoad(
    upstream: Upstream,
    requests: number,
    now: Milliseconds,
  ): void {
    this.#alone.load.recordReport(upstream.upstream, requests, now);
    const cell = this.#cells.cellOf(upstream);
    if (cell === undefined) return;
    this.#askingOf(cell).setUpstreamReport(upstream.upstream, requests);
  }

  /** A request ended at an upstream. */
  end(
    upstream: Upstream,
    observation: AttemptObservation,
    now: Milliseconds,
  ): void {
    this.#alone.load.end(upstream.upstream);
    const cell = this.#cells.cellOf(upstream);
    if (cell !== undefined) {
      const asking = this.#askingOf(cell);
      asking.addObservation(observation, now);
      // With more to say soon, the answer to that confirms this as well.
      const isLast = !asking.hasWaiting && !this.#hasWorkAt(cell);
      this.#ask(asking.key, now, { wantsAnswer: isLast });
      this.#options.onSendScheduled();
    }
    if (this.#alone.waitingTotal > 0) this.#alone.review(now);
  }

  /** Takes in what a keeper says. */
  receive(answer: CellReply, now: Milliseconds): void {
    const { incarnation } = this.#options;
    if (answer.toIncarnation !== incarnation) return;
    for (const snapshot of answer.snapshots) this.#snapshots.update(snapshot);
    const key = cellKeyOf(answer.cell);
    const asking = this.#askings.get(key);
    const fresh = asking?.receive(answer, now);
    if (asking === undefined || fresh === undefined) return;
    this.#keepers.clearSkip(answer.host);
    if (fresh.length > 0) {
      asking.sendBy(now + SEEN_MS);
      this.#options.onSendScheduled();
    }
    for (const verdict of fresh) this.#take(verdict, key, now);
    const isRemote = answer.host !== this.#options.host;
    if (answer.isLeaving && isRemote) this.#passOver(asking, "leaving", now);
    this.#spread(key, now);
  }

  /** The keeper of a cell has just begun and asks for what hosts do there. */
  resync(cell: Cell, now: Milliseconds): void {
    const asking = this.#askings.get(cellKeyOf(cell));
    if (asking === undefined) return;
    if (!this.#hasWorkAt(cell) && !asking.hasWaiting) return;
    asking.scheduleListing();
    this.#ask(asking.key, now);
  }

  /** Who keeps which cell, as this host sees it. */
  get coordinators(): CoordinatorSelector {
    return this.#keepers;
  }

  /** The cells of a service. */
  cellsOf(service: ServiceId): readonly Cell[] {
    return this.#cells.cellsOf(service);
  }

  /** Repeats what went unanswered, confirms work, and looks for dead keepers. */
  tick(now: Milliseconds): void {
    const pause = now - this.#tickedAt;
    this.#tickedAt = now;
    for (const asking of [...this.#askings.values()]) {
      if (pause > OWN_PAUSE_MS) asking.extendTimeouts(pause, now);
      const { key, cell } = asking;
      const due = asking.nextAction({ hasWork: this.#hasWorkAt(cell), now });
      if (due === "passed-over") this.#passOver(asking, "silent", now);
      else if (due === "ask") this.#ask(key, now);
      else if (due === "tell") this.#ask(key, now, { wantsAnswer: false });
      else if (due === "over") this.#askings.delete(key);
    }
    if (this.#alone.waitingTotal > 0) this.#alone.review(now);
  }

  /** Upstreams have changed: requests may have to be asked for in other cells. */
  review(now: Milliseconds): void {
    for (const seeking of [...this.#seeking.values()]) {
      if (this.#options.directory.isEvacuated(seeking.wish.service)) {
        this.#refuseEvacuated(seeking, now);
        continue;
      }
      if (seeking.isAlone || !this.#seeking.has(seeking.wish.request)) continue;
      const known = new Set(
        this.#cells.cellsOf(seeking.wish.service).map(cellKeyOf),
      );
      for (const key of [...seeking.cells]) {
        if (!known.has(key)) this.#leave(seeking, key);
      }
      if (seeking.cells.size > 0) continue;
      const cell = this.#choice.selectFirst(seeking.wish, now);
      if (cell !== undefined) this.#seekIn(cell, seeking, now);
    }
    if (this.#alone.waitingTotal > 0) this.#alone.review(now);
  }

  /** Whether places of a service are free to spare and nobody waits, as last heard. */
  isIdle(service: ServiceId, now: Milliseconds): boolean {
    return this.#snapshots.areIdle(this.#cells.cellsOf(service), now);
  }

  /** Whether a service has an upstream in reach besides those left out. */
  hasAlternative(
    service: ServiceId,
    { excluded, now }: {
      excluded: ReadonlySet<UpstreamId>;
      now: Milliseconds;
    },
  ): boolean {
    const { directory, stats: knowledge } = this.#options;
    return directory.of(service).some(({ upstream }) =>
      !excluded.has(upstream) && !knowledge.health.isEjected(upstream, now)
    );
  }

  /** Requests that wait at a keeper wait in one other cell as well. */
  #spread(key: CellKey, now: Milliseconds): void {
    for (const seeking of this.#seekingIn(key)) {
      const { wish, cells: held } = seeking;
      if (held.size >= CELLS_AT_ONCE) continue;
      const other = this.#choice.selectAdditional(wish, { held, now });
      if (other !== undefined) this.#seekIn(other, seeking, now);
    }
  }

  #seekIn(cell: Cell, seeking: Seeking, now: Milliseconds): void {
    const asking = this.#askingOf(cell);
    seeking.cells.add(asking.key);
    asking.add(seeking.wish.request);
    this.#ask(asking.key, now);
  }

  #take(
    { request, decision }: NumberedDecision,
    key: CellKey,
    now: Milliseconds,
  ): void {
    const seeking = this.#seeking.get(request);
    if (seeking === undefined || !seeking.cells.has(key)) {
      if (decision.kind === "place") this.#ask(key, now);
      return;
    }
    if (decision.kind === "refuse") {
      return this.#takeRefusal(seeking, { key, decision, now });
    }
    const upstream = this.#options.directory.get(decision.upstream);
    if (upstream === undefined) {
      // The keeper has yet to hear that it left. The place is returned and another one
      // asked for; without leaving it out, keeper and host would go on so at the pace
      // of their words.
      const excluded = new Set([...seeking.wish.excluded, decision.upstream]);
      seeking.wish = { ...seeking.wish, excluded };
      this.#askings.get(key)?.add(request);
      return this.#ask(key, now);
    }
    this.#close(seeking, key);
    seeking.decide({ ...decision, upstream });
    for (const other of seeking.cells) {
      if (other !== key) this.#ask(other, now, { wantsAnswer: false });
    }
  }

  /** A request is refused when no cell takes it. */
  #takeRefusal(
    seeking: Seeking,
    { key, decision, now }: {
      key: CellKey;
      decision: Extract<PlacementDecision, { kind: "refuse" }>;
      now: Milliseconds;
    },
  ): void {
    this.#leave(seeking, key, { isTold: false });
    if (seeking.cells.size > 0) return;
    const other = decision.reason === "no-other-upstream"
      ? this.#cellWithOther(seeking.wish)
      : undefined;
    if (other !== undefined && cellKeyOf(other) !== key) {
      return this.#seekIn(other, seeking, now);
    }
    this.#close(seeking);
    seeking.decide(decision);
  }

  /** Nothing may be sent to any upstream of its service until operators say so. */
  #refuseEvacuated(seeking: Seeking, now: Milliseconds): void {
    const { wish, decide } = seeking;
    this.withdraw(wish.service, wish.request, now);
    decide({
      kind: "refuse",
      reason: "evacuated",
      estimate: { ahead: 0, startsPerSecond: 0, wait: EVACUATED_RETURN_MS },
    });
  }

  /** A cell that holds an upstream which has not got the request. */
  #cellWithOther({ service, excluded }: PlacementRequest): Cell | undefined {
    const upstream = this.#options.directory.of(service).find((candidate) =>
      !excluded.has(candidate.upstream)
    );
    return upstream === undefined ? undefined : this.#cells.cellOf(upstream);
  }

  #decideAlone(seeking: Seeking, now: Milliseconds): void {
    seeking.isAlone = true;
    for (const key of [...seeking.cells]) this.#leave(seeking, key);
    const candidate = createPendingRequest(
      seeking.wish,
      this.#options.stats,
      (verdict) => {
        this.#close(seeking);
        seeking.decide(verdict);
      },
    );
    this.#alone.submit(candidate, now);
  }

  /** A request seeks no more; `decidedBy` is the cell whose keeper knows that. */
  #close({ wish, cells }: Seeking, decidedBy?: CellKey): void {
    this.#seeking.delete(wish.request);
    for (const key of cells) {
      const isTold = key !== decidedBy;
      this.#askings.get(key)?.remove(wish.request, { isTold });
    }
  }

  /** A request waits in a cell no more. */
  #leave(
    seeking: Seeking,
    key: CellKey,
    { isTold = true }: { isTold?: boolean } = {},
  ): void {
    seeking.cells.delete(key);
    this.#askings.get(key)?.remove(seeking.wish.request, { isTold });
  }

  #passOver(
    asking: CellSession,
    kind: FailoverReason,
    now: Milliseconds,
  ): void {
    const { coordinator: keeper, key } = asking;
    const { host, onCoordinatorChange: onKeeper } = this.#options;
    if (keeper !== undefined) this.#keepers.skip(keeper, now);
    onKeeper({ cell: key, kind, coordinator: keeper });
    asking.recordFailover(kind);
    const isAlone = asking.silentCoordinators >= SILENT_KEEPERS ||
      keeper === host;
    if (!isAlone) return this.#ask(key, now);
    onKeeper({ cell: key, kind: "alone", coordinator: keeper });
    for (const seeking of this.#seekingIn(key)) {
      this.#decideAlone(seeking, now);
    }
    asking.reset();
  }

  #ask(
    key: CellKey,
    now: Milliseconds,
    { wantsAnswer = true }: { wantsAnswer?: boolean } = {},
  ): void {
    const asking = this.#askings.get(key);
    if (asking === undefined) return;
    const { host, incarnation, send } = this.#options;
    const keeper = this.#keepers.coordinatorOf(asking.cell, now);
    const { described, ...ask } = asking.createUpdate({
      keeper,
      wantsAnswer,
      now,
    });
    send(keeper, {
      ...ask,
      host,
      incarnation,
      inFlight: this.#workAt(asking.cell),
      requests: described.flatMap((request) =>
        this.#seeking.get(request)?.wish ?? []
      ),
    });
  }

  #hasWorkAt(cell: Cell): boolean {
    for (const upstream of this.#alone.load.ownInFlight().keys()) {
      if (this.#cells.hasUpstream(cell, upstream)) return true;
    }
    return false;
  }

  #workAt(
    cell: Cell,
  ): Map<UpstreamId, { requests: number; pendingPrefillTokens: number }> {
    const work = new Map();
    for (const [upstream, load] of this.#alone.load.ownInFlight()) {
      if (this.#cells.hasUpstream(cell, upstream)) work.set(upstream, load);
    }
    return work;
  }

  #seekingIn(key: CellKey): Seeking[] {
    const requests = [...this.#askings.get(key)?.waiting ?? []];
    return requests.flatMap((request) => this.#seeking.get(request) ?? []);
  }

  #askingOf(cell: Cell): CellSession {
    const key = cellKeyOf(cell);
    let asking = this.#askings.get(key);
    if (asking === undefined) {
      asking = new CellSession(cell);
      this.#askings.set(key, asking);
    }
    return asking;
  }
}
