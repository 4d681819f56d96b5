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
/** Peers told per period; push and pull reach 8 hosts within two or three periods. */
const NOTICE_FANOUT = 2;
/** Peers told at once of a change; each of them tells as many on. */
const CHANGE_FANOUT = 4;
/** How long a fresh host hears out its peers before the service alone suffices. */
export const PEER_CONFIRMATION_WAIT_MS: Milliseconds = 1_000;
/** The same while peers name a newer bundle that they have not passed on yet. */
const OUTDONE_WAIT_MS: Milliseconds = 4_000;

/** A version that some host has in force, as last heard. */
export interface HostVersion {
  readonly mark: BundleIdentity | undefined;
  readonly hostListVersion: number;
  /** On this host's monotonic clock. */
  readonly heardAt: Milliseconds;
}

/** The bundle that this host serves under. */
export const BUNDLE_IN_FORCE: Topic<SignedBundle | undefined> = createTopic<
  SignedBundle | undefined
>("bundle-in-force", undefined);
/** What each live host has in force, this one included. */
export const BUNDLE_VERSIONS: Topic<ReadonlyMap<HostId, HostVersion>> =
  createTopic<ReadonlyMap<HostId, HostVersion>>("bundle-versions", new Map());
/** The newest host list known here; its version only grows. */
export const HOST_LIST: Topic<HostList | undefined> = createTopic<
  HostList | undefined
>("host-list", undefined);

/** What configuration needs to know of an entry host. */
export interface ConfigurationMember {
  readonly host: HostId;
  readonly state: "alive" | "suspect" | "dead";
}

/** What a {@link ConfigurationController} needs from its process. */
export interface ConfigurationControllerOptions {
  readonly blackboard: Blackboard;
  readonly link: PeerLink;
  readonly timer: Timer;
  readonly random: Random;
  readonly metrics: Metrics;
  readonly members: Topic<readonly ConfigurationMember[]>;
  readonly bundleSource: BundleSource;
  readonly hostListSource: HostListSource;
  /** Checks root and signatures; the only ground on which a bundle is taken. */
  readonly verify: (
    signed: SignedBundle,
  ) => Result<SignedBundle, { readonly kind: string }>;
  /** Called at each change of state worth a log line. */
  readonly log?: (change: ConfigurationChange) => void;
}

/** A change of state worth a log line. */
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
 * Brings the newest signed bundle and host list into force on this host: a few
 * hosts read the platform, all hosts hear it from each other.
 */
export class ConfigurationController extends Controller {
  readonly #options: ConfigurationControllerOptions;
  readonly #spread: ConfigurationGossip;
  readonly #documents = new ConfigurationDocuments();
  readonly #fetches: ConfigurationFetcher;
  readonly #bundleWatch: PlatformWatch<SignedBundle>;
  readonly #hostListWatch: PlatformWatch<HostList>;
  readonly #endings: (() => void)[] = [];
  readonly #startedAt: Milliseconds;
  readonly #knownConflicts = new Set<string>();
  #ticking: TimerSubscription[] = [];
  #unconfirmed: SignedBundle | undefined;

