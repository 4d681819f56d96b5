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
import { HOST_LIST } from "./configurationController.ts";
import {
  HEARTBEAT,
  type Heartbeat,
  type Member,
  MEMBER_UPDATE,
  type MemberUpdate,
  type MemberUpdateMessage,
} from "./memberMessages.ts";
import {
  HEARTBEAT_PERIOD_MS,
  type MemberIdentity,
  Membership,
} from "./membership.ts";
import { sendMessage, subscribeMessage } from "./peerMessages.ts";

/** All known entry hosts, including this one. */
export const MEMBERS: Topic<readonly Member[]> = createTopic<readonly Member[]>(
  "members",
  [],
);
/**
 * Share of listed entry hosts that are reachable, 0 to 1, including this one.
 */
export const REACHABLE_SHARE: Topic<number> = createTopic("fleet-share", 1);

const TICK_MS = 250;
/** Peers that a change is sent to; each recipient forwards it once. */
const GOSSIP_FANOUT = 4;
/**
 * How long changes are also attached to heartbeats, for hosts that gossip
 * missed.
 */
const PIGGYBACK_MS = 2_000;
/** Maximum number of changes in one heartbeat. */
const MAX_PIGGYBACKED = 16;

/** Defines a small value that is piggybacked on heartbeats. */
export interface HeartbeatExtra {
  /** Key of the value; the same on every host. */
  readonly name: string;
  readonly read: () => unknown;
  /** Receives a peer's value and validates it. */
  readonly receive: (from: HostId, value: unknown) => void;
}

/** Dependencies of a {@link MembershipController}. */
export interface MembershipControllerOptions {
  readonly self: MemberIdentity;
  readonly blackboard: Blackboard;
  readonly link: PeerLink;
  readonly timer: Timer;
  readonly random: Random;
  readonly metrics: Metrics;
  readonly heartbeatExtras?: readonly HeartbeatExtra[];
  /** Logs a change of a member's state. */
  readonly log?: (change: MemberUpdate) => void;
}

/**
 * Exchanges heartbeats and publishes {@link MEMBERS} and {@link
 * REACHABLE_SHARE}.
 */
