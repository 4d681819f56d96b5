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
import { accountUseValues } from "./accountUseValues.ts";
import type { GatewayContext } from "./gatewayContext.ts";
import type { CoordinatorAnnouncement, PeerMessage } from "./peerMessage.ts";

/** Interval of queue checks while requests or updates are pending. */
const BUSY_CHECK_MS: Milliseconds = 20;
/** Interval while this host coordinates a cell. */
const COORDINATOR_CHECK_MS: Milliseconds = 100;
/** Interval otherwise. */
const IDLE_CHECK_MS: Milliseconds = 200;
/** Interval at which coordinators of a service's cells exchange snapshots. */
const SNAPSHOT_INTERVAL_MS: Milliseconds = 100;
/**
 * Coordinators that a snapshot is sent to; drawn at random if there are more.
 */
const SNAPSHOT_RECIPIENTS = 8;
/** Cells that others may name to this host, of any service. */
const MAXIMUM_CELLS = 1_024;
/** Maximum age of a forwarded snapshot of another cell. */
const MAXIMUM_SNAPSHOT_AGE_MS: Milliseconds = 400;

const SLOT_LOG_INTERVAL_MS: Milliseconds = 1_000;

/** Options of a {@link CellRouter}. */
export interface CellRouterOptions {
  readonly context: () => GatewayContext;
  readonly incarnation: Incarnation;
  readonly placementClient: PlacementClient;
  readonly send: (to: HostId, message: PeerMessage) => void;
  readonly sendToAll: (message: PeerMessage) => void;
}

/**
 * Routes messages between this host's placement client and the coordinators of
 * cells, and runs the coordinators of cells on this host. Messages to this host
 * itself are delivered without a datagram.
 */
export class CellRouter {
  readonly #options: CellRouterOptions;
  readonly #coordinators = new Map<CellKey, CellCoordinator>();
  readonly #snapshots = new Map<CellKey, CellSnapshot>();
  /** Queued messages of this host to itself. */
  readonly #localMessages: (() => void)[] = [];
  #isDelivering = false;
  #snapshotsSentAt: Milliseconds = -Infinity;
  #slotsLoggedAt: Milliseconds = -Infinity;

  constructor(options: CellRouterOptions) {
    this.#options = options;
  }

  /** Number of cells that this host coordinates. */
  get cellCount(): number {
    return this.#coordinators.size;
  }

  /** Returns the time until queues and replies have to be checked again. */
  timeToNextCheck(now: Milliseconds): Milliseconds {
    const { placementClient } = this.#options;
    if (placementClient.isBusy || this.#hasQueue()) return BUSY_CHECK_MS;
    const idle = this.#coordinators.size > 0
      ? COORDINATOR_CHECK_MS
      : IDLE_CHECK_MS;
    return Math.min(
      idle,
      Math.max(BUSY_CHECK_MS, placementClient.sendAt - now),
    );
  }

  #hasQueue(): boolean {
    for (const { hasWaiting } of this.#coordinators.values()) {
      if (hasWaiting) return true;
    }
    return false;
  }

  /** Sends an update to the coordinator of a cell. */
  sendUpdate(coordinator: HostId, update: CellUpdate): void {
    if (coordinator === this.#host) {
      this.#deliverLocally(() => this.receiveUpdate(update));
    } else this.#options.send(coordinator, { kind: "ask", update });
  }

  /** Processes an update; a host that receives one coordinates the cell. */
  receiveUpdate(update: CellUpdate): void {
    this.#coordinatorOf(update.cell)?.receive(update, this.#now());
  }

  /** Processes a coordinator's reply. */
  receiveReply(reply: CellReply): void {
    this.#options.placementClient.receive(reply, this.#now());
  }

  /** Processes the announcement of a cell's new coordinator. */
  receiveAnnouncement({ host, cell }: CoordinatorAnnouncement): void {
    const { placementClient } = this.#options;
    const now = this.#now();
    if (placementClient.coordinators.coordinatorOf(cell, now) === host) {
      placementClient.resync(cell, now);
    }
  }

  /** Stores snapshots of other cells. */
  receiveSnapshots(snapshots: readonly CellSnapshot[]): void {
    for (const snapshot of snapshots) {
      this.#keepSnapshot(snapshot);
    }
  }

  /** Drops the snapshot that was not renewed for longest if there are too many. */
  #keepSnapshot(snapshot: CellSnapshot): void {
    const key = cellKeyOf(snapshot.cell);
    this.#snapshots.delete(key);
    this.#snapshots.set(key, snapshot);
    if (this.#snapshots.size <= MAXIMUM_CELLS) return;
    const [oldest] = this.#snapshots.keys();
    this.#snapshots.delete(oldest!);
  }

