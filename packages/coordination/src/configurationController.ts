import type {
  BundleSource,
  HostList,
  HostListSource,
  SignedBundle,
} from "@wasabivane/bundle";
import {
  type Blackboard,
  Controller,
  createTopic,
  type HostId,
  type Metrics,
  type Milliseconds,
  type PeerLink,
  type Random,
  type Timer,
  type TimerSubscription,
  type Topic,
} from "@wasabivane/common";
import type { Result } from "neverthrow";
import { ConfigurationDocuments } from "./configurationDocuments.ts";
import {
  ConfigurationFetcher,
  type LocalConfiguration,
} from "./configurationFetcher.ts";
import {
  CONFIGURATION_NOTICE,
  DOCUMENT_CHUNK,
  DOCUMENT_REQUEST,
} from "./configurationMessages.ts";
import {
  type BundleIdentity,
  bundleIdentityOf,
  compareBundles,
  ConfigurationGossip,
  type ConfigurationNotice,
  shouldReplace,
} from "./configurationGossip.ts";
import { sendMessage, subscribeMessage } from "./peerMessages.ts";
import { PlatformWatch } from "./platformWatch.ts";

const TICK_MS: Milliseconds = 100;
const NOTICE_PERIOD_MS: Milliseconds = 500;
/** Peers that receive each periodic notice. */
const NOTICE_FANOUT = 2;
/**
 * Peers that receive a notice right after a change; each of them forwards it.
 */
const CHANGE_FANOUT = 4;
/**
 * How long a starting host waits for its peers before it trusts the platform
 * alone.
 */
export const PEER_CONFIRMATION_WAIT_MS: Milliseconds = 1_000;
/** Wait while peers announce a newer bundle that has not been fetched yet. */
const NEWER_BUNDLE_WAIT_MS: Milliseconds = 4_000;

/** Version that a host has in force, as last announced. */
export interface HostVersion {
  readonly mark: BundleIdentity | undefined;
  readonly hostListVersion: number;
  /** Time of the announcement on this host's monotonic clock. */
  readonly heardAt: Milliseconds;
}

/** Bundle in force on this host. */
export const BUNDLE_IN_FORCE: Topic<SignedBundle | undefined> = createTopic<
  SignedBundle | undefined
>("bundle-in-force", undefined);
/** Version in force on each live host, including this one. */
export const BUNDLE_VERSIONS: Topic<ReadonlyMap<HostId, HostVersion>> =
  createTopic<ReadonlyMap<HostId, HostVersion>>("bundle-versions", new Map());
/** Newest known host list; its version only increases. */
export const HOST_LIST: Topic<HostList | undefined> = createTopic<
  HostList | undefined
>("host-list", undefined);

/** Fields of a member that the configuration controller uses. */
export interface ConfigurationMember {
  readonly host: HostId;
  readonly state: "alive" | "suspect" | "dead";
}

/** Dependencies of a {@link ConfigurationController}. */
export interface ConfigurationControllerOptions {
  readonly blackboard: Blackboard;
  readonly link: PeerLink;
  readonly timer: Timer;
  readonly random: Random;
  readonly metrics: Metrics;
  readonly members: Topic<readonly ConfigurationMember[]>;
  readonly bundleSource: BundleSource;
  readonly hostListSource: HostListSource;
  /**
   * Verifies the root and signatures of a bundle; an invalid bundle is never
   * used.
   */
  readonly verify: (
    signed: SignedBundle,
  ) => Result<SignedBundle, { readonly kind: string }>;
  /** Logs a change of the configuration state. */
  readonly log?: (change: ConfigurationChange) => void;
}

/** Change of the configuration state, for the log. */
export type ConfigurationChange =
  | { readonly kind: "in-force"; readonly mark: BundleIdentity }
  | {
    readonly kind: "rejected";
    readonly from: string;
    readonly reason: string;
  }
  | {
    readonly kind: "conflict";
    readonly kept: BundleIdentity;
    readonly dropped: BundleIdentity;
  };

/**
 * Puts the newest signed bundle and host list into force on this host. A few
 * hosts read the platform; the others receive updates from their peers.
 */
export class ConfigurationController extends Controller {
  readonly #options: ConfigurationControllerOptions;
  readonly #gossip: ConfigurationGossip;
  readonly #documents = new ConfigurationDocuments();
  readonly #fetches: ConfigurationFetcher;
  readonly #bundleWatch: PlatformWatch<SignedBundle>;
  readonly #hostListWatch: PlatformWatch<HostList>;
  readonly #subscriptions: (() => void)[] = [];
  readonly #startedAt: Milliseconds;
  readonly #knownConflicts = new Set<string>();
  #timers: TimerSubscription[] = [];
  #unconfirmed: SignedBundle | undefined;

