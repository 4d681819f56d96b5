import type { HostId, Incarnation, Milliseconds } from "@wasabivane/common";
import {
  type ActiveView,
  hasSameHosts,
  type LeaseReply,
  type LeaseRequest,
  majoritySize,
  type Tenure,
  type View,
} from "./views.ts";

/** Duration of a lease, counted by the holder from its request. */
export const LEASE_DURATION_MS: Milliseconds = 2_000;
/** Maximum drift between two monotonic clocks during one lease. */
export const MAX_CLOCK_DRIFT_MS: Milliseconds = 100;
/**
 * Maximum number of retired versions to remember; a forgotten one is retired
 * again.
 */
const MAX_RETIRED = 256;
/** Maximum number of contiguous views in a tenure. */
const MAX_TENURES = 16;
/** Number of recent requests whose replies are still accepted. */
const MAX_OPEN_REQUESTS = 8;

interface GrantedLease {
  readonly incarnation: Incarnation;
  readonly version: number;
  readonly until: Milliseconds;
  /** Support period in which the lease was granted. */
  readonly supportPeriod: number;
  readonly unbrokenSince: number;
}

interface ReceivedReply {
  readonly reply: LeaseReply;
  readonly sentAt: Milliseconds;
}

type Grant = Pick<LeaseReply, "granted" | "unbrokenSince">;

/** State of a {@link ViewLease}, as plain data that can be copied. */
export interface ViewLeaseState {
  views: Map<number, View>;
  retired: Set<number>;
  isJoined: boolean;
  supported: number | undefined;
  /** Incremented when the supported view changes. */
  supportPeriod: number;
  granted: Map<HostId, GrantedLease>;
  replies: Map<HostId, ReceivedReply>;
  serial: number;
  sentAt: Map<number, Milliseconds>;
  tenures: readonly Tenure[];
  /**
   * Views in which leases were requested since this host was last active,
   * newest first.
   */
  viewsSinceActive: readonly View[];
  /** Serial of the newest request when this host was last active. */
  activeSerial: number;
  /** When the leases of the last active view expire. */
  activeUntil: Milliseconds;
}

/** Identity and durations of a {@link ViewLease}. */
export interface ViewLeaseOptions {
  readonly host: HostId;
  readonly incarnation: Incarnation;
  /** Start of the process on its monotonic clock. */
  readonly startedAt: Milliseconds;
  readonly leaseMs?: Milliseconds;
  readonly driftMs?: Milliseconds;
  readonly state?: ViewLeaseState;
}

/**
 * Decides when this host may act as a home of keys: while it is *active* in the
 * newest view that it knows. Two hosts are never active in two views at once;
 * see docs/DECISIONS/0002-at-most-once.md.
 *
 * A granter supports one view at a time. A holder needs a majority of its own
 * view and of every older view that may still be active. A restarted granter
 * waits until leases of its former incarnation have expired, and learns from
 * majorities which views may be active, before it grants again.
 */
export class ViewLease {
  readonly #options: Required<Omit<ViewLeaseOptions, "state">>;
  readonly state: ViewLeaseState;

