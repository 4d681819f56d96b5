import type { SignedBundle } from "@wasabivane/bundle";
import {
  type BundleVersion,
  type Digest,
  type HostId,
  type Milliseconds,
  rendezvousOrder,
} from "@wasabivane/common";

/**
 * Number of hosts that read the platform; the others receive changes from
 * peers, so that reads do not grow with the fleet. Two survive the loss of one.
 */
export const PLATFORM_READERS = 2;
/** Maximum duration of one long poll. */
export const LONG_POLL_WAIT_MS: Milliseconds = 1_000;
/**
 * Time since its last successful read within which a host counts as a reader:
 * three long polls, so that one lost response makes no other host read.
 */
export const READ_FRESHNESS_MS: Milliseconds = 3_000;
/**
 * Additional wait per rank before a host starts to read; exceeds the time in which
 * it hears that the one before it has read.
 */
export const READ_STAGGER_MS: Milliseconds = 250;
/**
 * How long announcements of a peer are ignored after it failed to send what it
 * announced.
 */
export const DISTRUST_PERIOD_MS: Milliseconds = 10_000;
/** Maximum number of reads in a notice. */
export const MAX_READS_PER_NOTICE = 2;

/** Identifies a bundle; two bundles of one version have different roots. */
export interface BundleIdentity {
  readonly version: BundleVersion;
  readonly root: Digest;
}

/** Returns the identity of a signed bundle. */
export function bundleIdentityOf(signed: SignedBundle): BundleIdentity {
  return { version: signed.bundle.version, root: signed.root };
}

/** Time since a host's last successful read of the platform. */
export interface RecentRead {
  readonly host: HostId;
  readonly ageMs: Milliseconds;
}

/**
 * Announces a host's configuration, sent periodically and after each change.
 */
export interface ConfigurationNotice {
  /** Absent if no bundle is in force. */
  readonly inForce?: BundleIdentity;
  /** 0 if no host list is known. */
  readonly hostListVersion: number;
  readonly reads: readonly RecentRead[];
}

/** Last version announced by a host. */
export interface AnnouncedVersion {
  readonly mark: BundleIdentity | undefined;
  readonly hostListVersion: number;
  readonly heardAt: Milliseconds;
}

/** Order of an offered bundle relative to the one in force. */
export type BundleOrder =
  | "newer"
  | "same"
  | "older"
  /** Same version, different content; the offered bundle wins. */
  | "conflict-wins"
  /** Same version, different content; the bundle in force wins. */
  | "conflict-loses";

/**
 * Compares an offered bundle with the one in force by version. Two valid
 * bundles of one version are an operator's mistake; the lower root wins on
 * every host, independent of the order of arrival.
 */
export function compareBundles(
  offered: BundleIdentity,
  inForce: BundleIdentity | undefined,
): BundleOrder {
  if (inForce === undefined) return "newer";
  if (offered.version > inForce.version) return "newer";
  if (offered.version < inForce.version) return "older";
  if (offered.root === inForce.root) return "same";
  return offered.root < inForce.root ? "conflict-wins" : "conflict-loses";
}

/** Tells whether an offered bundle replaces the one in force. */
export function shouldReplace(
  offered: BundleIdentity,
  inForce: BundleIdentity | undefined,
): boolean {
  const order = compareBundles(offered, inForce);
  return order === "newer" || order === "conflict-wins";
}

/**
 * Tracks which hosts read the platform and which versions peers announce, and
 * selects the readers.
 */
export class ConfigurationGossip {
  readonly #self: HostId;
  readonly #announced = new Map<HostId, AnnouncedVersion>();
  readonly #lastRead = new Map<HostId, Milliseconds>();
  readonly #memberSince = new Map<HostId, Milliseconds>();
  readonly #distrustedUntil = new Map<HostId, Milliseconds>();
  #order: readonly HostId[];

  constructor(self: HostId, now: Milliseconds) {
    this.#self = self;
    this.#order = [self];
    this.#memberSince.set(self, now);
  }

  /** Peers to exchange notices with. */
  get peers(): HostId[] {
    return this.#order.filter((host) => host !== this.#self);
  }

