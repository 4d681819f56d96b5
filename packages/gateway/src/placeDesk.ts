import type { HostId, Incarnation, Milliseconds } from "@wasabivane/common";
import {
  type Cell,
  CellCoordinator,
  type CellKey,
  cellKeyOf,
  type CellReply,
  type CellSnapshot,
  type CellUpdate,
  type CoordinatorChange,
  PlacementClient,
} from "@wasabivane/admission";
import type { GatewayContext } from "./gatewayContext.ts";
import type { KeeperCall, PeerMessage } from "./peerMessage.ts";

/** How often lines and asks are looked at while something waits, */
const BUSY_LOOK_MS: Milliseconds = 20;
/** while this host keeps a cell, for whose places others wait, */
const KEEPER_LOOK_MS: Milliseconds = 100;
/** and while it has nothing to do: each look costs a small machine a part of its processor. */
const IDLE_LOOK_MS: Milliseconds = 200;
/** How often keepers of one service tell each other how full their cells are. */
const SNAPSHOT_MS: Milliseconds = 100;
/** Keepers that one tells; in a large service each tells some, drawn anew each time. */
const SNAPSHOTS_TO = 8;
/** A snapshot of another cell is passed on for so long. */
const SNAPSHOT_AGE_MS: Milliseconds = 400;

/** What a {@link PlaceDesk} needs besides the shared parts. */
export interface PlaceDeskOptions {
  readonly parts: () => GatewayContext;
  readonly incarnation: Incarnation;
  readonly seeker: PlacementClient;
  readonly send: (to: HostId, message: PeerMessage) => void;
  readonly sendToAll: (message: PeerMessage) => void;
}

/**
 * Carries the words between this host's seeker and the keepers of cells, and keeps
 * the cells that others ask this host for. Words to itself take no datagram.
 */
export class PlaceDesk {
  readonly #options: PlaceDeskOptions;
  readonly #keepers = new Map<CellKey, CellCoordinator>();
  readonly #snapshots = new Map<CellKey, CellSnapshot>();
  /** Words of this host to itself, taken one after the other. */
  readonly #own: (() => void)[] = [];
  #isTakingOwn = false;
  #toldAt: Milliseconds = -Infinity;

  constructor(options: PlaceDeskOptions) {
    this.#options = options;
  }

  /** Cells that this host keeps. */
  get keptCount(): number {
    return this.#keepers.size;
  }

  /** Time until lines and answers have to be looked at again. */
  nextLook(now: Milliseconds): Milliseconds {
    const { seeker } = this.#options;
    if (seeker.isBusy || this.#hasLine()) return BUSY_LOOK_MS;
    const idle = this.#keepers.size > 0 ? KEEPER_LOOK_MS : IDLE_LOOK_MS;
    return Math.min(idle, Math.max(BUSY_LOOK_MS, seeker.sendAt - now));
  }

  #hasLine(): boolean {
    for (const { hasWaiting: isWaiting } of this.#keepers.values()) {
      if (isWaiting) return true;
    }
    return false;
  }

