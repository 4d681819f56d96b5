import type { SignedBundle } from "@wasabivane/bundle";
import {
  type BundleVersion,
  type Digest,
  type HostId,
  type Milliseconds,
  rendezvousOrder,
} from "@wasabivane/common";

/**
 * Which hosts read the platform and what each one has heard of the others.
 *
 * Load pattern: a rare change that every host needs within seconds, read from a
 * service that counts each call. Without it each host would keep its own watch,
 * so the reads would grow with the fleet, and a host that cannot read would
 * keep the old version. Two readers survive the loss of one; a read counts as
 * fresh for three waits, so that one lost answer wakes nobody else; the stagger
 * is several one-way times, so that the next host is heard before another one
 * joins it.
 */
export const PLATFORM_READERS = 2;
/** Longest wait of one watch; a watch that ended proves that the service answers. */
export const LONG_POLL_WAIT_MS: Milliseconds = 1_000;
/** A host that read within this time is taken for a reader. */
export const READ_FRESHNESS_MS: Milliseconds = 3_000;
/** Each further host by rank waits so much longer before it reads, too. */
export const READ_STAGGER_MS: Milliseconds = 250;
/** A host that could not prove its claim is not asked for so long. */
export const DISTRUST_PERIOD_MS: Milliseconds = 10_000;
/** Reads that a notice tells of. */
export const MAX_READS_PER_NOTICE = 2;

/** What identifies one bundle; roots differ when one version was signed twice. */
export interface BundleIdentity {
  readonly version: BundleVersion;
  readonly root: Digest;
}

/** The version and root of a signed bundle. */
export function bundleIdentityOf(signed: SignedBundle): BundleIdentity {
  return { version: signed.bundle.version, root: signed.root };
}

/** How long ago a host's read of the platform succeeded. */
export interface RecentRead {
  readonly host: HostId;
  readonly ageMs: Milliseconds;
}

/** What one host tells another about configuration, at each change and each second. */
export interface ConfigurationNotice {
  /** Absent while nothing is in force. */
  readonly inForce?: BundleIdentity;
  /** 0 while no list is known. */
  readonly hostListVersion: number;
  readonly reads: readonly RecentRead[];
}

/** The last that was heard of a host. */
export interface AnnouncedVersion {
  readonly mark: BundleIdentity | undefined;
  readonly hostListVersion: number;
  readonly heardAt: Milliseconds;
}

/** How an offered bundle relates to the one in force. */
export type BundleOrder =
  | "newer"
  | "same"
  | "older"
  /** Same version, other content, and the offered one wins. */
  | "conflict-wins"
  /** Same version, other content, and the one in force stays. */
  | "conflict-loses";

/**
 * Compares an offered bundle with the one in force. Versions only grow. Two
 * valid bundles with one version are an operator's mistake; every host takes
 * the one with the lower root, whatever order they came in, so that the fleet
 * agrees and settles.
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

/** Whether an offered bundle replaces the one in force. */
export function shouldReplace(
  offered: BundleIdentity,
  inForce: BundleIdentity | undefined,
): boolean {
  const order = compareBundles(offered, inForce);
  return order === "newer" || order === "conflict-wins";
}

/** Keeps who read last and who told which version; no timers and no messages. */
export class ConfigurationGossip {
  readonly #self: HostId;
  readonly #heard = new Map<HostId, AnnouncedVersion>();
  readonly #lastRead = new Map<HostId, Milliseconds>();
  readonly #memberSince = new Map<HostId, Milliseconds>();
  readonly #distrustedUntil = new Map<HostId, Milliseconds>();
  #order: readonly HostId[];

  constructor(self: HostId, now: Milliseconds) {
    this.#self = self;
    this.#order = [self];
    this.#memberSince.set(self, now);
  }

  /** Peers that may be told and asked. */
  get peers(): HostId[] {
    return this.#order.filter((host) => host !== this.#self);
  }

  /** Replaces the live hosts; what was heard of hosts that went is forgotten. */
  setMembers(hosts: readonly HostId[], now: Milliseconds): void {
    const members = new Set([this.#self, ...hosts]);
    this.#order = rendezvousOrder("configuration-readers", [...members]);
    for (const host of members) {
      if (!this.#memberSince.has(host)) this.#memberSince.set(host, now);
    }
    for (const known of this.#memories()) {
      for (const host of known.keys()) {
        if (!members.has(host)) known.delete(host);
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
    this.#heard.set(from, {
      mark: notice.inForce,
      hostListVersion: notice.hostListVersion,
      heardAt: now,
    });
    for (const { host, ageMs } of notice.reads.slice(0, MAX_READS_PER_NOTICE)) {
      this.#mergeRead(host, now - Math.max(0, ageMs));
    }
  }

  /**
   * Ignores what a host claims for a while, after it could not prove it. Else a
   * host that names a bundle which nobody has would keep all others from
   * fetching the newest one that exists.
   */
  distrust(host: HostId, now: Milliseconds): void {
    this.#distrustedUntil.set(host, now + DISTRUST_PERIOD_MS);
  }

  /**
   * Whether this host reads: while fewer than {@link PLATFORM_READERS} hosts before it
   * by rank are known to have read lately. Hosts further back wait longer, so
   * that a service that is down for all is not asked by all at once.
   */
  shouldRead(now: Milliseconds): boolean {
    const rank = this.#order.indexOf(this.#self);
    const lateness = Math.max(0, rank - PLATFORM_READERS + 1) * READ_STAGGER_MS;
    const since = now - READ_FRESHNESS_MS - lateness;
    const reading = this.#order.slice(0, rank).filter((host) =>
      this.#readOrJoinedAt(host) >= since
    );
    return reading.length < PLATFORM_READERS;
  }

  /** The freshest reads by the hosts of best rank, for a notice. */
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

  /** What each peer last told. */
  announcedVersions(): ReadonlyMap<HostId, AnnouncedVersion> {
    return this.#heard;
  }

  /** The newest bundle that trusted peers claim to have, with those who claim it. */
  newestAnnouncedBundle(
    now: Milliseconds,
  ): { mark: BundleIdentity; holders: HostId[] } | undefined {
    const trusted = this.#trusted(now);
    let mark: BundleIdentity | undefined;
    for (const [, heard] of trusted) {
      if (heard.mark !== undefined && shouldReplace(heard.mark, mark)) {
        mark = heard.mark;
      }
    }
    if (mark === undefined) return undefined;
    const { version, root } = mark;
    const holders = trusted.filter(([, heard]) =>
      heard.mark?.version === version && heard.mark.root === root
    );
    return { mark, holders: holders.map(([host]) => host) };
  }

  /** The newest host list that trusted peers claim to have, with those who claim it. */
  newestAnnouncedHostList(
    now: Milliseconds,
  ): { version: number; holders: HostId[] } {
    const trusted = this.#trusted(now);
    const version = trusted.reduce(
      (newest, [, heard]) => Math.max(newest, heard.hostListVersion),
      0,
    );
    const holders = trusted.filter(([, heard]) =>
      heard.hostListVersion === version
    );
    return { version, holders: holders.map(([host]) => host) };
  }

  #trusted(now: Milliseconds): [HostId, AnnouncedVersion][] {
    return [...this.#heard].filter(([host]) =>
      (this.#distrustedUntil.get(host) ?? 0) <= now
    );
  }

  #memories(): Map<HostId, unknown>[] {
    return [
      this.#heard,
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

  #readOrJoinedAt(host: HostId): Milliseconds {
    return this.#lastRead.get(host) ?? this.#memberSince.get(host) ?? 0;
  }
}
