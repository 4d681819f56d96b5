import type {
  Milliseconds,
  Timer,
  TimerSubscription,
} from "@wasabivane/common";
import type { EventLoopLag } from "@wasabivane/admission";
import type { PlaceDesk } from "./placeDesk.ts";

/** How often peers, usage and grace times are looked at, */
const REVIEW_MS: Milliseconds = 100;
/** and in a fleet of more than so many hosts, whose words are rarer. */
const LARGE_FLEET_REVIEW_MS: Milliseconds = 200;
const LARGE_FLEET = 16;

/** What {@link Looks} look at. */
export interface LooksOptions {
  readonly timer: Timer;
  readonly desk: PlaceDesk;
  /** Told how late the looks come. */
  readonly lag: EventLoopLag;
  /** Other hosts that live. */
  readonly hosts: () => number;
  /** Looks at all that changes slowly. */
  readonly review: (now: Milliseconds) => void;
}

/** When a host looks at what time alone changes. */
export class Looks {
  readonly #options: LooksOptions;
  #next: TimerSubscription | undefined;
  #nextAt: Milliseconds = Infinity;
  #nextReview: TimerSubscription | undefined;
  #isClosed = false;

  constructor(options: LooksOptions) {
    this.#options = options;
  }

  start(): void {
    this.plan();
    this.#planReview();
  }

  close(): void {
    this.#isClosed = true;
    this.#next?.cancel();
    this.#nextReview?.cancel();
  }

  /** Plans the next look at lines and asks, sooner when something begins to wait. */
  plan(): void {
    if (this.#isClosed) return;
    const { timer, desk, lag } = this.#options;
    const now = timer.now();
    const at = now + desk.nextLook(now);
    if (this.#next !== undefined && this.#nextAt <= at) return;
    this.#next?.cancel();
    this.#nextAt = at;
    this.#next = timer.after(at - now, () => {
      this.#next = undefined;
      lag.observe(timer.now() - at, timer.now());
      desk.tick(timer.now());
      this.plan();
    });
  }

  #planReview(): void {
    if (this.#isClosed) return;
    const { timer, hosts, review, lag } = this.#options;
    const span = hosts() >= LARGE_FLEET ? LARGE_FLEET_REVIEW_MS : REVIEW_MS;
    const at = timer.now() + span;
    this.#nextReview = timer.after(span, () => {
      lag.observe(timer.now() - at, timer.now());
      review(timer.now());
      this.#planReview();
    });
  }
}
