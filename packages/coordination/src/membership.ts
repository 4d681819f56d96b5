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

/** Time between heartbeats to one peer. */
export const HEARTBEAT_PERIOD_MS: Milliseconds = 1_000;
/** Silence after which a host is suspect: one heartbeat and a half. */
export const SUSPECT_TIMEOUT_MS: Milliseconds = 1_500;
/** Silence after which a host counts as dead; two heartbeats may be lost before. */
export const DEAD_TIMEOUT_MS: Milliseconds = 3_000;
/** Up to so many hosts everybody sends to everybody; above, to a bounded subset. */
export const FULL_MESH_HOSTS = 16;
/** Hosts that watch one host in a larger fleet. */
export const MONITORS_PER_HOST = 4;
/** Random hosts that are probed each period in a larger fleet. */
export const PROBES_PER_PERIOD = 2;
/** How long an unlisted dead host is remembered. */
const FORGET_MS: Milliseconds = 60_000;

const STATE_RANK: Record<MemberState, number> = {
  alive: 0,
  suspect: 1,
  dead: 2,
};

/** Who this host is; constant but for leaving. */
export type MemberIdentity = Omit<Member, "state">;

interface PeerRecord {
  news: MemberUpdate;
  /** When something last spoke for the host; silence counts from then. */
  heardAt: Milliseconds;
  /** Whether silence of this peer means something: it sends here each period. */
  isWatched: boolean;
  isListed: boolean;
  /** When a probe was sent that nothing answered yet. */
  probedAt?: Milliseconds;
}

/** Whom to send a heartbeat to in this period. */
export interface HeartbeatTargets {
  readonly regular: readonly HostId[];
  readonly probes: readonly HostId[];
  /** Former targets, told that no more will come. */
  readonly ended: readonly HostId[];
}

/**
 * Knows which entry hosts answer now. The published list is only the seed: it
 * lags by seconds or, with the service down, by hours.
 */
export class Membership {
  readonly #random: Random;
  readonly #records = new Map<HostId, PeerRecord>();
  #self: MemberIdentity;
  #sequence = 0;
  #revision = 0;
  #tickedAt: Milliseconds | undefined;
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

