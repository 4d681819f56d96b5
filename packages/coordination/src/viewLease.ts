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

/** How long a lease lasts, counted by its holder from when it asked. */
export const LEASE_DURATION_MS: Milliseconds = 2_000;
/** By how much two monotonic clocks may differ over one lease. */
export const MAX_CLOCK_DRIFT_MS: Milliseconds = 100;
/** Retired versions that are remembered; a forgotten one is only retired again. */
const MAX_RETIRED = 256;
/** Views that a tenure may reach back over. */
const MAX_TENURES = 16;
/** Requests of so many rounds back may still be answered. */
const MAX_OPEN_REQUESTS = 8;

interface GrantedLease {
  readonly incarnation: Incarnation;
  readonly version: number;
  readonly until: Milliseconds;
  /** Which period of support the lease was granted in. */
  readonly period: number;
  readonly unbrokenSince: number;
}

interface HeldAnswer {
  readonly answer: LeaseReply;
  readonly sentAt: Milliseconds;
}

type Grant = Pick<LeaseReply, "granted" | "unbrokenSince">;

/** The whole state of a {@link ViewLease}, as plain data that can be copied. */
export interface ViewLeaseState {
  views: Map<number, View>;
  retired: Set<number>;
  isJoined: boolean;
  supported: number | undefined;
  /** Counts changes of the supported view. */
  supportPeriod: number;
  granted: Map<HostId, GrantedLease>;
  replies: Map<HostId, HeldAnswer>;
  serial: number;
  sentAt: Map<number, Milliseconds>;
  tenures: readonly Tenure[];
  /** Views that leases were asked for in since this host was last active, newest first. */
  viewsSinceActive: readonly View[];
  /** The newest own request when this host was last active. */
  activeSerial: number;
  /** When the leases that were last counted end. */
  activeUntil: Milliseconds;
}

/** Who a {@link ViewLease} works for, and its durations. */
export interface ViewLeaseOptions {
  readonly host: HostId;
  readonly incarnation: Incarnation;
  /** When the process started, on its monotonic clock. */
  readonly startedAt: Milliseconds;
  readonly leaseMs?: Milliseconds;
  readonly driftMs?: Milliseconds;
  readonly state?: ViewLeaseState;
}

