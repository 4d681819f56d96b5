import type { StopPlan } from "@wasabivane/bundle";
import {
  type Blackboard,
  Controller,
  createTopic,
  type FailureDomain,
  type Metrics,
  type Milliseconds,
  type PeerLink,
  type Timer,
  type TimerSubscription,
  type Topic,
} from "@wasabivane/common";
import { isBoolean, numberOf, objectOf, textOf } from "./messageShapes.ts";
import {
  defineMessage,
  type MessageKind,
  sendMessage,
  subscribeMessage,
} from "./peerMessages.ts";
import { type StopMember, type StopSender, StopSlots } from "./stopSlots.ts";

const TICK_MS: Milliseconds = 100;
const REQUEST_PERIOD_MS: Milliseconds = 500;
/** Minimum time for handing over jobs that finished last. */
const MIN_FINAL_HANDOVER_MS: Milliseconds = 2_000;
/** Number of times the release is sent, in case messages are lost. */
const RELEASE_SENDS = 3;

/** Phase of a planned stop. */
export type StopPhase =
  | { readonly kind: "serving" }
  /**
   * Other hosts of the failure domain are stopping; this host keeps serving.
   */
  | { readonly kind: "waiting-for-slot" }
  /**
   * Readiness is off, so that the load balancer drains; requests are still
   * served.
   */
  | { readonly kind: "unready" }
  /** No new connections; running streams finish and waiting jobs move. */
  | { readonly kind: "draining" }
  /** Jobs that finished last are handed over to other hosts. */
  | { readonly kind: "handing-over" }
  /** The process may exit. */
  | {
    readonly kind: "ended";
    /** Streams still running when the plan's time ran out. */
    readonly openStreams: number;
    /** Whether all jobs were handed over. */
    readonly isHandedOver: boolean;
  };

/** Phase of this host's planned stop. */
export const STOP_PHASE: Topic<StopPhase> = createTopic<StopPhase>(
  "stop-phase",
  { kind: "serving" },
);

/** Requests a stop slot from a host of the same failure domain. */
export const STOP_SLOT_REQUEST: MessageKind<
  { readonly clock: number; readonly incarnation: string }
> = defineMessage(
  "stop-ask",
  objectOf({ clock: numberOf<number>(), incarnation: textOf<string>() }),
);

/** Replies to {@link STOP_SLOT_REQUEST}. */
export const STOP_SLOT_REPLY: MessageKind<
  {
    readonly clock: number;
    readonly incarnation: string;
    readonly isGranted: boolean;
  }
> = defineMessage(
  "stop-answer",
  objectOf({
    clock: numberOf<number>(),
    incarnation: textOf<string>(),
    isGranted: isBoolean,
  }),
);

/** Announces that a process has finished its stop. */
export const STOP_SLOT_RELEASE: MessageKind<{ readonly incarnation: string }> =
  defineMessage("stop-release", objectOf({ incarnation: textOf<string>() }));

/** Dependencies of a {@link StopController}. */
export interface StopControllerOptions {
  readonly blackboard: Blackboard;
  readonly link: PeerLink;
  readonly timer: Timer;
  readonly metrics: Metrics;
  readonly incarnation: string;
  readonly failureDomain: FailureDomain;
  readonly members: Topic<readonly StopMember[]>;
  /** Returns the number of streams running on this host. */
  readonly openStreams: () => number;
  /** Moves jobs to other hosts; see `JobService.handOver`. */
  readonly handOver: (withinMs: Milliseconds) => Promise<boolean>;
  /** Announces to the members whether this host is leaving. */
  readonly setLeaving: (isLeaving: boolean) => void;
}

/**
 * Stops this host according to a stop plan, without interrupting running
 * streams before the plan's time is up.
 */
export class StopController extends Controller {
  readonly #options: StopControllerOptions;
  readonly #slots: StopSlots;
  readonly #subscriptions: (() => void)[] = [];
  #timers: TimerSubscription[] = [];
  #plan: StopPlan | undefined;
  #acquiredAt: Milliseconds = 0;
  #handover: Promise<boolean> | undefined;

