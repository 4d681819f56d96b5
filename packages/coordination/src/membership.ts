import type { HostList } from "@wasabivane/bundle";
import {
  type HostId,
  type Incarnation,
  type Milliseconds,
  type Random,
  rendezvousOrder,
} from "@wasabivane/common";
import type {
  Heartbeat,
  Member,
  MemberState,
  MemberUpdate,
} from "./memberMessages.ts";

/** Interval between heartbeats to one peer. */
export const HEARTBEAT_PERIOD_MS: Milliseconds = 1_000;
/** Time without a heartbeat after which a host is suspect. */
export const SUSPECT_TIMEOUT_MS: Milliseconds = 1_500;
/** Time without a heartbeat after which a host is considered dead. */
export const DEAD_TIMEOUT_MS: Milliseconds = 3_000;
/** Largest fleet in which every host sends heartbeats to every other host. */
export const FULL_MESH_HOSTS = 16;
/** Hosts that monitor each host in a fleet that is not fully meshed. */
export const MONITORS_PER_HOST = 4;
/** Random hosts probed per period in a fleet that is not fully meshed. */
export const PROBES_PER_PERIOD = 2;
/**
 * How long a host missing from the host list is kept after its last heartbeat.
 */
const UNLISTED_RETENTION_MS: Milliseconds = 60_000;

const STATE_SEVERITY: Record<MemberState, number> = {
  alive: 0,
  suspect: 1,
  dead: 2,
};

/** Identity of this host; only `isLeaving` changes. */
export type MemberIdentity = Omit<Member, "state">;

interface PeerRecord {
  update: MemberUpdate;
  /** Time of the last evidence that the host is alive. */
  lastAliveAt: Milliseconds;
  /** Whether the peer sends heartbeats to this host every period. */
  isMonitored: boolean;
  isListed: boolean;
  /** When the oldest unanswered probe was sent. */
  probedAt?: Milliseconds;
}

/** Recipients of this period's heartbeats. */
export interface HeartbeatTargets {
  readonly regular: readonly HostId[];
  readonly probes: readonly HostId[];
  /**
   * Former regular targets; the heartbeat tells them that it is the last one.
   */
  readonly removed: readonly HostId[];
}

/**
 * Tracks which entry hosts are alive. The published host list only seeds it,
 * since the list can be out of date.
 */
export class Membership {
  readonly #random: Random;
  readonly #records = new Map<HostId, PeerRecord>();
  #self: MemberIdentity;
  #sequence = 0;
  #revision = 0;
  #lastCheckAt: Milliseconds | undefined;
  #regular: readonly HostId[] = [];

  constructor({ self, random }: { self: MemberIdentity; random: Random }) {
    this.#self = self;
    this.#random = random;
  }

  get self(): MemberIdentity {
    return this.#self;
  }

  setLeaving(isLeaving: boolean): void {
    this.#self = { ...this.#self, isLeaving };
    this.#revision++;
  }

  /** Adds the hosts of the published list; state reported by peers is kept. */
  setHostList(list: HostList, now: Milliseconds): void {
    for (const record of this.#records.values()) record.isListed = false;
    for (const listed of list.entryHosts) {
      if (listed.host === this.#self.host) continue;
      const record = this.#records.get(listed.host);
      if (record !== undefined) {
        record.isListed = true;
        continue;
      }
      this.#records.set(listed.host, {
        update: {
          host: listed.host,
          incarnation: (listed.incarnation ?? "") as Incarnation,
          state: "suspect",
          failureDomain: listed.failureDomain,
          peerAddress: listed.peerAddress,
          isLeaving: listed.state === "leaving",
          sequence: -1,
          revision: -1,
        },
        lastAliveAt: now,
        isMonitored: false,
        isListed: true,
      });
    }
  }

  /**
   * Returns the stored suspicion or death of a host, so that the host can
   * refute it.
   */
  failureReportOf(host: HostId): MemberUpdate | undefined {
    const update = this.#records.get(host)?.update;
    return update === undefined || update.state === "alive"
      ? undefined
      : update;
  }