/**
 * Decides when this host may act as a home of keys: while it is *active* in
 * the newest view it knows. Two hosts are never active in two views at once;
 * docs/DECISIONS/0002-at-most-once.md holds the argument. In short: a granter
 * supports one view at a time, a holder needs majorities of its own view and of
 * every older one that may still be active, and a restarted granter, which
 * forgot what it granted, waits until its old leases ran out and learns from
 * majorities what may be active before it grants again.
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
    this.state = options.state ?? createState();
  }

  /** The newest view known here. */
  get newestView(): View | undefined {
    let newest: View | undefined;
    for (const view of this.state.views.values()) {
      if (newest === undefined || view.version > newest.version) newest = view;
    }
    return newest;
  }

  /** Takes a view from the platform or a peer; old, doubled and reordered ones do no harm. */
  addView(view: View): void {
    const { views, retired } = this.state;
    if (views.has(view.version) || retired.has(view.version)) return;
    const newest = this.newestView;
    if (newest === undefined || !hasSameHosts(newest, view)) {
      views.set(view.version, view);
      return;
    }
    // Lists change with upstreams too; where the hosts stay, so does the view, under its newest number.
    if (view.version > newest.version) this.#renumber(newest, view);
    else retired.add(view.version);
  }

  /** Starts a round: the request goes to every host of {@link targets}. */
  nextRequest(now: Milliseconds): LeaseRequest {
    const { state } = this;
    state.serial++;
    state.sentAt.set(state.serial, now);
    state.sentAt.delete(state.serial - MAX_OPEN_REQUESTS);
    this.#notePassed();
    return {
      serial: state.serial,
      incarnation: this.#options.incarnation,
      views: this.#views(),
    };
  }

  /** Whether this host grants or holds leases; in a larger fleet only some do. */
  isParticipant(): boolean {
    const { host } = this.#options;
    return this.#views().some(({ hosts }) => hosts.includes(host));
  }

  /** Every host that a lease may be needed from; this one is asked like the others. */
  targets(): HostId[] {
    const hosts = this.#views().flatMap((view) => view.hosts);
    return [...new Set([this.#options.host, ...hosts])];
  }

  /** Answers a request as granter. */
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
      views: this.#views().filter(({ version }) => !versions.includes(version)),
      retired: versions.filter((version) => retired.has(version)),
      supported: this.state.supported,
      ...grant,
    };
  }

  /** Takes an answer as holder. */
  applyReply(from: HostId, answer: LeaseReply, now: Milliseconds): void {
    const sentAt = this.state.sentAt.get(answer.serial);
    const isOwn = answer.asker === this.#options.incarnation;
    if (sentAt === undefined || !isOwn) return;
    this.activeView(now);
    for (const view of answer.views) this.addView(view);
    for (const version of answer.retired) this.#retireVersion(version);
    const known = this.state.replies.get(from);
    if (known !== undefined && known.sentAt > sentAt) return;
    this.state.replies.set(from, { answer, sentAt });
    this.#retire(now);
    this.#join();
    this.activeView(now);
  }

  /** What this host may act for; call it right before each decision. */
  activeView(now: Milliseconds): ActiveView | undefined {
    const { state } = this;
    const view = this.newestView;
    if (view === undefined || !state.isJoined) return undefined;
    const until = this.#leasedUntil(view);
    if (until <= now) return undefined;
    const isSame = state.tenures[0]?.view.version === view.version;
    const hasLapsed = now >= state.activeUntil;
    if (hasLapsed || !isSame) this.#enter(view, now);
    state.activeUntil = until;
    state.activeSerial = state.serial;
    state.viewsSinceActive = [view];
    return { view, until, tenures: state.tenures };
  }

  /**
   * Whether no lease of a former view is left. Without this wait the old and the
   * new home of a key could act at once, and the key would run twice.
   */
  protected haveFormerLeasesExpired(now: Milliseconds): boolean {
    const { granted, supported } = this.state;
    return [...granted.values()].every(({ version, until }) =>
      version !== supported || until <= now
    );
  }

  /**
   * Whether leases that a former incarnation granted have run out. A restarted
   * host forgot them; without this wait it could support a second view at once.
   */
  protected haveForgottenLeasesExpired(now: Milliseconds): boolean {
    const { startedAt, leaseMs, driftMs } = this.#options;
    return now >= startedAt + leaseMs + driftMs;
  }

  #views(): View[] {
    return [...this.state.views.values()];
  }

  #grant(from: HostId, request: LeaseRequest, now: Milliseconds): Grant {
    const newest = this.newestView;
    if (newest === undefined || !this.state.isJoined) return {};
    const isAsked = newest.hosts.includes(from) &&
      request.views.some((view) => view.version === newest.version);
    if (!isAsked || !this.haveForgottenLeasesExpired(now)) return {};
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
    const { supportPeriod: period, supported } = this.state;
    const { incarnation, serial } = request;
    const former = this.state.granted.get(from);
    const isSameHolder = former?.incarnation === incarnation;
    // An old process that wakes beside its successor must not act as the same home.
    if (former !== undefined && !isSameHolder && former.until > now) return {};
    const isUnbroken = isSameHolder && former.period >= period - 1;
    const unbrokenSince = isUnbroken ? former.unbrokenSince : serial;
    const until = now + leaseMs + driftMs;
    const version = supported!;
    const lease = { incarnation, version, until, period, unbrokenSince };
    this.state.granted.set(from, lease);
    return { granted: version, unbrokenSince };
  }

  /** When the leases of a majority in every view that counts end. */
  #leasedUntil(view: View): Milliseconds {
    const ends = this.#views().map((counted) =>
      this.#majorityEnd(counted, view)
    );
    return Math.min(...ends);
  }

  #majorityEnd(counted: View, view: View): Milliseconds {
    const ends = counted.hosts
      .map((host) => this.#leaseEnd(host, view))
      .sort((left, right) => right - left);
    return ends[majoritySize(counted) - 1] ?? -Infinity;
  }

  #leaseEnd(host: HostId, view: View): Milliseconds {
    const held = this.state.replies.get(host);
    if (held?.answer.granted !== view.version) return -Infinity;
    return held.sentAt + this.#options.leaseMs;
  }

  /**
   * Forgets views that can never be active again: a majority of their hosts
   * supports a newer one, and what those hosts know was learned with it. Only
   * answers younger than a lease count: a granter that restarted since asks the
   * others anew after that time, and so hears of the newer view.
   */
  #retire(now: Milliseconds): void {
    const newest = this.newestView;
    for (const view of this.#views()) {
      if (view === newest) continue;
      const moved = view.hosts.filter((host) =>
        this.#hasMovedOn(host, { view, now })
      );
      if (moved.length < majoritySize(view)) continue;
      this.#retireVersion(view.version);
    }
    this.#forget(now);
  }

  #retireVersion(version: number): void {
    if (version === this.newestView?.version) return;
    this.state.views.delete(version);
    this.state.retired.add(version);
  }

  #hasMovedOn(
    host: HostId,
    { view, now }: { view: View; now: Milliseconds },
  ): boolean {
    const held = this.state.replies.get(host);
    if (held === undefined) return false;
    if (held.sentAt + this.#options.leaseMs <= now) return false;
    return (held.answer.supported ?? -Infinity) > view.version;
  }

  #forget(now: Milliseconds): void {
    const { retired, replies: answers, granted } = this.state;
    const targets = this.targets();
    const oldest = now - this.#options.leaseMs;
    for (const [host, { sentAt }] of answers) {
      if (!targets.includes(host) && sentAt <= oldest) answers.delete(host);
    }
    for (const [host, { until }] of granted) {
      if (!targets.includes(host) && until <= now) granted.delete(host);
    }
    if (retired.size > MAX_RETIRED) retired.delete(Math.min(...retired));
  }

  /**
   * A restarted host forgot which views may be active. It takes part again once
   * majorities that did not forget have told it, or once every host has spoken,
   * as at the first start of a fleet.
   */
  #join(): void {
    if (this.state.isJoined) return;
    const views = this.#views();
    this.state.isJoined = views.length > 0 &&
      views.every((view) => this.#hasHeardEnough(view));
  }

  #hasHeardEnough(view: View): boolean {
    const heard = view.hosts.filter((host) => this.#hasHeard(host));
    const joined = heard.filter((host) =>
      this.state.replies.get(host)!.answer.isJoined
    );
    return heard.length === view.hosts.length ||
      joined.length >= majoritySize(view);
  }

  #hasHeard(host: HostId): boolean {
    const held = this.state.replies.get(host);
    return held !== undefined && this.haveForgottenLeasesExpired(held.sentAt);
  }

  #notePassed(): void {
    const { state, newestView: newest } = this;
    const isNoted = state.viewsSinceActive[0]?.version === newest?.version;
    if (newest === undefined || isNoted) return;
    state.viewsSinceActive = [newest, ...state.viewsSinceActive].slice(
      0,
      MAX_TENURES,
    );
  }

  /**
   * Begins a tenure or goes on with the last one. Views in which this host held
   * leases without being active count too: another host may have been a key's
   * home in them, and granted the key, while the leases here went on.
   */
  #enter(view: View, now: Milliseconds): void {
    const { state } = this;
    const active = state.tenures[0]?.view.version;
    const passed = state.viewsSinceActive.filter(({ version }) =>
      version !== view.version && version !== active
    );
    const former = state.tenures[0]?.view;
    const isUnbroken = former !== undefined &&
      [former, view].every((counted) => this.#isUnbroken(counted, view));
    if (!isUnbroken) {
      state.tenures = [{ view, startedAt: now }];
      return;
    }
    const isSame = former.version === view.version && passed.length === 0;
    if (isSame) return;
    const since = [view, ...passed].map((seen) => ({
      view: seen,
      startedAt: now,
    }));
    state.tenures = [...since, ...state.tenures].slice(0, MAX_TENURES);
  }

  /** Whether a majority testifies that no other host acted since this one last did. */
  #isUnbroken(counted: View, view: View): boolean {
    const witnesses = counted.hosts.filter((host) => {
      const answer = this.state.replies.get(host)?.answer;
      return answer?.granted === view.version &&
        answer.unbrokenSince! <= this.state.activeSerial;
    });
    return witnesses.length >= majoritySize(counted);
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
    for (const [host, { answer, sentAt }] of state.replies) {
      const granted = renumbered(answer.granted);
      const supported = renumbered(answer.supported);
      state.replies.set(host, {
        answer: { ...answer, granted, supported },
        sentAt,
      });
    }
    state.tenures = state.tenures.map((tenure) =>
      tenure.view.version === former.version ? { ...tenure, view } : tenure
    );
  }
}

function createState(): ViewLeaseState {
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
