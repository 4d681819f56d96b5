import type {
  Address,
  HostId,
  Incarnation,
  Milliseconds,
  UpstreamId,
} from "@wasabivane/common";
import type {
  Completion,
  Crash,
  PartCompletion,
  PartConviction,
  PartCrash,
} from "@wasabivane/admission";
import { CrashGossip } from "./crashGossip.ts";
import { PartCrashGossip } from "./partCrashGossip.ts";
import type { GatewayContext } from "./gatewayContext.ts";
import type { SnapshotVersions } from "./operatorEndpoints.ts";
import type { PeerChange, PeerDirectory } from "./peerDirectory.ts";
import type {
  GossipMessage,
  PeerRecord,
  UpstreamListChange,
} from "./gossipMessage.ts";

/**
 * Random peers that each message is sent to. An update that each host forwards
 * once reaches 98 in 100 hosts.
 */
const FANOUT = 4;
/**
 * Minimum interval between messages with updates; later updates are batched.
 */
const UPDATE_INTERVAL_MS: Milliseconds = 25;
/** Interval of heartbeats, which also repeat updates that were lost. */
const HEARTBEAT_MS: Milliseconds = 250;
/**
 * Fleet size above which heartbeats become rarer, to bound the traffic per
 * host.
 */
const HOSTS_AT_FULL_RATE = 32;
/**
 * Time after the start in which heartbeats keep the full rate, to discover
 * peers.
 */
const DISCOVERY_MS: Milliseconds = 5_000;
/** How long an update is repeated. */
const UPDATE_LIFETIME_MS: Milliseconds = 3_000;
/**
 * Entries of one kind in a message, so that a datagram fits into one packet.
 */
const MAXIMUM_ROWS = 24;
/** Time for which peers may have a host passed over. */
const MAXIMUM_SKIP_MS: Milliseconds = 5_000;
/** Changed upstreams in a message; for larger changes, peers fetch the list. */
const MAXIMUM_CHANGED_UPSTREAMS = 6;
/** Peer records in a heartbeat. */
const HEARTBEAT_RECORDS = 8;
/**
 * A sender that knows a smaller share of this host's peers is sent a reply with
 * records.
 */
const MINIMUM_KNOWN_SHARE = 0.8;
/** Peer records in that reply. */
const DISCOVERY_RECORDS = 12;
/** A confirmation newer than the last one sent by this much is sent at once. */
const CONFIRMATION_STEP_MS: Milliseconds = 400;
/**
 * Upper bound for the time in transit of a sender's fastest message, added to
 * the age of confirmations.
 */
const FASTEST_TRANSIT_MS: Milliseconds = 20;

interface Update<Value> {
  readonly value: Value;
  readonly until: Milliseconds;
}

/** Options of a {@link GossipProtocol}. */
export interface GossipProtocolOptions {
  readonly context: GatewayContext;
  readonly peers: PeerDirectory;
  readonly incarnation: Incarnation;
  /** `ip:port` of this host's peer port. */
  readonly address: Address;
  readonly startedAt: Milliseconds;
  /** Processor cores available to this host. */
  readonly cores: number;
  readonly send: (message: GossipMessage, targets: readonly Address[]) => void;
  /** Called with the versions of a peer that has a newer policy. */
  readonly onNewerPolicy: (peer: HostId, versions: SnapshotVersions) => void;
  /** Called with the store revision up to which a peer knows all upstreams. */
  readonly onListRevision: (peer: HostId, listRevision: number) => void;
  /** Called with a change that follows on this host's list revision. */
  readonly onListChange: (change: UpstreamListChange) => void;
  readonly onUpstreamLeaving: (upstream: UpstreamId) => void;
  /** Called when a peer reports an unresponsive host. */
  readonly onUnresponsiveHost: (host: HostId, until: Milliseconds) => void;
  /** Returns the store revision up to which this host knows all upstreams. */
  readonly listRevision: () => number;
  /** Returns whether this host can read the store. */
  readonly isStoreReachable: () => boolean;
}

/**
 * Spreads updates among hosts by gossip.
 *
 * Each message goes to a few random peers, which forward new updates once:
 * updates reach all hosts in a few rounds, at a cost per host that does not
 * grow with the fleet. Periodic heartbeats repair lost messages.
 */
export class GossipProtocol {
  readonly #options: GossipProtocolOptions;
  #sequence = 0;
  #sentAt: Milliseconds = -Infinity;
  #heartbeatAt: Milliseconds = -Infinity;
  #hasUpdates = false;
  #isScheduled = false;
  #isClosed = false;
  #leavingUpstreams: Update<UpstreamId>[] = [];
  readonly #crashGossip: CrashGossip;
  readonly #partCrashGossip: PartCrashGossip;
  #listChanges: Update<UpstreamListChange>[] = [];
  readonly #unresponsiveHosts = new Map<HostId, Milliseconds>();
  #confirmedAt: Milliseconds = -Infinity;