  constructor(options: StopControllerOptions) {
    super();
    this.#options = options;
    this.#slots = new StopSlots({
      self: options.link.self,
      domain: options.failureDomain,
    });
  }

  override start(): void {
    const { blackboard, link, timer, members } = this.#options;
    this.#onMembers(blackboard.read(members));
    this.#subscriptions.push(
      blackboard.watch(members, (value) => this.#onMembers(value)),
      subscribeMessage(
        link,
        STOP_SLOT_REQUEST,
        (from, body) => this.#onSlotRequest({ ...body, host: from }),
      ),
      subscribeMessage(link, STOP_SLOT_REPLY, (from, body) => {
        const sender = { ...body, host: from };
        if (body.isGranted) this.#slots.applyGrant(sender, timer.now());
      }),
      subscribeMessage(
        link,
        STOP_SLOT_RELEASE,
        (_from, { incarnation }) => this.#slots.applyRelease(incarnation),
      ),
    );
    this.#timers = [
      timer.every(TICK_MS, () => this.#tick()),
      timer.every(REQUEST_PERIOD_MS, () => this.#requestSlot()),
    ];
  }

  override stop(): void {
    for (const end of this.#subscriptions.splice(0)) end();
    for (const subscription of this.#timers.splice(0)) subscription.cancel();
  }

  /** Starts a planned stop; later calls have no effect. */
  requestStop(plan: StopPlan): void {
    if (this.#plan !== undefined) return;
    this.#plan = plan;
    this.#slots.request();
    this.#enterPhase({ kind: "waiting-for-slot" });
    this.#requestSlot();
    this.#tick();
  }

  get #phase(): StopPhase {
    return this.#options.blackboard.read(STOP_PHASE);
  }

  #onMembers(members: readonly StopMember[]): void {
    this.#slots.setMembers(members, this.#options.timer.now());
  }

  #onSlotRequest(sender: StopSender): void {
    const { link, timer, incarnation } = this.#options;
    const isGranted = this.#slots.handleRequest(sender, timer.now());
    const { clock, host: to } = sender;
    const body = { clock, incarnation, isGranted };
    sendMessage(link, STOP_SLOT_REPLY, { to, body });
  }

  #requestSlot(): void {
    const ticket = this.#slots.requestTimestamp;
    if (ticket === undefined) return;
    const { link, incarnation } = this.#options;
    const body = { clock: ticket.clock, incarnation };
    for (const to of this.#slots.hostsToAsk()) {
      sendMessage(link, STOP_SLOT_REQUEST, { to, body });
    }
  }

  #tick(): void {
    const plan = this.#plan;
    if (plan === undefined) return;
    const { timer, openStreams } = this.#options;
    const now = timer.now();
    const elapsed = now - this.#acquiredAt;
    const { kind } = this.#phase;
    if (kind === "waiting-for-slot") {
      if (this.#slots.tryAcquire(plan.hostsAtOnce, now)) {
        this.#becomeUnready(now);
      }
    } else if (kind === "unready") {
      if (elapsed >= plan.readinessMs) this.#drain(plan);
    } else if (kind === "draining") {
      const hasTimedOut = elapsed >= plan.streamsMs;
      if (openStreams() === 0 || hasTimedOut) void this.#finish(plan, elapsed);
    }
  }

  #becomeUnready(now: Milliseconds): void {
    this.#acquiredAt = now;
    this.#enterPhase({ kind: "unready" });
    this.#options.setLeaving(true);
  }

  /** Waiting jobs are handed over while streams finish. */
  #drain({ handoverMs, readinessMs }: StopPlan): void {
    this.#enterPhase({ kind: "draining" });
    const withinMs = Math.max(0, handoverMs - readinessMs);
    this.#handover = this.#options.handOver(withinMs);
  }

  async #finish(plan: StopPlan, elapsed: Milliseconds): Promise<void> {
    const { handOver, openStreams, metrics } = this.#options;
    this.#enterPhase({ kind: "handing-over" });
    await this.#handover;
    const withinMs = Math.max(MIN_FINAL_HANDOVER_MS, plan.handoverMs - elapsed);
    const isHandedOver = await handOver(withinMs);
    const unfinished = openStreams();
    if (unfinished > 0) metrics.count("stop_unfinished_streams", unfinished);
    if (!isHandedOver) metrics.count("stop_unfinished_handovers");
    this.#release();
    this.#enterPhase({ kind: "ended", openStreams: unfinished, isHandedOver });
  }

  #release(): void {
    const { blackboard, link, incarnation, failureDomain, members } =
      this.#options;
    const neighbours = blackboard.read(members).filter((member) =>
      member.failureDomain === failureDomain && member.host !== link.self
    );
    for (let sent = 0; sent < RELEASE_SENDS; sent++) {
      for (const { host: to } of neighbours) {
        sendMessage(link, STOP_SLOT_RELEASE, { to, body: { incarnation } });
      }
    }
  }

  #enterPhase(phase: StopPhase): void {
    this.#options.metrics.count("stop_phases", 1, { phase: phase.kind });
    this.#options.blackboard.write(STOP_PHASE, phase);
  }
}
