import {
  asId,
  type FailureDomain,
  type HostId,
  type Incarnation,
  type Milliseconds,
  SeededRandom,
  type VirtualTimer,
} from "@wasabivane/common";
import {
  type Cell,
  CellCoordinator,
  type CellKey,
  cellKeyOf,
  type CellSnapshot,
  type CoordinatorCandidate,
  PlacementClient,
  type Upstream,
  UpstreamDirectory,
  UpstreamStats,
} from "@wasabivane/admission";

const TICK_MS: Milliseconds = 10;
const SNAPSHOT_MS: Milliseconds = 100;
/** Time for which a reported coordinator is skipped. */
const REPORT_MS: Milliseconds = 3_000;

/** Configuration of a {@link VirtualFleet}. */
export interface FleetOptions {
  readonly timer: VirtualTimer;
  readonly hosts: number;
  readonly upstreams: readonly Upstream[];
  /** Failure domains, assigned to hosts in turn. */
  readonly failureDomains: readonly FailureDomain[];
  readonly seed: number;
  /** One-way delay between two hosts. */
  readonly delay?: Milliseconds;
  /** Share of datagrams that are lost. */
  readonly loss?: number;
  /**
   * Difference between the seeds of two hosts; close seeds start with similar
   * numbers.
   */
  readonly seedStep?: number;
  /** Starts per second that an upstream can take while warming up. */
  readonly coldStarts?: number;
  /** Whether hosts report unresponsive coordinators to all others. */
  readonly isReporting?: boolean;
}

/** One host with its client and the cells that it coordinates. */
export class VirtualHost {
  readonly host: HostId;
  readonly failureDomain: FailureDomain;
  readonly stats = new UpstreamStats();
  readonly client: PlacementClient;
  readonly coordinators = new Map<CellKey, CellCoordinator>();
  /** Whether it neither sends nor receives. */
  isDead = false;
  /**
   * Messages that arrived while it was suspended; `undefined` while it runs.
   */
  pendingMessages: (() => void)[] | undefined;
  readonly #fleet: VirtualFleet;
  readonly directory: UpstreamDirectory;
  readonly #random: SeededRandom;
  readonly #coldStarts: number | undefined;

  constructor(
    fleet: VirtualFleet,
    { index, options }: { index: number; options: FleetOptions },
  ) {
    const { failureDomains, seed, upstreams } = options;
    this.#fleet = fleet;
    this.#coldStarts = options.coldStarts;
    this.host = asId<HostId>(`h${index}`);
    this.failureDomain = failureDomains[index % failureDomains.length]!;
    const seedStep = options.seedStep ?? 1;
    this.#random = new SeededRandom(seed + Math.imul(index + 1, seedStep));
    this.directory = new UpstreamDirectory();
    for (const upstream of upstreams) this.directory.set(upstream);
    this.client = new PlacementClient({
      host: this.host,
      incarnation: asId<Incarnation>("1"),
      failureDomain: this.failureDomain,
      directory: this.directory,
      stats: this.stats,
      random: this.#random,
      candidates: () => fleet.candidates,
      coldStartsOf: () => options.coldStarts,
      send: (coordinator, update) => {
        fleet.describedRequests += update.requests.length;
        fleet.deliver(this.host, coordinator, (other, now) => {
          other.coordinatorOf(update.cell).receive(update, now);
        });
      },
      onSendScheduled: () => {},
      onCoordinatorChange: ({ kind, coordinator }) => {
        fleet.coordinatorChanges++;
        const isReported = options.isReporting === true && kind === "silent";
        if (isReported) fleet.reportUnresponsive(this.host, coordinator!);
      },
    });
  }

  coordinatorOf(cell: Cell): CellCoordinator {
    const key = cellKeyOf(cell);
    let coordinator = this.coordinators.get(key);
    if (coordinator === undefined) {
      coordinator = this.#createCoordinator(cell);
      this.coordinators.set(key, coordinator);
      this.#fleet.announce(this.host, cell);
    }
    return coordinator;
  }

  /** Suspends the host; messages that arrive meanwhile are read afterwards. */
  suspend(span: Milliseconds, timer: VirtualTimer): void {
    this.pendingMessages = [];
    timer.after(span, () => {
      const pendingMessages = this.pendingMessages ?? [];
      this.pendingMessages = undefined;
      // Due timers run before messages from the network are read.
      this.client.tick(timer.now());
      for (const read of pendingMessages) read();
    });
  }

  /** Drops all state, as a restart does. */
  restart(): void {
    this.coordinators.clear();
    this.isDead = false;
  }