  constructor(options: ConfigurationControllerOptions) {
    super();
    const { link, timer, random, metrics } = options;
    this.#options = options;
    this.#startedAt = timer.now();
    this.#spread = new ConfigurationGossip(link.self, this.#startedAt);
    this.#fetches = new ConfigurationFetcher({
      link,
      timer,
      random,
      metrics,
      gossip: this.#spread,
      documents: this.#documents,
      onBundle: (signed, from) => this.#onBundleFetched(signed, from),
      onHostList: (hostList) => this.#takeHostList(hostList),
    });
    const shared = {
      timer,
      random,
      metrics,
      onResponse: () => this.#spread.recordOwnRead(timer.now()),
    };
    this.#bundleWatch = new PlatformWatch({
      ...shared,
      value: "bundle",
      read: (watch) => options.bundleSource.read(watch),
      onValue: (signed) => this.#onBundleRead(signed),
    });
    this.#hostListWatch = new PlatformWatch({
      ...shared,
      value: "host-list",
      onResponse: () => {},
      read: (watch) => options.hostListSource.read(watch),
      onValue: (hostList) => this.#takeHostList(hostList),
    });
  }

  override start(): void {
    const { blackboard, link, timer, members } = this.#options;
    this.#onMembers(blackboard.read(members));
    this.#endings.push(
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
    this.#ticking = [
      timer.every(TICK_MS, () => this.#tick()),
      timer.every(NOTICE_PERIOD_MS, () => this.#tellSome(NOTICE_FANOUT)),
    ];
    this.#tellSome(CHANGE_FANOUT);
  }

  override stop(): void {
    for (const end of this.#endings.splice(0)) end();
    for (const subscription of this.#ticking.splice(0)) subscription.cancel();
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
    this.#spread.setMembers(hosts.map(({ host }) => host), now);
    this.#publishVersions();
  }

  #tick(): void {
    const now = this.#options.timer.now();
    this.#confirm();
    this.#fetches.poll(this.#known());
    // A fresh host asks its peers first; they may know more than a stale service.
    if (
      this.#inForce === undefined && this.#age(now) < PEER_CONFIRMATION_WAIT_MS
    ) return;
    if (!this.#spread.shouldRead(now)) return;
    this.#bundleWatch.poll();
    this.#hostListWatch.poll();
  }

  #age(now: Milliseconds): Milliseconds {
    return now - this.#startedAt;
  }

  #known(): LocalConfiguration {
    return { inForce: this.#inForce, hostListVersion: this.#hostListVersion };
  }

  #onNotice(from: HostId, notice: ConfigurationNotice): void {
    const now = this.#options.timer.now();
    this.#spread.applyNotice(from, { notice, now });
    this.#publishVersions();
    if (this.#isBehind(notice)) this.#tell(from);
    this.#confirm();
    this.#fetches.poll(this.#known());
  }

  #isBehind(notice: ConfigurationNotice): boolean {
    if (notice.hostListVersion < this.#hostListVersion) return true;
    const own = this.#inForce && bundleIdentityOf(this.#inForce);
    return own !== undefined && shouldReplace(own, notice.inForce);
  }

  #onBundleRead(signed: SignedBundle): void {
    const verified = this.#verify(signed, "service");
    if (verified === undefined) return;
    if (this.#inForce !== undefined) return this.#take(verified);
    const isNewer = this.#unconfirmed === undefined ||
      shouldReplace(
        bundleIdentityOf(verified),
        bundleIdentityOf(this.#unconfirmed),
      );
    if (isNewer) this.#unconfirmed = verified;
    this.#confirm();
  }

  /**
   * A fresh host must not serve an old version that a stale service names while
   * its peers have a newer one in force. It waits until peers have answered and
   * name nothing newer, or until they have had their time.
   */
  #confirm(): void {
    const candidate = this.#unconfirmed;
    if (candidate === undefined) return;
    const heard = this.#spread.newestAnnouncedBundle(this.#options.timer.now());
    const isOutdone = heard !== undefined &&
      shouldReplace(heard.mark, bundleIdentityOf(candidate));
    const isConfirmed = heard !== undefined && !isOutdone;
    const wait = isOutdone ? OUTDONE_WAIT_MS : PEER_CONFIRMATION_WAIT_MS;
    const hasWaited = this.#age(this.#options.timer.now()) >= wait;
    if (!isConfirmed && !hasWaited) return;
    this.#unconfirmed = undefined;
    this.#take(candidate);
  }

  #onBundleFetched(signed: SignedBundle, from: HostId): boolean {
    const verified = this.#verify(signed, from);
    if (verified !== undefined) this.#take(verified);
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

  #take(signed: SignedBundle): void {
    const { blackboard, metrics, log } = this.#options;
    const offered = bundleIdentityOf(signed);
    const inForce = this.#inForce && bundleIdentityOf(this.#inForce);
    const order = compareBundles(offered, inForce);
    if (order === "older") metrics.count("bundles_stale");
    if (inForce !== undefined && order.startsWith("conflict")) {
      this.#alarm(offered, inForce);
    }
    if (!shouldReplace(offered, inForce)) return;
    this.#documents.setBundle(signed);
    blackboard.write(BUNDLE_IN_FORCE, signed);
    metrics.count("bundles_in_force");
    log?.({ kind: "in-force", mark: offered });
    this.#publishVersions();
    this.#tellSome(CHANGE_FANOUT);
  }

  #alarm(offered: BundleIdentity, inForce: BundleIdentity): void {
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

  #takeHostList(hostList: HostList): void {
    if (hostList.version <= this.#hostListVersion) return;
    this.#documents.setHostList(hostList);
    this.#options.blackboard.write(HOST_LIST, hostList);
    this.#tellSome(CHANGE_FANOUT);
  }

  #notice(): ConfigurationNotice {
    const signed = this.#inForce;
    return {
      ...(signed && { inForce: bundleIdentityOf(signed) }),
      hostListVersion: this.#hostListVersion,
      reads: this.#spread.recentReads(this.#options.timer.now()),
    };
  }

  #tell(peer: HostId): void {
    sendMessage(this.#options.link, CONFIGURATION_NOTICE, {
      to: peer,
      body: this.#notice(),
    });
  }

  #tellSome(maximum: number): void {
    const peers = this.#spread.peers;
    for (let told = 0; told < maximum && peers.length > 0; told++) {
      const [peer] = peers.splice(this.#options.random.int(peers.length), 1);
      if (peer !== undefined) this.#tell(peer);
    }
  }

  #publishVersions(): void {
    const { blackboard, link, timer } = this.#options;
    const versions = new Map<HostId, HostVersion>(
      this.#spread.announcedVersions(),
    );
    versions.set(link.self, {
      mark: this.#inForce && bundleIdentityOf(this.#inForce),
      hostListVersion: this.#hostListVersion,
      heardAt: timer.now(),
    });
    blackboard.write(BUNDLE_VERSIONS, versions);
  }
}