  /** Replaces the live hosts and deletes the state of removed ones. */
  setMembers(hosts: readonly HostId[], now: Milliseconds): void {
    const members = new Set([this.#self, ...hosts]);
    this.#order = rendezvousOrder("configuration-readers", [...members]);
    for (const host of members) {
      if (!this.#memberSince.has(host)) this.#memberSince.set(host, now);
    }
    for (const states of this.#statesByHost()) {
      for (const host of states.keys()) {
        if (!members.has(host)) states.delete(host);
      }
    }
  }

  recordOwnRead(now: Milliseconds): void {
    this.#lastRead.set(this.#self, now);
  }

  applyNotice(
    from: HostId,
    { notice, now }: { notice: ConfigurationNotice; now: Milliseconds },
  ): void {
    this.#announced.set(from, {
      mark: notice.inForce,
      hostListVersion: notice.hostListVersion,
      heardAt: now,
    });
    for (const { host, ageMs } of notice.reads.slice(0, MAX_READS_PER_NOTICE)) {
      this.#mergeRead(host, now - Math.max(0, ageMs));
    }
  }

  /**
   * Ignores announcements of a host for a while, so that a version that nobody
   * can provide does not block fetching the newest available one.
   */
  distrust(host: HostId, now: Milliseconds): void {
    this.#distrustedUntil.set(host, now + DISTRUST_PERIOD_MS);
  }

  /**
   * Tells whether this host reads the platform: it does while fewer than {@link
   * PLATFORM_READERS} hosts of better rank have read recently. Lower ranks wait
   * longer, so that not all hosts read at once when the platform is down.
   */
  shouldRead(now: Milliseconds): boolean {
    const rank = this.#order.indexOf(this.#self);
    const lateness = Math.max(0, rank - PLATFORM_READERS + 1) * READ_STAGGER_MS;
    const since = now - READ_FRESHNESS_MS - lateness;
    const reading = this.#order.slice(0, rank).filter((host) =>
      this.#lastReadOrJoinedAt(host) >= since
    );
    return reading.length < PLATFORM_READERS;
  }

  /** Returns the recent reads of the best-ranked hosts, for a notice. */
  recentReads(now: Milliseconds): RecentRead[] {
    const reads: RecentRead[] = [];
    for (const host of this.#order) {
      const at = this.#lastRead.get(host);
      if (at === undefined || now - at > READ_FRESHNESS_MS) continue;
      reads.push({ host, ageMs: now - at });
      if (reads.length === MAX_READS_PER_NOTICE) break;
    }
    return reads;
  }

  /** Returns the version last announced by each peer. */
  announcedVersions(): ReadonlyMap<HostId, AnnouncedVersion> {
    return this.#announced;
  }

  /**
   * Returns the newest bundle announced by trusted peers and the hosts that
   * announced it.
   */
  newestAnnouncedBundle(
    now: Milliseconds,
  ): { mark: BundleIdentity; holders: HostId[] } | undefined {
    const trusted = this.#trustedAnnouncements(now);
    let mark: BundleIdentity | undefined;
    for (const [, announced] of trusted) {
      if (announced.mark !== undefined && shouldReplace(announced.mark, mark)) {
        mark = announced.mark;
      }
    }
    if (mark === undefined) return undefined;
    const { version, root } = mark;
    const holders = trusted.filter(([, announced]) =>
      announced.mark?.version === version && announced.mark.root === root
    );
    return { mark, holders: holders.map(([host]) => host) };
  }

  /**
   * Returns the newest host list version announced by trusted peers and the
   * hosts that announced it.
   */
  newestAnnouncedHostList(
    now: Milliseconds,
  ): { version: number; holders: HostId[] } {
    const trusted = this.#trustedAnnouncements(now);
    const version = trusted.reduce(
      (newest, [, announced]) => Math.max(newest, announced.hostListVersion),
      0,
    );
    const holders = trusted.filter(([, announced]) =>
      announced.hostListVersion === version
    );
    return { version, holders: holders.map(([host]) => host) };
  }

  #trustedAnnouncements(now: Milliseconds): [HostId, AnnouncedVersion][] {
    return [...this.#announced].filter(([host]) =>
      (this.#distrustedUntil.get(host) ?? 0) <= now
    );
  }

  #statesByHost(): Map<HostId, unknown>[] {
    return [
      this.#announced,
      this.#lastRead,
      this.#memberSince,
      this.#distrustedUntil,
    ];
  }

  #mergeRead(host: HostId, at: Milliseconds): void {
    if (!this.#memberSince.has(host) || host === this.#self) return;
    const known = this.#lastRead.get(host);
    if (known === undefined || at > known) this.#lastRead.set(host, at);
  }

  #lastReadOrJoinedAt(host: HostId): Milliseconds {
    return this.#lastRead.get(host) ?? this.#memberSince.get(host) ?? 0;
  }
}