  #createCoordinator(cell: Cell): CellCoordinator {
    return new CellCoordinator({
      host: this.host,
      incarnation: asId<Incarnation>("1"),
      cell,
      upstreams: this.directory,
      stats: this.stats,
      random: this.#random,
      coldStartsOf: () => this.#coldStarts,
      hostCount: () => this.#fleet.candidates.length,
      timeInCharge: (now) => this.client.timeInCharge(cell, now),
      send: (to, reply) =>
        this.#fleet.deliver(
          this.host,
          to,
          (other, now) => other.client.receive(reply, now),
        ),
      after: (span, callback) => this.#fleet.after(span, callback),
      now: () => this.#fleet.now(),
      otherSnapshots: () => this.#fleet.snapshotsOfOthers(cell),
      isLeaving: () => false,
    }, this.#fleet.now());
  }
}

/**
 * Hosts on a simulated network in virtual time, with message loss, partitions
 * and crashes.
 */
export class VirtualFleet {
  readonly hosts: readonly VirtualHost[];
  candidates: readonly CoordinatorCandidate[];
  /** One-way delay between two hosts. */
  delay: Milliseconds;
  /** Number of changes of a coordinator. */
  coordinatorChanges = 0;
  /** Number of requests described in updates. */
  describedRequests = 0;
  /** Number of datagrams sent. */
  sent = 0;
  /** Pairs `from>to` between which datagrams are dropped. */
  readonly cuts = new Set<string>();
  readonly #options: FleetOptions;
  readonly #random: SeededRandom;
  readonly #byName: ReadonlyMap<HostId, VirtualHost>;
  #snapshots: readonly CellSnapshot[] = [];
  #snapshotsAt: Milliseconds = -Infinity;

  constructor(options: FleetOptions) {
    this.#options = options;
    this.delay = options.delay ?? 1;
    this.#random = new SeededRandom(options.seed);
    this.hosts = Array.from(
      { length: options.hosts },
      (_, index) => new VirtualHost(this, { index, options }),
    );
    this.#byName = new Map(this.hosts.map((host) => [host.host, host]));
    this.candidates = this.hosts.map(({ host, failureDomain }) => ({
      host,
      failureDomain,
      age: 60_000,
      cores: 1,
    }));
    options.timer.every(TICK_MS, () => this.#tick());
  }

  now(): Milliseconds {
    return this.#options.timer.now();
  }

  after(span: Milliseconds, callback: () => void): void {
    this.#options.timer.after(span, callback);
  }

  findHost(host: HostId): VirtualHost {
    return this.#byName.get(host)!;
  }

  /** Delivers a datagram to a host unless it is lost. */
  deliver(
    from: HostId,
    to: HostId,
    receive: (host: VirtualHost, now: Milliseconds) => void,
  ): void {
    const { timer, loss = 0 } = this.#options;
    const { delay } = this;
    if (this.findHost(from).isDead) return;
    const isLocal = from === to;
    if (!isLocal) this.sent++;
    if (!isLocal && this.#random.float() < loss) return;
    timer.after(isLocal ? 0 : delay, () => {
      const host = this.findHost(to);
      if (host.isDead || this.cuts.has(`${from}>${to}`)) return;
      if (host.pendingMessages === undefined) receive(host, timer.now());
      else host.pendingMessages.push(() => receive(host, timer.now()));
    });
  }

  /** Reports an unresponsive coordinator to all other hosts. */
  reportUnresponsive(reporter: HostId, coordinator: HostId): void {
    const until = this.now() + REPORT_MS;
    for (const { host } of this.hosts) {
      if (host === reporter) continue;
      this.deliver(
        reporter,
        host,
        ({ client }, now) =>
          client.coordinators.applyReport(coordinator, { until, now }),
      );
    }
  }

  announce(host: HostId, cell: Cell): void {
    for (const other of this.hosts) {
      if (other.host === host) continue;
      this.deliver(
        host,
        other.host,
        ({ client }, now) =>
          client.coordinators.coordinatorOf(cell, now) === host &&
          client.resync(cell, now),
      );
    }
  }

  /** Returns recent snapshots of the other cells from live coordinators. */
  snapshotsOfOthers(cell: Cell): CellSnapshot[] {
    const now = this.now();
    if (now - this.#snapshotsAt >= SNAPSHOT_MS) {
      this.#snapshotsAt = now;
      this.#snapshots = this.hosts.filter(({ isDead }) => !isDead).flatMap((
        { coordinators },
      ) =>
        [...coordinators.values()].map((coordinator) =>
          coordinator.snapshot(now)
        )
      );
    }
    const key = cellKeyOf(cell);
    return this.#snapshots.filter((snapshot) =>
      cellKeyOf(snapshot.cell) !== key && snapshot.cell.service === cell.service
    );
  }

  #tick(): void {
    const now = this.now();
    for (const host of this.hosts) {
      if (host.isDead || host.pendingMessages !== undefined) continue;
      for (const coordinator of host.coordinators.values()) {
        coordinator.review(now);
      }
      host.client.tick(now);
    }
  }
}