  /** Sends an ask to whoever keeps the cell. */
  ask(keeper: HostId, ask: CellUpdate): void {
    if (keeper === this.#host) this.#takeOwn(() => this.hearAsk(ask));
    else this.#options.send(keeper, { kind: "ask", ask });
  }

  /** Takes in an ask; whoever is asked keeps the cell. */
  hearAsk(ask: CellUpdate): void {
    this.#keeperOf(ask.cell).receive(ask, this.#now());
  }

  /** Takes in a keeper's answer. */
  hearAnswer(answer: CellReply): void {
    this.#options.seeker.receive(answer, this.#now());
  }

  /** A host has begun to keep a cell. */
  hearCall({ host, cell }: KeeperCall): void {
    const { seeker } = this.#options;
    const now = this.#now();
    if (seeker.coordinators.coordinatorOf(cell, now) === host) {
      seeker.resync(cell, now);
    }
  }

  /** Takes in how full other cells are. */
  hearSnapshots(snapshots: readonly CellSnapshot[]): void {
    for (const snapshot of snapshots) {
      this.#snapshots.set(cellKeyOf(snapshot.cell), snapshot);
    }
  }

  /** Looks at all lines again. */
  tick(now: Milliseconds): void {
    for (const [key, keeper] of this.#keepers) {
      if (keeper.isIdle(now)) this.#keepers.delete(key);
      else keeper.review(now);
    }
    this.#options.seeker.tick(now);
    if (now - this.#toldAt < SNAPSHOT_MS) return;
    this.#toldAt = now;
    for (const keeper of this.#keepers.values()) {
      this.#tellSnapshot(keeper, now);
    }
  }

  /** Upstreams have changed. */
  review(now: Milliseconds): void {
    for (const keeper of this.#keepers.values()) keeper.review(now);
    this.#options.seeker.review(now);
  }

  #keeperOf(cell: Cell): CellCoordinator {
    const key = cellKeyOf(cell);
    const known = this.#keepers.get(key);
    if (known !== undefined) return known;
    const keeper = this.#begin(cell);
    this.#keepers.set(key, keeper);
    return keeper;
  }

  /** Begins to keep a cell, and asks all hosts for what they do there. */
  #begin(cell: Cell): CellCoordinator {
    const { incarnation, sendToAll } = this.#options;
    const { host, directory, knowledge, random, coldStartsOf, ...parts } = this
      .#options.parts();
    const key = cellKeyOf(cell);
    parts.log.write("cell_kept", { cell: key });
    sendToAll({ kind: "call", call: { host, cell } });
    return new CellCoordinator({
      host,
      incarnation,
      cell,
      upstreams: directory,
      stats: knowledge,
      random,
      coldStartsOf,
      hostCount: parts.hostCount,
      send: (to, answer) => this.#answer(to, answer),
      after: (span, callback) => parts.timer.after(span, callback),
      now: () => this.#now(),
      otherSnapshots: () => this.#snapshotsBeside(cell),
      isLeaving: parts.isStopping,
    }, this.#now());
  }

  #answer(to: HostId, answer: CellReply): void {
    if (to === this.#host) this.#takeOwn(() => this.hearAnswer(answer));
    else this.#options.send(to, { kind: "answer", answer });
  }

  /** Own words are taken after one another: a verdict may lead to the next ask. */
  #takeOwn(word: () => void): void {
    this.#own.push(word);
    if (this.#isTakingOwn) return;
    this.#isTakingOwn = true;
    for (let next = this.#own.shift(); next; next = this.#own.shift()) next();
    this.#isTakingOwn = false;
  }

  #snapshotsBeside(cell: Cell): CellSnapshot[] {
    const key = cellKeyOf(cell);
    const now = this.#now();
    return [...this.#snapshots].filter(([other, snapshot]) =>
      other !== key && snapshot.cell.service === cell.service &&
      now - snapshot.at < SNAPSHOT_AGE_MS
    ).map(([, snapshot]) => snapshot);
  }

  #tellSnapshot(keeper: CellCoordinator, now: Milliseconds): void {
    const { seeker, send } = this.#options;
    const snapshot = keeper.snapshot(now);
    const key = cellKeyOf(keeper.cell);
    this.#snapshots.set(key, snapshot);
    const others = seeker.cellsOf(keeper.cell.service)
      .filter((cell) => cellKeyOf(cell) !== key)
      .map((cell) => seeker.coordinators.coordinatorOf(cell, now));
    for (const host of this.#draw(others)) {
      send(host, { kind: "snapshots", snapshots: [snapshot] });
    }
  }

  #draw(hosts: readonly HostId[]): Set<HostId> {
    const { random } = this.#options.parts();
    const distinct = [...new Set(hosts)].filter((host) => host !== this.#host);
    if (distinct.length <= SNAPSHOTS_TO) return new Set(distinct);
    return new Set(
      Array.from({ length: SNAPSHOTS_TO }, () => random.pick(distinct)),
    );
  }

  get #host(): HostId {
    return this.#options.parts().host;
  }

  #now(): Milliseconds {
    return this.#options.parts().timer.now();
  }
}

/** What is logged of a change of keeper. */
export function keeperChangeOf(
  { cell, kind, coordinator: keeper }: CoordinatorChange,
): Readonly<Record<string, string | undefined>> {
  return { cell, why: kind, keeper };
}