  /** Takes the published list as seed; what peers say of themselves stays. */
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
        news: {
          host: listed.host,
          incarnation: (listed.incarnation ?? "") as Incarnation,
          state: "suspect",
          failureDomain: listed.failureDomain,
          peerAddress: listed.peerAddress,
          isLeaving: listed.state === "leaving",
          sequence: -1,
          revision: -1,
        },
        heardAt: now,
        isWatched: false,
        isListed: true,
      });
    }
  }

  /** What is told of a host that now speaks for itself, for it to deny. */
  failureReportOf(host: HostId): MemberUpdate | undefined {
    const news = this.#records.get(host)?.news;
    return news === undefined || news.state === "alive" ? undefined : news;
  }

  /** Takes a peer's own word; true when it changed something. */
  applyHeartbeat(heartbeat: Heartbeat, now: Milliseconds): boolean {
    const { sender, isRegular } = heartbeat;
    if (sender.host === this.#self.host) return false;
    const record = this.#records.get(sender.host);
    const isNew = record === undefined ||
      isNewer(record, sender, { now, counter: "sequence" });
    if (!isNew) return false;
    const isChange = record === undefined || differs(record.news, sender);
    this.#records.set(sender.host, {
      news: { ...sender, state: "alive" },
      heardAt: now,
      isWatched: isRegular,
      isListed: record?.isListed ?? false,
    });
    return isChange;
  }

  /** Takes what others say; gives back what was new and is worth passing on. */
  applyUpdates(
    news: readonly MemberUpdate[],
    now: Milliseconds,
  ): MemberUpdate[] {
    return news.filter((item) =>
      item.host === this.#self.host
        ? this.#refute(item)
        : this.#takeNews(item, now)
    ).map((item) => item.host === this.#self.host ? this.selfUpdate() : item);
  }

  /** This host's word about itself. */
  selfUpdate(): MemberUpdate {
    return {
      ...this.#self,
      state: "alive",
      sequence: this.#sequence,
      revision: this.#revision,
    };
  }

  /** All that is known, for a host that is new. */
  allUpdates(): MemberUpdate[] {
    const known = [...this.#records.values()].map(({ news }) => news);
    return [this.selfUpdate(), ...known];
  }

  /** Judges silence; gives back the changes. */
  detectFailures(now: Milliseconds): MemberUpdate[] {
    this.#forgiveOwnPause(now);
    const changes: MemberUpdate[] = [];
    for (const [host, record] of this.#records) {
      if (!record.isListed && now - record.heardAt > FORGET_MS) {
        this.#records.delete(host);
        continue;
      }
      const state = silenceState(now - this.#silentSince(record, now));
      if (STATE_RANK[state] <= STATE_RANK[record.news.state]) continue;
      record.news = { ...record.news, state };
      changes.push(record.news);
    }
    return changes;
  }

  /** Chooses the receivers of the next heartbeat and counts it. */
  nextTargets(now: Milliseconds): HeartbeatTargets {
    this.#sequence++;
    const peers = [...this.#records.keys()];
    if (this.isFullMesh()) {
      return { regular: peers, probes: [], ended: [] };
    }
    const former = this.#regular;
    this.#regular = this.#ringSuccessors();
    const ended = former.filter((host) => !this.#regular.includes(host));
    const probes = this.#pickProbes(peers);
    for (const host of probes) this.#records.get(host)!.probedAt ??= now;
    return { regular: this.#regular, probes, ended };
  }

  /** Makes the next word of this host newer than all before, as an answer to a probe has to be. */
  incrementSequence(): void {
    this.#sequence++;
  }

  /** Whether a peer may expect a heartbeat each period. */
  isRegularTarget(host: HostId): boolean {
    return this.isFullMesh() || this.#regular.includes(host);
  }

  /** Whether the fleet is small enough for everybody to hear everybody. */
  isFullMesh(): boolean {
    return this.#records.size < FULL_MESH_HOSTS;
  }

  /** Random hosts that get news at once. */
  pickGossipTargets(count: number): HostId[] {
    const answering = [...this.#records.values()]
      .filter(({ news }) => news.state !== "dead")
      .map(({ news }) => news.host);
    return this.#pick(answering, count);
  }

  /** Every known host, this one first. */
  members(): Member[] {
    return [
      this.selfUpdate(),
      ...[...this.#records.values()].map(({ news }) => news),
    ];
  }

  /** Share of the listed hosts that answer, this one included; below 1 here may be one side of a partition. */
  reachableShare(): number {
    const listed = [...this.#records.values()].filter(({ isListed }) =>
      isListed
    );
    const heard = listed.filter(({ news }) => news.state !== "dead");
    return (heard.length + 1) / (listed.length + 1);
  }

  #takeNews(item: MemberUpdate, now: Milliseconds): boolean {
    const record = this.#records.get(item.host);
    if (record === undefined) {
      if (item.state === "dead") return false;
      this.#records.set(item.host, {
        news: item,
        heardAt: now,
        isWatched: false,
        isListed: false,
      });
      return true;
    }
    const isWorse = item.incarnation === record.news.incarnation &&
      item.revision === record.news.revision &&
      STATE_RANK[item.state] > STATE_RANK[record.news.state] &&
      now - record.heardAt > SUSPECT_TIMEOUT_MS;
    const isNews = isWorse ||
      isNewer(record, item, { now, counter: "revision" });
    if (!isNews) return false;
    const isChange = differs(record.news, item);
    record.news = {
      ...item,
      sequence: Math.max(item.sequence, record.news.sequence),
    };
    if (item.state === "alive") record.heardAt = now;
    record.probedAt = undefined;
    return isChange;
  }

  /** Somebody says that this host is silent: a higher revision denies it. */
  #refute(item: MemberUpdate): boolean {
    if (item.incarnation !== this.#self.incarnation) return false;
    if (item.state === "alive") return false;
    if (item.revision < this.#revision) return false;
    this.#revision = item.revision + 1;
    return true;
  }

  /**
   * From when silence counts. A peer that owes no word is not silent: gossip may
   * miss this host, so that it judges only what it probed itself.
   */
  #silentSince(record: PeerRecord, now: Milliseconds): Milliseconds {
    if (record.isWatched || this.isFullMesh()) return record.heardAt;
    if (record.probedAt === undefined) return now;
    const isSuspect = record.news.state === "suspect";
    return isSuspect ? record.probedAt - SUSPECT_TIMEOUT_MS : record.probedAt;
  }

  /**
   * A process that wakes from a pause heard nobody because it slept. Without
   * this it would declare the whole fleet dead and act alone for a moment.
   */
  #forgiveOwnPause(now: Milliseconds): void {
    const gap = now - (this.#tickedAt ?? now);
    this.#tickedAt = now;
    if (gap < HEARTBEAT_PERIOD_MS) return;
    for (const record of this.#records.values()) {
      record.heardAt = Math.min(now, record.heardAt + gap);
    }
  }

  #ringSuccessors(): HostId[] {
    const hosts = [...this.#records.values()]
      .filter(({ news }) => news.state !== "dead")
      .map(({ news }) => news.host);
    const ring = rendezvousOrder("membership-ring", [
      ...hosts,
      this.#self.host,
    ]);
    const start = ring.indexOf(this.#self.host);
    const rotated = [...ring.slice(start + 1), ...ring.slice(0, start)];
    return rotated.slice(0, MONITORS_PER_HOST);
  }

  /** One host that seems silent, since it may be told wrong, and any others. */
  #pickProbes(peers: readonly HostId[]): HostId[] {
    const unwatched = peers.filter((host) => !this.#regular.includes(host));
    const suspect = this.#pick(this.#inState(unwatched, "suspect"), 1);
    const dead = this.#pick(this.#inState(unwatched, "dead"), 1);
    const silent = [...suspect, ...dead].slice(0, 1);
    const rest = unwatched.filter((host) => !silent.includes(host));
    return [...silent, ...this.#pick(rest, PROBES_PER_PERIOD - silent.length)];
  }

  #inState(hosts: readonly HostId[], state: MemberState): HostId[] {
    return hosts.filter((host) =>
      this.#records.get(host)?.news.state === state
    );
  }

  #pick(hosts: readonly HostId[], count: number): HostId[] {
    const left = [...hosts];
    const picked: HostId[] = [];
    while (picked.length < count && left.length > 0) {
      picked.push(...left.splice(this.#random.int(left.length), 1));
    }
    return picked;
  }
}

/**
 * Whether news outdates a record. Another incarnation is newer when it sorts
 * later, or when the known one is silent: a clock that stepped back over a
 * restart must not hide the new process.
 */
function isNewer(
  record: PeerRecord,
  news: MemberUpdate,
  { now, counter }: { now: Milliseconds; counter: "sequence" | "revision" },
): boolean {
  const known = record.news;
  if (news.incarnation === known.incarnation) {
    return news[counter] > known[counter];
  }
  const isSilent = now - record.heardAt > SUSPECT_TIMEOUT_MS;
  return news.incarnation > known.incarnation || isSilent;
}

function silenceState(silence: Milliseconds): MemberState {
  if (silence >= DEAD_TIMEOUT_MS) return "dead";
  return silence >= SUSPECT_TIMEOUT_MS ? "suspect" : "alive";
}

function differs(known: MemberUpdate, news: MemberUpdate): boolean {
  return known.state !== news.state ||
    known.incarnation !== news.incarnation ||
    known.isLeaving !== news.isLeaving ||
    known.peerAddress !== news.peerAddress;
}