export class MembershipController extends Controller {
  readonly #options: MembershipControllerOptions;
  readonly #membership: Membership;
  readonly #extras: HeartbeatExtra[];
  readonly #subscriptions: (() => void)[] = [];
  readonly #timers: TimerSubscription[] = [];
  #recentChanges: {
    readonly change: MemberUpdate;
    readonly at: Milliseconds;
  }[] = [];
  #needsAllMembers = true;

  constructor(options: MembershipControllerOptions) {
    super();
    this.#options = options;
    this.#membership = new Membership(options);
    this.#extras = [...options.heartbeatExtras ?? []];
  }

  override start(): void {
    const { blackboard, link, timer, random } = this.#options;
    this.#subscriptions.push(
      subscribeMessage(
        link,
        HEARTBEAT,
        (from, body) => this.#onHeartbeat(from, body),
      ),
      subscribeMessage(
        link,
        MEMBER_UPDATE,
        (from, body) => this.#onUpdateMessage(from, body),
      ),
      blackboard.watch(HOST_LIST, () => this.#applyHostList()),
    );
    this.#applyHostList();
    this.#sendHeartbeats();
    const firstDelay = random.float() * HEARTBEAT_PERIOD_MS;
    this.#timers.push(
      timer.every(TICK_MS, () => this.#detectFailures()),
      timer.after(firstDelay, () => {
        this.#timers.push(
          timer.every(HEARTBEAT_PERIOD_MS, () => this.#sendHeartbeats()),
        );
        this.#sendHeartbeats();
      }),
    );
  }

  override stop(): void {
    for (const unsubscribe of this.#subscriptions.splice(0)) unsubscribe();
    for (const timer of this.#timers.splice(0)) timer.cancel();
  }

  /** Adds a value to every later heartbeat. */
  addExtra(extra: HeartbeatExtra): void {
    this.#extras.push(extra);
  }

  /** Announces to the peers whether this host is leaving. */
  setLeaving(isLeaving: boolean): void {
    this.#membership.setLeaving(isLeaving);
    this.#sendHeartbeats();
    this.#publish();
  }

  #applyHostList(): void {
    const { blackboard, timer } = this.#options;
    const list = blackboard.read(HOST_LIST);
    if (list !== undefined) this.#membership.setHostList(list, timer.now());
    this.#publish();
  }

  #sendHeartbeats(): void {
    const { regular, probes, removed } = this.#membership.nextTargets(
      this.#options.timer.now(),
    );
    this.#sendHeartbeat(regular, { isRegular: true });
    this.#sendHeartbeat(probes, { isRegular: false, isProbe: true });
    this.#sendHeartbeat(removed, { isRegular: false });
    this.#requestAllMembers();
  }

  #sendHeartbeat(
    targets: readonly HostId[],
    flags: Pick<Heartbeat, "isRegular" | "isProbe">,
  ): void {
    if (targets.length === 0) return;
    const body: Heartbeat = {
      sender: this.#membership.selfUpdate(),
      ...flags,
      news: this.#recentUpdates(),
      extras: Object.fromEntries(
        this.#extras.map(({ name, read }) => [name, read()]),
      ),
    };
    const message = { kind: HEARTBEAT.kind, body };
    for (const host of targets) this.#options.link.send(host, message);
  }

  /**
   * Requests all members once after the start, since a fleet without a full
   * mesh sends this host only a few heartbeats.
   */
  #requestAllMembers(): void {
    if (!this.#needsAllMembers || this.#membership.isFullMesh()) return;
    this.#needsAllMembers = false;
    const body = { news: [this.#membership.selfUpdate()], wantsAll: true };
    for (const to of this.#membership.pickGossipTargets(GOSSIP_FANOUT)) {
      sendMessage(this.#options.link, MEMBER_UPDATE, { to, body });
    }
  }

  #onHeartbeat(from: HostId, heartbeat: Heartbeat): void {
    if (from !== heartbeat.sender.host) return;
    const now = this.#options.timer.now();
    const failureReport = this.#membership.failureReportOf(from);
    const isChange = this.#membership.applyHeartbeat(heartbeat, now);
    if (isChange && failureReport !== undefined) {
      this.#requestRefutation(failureReport);
    }
    if (heartbeat.isProbe) {
      const isRegular = this.#membership.isRegularTarget(from);
      this.#membership.incrementSequence();
      this.#sendHeartbeat([from], { isRegular });
    }
    for (const { name, receive } of this.#extras) {
      const value = heartbeat.extras?.[name];
      if (value !== undefined) receive(from, value);
    }
    if (isChange) this.#onChanges([heartbeat.sender]);
    if (heartbeat.news !== undefined) this.#applyUpdates(heartbeat.news);
  }

  #onUpdateMessage(
    from: HostId,
    { news, wantsAll }: MemberUpdateMessage,
  ): void {
    this.#applyUpdates(news);
    if (!wantsAll) return;
    const body = { news: this.#membership.allUpdates() };
    sendMessage(this.#options.link, MEMBER_UPDATE, { to: from, body });
  }

  #applyUpdates(updates: readonly MemberUpdate[]): void {
    const changes = this.#membership.applyUpdates(
      updates,
      this.#options.timer.now(),
    );
    if (changes.length > 0) this.#onChanges(changes);
  }

  #recentUpdates(): MemberUpdate[] | undefined {
    const since = this.#options.timer.now() - PIGGYBACK_MS;
    this.#recentChanges = this.#recentChanges.filter(({ at }) => at > since);
    if (this.#recentChanges.length === 0) return undefined;
    return this.#recentChanges.slice(-MAX_PIGGYBACKED).map(({ change }) =>
      change
    );
  }

  /**
   * Sends a recovered host the report about it: other hosts believe it too, and
   * only its refutation reaches all of them.
   */
  #requestRefutation(report: MemberUpdate): void {
    if (this.#membership.isFullMesh()) return;
    const body = { news: [report] };
    sendMessage(this.#options.link, MEMBER_UPDATE, { to: report.host, body });
  }

  #detectFailures(): void {
    const changes = this.#membership.detectFailures(this.#options.timer.now());
    if (changes.length > 0) this.#onChanges(changes);
  }

  #onChanges(changes: readonly MemberUpdate[]): void {
    const { metrics, log } = this.#options;
    for (const change of changes) {
      metrics.count("member_changes", 1, { state: change.state });
      log?.(change);
    }
    this.#gossip(changes);
    this.#publish();
  }

  #gossip(changes: readonly MemberUpdate[]): void {
    if (this.#membership.isFullMesh()) return;
    const at = this.#options.timer.now();
    this.#recentChanges.push(...changes.map((change) => ({ change, at })));
    const message = { kind: MEMBER_UPDATE.kind, body: { news: changes } };
    for (const host of this.#membership.pickGossipTargets(GOSSIP_FANOUT)) {
      this.#options.link.send(host, message);
    }
  }

  #publish(): void {
    const { blackboard } = this.#options;
    blackboard.write(MEMBERS, this.#membership.members());
    blackboard.write(REACHABLE_SHARE, this.#membership.reachableShare());
  }
}