  /** Applies a peer's heartbeat; true when it changed the peer's state. */
  applyHeartbeat(heartbeat: Heartbeat, now: Milliseconds): boolean {
    const { sender, isRegular } = heartbeat;
    if (sender.host === this.#self.host) return false;
    const record = this.#records.get(sender.host);
    const isNew = record === undefined ||
      isNewer(record, sender, { now, counter: "sequence" });
    if (!isNew) return false;
    const isChange = record === undefined || differs(record.update, sender);
    this.#records.set(sender.host, {
      update: { ...sender, state: "alive" },
      lastAliveAt: now,
      isMonitored: isRegular,
      isListed: record?.isListed ?? false,
    });
    return isChange;
  }

  /**
   * Applies updates from other hosts and returns those that changed something.
   */
  applyUpdates(
    updates: readonly MemberUpdate[],
    now: Milliseconds,
  ): MemberUpdate[] {
    return updates.filter((item) =>
      item.host === this.#self.host
        ? this.#refute(item)
        : this.#applyUpdate(item, now)
    ).map((item) => item.host === this.#self.host ? this.selfUpdate() : item);
  }

  /** Returns this host's update about itself. */
  selfUpdate(): MemberUpdate {
    return {
      ...this.#self,
      state: "alive",
      sequence: this.#sequence,
      revision: this.#revision,
    };
  }

  /**
   * Returns the updates of all known hosts, for a host that has just started.
   */
  allUpdates(): MemberUpdate[] {
    const known = [...this.#records.values()].map(({ update }) => update);
    return [this.selfUpdate(), ...known];
  }

  /** Marks silent hosts as suspect or dead and returns the changes. */
  detectFailures(now: Milliseconds): MemberUpdate[] {
    this.#excuseOwnPause(now);
    const changes: MemberUpdate[] = [];
    for (const [host, record] of this.#records) {
      if (
        !record.isListed && now - record.lastAliveAt > UNLISTED_RETENTION_MS
      ) {
        this.#records.delete(host);
        continue;
      }
      const state = stateAfterSilence(now - this.#silentSince(record, now));
      if (STATE_SEVERITY[state] <= STATE_SEVERITY[record.update.state]) {
        continue;
      }
      record.update = { ...record.update, state };
      changes.push(record.update);
    }
    return changes;
  }

  /**
   * Selects the recipients of the next heartbeat and increments the sequence.
   */
  nextTargets(now: Milliseconds): HeartbeatTargets {
    this.#sequence++;
    const peers = [...this.#records.keys()];
    if (this.isFullMesh()) {
      return { regular: peers, probes: [], removed: [] };
    }
    const former = this.#regular;
    this.#regular = this.#pickMonitors();
    const removed = former.filter((host) => !this.#regular.includes(host));
    const probes = this.#pickProbes(peers);
    for (const host of probes) this.#records.get(host)!.probedAt ??= now;
    return { regular: this.#regular, probes, removed };
  }

  /**
   * Increments the sequence, so that a probe reply is newer than earlier
   * heartbeats.
   */
  incrementSequence(): void {
    this.#sequence++;
  }

  /** Tells whether a peer receives a heartbeat every period. */
  isRegularTarget(host: HostId): boolean {
    return this.isFullMesh() || this.#regular.includes(host);
  }

  /** Tells whether every host sends heartbeats to every other host. */
  isFullMesh(): boolean {
    return this.#records.size < FULL_MESH_HOSTS;
  }

  /** Picks random recipients for membership updates. */
  pickGossipTargets(count: number): HostId[] {
    const candidates = [...this.#records.values()]
      .filter(({ update }) => update.state !== "dead")
      .map(({ update }) => update.host);
    return this.#pickRandom(candidates, count);
  }

  /** Returns every known host, this one first. */
  members(): Member[] {
    return [
      this.selfUpdate(),
      ...[...this.#records.values()].map(({ update }) => update),
    ];
  }

  /**
   * Returns the share of listed hosts that are reachable, including this one. A
   * value below 1 can indicate a partition.
   */
  reachableShare(): number {
    const listed = [...this.#records.values()].filter(({ isListed }) =>
      isListed
    );
    const reachable = listed.filter(({ update }) => update.state !== "dead");
    return (reachable.length + 1) / (listed.length + 1);
  }

  #applyUpdate(item: MemberUpdate, now: Milliseconds): boolean {
    const record = this.#records.get(item.host);
    if (record === undefined) {
      if (item.state === "dead") return false;
      this.#records.set(item.host, {
        update: item,
        lastAliveAt: now,
        isMonitored: false,
        isListed: false,
      });
      return true;
    }
    const isWorse = item.incarnation === record.update.incarnation &&
      item.revision === record.update.revision &&
      STATE_SEVERITY[item.state] > STATE_SEVERITY[record.update.state] &&
      now - record.lastAliveAt > SUSPECT_TIMEOUT_MS;
    const isNewUpdate = isWorse ||
      isNewer(record, item, { now, counter: "revision" });
    if (!isNewUpdate) return false;
    const isChange = differs(record.update, item);
    record.update = {
      ...item,
      sequence: Math.max(item.sequence, record.update.sequence),
    };
    if (item.state === "alive") record.lastAliveAt = now;
    record.probedAt = undefined;
    return isChange;
  }

  /**
   * Refutes a report that this host is suspect or dead by raising the revision.
   */
  #refute(item: MemberUpdate): boolean {
    if (item.incarnation !== this.#self.incarnation) return false;
    if (item.state === "alive") return false;
    if (item.revision < this.#revision) return false;
    this.#revision = item.revision + 1;
    return true;
  }

  /**
   * Returns when the peer's silence began. A peer that sends no regular
   * heartbeats to this host is judged only by its replies to probes.
   */
  #silentSince(record: PeerRecord, now: Milliseconds): Milliseconds {
    if (record.isMonitored || this.isFullMesh()) return record.lastAliveAt;
    if (record.probedAt === undefined) return now;
    const isSuspect = record.update.state === "suspect";
    return isSuspect ? record.probedAt - SUSPECT_TIMEOUT_MS : record.probedAt;
  }

  /**
   * Extends all deadlines after this process was paused. Otherwise it would
   * declare every peer dead on resuming.
   */
  #excuseOwnPause(now: Milliseconds): void {
    const gap = now - (this.#lastCheckAt ?? now);
    this.#lastCheckAt = now;
    if (gap < HEARTBEAT_PERIOD_MS) return;
    for (const record of this.#records.values()) {
      record.lastAliveAt = Math.min(now, record.lastAliveAt + gap);
    }
  }

  #pickMonitors(): HostId[] {
    const hosts = [...this.#records.values()]
      .filter(({ update }) => update.state !== "dead")
      .map(({ update }) => update.host);
    const ring = rendezvousOrder("membership-ring", [
      ...hosts,
      this.#self.host,
    ]);
    const start = ring.indexOf(this.#self.host);
    const rotated = [...ring.slice(start + 1), ...ring.slice(0, start)];
    return rotated.slice(0, MONITORS_PER_HOST);
  }

  /** Picks one suspect or dead host, to recheck it, and random others. */
  #pickProbes(peers: readonly HostId[]): HostId[] {
    const unwatched = peers.filter((host) => !this.#regular.includes(host));
    const suspect = this.#pickRandom(this.#inState(unwatched, "suspect"), 1);
    const dead = this.#pickRandom(this.#inState(unwatched, "dead"), 1);
    const silent = [...suspect, ...dead].slice(0, 1);
    const rest = unwatched.filter((host) => !silent.includes(host));
    return [
      ...silent,
      ...this.#pickRandom(rest, PROBES_PER_PERIOD - silent.length),
    ];
  }

  #inState(hosts: readonly HostId[], state: MemberState): HostId[] {
    return hosts.filter((host) =>
      this.#records.get(host)?.update.state === state
    );
  }

  #pickRandom(hosts: readonly HostId[], count: number): HostId[] {
    const remaining = [...hosts];
    const picked: HostId[] = [];
    while (picked.length < count && remaining.length > 0) {
      picked.push(
        ...remaining.splice(this.#random.int(remaining.length), 1),
      );
    }
    return picked;
  }
}

/**
 * Tells whether an update is newer than a record. A different incarnation is
 * newer if it sorts later or if the known one is silent, since a host's clock
 * can step back across a restart.
 */
function isNewer(
  record: PeerRecord,
  update: MemberUpdate,
  { now, counter }: { now: Milliseconds; counter: "sequence" | "revision" },
): boolean {
  const known = record.update;
  if (update.incarnation === known.incarnation) {
    return update[counter] > known[counter];
  }
  const isSilent = now - record.lastAliveAt > SUSPECT_TIMEOUT_MS;
  return update.incarnation > known.incarnation || isSilent;
}

function stateAfterSilence(silence: Milliseconds): MemberState {
  if (silence >= DEAD_TIMEOUT_MS) return "dead";
  return silence >= SUSPECT_TIMEOUT_MS ? "suspect" : "alive";
}

function differs(known: MemberUpdate, update: MemberUpdate): boolean {
  return known.state !== update.state ||
    known.incarnation !== update.incarnation ||
    known.isLeaving !== update.isLeaving ||
    known.peerAddress !== update.peerAddress;
}