  constructor(options: ConfigurationControllerOptions) {
    super();
    const { link, timer, random, metrics } = options;
    this.#options = options;
    this.#startedAt = timer.now();
    this.#gossip = new ConfigurationGossip(link.self, this.#startedAt);
    this.#fetches = new ConfigurationFetcher({
      link,
      timer,
      random,
      metrics,
      gossip: this.#gossip,
      documents: this.#documents,
      onBundle: (signed, from) => this.#onBundleFromPeer(signed, from),
      onHostList: (hostList) => this.#applyHostList(hostList),
    });
    const shared = {
      timer,
      random,
      metrics,
      onResponse: () => this.#gossip.recordOwnRead(timer.now()),
    };
    this.#bundleWatch = new PlatformWatch({
      ...shared,
      value: "bundle",
      read: (watch) => options.bundleSource.read(watch),
      onValue: (signed) => this.#onBundleFromPlatform(signed),
    });
    this.#hostListWatch = new PlatformWatch({
      ...shared,
      value: "host-list",
      onResponse: () => {},
      read: (watch) => options.hostListSource.read(watch),
      onValue: (hostList) => this.#applyHostList(hostList),
    });
  }

  override start(): void {
    const { blackboard, link, timer, members } = this.#options;
    this.#onMembers(blackboard.read(members));
    this.#subscriptions.push(
      blackboard.watch(members, (value) => this.#onMembers(value)),
      subscribeMessage(
        link,
        CONFIGURATION_NOTICE,
        (from, notice) => this.#onNotice(from, notice),
      ),
      subscribeMessage(
        link,
        DOCUMENT_REQUEST,
        (from, request) =>
          sendMessage(link, DOCUMENT_CHUNK, {
            to: from,
            body: this.#documents.chunk(request),
          }),
      ),
      subscribeMessage(
        link,
        DOCUMENT_CHUNK,
        (from, chunk) => this.#fetches.onChunk(from, chunk),
      ),
    );
    this.#timers = [
      timer.every(TICK_MS, () => this.#tick()),
      timer.every(NOTICE_PERIOD_MS, () => this.#sendNotices(NOTICE_FANOUT)),
    ];
    this.#sendNotices(CHANGE_FANOUT);
  }

  override stop(): void {
    for (const end of this.#subscriptions.splice(0)) end();
    for (const subscription of this.#timers.splice(0)) subscription.cancel();
  }

  get #inForce(): SignedBundle | undefined {
    return this.#options.blackboard.read(BUNDLE_IN_FORCE);
  }

  get #hostListVersion(): number {
    return this.#options.blackboard.read(HOST_LIST)?.version ?? 0;
  }

  #onMembers(members: readonly ConfigurationMember[]): void {
    const hosts = members.filter(({ state }) => state !== "dead");
    const now = this.#options.timer.now();
    this.#gossip.setMembers(hosts.map(({ host }) => host), now);
    this.#publishVersions();
  }

  #tick(): void {
    const now = this.#options.timer.now();
    this.#confirmUnconfirmed();
    this.#fetches.poll(this.#localConfiguration());
    // Peers can have a newer version than an outdated platform replica.
    if (
      this.#inForce === undefined &&
      this.#timeSinceStart(now) < PEER_CONFIRMATION_WAIT_MS
    ) return;
    if (!this.#gossip.shouldRead(now)) return;
    this.#bundleWatch.poll();
    this.#hostListWatch.poll();
  }

  #timeSinceStart(now: Milliseconds): Milliseconds {
    return now - this.#startedAt;
  }

  #localConfiguration(): LocalConfiguration {
    return { inForce: this.#inForce, hostListVersion: this.#hostListVersion };
  }

  #onNotice(from: HostId, notice: ConfigurationNotice): void {
    const now = this.#options.timer.now();
    this.#gossip.applyNotice(from, { notice, now });
    this.#publishVersions();
    if (this.#isPeerBehind(notice)) this.#sendNotice(from);
    this.#confirmUnconfirmed();
    this.#fetches.poll(this.#localConfiguration());
  }

  #isPeerBehind(notice: ConfigurationNotice): boolean {
    if (notice.hostListVersion < this.#hostListVersion) return true;
    const own = this.#inForce && bundleIdentityOf(this.#inForce);
    return own !== undefined && shouldReplace(own, notice.inForce);
  }

  #onBundleFromPlatform(signed: SignedBundle): void {
    const verified = this.#verify(signed, "service");
    if (verified === undefined) return;
    if (this.#inForce !== undefined) return this.#putInForce(verified);
    const isNewer = this.#unconfirmed === undefined ||
      shouldReplace(
        bundleIdentityOf(verified),
        bundleIdentityOf(this.#unconfirmed),
      );
    if (isNewer) this.#unconfirmed = verified;
    this.#confirmUnconfirmed();
  }

  /**
   * Puts the bundle read by a starting host into force once peers have
   * announced nothing newer, or after a time limit. This avoids serving an
   * outdated version from an outdated platform replica.
   */
  #confirmUnconfirmed(): void {
    const candidate = this.#unconfirmed;
    if (candidate === undefined) return;
    const announced = this.#gossip.newestAnnouncedBundle(
      this.#options.timer.now(),
    );
    const hasNewer = announced !== undefined &&
      shouldReplace(announced.mark, bundleIdentityOf(candidate));
    const isConfirmed = announced !== undefined && !hasNewer;
    const wait = hasNewer ? NEWER_BUNDLE_WAIT_MS : PEER_CONFIRMATION_WAIT_MS;
    const hasWaited = this.#timeSinceStart(this.#options.timer.now()) >= wait;
    if (!isConfirmed && !hasWaited) return;
    this.#unconfirmed = undefined;
    this.#putInForce(candidate);
  }

  #onBundleFromPeer(signed: SignedBundle, from: HostId): boolean {
    const verified = this.#verify(signed, from);
    if (verified !== undefined) this.#putInForce(verified);
    return verified !== undefined;
  }

  #verify(signed: SignedBundle, from: string): SignedBundle | undefined {
    const { metrics, verify, log } = this.#options;
    const verified = verify(signed);
    if (verified.isOk()) return verified.value;
    metrics.count("bundles_rejected", 1, { reason: verified.error.kind });
    log?.({ kind: "rejected", from, reason: verified.error.kind });
    return undefined;
  }

  #putInForce(signed: SignedBundle): void {
    const { blackboard, metrics, log } = this.#options;
    const offered = bundleIdentityOf(signed);
    const inForce = this.#inForce && bundleIdentityOf(this.#inForce);
    const order = compareBundles(offered, inForce);
    if (order === "older") metrics.count("bundles_stale");
    if (inForce !== undefined && order.startsWith("conflict")) {
      this.#reportConflict(offered, inForce);
    }
    if (!shouldReplace(offered, inForce)) return;
    this.#documents.setBundle(signed);
    blackboard.write(BUNDLE_IN_FORCE, signed);
    metrics.count("bundles_in_force");
    log?.({ kind: "in-force", mark: offered });
    this.#publishVersions();
    this.#sendNotices(CHANGE_FANOUT);
  }

  #reportConflict(offered: BundleIdentity, inForce: BundleIdentity): void {
    const key = [offered.root, inForce.root].sort().join(" ");
    this.#options.metrics.count("bundle_conflicts");
    if (this.#knownConflicts.has(key)) return;
    this.#knownConflicts.clear();
    this.#knownConflicts.add(key);
    const wins = shouldReplace(offered, inForce);
    const kept = wins ? offered : inForce;
    const dropped = wins ? inForce : offered;
    this.#options.log?.({ kind: "conflict", kept, dropped });
  }

  #applyHostList(hostList: HostList): void {
    if (hostList.version <= this.#hostListVersion) return;
    this.#documents.setHostList(hostList);
    this.#options.blackboard.write(HOST_LIST, hostList);
    this.#sendNotices(CHANGE_FANOUT);
  }

  #createNotice(): ConfigurationNotice {
    const signed = this.#inForce;
    return {
      ...(signed && { inForce: bundleIdentityOf(signed) }),
      hostListVersion: this.#hostListVersion,
      reads: this.#gossip.recentReads(this.#options.timer.now()),
    };
  }

  #sendNotice(peer: HostId): void {
    sendMessage(this.#options.link, CONFIGURATION_NOTICE, {
      to: peer,
      body: this.#createNotice(),
    });
  }

  #sendNotices(maximum: number): void {
    const peers = this.#gossip.peers;
    for (let sent = 0; sent < maximum && peers.length > 0; sent++) {
      const [peer] = peers.splice(this.#options.random.int(peers.length), 1);
      if (peer !== undefined) this.#sendNotice(peer);
    }
  }

  #publishVersions(): void {
    const { blackboard, link, timer } = this.#options;
    const versions = new Map<HostId, HostVersion>(
      this.#gossip.announcedVersions(),
    );
    versions.set(link.self, {
      mark: this.#inForce && bundleIdentityOf(this.#inForce),
      hostListVersion: this.#hostListVersion,
      heardAt: timer.now(),
    });
    blackboard.write(BUNDLE_VERSIONS, versions);
  }
}