  /** Checks all queues, and sends due updates and snapshots. */
  tick(now: Milliseconds): void {
    const { errors } = this.#options.context();
    for (const [key, coordinator] of this.#coordinators) {
      errors.guard("queue check", () => {
        if (coordinator.isIdle(now)) this.#coordinators.delete(key);
        else coordinator.review(now);
      });
    }
    this.#options.placementClient.tick(now);
    this.#logSlotUse(now);
    if (now - this.#snapshotsSentAt < SNAPSHOT_INTERVAL_MS) return;
    this.#snapshotsSentAt = now;
    for (const coordinator of this.#coordinators.values()) {
      this.#sendSnapshot(coordinator, now);
    }
  }

  /** Re-evaluates all queues after a change of upstreams. */
  review(now: Milliseconds): void {
    for (const coordinator of this.#coordinators.values()) {
      coordinator.review(now);
    }
    this.#options.placementClient.review(now);
  }

  /** Returns `undefined` if this host coordinates too many cells already. */
  #coordinatorOf(cell: Cell): CellCoordinator | undefined {
    const key = cellKeyOf(cell);
    const known = this.#coordinators.get(key);
    if (known !== undefined) return known;
    if (this.#coordinators.size >= MAXIMUM_CELLS) return undefined;
    const coordinator = this.#createCoordinator(cell);
    this.#coordinators.set(key, coordinator);
    return coordinator;
  }

  /**
   * Creates a cell's coordinator, and requests the state of all hosts there.
   */
  #createCoordinator(cell: Cell): CellCoordinator {
    const { incarnation, sendToAll } = this.#options;
    const {
      host,
      directory,
      upstreamStats,
      random,
      coldStartsOf,
      ...context
    } = this
      .#options.context();
    const key = cellKeyOf(cell);
    context.log.write("cell_kept", { cell: key });
    sendToAll({ kind: "call", announcement: { host, cell } });
    return new CellCoordinator({
      host,
      incarnation,
      cell,
      upstreams: directory,
      stats: upstreamStats,
      random,
      coldStartsOf,
      hostCount: context.hostCount,
      timeInCharge: (now) => context.placementClient.timeInCharge(cell, now),
      send: (to, reply) => this.#sendReply(to, reply),
      after: (span, callback) => context.timer.after(span, callback),
      now: () => this.#now(),
      otherSnapshots: () => this.#snapshotsOfOthers(cell),
      isLeaving: context.isStopping,
      onEjection: ({ reporter, ...ejection }) => {
        context.metrics.count("upstream_ejected_by_report");
        context.log.write("upstream_ejected", { ...ejection, reporter });
      },
    }, this.#now());
  }

  #sendReply(to: HostId, reply: CellReply): void {
    if (to === this.#host) {
      this.#deliverLocally(() => this.receiveReply(reply));
    } else this.#options.send(to, { kind: "answer", reply });
  }

  /** Queues messages to this host, since processing one may send the next. */
  #deliverLocally(message: () => void): void {
    this.#localMessages.push(message);
    if (this.#isDelivering) return;
    const { errors } = this.#options.context();
    this.#isDelivering = true;
    for (
      let next = this.#localMessages.shift();
      next;
      next = this.#localMessages.shift()
    ) errors.guard("local message", next);
    this.#isDelivering = false;
  }

  #snapshotsOfOthers(cell: Cell): CellSnapshot[] {
    const key = cellKeyOf(cell);
    const now = this.#now();
    return [...this.#snapshots].filter(([other, snapshot]) =>
      other !== key && snapshot.cell.service === cell.service &&
      now - snapshot.at < MAXIMUM_SNAPSHOT_AGE_MS
    ).map(([, snapshot]) => snapshot);
  }

  #sendSnapshot(coordinator: CellCoordinator, now: Milliseconds): void {
    const { placementClient, send } = this.#options;
    const snapshot = coordinator.snapshot(now);
    const key = cellKeyOf(coordinator.cell);
    this.#keepSnapshot(snapshot);
    const others = placementClient.cellsOf(coordinator.cell.service)
      .filter((cell) => cellKeyOf(cell) !== key)
      .map((cell) => placementClient.coordinators.coordinatorOf(cell, now));
    for (const host of this.#drawRecipients(others)) {
      send(host, { kind: "snapshots", snapshots: [snapshot] });
    }
  }

  /** Logs what the slots of cells with a queue are used for, and by whom. */
  #logSlotUse(now: Milliseconds): void {
    if (now - this.#slotsLoggedAt < SLOT_LOG_INTERVAL_MS) return;
    this.#slotsLoggedAt = now;
    const { log } = this.#options.context();
    for (const [cell, coordinator] of this.#coordinators) {
      const accounts = accountUseValues(coordinator.takeAccountUse());
      if (!coordinator.hasWaiting) continue;
      log.write("cell_slots", { cell, ...coordinator.slotUse(now) });
      if (accounts !== undefined) {
        log.write("cell_accounts", { cell, ...accounts });
      }
    }
  }

  #drawRecipients(hosts: readonly HostId[]): Set<HostId> {
    const { random } = this.#options.context();
    const distinct = [...new Set(hosts)].filter((host) => host !== this.#host);
    if (distinct.length <= SNAPSHOT_RECIPIENTS) return new Set(distinct);
    return new Set(
      Array.from({ length: SNAPSHOT_RECIPIENTS }, () => random.pick(distinct)),
    );
  }

  get #host(): HostId {
    return this.#options.context().host;
  }

  #now(): Milliseconds {
    return this.#options.context().timer.now();
  }
}

/** Returns the log values for a change of coordinator. */
export function coordinatorChangeValues(
  { cell, kind, coordinator }: CoordinatorChange,
): Readonly<Record<string, string | undefined>> {
  return { cell, why: kind, keeper: coordinator };
}
