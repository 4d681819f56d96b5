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

/** How hosts of a {@link VirtualFleet} stand to each other. */
export interface FleetOptions {
  readonly timer: VirtualTimer;
  readonly hosts: number;
  readonly upstreams: readonly Upstream[];
  /** Failure domains of hosts, in turn. */
  readonly failureDomains: readonly FailureDomain[];
  readonly seed: number;
  /** One way between two hosts. */
  readonly delay?: Milliseconds;
  /** Share of datagrams that get lost. */
  readonly loss?: number;
  /** Between the seeds of two hosts; near seeds begin with like numbers. */
  readonly seedStep?: number;
  /** Starts in one second that a cold upstream bears. */
  readonly coldStarts?: number;
}

/** One host with the real seeker and the real keepers. */
export class VirtualHost {
  readonly host: HostId;
  readonly failureDomain: FailureDomain;
  readonly knowledge = new UpstreamStats();
  readonly seeker: PlacementClient;
  readonly keepers = new Map<CellKey, CellCoordinator>();
  /** It neither sends nor takes anything in. */
  isDead = false;
  /** Words that came while it stood still; `undefined` while it runs. */
  unread: (() => void)[] | undefined;
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
    this.seeker = new PlacementClient({
      host: this.host,
      incarnation: asId<Incarnation>("1"),
      failureDomain: this.failureDomain,
      directory: this.directory,
      stats: this.knowledge,
      random: this.#random,
      candidates: () => fleet.candidates,
      coldStartsOf: () => options.coldStarts,
      send: (keeper, ask) => {
        fleet.described += ask.requests.length;
        fleet.carry(this.host, keeper, (other, now) => {
          other.keeperOf(ask.cell).receive(ask, now);
        });
      },
      onSendScheduled: () => {},
      onCoordinatorChange: () => fleet.changes++,
    });
  }

  keeperOf(cell: Cell): CellCoordinator {
    const key = cellKeyOf(cell);
    let keeper = this.keepers.get(key);
    if (keeper === undefined) {
      keeper = this.#begin(cell);
      this.keepers.set(key, keeper);
      this.#fleet.callAll(this.host, cell);
    }
    return keeper;
  }

  /** Stands still for a while; what comes meanwhile is read when it runs again. */
  standStill(span: Milliseconds, timer: VirtualTimer): void {
    this.unread = [];
    timer.after(span, () => {
      const unread = this.unread ?? [];
      this.unread = undefined;
      // Timers that are due run before what came over the network is read.
      this.seeker.tick(timer.now());
      for (const read of unread) read();
    });
  }

  /** Forgets everything, as after a restart. */
  restart(): void {
    this.keepers.clear();
    this.isDead = false;
  }

  #begin(cell: Cell): CellCoordinator {
    return new CellCoordinator({
      host: this.host,
      incarnation: asId<Incarnation>("1"),
      cell,
      upstreams: this.directory,
      stats: this.knowledge,
      random: this.#random,
      coldStartsOf: () => this.#coldStarts,
      hostCount: () => this.#fleet.candidates.length,
      send: (to, answer) =>
        this.#fleet.carry(
          this.host,
          to,
          (other, now) => other.seeker.receive(answer, now),
        ),
      after: (span, callback) => this.#fleet.after(span, callback),
      now: () => this.#fleet.now(),
      otherSnapshots: () => this.#fleet.snapshotsBeside(cell),
      isLeaving: () => false,
    }, this.#fleet.now());
  }
}

/** Hosts over a network in virtual time, which may lose, cut and kill. */
export class VirtualFleet {
  readonly hosts: readonly VirtualHost[];
  candidates: readonly CoordinatorCandidate[];
  /** One way between two hosts. */
  delay: Milliseconds;
  /** Keepers passed over. */
  changes = 0;
  /** Requests that asks described. */
  described = 0;
  /** Datagrams that were sent. */
  sent = 0;
  /** Pairs `from>to` whose datagrams vanish. */
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

  named(host: HostId): VirtualHost {
    return this.#byName.get(host)!;
  }

  /** Brings a datagram to a host, if nothing is in the way. */
  carry(
    from: HostId,
    to: HostId,
    take: (host: VirtualHost, now: Milliseconds) => void,
  ): void {
    const { timer, loss = 0 } = this.#options;
    const { delay } = this;
    if (this.named(from).isDead) return;
    const isOwn = from === to;
    if (!isOwn) this.sent++;
    if (!isOwn && this.#random.float() < loss) return;
    timer.after(isOwn ? 0 : delay, () => {
      const host = this.named(to);
      if (host.isDead || this.cuts.has(`${from}>${to}`)) return;
      if (host.unread === undefined) take(host, timer.now());
      else host.unread.push(() => take(host, timer.now()));
    });
  }

  callAll(host: HostId, cell: Cell): void {
    for (const other of this.hosts) {
      if (other.host === host) continue;
      this.carry(
        host,
        other.host,
        ({ seeker }, now) =>
          seeker.coordinators.coordinatorOf(cell, now) === host &&
          seeker.resync(cell, now),
      );
    }
  }

  /** What live keepers of the other cells saw a moment ago. */
  snapshotsBeside(cell: Cell): CellSnapshot[] {
    const now = this.now();
    if (now - this.#snapshotsAt >= SNAPSHOT_MS) {
      this.#snapshotsAt = now;
      this.#snapshots = this.hosts.filter(({ isDead }) => !isDead).flatMap((
        { keepers },
      ) => [...keepers.values()].map((keeper) => keeper.snapshot(now)));
    }
    const key = cellKeyOf(cell);
    return this.#snapshots.filter((snapshot) =>
      cellKeyOf(snapshot.cell) !== key && snapshot.cell.service === cell.service
    );
  }

  #tick(): void {
    const now = this.now();
    for (const host of this.hosts) {
      if (host.isDead || host.unread !== undefined) continue;
      for (const keeper of host.keepers.values()) keeper.review(now);
      host.seeker.tick(now);
    }
  }
}
