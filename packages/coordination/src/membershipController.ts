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

/** Every entry host known here, this one included. */
export const MEMBERS: Topic<readonly Member[]> = createTopic<readonly Member[]>(
  "members",
  [],
);
/** Share of the listed entry hosts that answer, 0 to 1, this one included. */
export const REACHABLE_SHARE: Topic<number> = createTopic("fleet-share", 1);

const TICK_MS = 250;
/** Peers that get a change at once; each passes it on once, so that it reaches all in a few steps. */
const NEWS_FANOUT = 4;
/** How long changes travel with heartbeats too: the first telling misses about one host in fifty. */
const RECENT_MS = 2_000;
/** Bound on changes in one heartbeat. */
const MAX_RECENT = 16;

/** A small value that travels with heartbeats. */
export interface HeartbeatExtra {
  /** Names it among the extras; the same on every host. */
  readonly name: string;
  readonly read: () => unknown;
  /** Takes the value of a peer; checks its shape itself. */
  readonly receive: (from: HostId, value: unknown) => void;
}

/** What a {@link MembershipController} needs from its process. */
export interface MembershipControllerOptions {
  readonly self: MemberIdentity;
  readonly blackboard: Blackboard;
  readonly link: PeerLink;
  readonly timer: Timer;
  readonly random: Random;
  readonly metrics: Metrics;
  readonly heartbeatExtras?: readonly HeartbeatExtra[];
  /** Called at each change of a member's state worth a log line. */
  readonly log?: (change: MemberUpdate) => void;
}

/** Exchanges heartbeats and writes {@link MEMBERS} and {@link REACHABLE_SHARE}. */
export class MembershipController extends Controller {
  readonly #options: MembershipControllerOptions;
  readonly #membership: Membership;
  readonly #extras: HeartbeatExtra[];
  readonly #subscriptions: (() => void)[] = [];
  readonly #timers: TimerSubscription[] = [];
  #recent: { readonly news: MemberUpdate; readonly at: Milliseconds }[] = [];
  #isFresh = true;

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
        (from, body) => this.#onNews(from, body),
      ),
      blackboard.watch(HOST_LIST, () => this.#adoptList()),
    );
    this.#adoptList();
    this.#beat();
    const firstBeat = random.float() * HEARTBEAT_PERIOD_MS;
    this.#timers.push(
      timer.every(TICK_MS, () => this.#tick()),
      timer.after(firstBeat, () => {
        this.#timers.push(timer.every(HEARTBEAT_PERIOD_MS, () => this.#beat()));
        this.#beat();
      }),
    );
  }

  override stop(): void {
    for (const unsubscribe of this.#subscriptions.splice(0)) unsubscribe();
    for (const timer of this.#timers.splice(0)) timer.cancel();
  }

  /** Adds a value that travels with every heartbeat from now on. */
  addExtra(extra: HeartbeatExtra): void {
    this.#extras.push(extra);
  }

  /** Tells the peers that this host is about to stop. */
  setLeaving(isLeaving: boolean): void {
    this.#membership.setLeaving(isLeaving);
    this.#beat();
    this.#publish();
  }

  #adoptList(): void {
    const { blackboard, timer } = this.#options;
    const list = blackboard.read(HOST_LIST);
    if (list !== undefined) this.#membership.setHostList(list, timer.now());
    this.#publish();
  }

  #beat(): void {
    const { regular, probes, ended } = this.#membership.nextTargets(
      this.#options.timer.now(),
    );
    this.#sendHeartbeat(regular, { isRegular: true });
    this.#sendHeartbeat(probes, { isRegular: false, isProbe: true });
    this.#sendHeartbeat(ended, { isRegular: false });
    this.#askForAll();
  }

  #sendHeartbeat(
    targets: readonly HostId[],
    flags: Pick<Heartbeat, "isRegular" | "isProbe">,
  ): void {
    if (targets.length === 0) return;
    const body: Heartbeat = {
      sender: this.#membership.selfUpdate(),
      ...flags,
      news: this.#recentNews(),
      extras: Object.fromEntries(
        this.#extras.map(({ name, read }) => [name, read()]),
      ),
    };
    const message = { kind: HEARTBEAT.kind, body };
    for (const host of targets) this.#options.link.send(host, message);
  }

  /** In a large fleet a fresh host hears only few heartbeats and asks for the rest. */
  #askForAll(): void {
    if (!this.#isFresh || this.#membership.isFullMesh()) return;
    this.#isFresh = false;
    const body = { news: [this.#membership.selfUpdate()], wantsAll: true };
    for (const to of this.#membership.pickGossipTargets(NEWS_FANOUT)) {
      sendMessage(this.#options.link, MEMBER_UPDATE, { to, body });
    }
  }

  #onHeartbeat(from: HostId, heartbeat: Heartbeat): void {
    if (from !== heartbeat.sender.host) return;
    const now = this.#options.timer.now();
    const silence = this.#membership.failureReportOf(from);
    const isChange = this.#membership.applyHeartbeat(heartbeat, now);
    if (isChange && silence !== undefined) this.#askForDenial(silence);
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
    if (heartbeat.news !== undefined) this.#hearNews(heartbeat.news);
  }

  #onNews(from: HostId, { news, wantsAll }: MemberUpdateMessage): void {
    this.#hearNews(news);
    if (!wantsAll) return;
    const body = { news: this.#membership.allUpdates() };
    sendMessage(this.#options.link, MEMBER_UPDATE, { to: from, body });
  }

  #hearNews(news: readonly MemberUpdate[]): void {
    const fresh = this.#membership.applyUpdates(
      news,
      this.#options.timer.now(),
    );
    if (fresh.length > 0) this.#onChanges(fresh);
  }

  #recentNews(): MemberUpdate[] | undefined {
    const since = this.#options.timer.now() - RECENT_MS;
    this.#recent = this.#recent.filter(({ at }) => at > since);
    if (this.#recent.length === 0) return undefined;
    return this.#recent.slice(-MAX_RECENT).map(({ news }) => news);
  }

  /** Others hold the host for silent too; only its own denial tells all of them. */
  #askForDenial(silence: MemberUpdate): void {
    if (this.#membership.isFullMesh()) return;
    const body = { news: [silence] };
    sendMessage(this.#options.link, MEMBER_UPDATE, { to: silence.host, body });
  }

  #tick(): void {
    const changes = this.#membership.detectFailures(this.#options.timer.now());
    if (changes.length > 0) this.#onChanges(changes);
  }

  #onChanges(changes: readonly MemberUpdate[]): void {
    const { metrics, log } = this.#options;
    for (const change of changes) {
      metrics.count("member_changes", 1, { state: change.state });
      log?.(change);
    }
    this.#spread(changes);
    this.#publish();
  }

  #spread(news: readonly MemberUpdate[]): void {
    if (this.#membership.isFullMesh()) return;
    const at = this.#options.timer.now();
    this.#recent.push(...news.map((item) => ({ news: item, at })));
    const message = { kind: MEMBER_UPDATE.kind, body: { news } };
    for (const host of this.#membership.pickGossipTargets(NEWS_FANOUT)) {
      this.#options.link.send(host, message);
    }
  }

  #publish(): void {
    const { blackboard } = this.#options;
    blackboard.write(MEMBERS, this.#membership.members());
    blackboard.write(REACHABLE_SHARE, this.#membership.reachableShare());
  }
}