  constructor(options: ViewLeaseOptions) {
    this.#options = {
      leaseMs: LEASE_DURATION_MS,
      driftMs: MAX_CLOCK_DRIFT_MS,
      ...options,
    };
    this.state = options.state ?? createViewLeaseState();
  }

  /** The newest known view. */
  get newestView(): View | undefined {
    let newest: View | undefined;
    for (const view of this.state.views.values()) {
      if (newest === undefined || view.version > newest.version) newest = view;
    }
    return newest;
  }

  /**
   * Adds a view from the platform or a peer; duplicate and outdated views are
   * ignored.
   */
  addView(view: View): void {
    const { views, retired } = this.state;
    if (views.has(view.version) || retired.has(view.version)) return;
    const newest = this.newestView;
    if (newest === undefined || !hasSameHosts(newest, view)) {
      views.set(view.version, view);
      return;
    }
    // Lists also change with upstreams; a view whose hosts are unchanged only
    // gets the newer version.
    if (view.version > newest.version) this.#renumber(newest, view);
    else retired.add(view.version);
  }

  /** Creates a lease request for every host of {@link targets}. */
  nextRequest(now: Milliseconds): LeaseRequest {
    const { state } = this;
    state.serial++;
    state.sentAt.set(state.serial, now);
    state.sentAt.delete(state.serial - MAX_OPEN_REQUESTS);
    this.#recordRequestedView();
    return {
      serial: state.serial,
      incarnation: this.#options.incarnation,
      views: this.#knownViews(),
    };
  }

  /**
   * Tells whether this host belongs to a known view and so grants and holds
   * leases.
   */
  isParticipant(): boolean {
    const { host } = this.#options;
    return this.#knownViews().some(({ hosts }) => hosts.includes(host));
  }

  /** Returns every host to request a lease from, including this one. */
  targets(): HostId[] {
    const hosts = this.#knownViews().flatMap((view) => view.hosts);
    return [...new Set([this.#options.host, ...hosts])];
  }

  /** Handles a lease request as granter. */
  handleRequest(
    from: HostId,
    request: LeaseRequest,
    now: Milliseconds,
  ): LeaseReply {
    for (const view of request.views) this.addView(view);
    const { retired } = this.state;
    const versions = request.views.map(({ version }) => version);
    const grant = this.#grant(from, request, now);
    return {
      serial: request.serial,
      asker: request.incarnation,
      incarnation: this.#options.incarnation,
      isJoined: this.state.isJoined,
      views: this.#knownViews().filter(({ version }) =>
        !versions.includes(version)
      ),
      retired: versions.filter((version) => retired.has(version)),
      supported: this.state.supported,
      ...grant,
    };
  }

  /** Applies a granter's reply as holder. */
  applyReply(from: HostId, reply: LeaseReply, now: Milliseconds): void {
    const sentAt = this.state.sentAt.get(reply.serial);
    const isOwn = reply.asker === this.#options.incarnation;
    if (sentAt === undefined || !isOwn) return;
    this.activeView(now);
    for (const view of reply.views) this.addView(view);
    for (const version of reply.retired) this.#retireVersion(version);
    const known = this.state.replies.get(from);
    if (known !== undefined && known.sentAt > sentAt) return;
    this.state.replies.set(from, { reply, sentAt });
    this.#retireViews(now);
    this.#joinIfInformed();
    this.activeView(now);
  }

  /** Returns the active view, if any. Call it right before each decision. */
  activeView(now: Milliseconds): ActiveView | undefined {
    const { state } = this;
    const view = this.newestView;
    if (view === undefined || !state.isJoined) return undefined;
    const until = this.#leaseExpiryOfMajorities(view);
    if (until <= now) return undefined;
    const isSame = state.tenures[0]?.view.version === view.version;
    const hasLapsed = now >= state.activeUntil;
    if (hasLapsed || !isSame) this.#enterView(view, now);
    state.activeUntil = until;
    state.activeSerial = state.serial;
    state.viewsSinceActive = [view];
    return { view, until, tenures: state.tenures };
  }

  /**
   * Tells whether all leases of the previously supported view have expired.
   * Otherwise the old and the new home of a key could be active at once and
   * both grant the key.
   */
  protected haveFormerLeasesExpired(now: Milliseconds): boolean {
    const { granted, supported } = this.state;
    return [...granted.values()].every(({ version, until }) =>
      version !== supported || until <= now
    );
  }

  /**
   * Tells whether leases granted by a former incarnation have expired.
   * Otherwise a restarted host could support a second view at once.
   */
  protected haveForgottenLeasesExpired(now: Milliseconds): boolean {
    const { startedAt, leaseMs, driftMs } = this.#options;
    return now >= startedAt + leaseMs + driftMs;
  }

  #knownViews(): View[] {
    return [...this.state.views.values()];
  }

  #grant(from: HostId, request: LeaseRequest, now: Milliseconds): Grant {
    const newest = this.newestView;
    if (newest === undefined || !this.state.isJoined) return {};
    const isEligible = newest.hosts.includes(from) &&
      request.views.some((view) => view.version === newest.version);
    if (!isEligible || !this.haveForgottenLeasesExpired(now)) return {};
    if (!this.#support(newest, now)) return {};
    return this.#renew(from, request, now);
  }

  #support(view: View, now: Milliseconds): boolean {
    const { state } = this;
    if (state.supported === view.version) return true;
    if (!this.haveFormerLeasesExpired(now)) return false;
    state.supported = view.version;
    state.supportPeriod++;
    return true;
  }

  #renew(from: HostId, request: LeaseRequest, now: Milliseconds): Grant {
    const { leaseMs, driftMs } = this.#options;
    const { supportPeriod, supported } = this.state;
    const { incarnation, serial } = request;
    const former = this.state.granted.get(from);
    const isSameHolder = former?.incarnation === incarnation;
    // A former process of the holder's host may still use its lease.
    if (former !== undefined && !isSameHolder && former.until > now) return {};
    const isUnbroken = isSameHolder &&
      former.supportPeriod >= supportPeriod - 1;
    const unbrokenSince = isUnbroken ? former.unbrokenSince : serial;
    const until = now + leaseMs + driftMs;
    const version = supported!;
    const lease = { incarnation, version, until, supportPeriod, unbrokenSince };
    this.state.granted.set(from, lease);
    return { granted: version, unbrokenSince };
  }

  /** Returns when the leases held from majorities of all known views expire. */
  #leaseExpiryOfMajorities(view: View): Milliseconds {
    const ends = this.#knownViews().map((counted) =>
      this.#majorityExpiry(counted, view)
    );
    return Math.min(...ends);
  }

  #majorityExpiry(counted: View, view: View): Milliseconds {
    const ends = counted.hosts
      .map((host) => this.#leaseExpiry(host, view))
      .sort((left, right) => right - left);
    return ends[majoritySize(counted) - 1] ?? -Infinity;
  }

  #leaseExpiry(host: HostId, view: View): Milliseconds {
    const held = this.state.replies.get(host);
    if (held?.reply.granted !== view.version) return -Infinity;
    return held.sentAt + this.#options.leaseMs;
  }

  /**
   * Retires views that can never be active again because a majority of their
   * hosts supports a newer view. Only replies younger than a lease count, since
   * a granter may have restarted after an older one.
   */
  #retireViews(now: Milliseconds): void {
    const newest = this.newestView;
    for (const view of this.#knownViews()) {
      if (view === newest) continue;
      const supporters = view.hosts.filter((host) =>
        this.#supportsNewerView(host, { view, now })
      );
      if (supporters.length < majoritySize(view)) continue;
      this.#retireVersion(view.version);
    }
    this.#removeExpired(now);
  }

  #retireVersion(version: number): void {
    if (version === this.newestView?.version) return;
    this.state.views.delete(version);
    this.state.retired.add(version);
  }

  #supportsNewerView(
    host: HostId,
    { view, now }: { view: View; now: Milliseconds },
  ): boolean {
    const held = this.state.replies.get(host);
    if (held === undefined) return false;
    if (held.sentAt + this.#options.leaseMs <= now) return false;
    return (held.reply.supported ?? -Infinity) > view.version;
  }

  #removeExpired(now: Milliseconds): void {
    const { retired, replies, granted } = this.state;
    const targets = this.targets();
    const oldest = now - this.#options.leaseMs;
    for (const [host, { sentAt }] of replies) {
      if (!targets.includes(host) && sentAt <= oldest) replies.delete(host);
    }
    for (const [host, { until }] of granted) {
      if (!targets.includes(host) && until <= now) granted.delete(host);
    }
    if (retired.size > MAX_RETIRED) retired.delete(Math.min(...retired));
  }

  /**
   * Joins once majorities of joined hosts have replied, or once every host has
   * replied, as on the first start of a fleet. A restarted host does not know
   * which views may be active.
   */
  #joinIfInformed(): void {
    if (this.state.isJoined) return;
    const views = this.#knownViews();
    this.state.isJoined = views.length > 0 &&
      views.every((view) => this.#hasEnoughReplies(view));
  }

  #hasEnoughReplies(view: View): boolean {
    const replied = view.hosts.filter((host) => this.#hasValidReply(host));
    const joined = replied.filter((host) =>
      this.state.replies.get(host)!.reply.isJoined
    );
    return replied.length === view.hosts.length ||
      joined.length >= majoritySize(view);
  }

  #hasValidReply(host: HostId): boolean {
    const held = this.state.replies.get(host);
    return held !== undefined && this.haveForgottenLeasesExpired(held.sentAt);
  }

  #recordRequestedView(): void {
    const { state, newestView } = this;
    const isNoted = state.viewsSinceActive[0]?.version === newestView?.version;
    if (newestView === undefined || isNoted) return;
    state.viewsSinceActive = [newestView, ...state.viewsSinceActive].slice(
      0,
      MAX_TENURES,
    );
  }

  /**
   * Starts a tenure or continues the last one. Views in which this host held
   * leases without being active count too, because another host may have been a
   * key's home in them.
   */
  #enterView(view: View, now: Milliseconds): void {
    const { state } = this;
    const active = state.tenures[0]?.view.version;
    const passed = state.viewsSinceActive.filter(({ version }) =>
      version !== view.version && version !== active
    );
    const former = state.tenures[0]?.view;
    const isContinuous = former !== undefined &&
      [former, view].every((counted) => this.#isContinuous(counted, view));
    if (!isContinuous) {
      state.tenures = [{ view, startedAt: now }];
      return;
    }
    const isSame = former.version === view.version && passed.length === 0;
    if (isSame) return;
    const newTenures = [view, ...passed].map((entered) => ({
      view: entered,
      startedAt: now,
    }));
    state.tenures = [...newTenures, ...state.tenures].slice(0, MAX_TENURES);
  }

  /**
   * Tells whether a majority confirms that no other host was active since this
   * one last was.
   */
  #isContinuous(counted: View, view: View): boolean {
    const confirming = counted.hosts.filter((host) => {
      const reply = this.state.replies.get(host)?.reply;
      return reply?.granted === view.version &&
        reply.unbrokenSince! <= this.state.activeSerial;
    });
    return confirming.length >= majoritySize(counted);
  }

  #renumber(former: View, view: View): void {
    const { state } = this;
    const renumbered = (version: number | undefined): number | undefined =>
      version === former.version ? view.version : version;
    state.views.delete(former.version);
    state.retired.add(former.version);
    state.views.set(view.version, view);
    state.supported = renumbered(state.supported);
    for (const [host, lease] of state.granted) {
      const version = renumbered(lease.version)!;
      state.granted.set(host, { ...lease, version });
    }
    for (const [host, { reply, sentAt }] of state.replies) {
      const granted = renumbered(reply.granted);
      const supported = renumbered(reply.supported);
      state.replies.set(host, {
        reply: { ...reply, granted, supported },
        sentAt,
      });
    }
    state.tenures = state.tenures.map((tenure) =>
      tenure.view.version === former.version ? { ...tenure, view } : tenure
    );
  }
}

function createViewLeaseState(): ViewLeaseState {
  return {
    views: new Map(),
    retired: new Set(),
    isJoined: false,
    supported: undefined,
    supportPeriod: 0,
    granted: new Map(),
    replies: new Map(),
    serial: 0,
    sentAt: new Map(),
    tenures: [],
    viewsSinceActive: [],
    activeSerial: 0,
    activeUntil: -Infinity,
  };
}
