import type {
  Milliseconds,
  Timer,
  TimerSubscription,
} from "@wasabivane/common";
import type { EventLoopLag } from "@wasabivane/admission";
import type { CellRouter } from "./cellRouter.ts";
import type { UncaughtErrors } from "./uncaughtErrors.ts";

/** Interval of maintenance, such as heartbeats and usage reports. */
const MAINTENANCE_MS: Milliseconds = 100;
/** Interval in a large fleet, where messages are rarer. */
const LARGE_FLEET_MAINTENANCE_MS: Milliseconds = 200;
/** Peers from which a fleet counts as large. */
const LARGE_FLEET_PEERS = 16;

/** Options of {@link PeriodicChecks}. */
export interface PeriodicChecksOptions {
  readonly timer: Timer;
  readonly errors: Pick<UncaughtErrors, "guard">;
  readonly cellRouter: Pick<CellRouter, "tick" | "timeToNextCheck">;
  /** Observes how late the timers run. */
  readonly lag: Pick<EventLoopLag, "observe">;
  /** Returns the number of live peers. */
  readonly peerCount: () => number;
  /** Runs the maintenance. */
  readonly runMaintenance: (now: Milliseconds) => void;
}

/**
 * Runs a host's periodic work: queue checks at a variable interval, and
 * maintenance. An error in one run does not end the following ones.
 */
export class PeriodicChecks {
  readonly #options: PeriodicChecksOptions;
  #nextCheck: TimerSubscription | undefined;
  #nextCheckAt: Milliseconds = Infinity;
  #nextMaintenance: TimerSubscription | undefined;
  #isClosed = false;

  constructor(options: PeriodicChecksOptions) {
    this.#options = options;
  }

  start(): void {
    this.schedule();
    this.#scheduleMaintenance();
  }

  close(): void {
    this.#isClosed = true;
    this.#nextCheck?.cancel();
    this.#nextMaintenance?.cancel();
  }

  /**
   * Schedules the next check of queues and updates; an earlier one replaces a
   * later one.
   */
  schedule(): void {
    if (this.#isClosed) return;
    const { timer, errors, cellRouter, lag } = this.#options;
    const now = timer.now();
    let delay = MAINTENANCE_MS;
    errors.guard("queue check", () => {
      delay = cellRouter.timeToNextCheck(now);
    });
    const at = now + delay;
    if (this.#nextCheck !== undefined && this.#nextCheckAt <= at) return;
    this.#nextCheck?.cancel();
    this.#nextCheckAt = at;
    this.#nextCheck = timer.after(at - now, () => {
      this.#nextCheck = undefined;
      lag.observe(timer.now() - at, timer.now());
      errors.guard("queue check", () => cellRouter.tick(timer.now()));
      this.schedule();
    });
  }

  #scheduleMaintenance(): void {
    if (this.#isClosed) return;
    const { timer, errors, peerCount, runMaintenance, lag } = this.#options;
    const span = peerCount() >= LARGE_FLEET_PEERS
      ? LARGE_FLEET_MAINTENANCE_MS
      : MAINTENANCE_MS;
    const at = timer.now() + span;
    this.#nextMaintenance = timer.after(span, () => {
      lag.observe(timer.now() - at, timer.now());
      errors.guard("maintenance", () => runMaintenance(timer.now()));
      this.#scheduleMaintenance();
    });
  }
}
