import {
  type Blackboard,
  Controller,
  createTopic,
  ElapsedClock,
  type HostId,
  type Incarnation,
  type Metrics,
  type Milliseconds,
  type PeerLink,
  type Timer,
  type TimerSubscription,
  type Topic,
} from "@wasabivane/common";
import { HOST_LIST } from "./configurationController.ts";

import {
  isBoolean,
  listOf,
  numberOf,
  objectOf,
  optional,
  type Shape,
  textOf,
} from "./messageShapes.ts";
import {
  defineMessage,
  type MessageKind,
  sendMessage,
  subscribeMessage,
} from "./peerMessages.ts";
import { ViewLease } from "./viewLease.ts";
import {
  type ActiveView,
  type LeaseReply,
  type LeaseRequest,
  MAX_VIEW_HOSTS,
  type View,
  viewOfHostList,
} from "./views.ts";

/**
 * Interval between lease requests; shorter than a lease, so that lost requests
 * do not end it.
 */
export const LEASE_RENEWAL_PERIOD_MS: Milliseconds = 600;
/** Maximum number of views in one message. */
const MAX_VIEWS = 64;

const viewShape: Shape<View> = objectOf({
  version: numberOf<number>(),
  hosts: listOf(textOf<HostId>(), MAX_VIEW_HOSTS),
});

/** See {@link LeaseRequest}. */
export const LEASE_REQUEST: MessageKind<LeaseRequest> = defineMessage<
  LeaseRequest
>(
  "lease-request",
  objectOf({
    serial: numberOf<number>(),
    incarnation: textOf<Incarnation>(),
    views: listOf(viewShape, MAX_VIEWS),
  }),
);
/** See {@link LeaseReply}. */
export const LEASE_REPLY: MessageKind<LeaseReply> = defineMessage<
  LeaseReply
>(
  "lease-answer",
  objectOf({
    serial: numberOf<number>(),
    asker: textOf<Incarnation>(),
    incarnation: textOf<Incarnation>(),
    isJoined: isBoolean,
    views: listOf(viewShape, MAX_VIEWS),
    retired: listOf(numberOf<number>(), MAX_VIEWS),
    supported: optional(numberOf<number>()),
    granted: optional(numberOf<number>()),
    unbrokenSince: optional(numberOf<number>()),
  }),
);

/** View status for the status page. */
export interface ViewStatus {
  readonly newest: View | undefined;
  /** Whether this host may decide about caller-generated keys. */
  readonly isActive: boolean;
}

/** See {@link ViewStatus}. */
export const VIEW_STATUS: Topic<ViewStatus> = createTopic<ViewStatus>(
  "view-status",
  { newest: undefined, isActive: false },
);

/** Dependencies of a {@link ViewController}. */
export interface ViewControllerOptions {
  readonly host: HostId;
  readonly incarnation: Incarnation;
  readonly blackboard: Blackboard;
  readonly link: PeerLink;
  readonly timer: Timer;
  readonly metrics: Metrics;
}

/**
 * Requests and grants leases, and tells in which view this host may act as a
 * home of keys.
 */
export class ViewController extends Controller {
  readonly #options: ViewControllerOptions;
  readonly #clock: ElapsedClock;
  readonly #lease: ViewLease;
  readonly #subscriptions: (() => void)[] = [];
  #renewal: TimerSubscription | undefined;

  constructor(options: ViewControllerOptions) {
    super();
    this.#options = options;
    this.#clock = new ElapsedClock(options.timer);
    this.#lease = new ViewLease({ ...options, startedAt: this.#clock.now() });
  }

  override start(): void {
    const { blackboard, link, timer } = this.#options;
    this.#subscriptions.push(
      subscribeMessage(link, LEASE_REQUEST, (from, body) => {
        this.#onRequest(from, body);
      }),
      subscribeMessage(link, LEASE_REPLY, (from, body) => {
        this.#lease.applyReply(from, body, this.#clock.now());
      }),
      blackboard.watch(HOST_LIST, () => this.#applyHostList()),
    );
    this.#applyHostList();
    this.#renewal = timer.every(
      LEASE_RENEWAL_PERIOD_MS,
      () => this.#requestLeases(),
    );
  }

  override stop(): void {
    for (const unsubscribe of this.#subscriptions.splice(0)) unsubscribe();
    this.#renewal?.cancel();
  }

  /** Returns the active view, if any. Call it right before each decision. */
  activeView(): ActiveView | undefined {
    return this.#lease.activeView(this.#clock.now());
  }

  /**
   * Returns the time elapsed since an instant on the clock of {@link
   * ActiveView}.
   */
  elapsedSince(instant: Milliseconds): Milliseconds {
    return this.#clock.now() - instant;
  }

  /** Returns the newest known view, active or not. */
  newestView(): View | undefined {
    return this.#lease.newestView;
  }

  #applyHostList(): void {
    const list = this.#options.blackboard.read(HOST_LIST);
    if (list !== undefined) this.#lease.addView(viewOfHostList(list));
  }

  #requestLeases(): void {
    const { host, link } = this.#options;
    this.#publish();
    if (!this.#lease.isParticipant()) return;
    const request = this.#lease.nextRequest(this.#clock.now());
    const message = { kind: LEASE_REQUEST.kind, body: request };
    for (const target of this.#lease.targets()) {
      if (target === host) this.#requestOwnLease(request);
      else link.send(target, message);
    }
  }

  #requestOwnLease(request: LeaseRequest): void {
    const { host } = this.#options;
    const now = this.#clock.now();
    this.#lease.applyReply(
      host,
      this.#lease.handleRequest(host, request, now),
      now,
    );
  }

  #onRequest(from: HostId, request: LeaseRequest): void {
    const body = this.#lease.handleRequest(from, request, this.#clock.now());
    sendMessage(this.#options.link, LEASE_REPLY, { to: from, body });
  }

  #publish(): void {
    const { blackboard, metrics } = this.#options;
    const isActive = this.activeView() !== undefined;
    const newest = this.#lease.newestView;
    const former = blackboard.read(VIEW_STATUS);
    const isSame = former.isActive === isActive &&
      former.newest?.version === newest?.version;
    if (isSame) return;
    if (former.isActive !== isActive) {
      metrics.count("view_activity_changes", 1, { to: String(isActive) });
    }
    blackboard.write(VIEW_STATUS, { newest, isActive });
  }
}
