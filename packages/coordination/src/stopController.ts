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
const ASK_PERIOD_MS: Milliseconds = 500;
/** Time for answers that ended last to reach their other hosts. */
const LAST_HANDOVER_MS: Milliseconds = 2_000;
/** A lost release would hold the slot for the time of a death. */
const RELEASES = 3;

/** How far a planned stop is. */
export type StopPhase =
  | { readonly kind: "serving" }
  /** Other hosts of the failure domain are stopping; this one serves on. */
  | { readonly kind: "waiting-for-slot" }
  /** Readiness is off and the balancer has time to notice; requests are served. */
  | { readonly kind: "unready" }
  /** No new connections; running answers finish and waiting work moves. */
  | { readonly kind: "draining" }
  /** Answers that ended last go to other hosts. */
  | { readonly kind: "handing-over" }
  /** The process may end. */
  | {
    readonly kind: "ended";
    /** Answers that still ran when the plan's time was up. */
    readonly openStreams: number;
    /** Whether every job was handed over. */
    readonly isHandedOver: boolean;
  };

/** The phase of this host's planned stop. */
export const STOP_PHASE: Topic<StopPhase> = createTopic<StopPhase>(
  "stop-phase",
  { kind: "serving" },
);

/** Asks a host of the same failure domain for a slot. */
export const STOP_SLOT_REQUEST: MessageKind<
  { readonly clock: number; readonly incarnation: string }
> = defineMessage(
  "stop-ask",
  objectOf({ clock: numberOf<number>(), incarnation: textOf<string>() }),
);

/** Answers {@link STOP_SLOT_REQUEST}. */
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

/** Tells that a process has ended its stop. */
export const STOP_SLOT_RELEASE: MessageKind<{ readonly incarnation: string }> =
  defineMessage("stop-release", objectOf({ incarnation: textOf<string>() }));

/** What a {@link StopController} needs from its process. */
export interface StopControllerOptions {
  readonly blackboard: Blackboard;
  readonly link: PeerLink;
  readonly timer: Timer;
  readonly metrics: Metrics;
  readonly incarnation: string;
  readonly failureDomain: FailureDomain;
  readonly members: Topic<readonly StopMember[]>;
  /** Answers that run on this host now. */
  readonly openStreams: () => number;
  /** Moves jobs to other hosts; see `JobService`. */
  readonly handOver: (withinMs: Milliseconds) => Promise<boolean>;
  /** Tells the members that this host leaves. */
  readonly setLeaving: (isLeaving: boolean) => void;
}

/** Stops this host by a stop plan: slowly enough to cut nothing. */
export class StopController extends Controller {
  readonly #options: StopControllerOptions;
  readonly #slots: StopSlots;
  readonly #endings: (() => void)[] = [];
  #ticking: TimerSubscription[] = [];
  #plan: StopPlan | undefined;
  #heldAt: Milliseconds = 0;
  #handingOver: Promise<boolean> | undefined;

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
    this.#endings.push(
      blackboard.watch(members, (value) => this.#onMembers(value)),
      subscribeMessage(
        link,
        STOP_SLOT_REQUEST,
        (from, body) => this.#onAsk({ ...body, host: from }),
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
    this.#ticking = [
      timer.every(TICK_MS, () => this.#tick()),
      timer.every(ASK_PERIOD_MS, () => this.#askNeighbours()),
    ];
  }

  override stop(): void {
    for (const end of this.#endings.splice(0)) end();
    for (const subscription of this.#ticking.splice(0)) subscription.cancel();
  }

  /** Orders this host to stop by a plan; a second order changes nothing. */
  requestStop(plan: StopPlan): void {
    if (this.#plan !== undefined) return;
    this.#plan = plan;
    this.#slots.request();
    this.#enter({ kind: "waiting-for-slot" });
    this.#askNeighbours();
    this.#tick();
  }

  get #phase(): StopPhase {
    return this.#options.blackboard.read(STOP_PHASE);
  }

  #onMembers(members: readonly StopMember[]): void {
    this.#slots.setMembers(members, this.#options.timer.now());
  }

  #onAsk(sender: StopSender): void {
    const { link, timer, incarnation } = this.#options;
    const isGranted = this.#slots.handleRequest(sender, timer.now());
    const { clock, host: to } = sender;
    const body = { clock, incarnation, isGranted };
    sendMessage(link, STOP_SLOT_REPLY, { to, body });
  }

  #askNeighbours(): void {
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
    const elapsed = now - this.#heldAt;
    const { kind } = this.#phase;
    if (kind === "waiting-for-slot") {
      if (this.#slots.tryAcquire(plan.hostsAtOnce, now)) this.#turnUnready(now);
    } else if (kind === "unready") {
      if (elapsed >= plan.readinessMs) this.#drain(plan);
    } else if (kind === "draining") {
      const isOver = elapsed >= plan.streamsMs;
      if (openStreams() === 0 || isOver) void this.#finish(plan, elapsed);
    }
  }

  #turnUnready(now: Milliseconds): void {
    this.#heldAt = now;
    this.#enter({ kind: "unready" });
    this.#options.setLeaving(true);
  }

  /** Waiting work moves while answers finish; it need not wait for them. */
  #drain({ handoverMs, readinessMs }: StopPlan): void {
    this.#enter({ kind: "draining" });
    const withinMs = Math.max(0, handoverMs - readinessMs);
    this.#handingOver = this.#options.handOver(withinMs);
  }

  async #finish(plan: StopPlan, elapsed: Milliseconds): Promise<void> {
    const { handOver, openStreams, metrics } = this.#options;
    this.#enter({ kind: "handing-over" });
    await this.#handingOver;
    const withinMs = Math.max(LAST_HANDOVER_MS, plan.handoverMs - elapsed);
    const isHandedOver = await handOver(withinMs);
    const unfinished = openStreams();
    if (unfinished > 0) metrics.count("stop_unfinished_streams", unfinished);
    if (!isHandedOver) metrics.count("stop_unfinished_handovers");
    this.#release();
    this.#enter({ kind: "ended", openStreams: unfinished, isHandedOver });
  }

  #release(): void {
    const { blackboard, link, incarnation, failureDomain, members } =
      this.#options;
    const neighbours = blackboard.read(members).filter((member) =>
      member.failureDomain === failureDomain && member.host !== link.self
    );
    for (let times = 0; times < RELEASES; times++) {
      for (const { host: to } of neighbours) {
        sendMessage(link, STOP_SLOT_RELEASE, { to, body: { incarnation } });
      }
    }
  }

  #enter(phase: StopPhase): void {
    this.#options.metrics.count("stop_phases", 1, { phase: phase.kind });
    this.#options.blackboard.write(STOP_PHASE, phase);
  }
}