  constructor(options: GossipProtocolOptions) {
    this.#options = options;
    this.#crashGossip = new CrashGossip({
      crashes: options.context.crashes,
      onUpdate: () => this.scheduleMessage(),
      onCrash: (upstream) => options.context.crashChecks.confirm(upstream),
    });
    this.#partCrashGossip = new PartCrashGossip({
      detector: options.context.partCrashes,
      onUpdate: () => this.scheduleMessage(),
    });
  }

  /** Schedules a message to peers after a change on this host. */
  scheduleMessage(): void {
    this.#hasUpdates = true;
    this.#schedule();
  }

  /**
   * Announces that an upstream is leaving, for hosts that cannot read the
   * store.
   */
  announceLeaving(upstream: UpstreamId): void {
    this.#leavingUpstreams.push(this.#createUpdate(upstream));
    this.scheduleMessage();
  }

  /** Announces that a request has crashed an upstream. */
  announceCrash(crash: Crash): void {
    this.#crashGossip.announceCrash(crash, this.#options.context.timer.now());
  }

  /** Announces that a request does not crash its upstream. */
  announceCompletion(completion: Completion): void {
    const now = this.#options.context.timer.now();
    this.#crashGossip.announceCompletion(completion, now);
  }

  /** Announces that requests with some prompt parts have crashed an upstream. */
  announcePartCrash(crash: PartCrash): void {
    this.#partCrashGossip.announceCrash(crash);
  }

  /** Announces that a prompt part does not crash its upstream. */
  announcePartCompletion(completion: PartCompletion): void {
    this.#partCrashGossip.announceCompletion(completion);
  }

  /** Announces that requests with some prompt parts are refused. */
  announcePartConviction(conviction: PartConviction): void {
    this.#partCrashGossip.announceConviction(conviction);
  }

  /** Announces a change of the upstream list. */
  announceListChange(change: UpstreamListChange): void {
    if (
      change.upstreams.length + change.removed.length >
        MAXIMUM_CHANGED_UPSTREAMS
    ) {
      return this.scheduleMessage();
    }
    this.#listChanges.push(this.#createUpdate(change));
    this.scheduleMessage();
  }

  /**
   * Announces an unresponsive host that is skipped until a time. Repeated
   * reports are ignored, since many hosts notice the same one at once.
   */
  announceUnresponsive(host: HostId, until: Milliseconds): void {
    if (this.#unresponsiveHosts.has(host)) return;
    this.#unresponsiveHosts.set(host, until);
    this.scheduleMessage();
  }

  /** Stops sending messages. */
  close(): void {
    this.#isClosed = true;
  }

  /**
   * Sends a heartbeat if one is due, and returns which peers were found and
   * lost.
   */
  tick(): PeerChange[] {
    const { context, peers } = this.#options;
    const now = context.timer.now();
    this.#checkConfirmation(now);
    if (now - this.#heartbeatAt >= this.#heartbeatInterval()) {
      this.#heartbeatAt = now;
      this.#send(now, HEARTBEAT_RECORDS);
    }
    return peers.takeChanges(now);
  }

  /** Processes a peer's message. */
  receive(message: GossipMessage): void {
    const { context, peers } = this.#options;
    const { sender } = message;
    const now = context.timer.now();
    if (!peers.recordMessage(sender, message.sequence, now)) return;
    const transit = peers.transitOf(sender.host);
    for (const record of message.peerRecords) peers.mergeRecord(record, now);
    const isDiscovering =
      message.peerCount < MINIMUM_KNOWN_SHARE * peers.aliveCount;
    if (isDiscovering) this.#sendPeerRecords(sender.address, now);
    this.#applyReports(message, now);
    this.#applyVersions(message, transit);
  }

  #applyReports(
    { leavingUpstreams, unresponsiveHosts, ...rows }: GossipMessage,
    now: Milliseconds,
  ): void {
    const {
      context: { directory },
      peers,
      onUpstreamLeaving,
      onUnresponsiveHost,
    } = this.#options;
    for (const upstream of leavingUpstreams) {
      if (directory.findListed(upstream) !== undefined) {
        onUpstreamLeaving(upstream);
      }
    }
    this.#crashGossip.apply(rows, now);
    this.#partCrashGossip.apply(rows, now);
    for (const [host, span] of unresponsiveHosts) {
      const isKnown = peers.addressOf(host) !== undefined;
      if (!isKnown || this.#unresponsiveHosts.has(host)) continue;
      const until = now + Math.min(MAXIMUM_SKIP_MS, span);
      onUnresponsiveHost(host, until);
      this.announceUnresponsive(host, until);
    }
  }

  /**
   * Adopts the peer's confirmation only when this host has the same policy and
   * list: with an outdated list it would keep sending to upstreams that have
   * left. A message of unknown delay confirms nothing, since its confirmation
   * could be passed on and look younger with each host.
   */
  #applyVersions(
    { sender, policyVersion, confirmationAge, ...message }: GossipMessage,
    transit: Milliseconds | undefined,
  ): void {
    const {
      context,
      onNewerPolicy,
      onListRevision,
      onListChange,
    } = this.#options;
    const { policies, elapsed } = context;
    for (const change of message.listChanges) {
      const known = this.#options.listRevision();
      if (change.from <= known && known < change.to) onListChange(change);
    }
    if (policyVersion > policies.version) {
      const { listRevision } = message;
      onNewerPolicy(sender.host, { policyVersion, listRevision });
    }
    onListRevision(sender.host, message.listRevision);
    if (policyVersion !== policies.version) return;
    policies.advanceRevision(message.policyRevision);
    const hasSameList = message.listRevision === this.#options.listRevision();
    if (!hasSameList || confirmationAge === undefined) return;
    if (transit === undefined) return;
    const age = confirmationAge + transit + FASTEST_TRANSIT_MS;
    policies.freshness.confirm(elapsed.now() - age);
    this.#checkConfirmation(context.timer.now());
  }

  #checkConfirmation(now: Milliseconds): void {
    const { policies, elapsed } = this.#options.context;
    const confirmedAt = now - policies.freshness.age(elapsed.now());
    if (confirmedAt < this.#confirmedAt + CONFIRMATION_STEP_MS) return;
    this.#confirmedAt = confirmedAt;
    this.scheduleMessage();
  }

  #createUpdate<Value>(value: Value): Update<Value> {
    return {
      value,
      until: this.#options.context.timer.now() + UPDATE_LIFETIME_MS,
    };
  }

  #schedule(): void {
    if (this.#isScheduled || this.#isClosed) return;
    this.#isScheduled = true;
    const { timer } = this.#options.context;
    const wait = Math.max(0, this.#sentAt + UPDATE_INTERVAL_MS - timer.now());
    timer.after(wait, () => {
      this.#isScheduled = false;
      if (this.#hasUpdates) this.#send(timer.now(), 0);
    });
  }

  #heartbeatInterval(): Milliseconds {
    const { peers, context, startedAt } = this.#options;
    if (context.timer.now() - startedAt < DISCOVERY_MS) return HEARTBEAT_MS;
    const hosts = peers.aliveCount + 1;
    return HEARTBEAT_MS * Math.max(1, hosts / HOSTS_AT_FULL_RATE);
  }

  #send(now: Milliseconds, recordCount: number): void {
    if (this.#isClosed) return;
    const { peers, send, context: { random } } = this.#options;
    this.#sentAt = now;
    this.#hasUpdates = false;
    const targets = peers.drawTargets({ count: FANOUT, random, now });
    if (targets.length > 0) {
      send(this.#createMessage(now, recordCount), targets);
    }
  }

  /** Sends peer records to a host that knows few peers. */
  #sendPeerRecords(address: Address, now: Milliseconds): void {
    this.#options.send(this.#createMessage(now, DISCOVERY_RECORDS), [address]);
  }

  #createMessage(now: Milliseconds, recordCount: number): GossipMessage {
    const { context, peers, listRevision } = this.#options;
    const { policies, elapsed } = context;
    const confirmationAge = policies.freshness.age(elapsed.now());
    this.#expireUpdates(now);
    return {
      sender: this.#createOwnRecord(now),
      sequence: ++this.#sequence,
      policyVersion: policies.version,
      policyRevision: policies.revision,
      listRevision: listRevision(),
      confirmationAge: Number.isFinite(confirmationAge)
        ? confirmationAge
        : undefined,
      leavingUpstreams: this.#leavingUpstreams.slice(-MAXIMUM_ROWS).map((
        { value },
      ) => value),
      ...this.#crashGossip.createRows(now, recordCount > 0),
      ...this.#partCrashGossip.createRows(recordCount > 0),
      listChanges: this.#latestChanges(),
      unresponsiveHosts: [...this.#unresponsiveHosts].slice(-MAXIMUM_ROWS)
        .map(([host, until]) => [host, until - now]),
      peerCount: peers.aliveCount,
      peerRecords: peers.takeRecords(recordCount, now),
    };
  }

  #createOwnRecord(now: Milliseconds): PeerRecord {
    const {
      context,
      incarnation,
      address,
      startedAt,
      cores,
      isStoreReachable,
    } = this.#options;
    return {
      host: context.host,
      incarnation,
      address,
      failureDomain: context.failureDomain,
      age: now - startedAt,
      timeSinceHeard: 0,
      isLeaving: context.isStopping(),
      isStoreReachable: isStoreReachable(),
      cores,
    };
  }

  /** Returns the latest changes that fit into a message, oldest first. */
  #latestChanges(): UpstreamListChange[] {
    const newest: UpstreamListChange[] = [];
    let count = 0;
    for (const { value } of this.#listChanges.toReversed()) {
      count += value.upstreams.length + value.removed.length;
      if (count > MAXIMUM_CHANGED_UPSTREAMS) break;
      newest.unshift(value);
    }
    return newest;
  }

  #expireUpdates(now: Milliseconds): void {
    const isCurrent = ({ until }: { until: Milliseconds }): boolean =>
      until > now;
    this.#leavingUpstreams = this.#leavingUpstreams.filter(isCurrent);
    this.#listChanges = this.#listChanges.filter(isCurrent);
    for (const [host, until] of this.#unresponsiveHosts) {
      if (until <= now) this.#unresponsiveHosts.delete(host);
    }
  }
}
