import type {
  Milliseconds,
  Timer,
  TimerSubscription,
} from "@wasabivane/common";
import type { UpstreamStats } from "@wasabivane/admission";
import { expectedTokensOf, promptTokensOf } from "./attemptPlan.ts";
import type { AdmittedRequest, Refusal } from "./requestAdmission.ts";

/** Time to place a request and to deliver its response. */
const DELIVERY_MS: Milliseconds = 250;
/**
 * Share of a route's timeout that its requests are taken to last until one has been
 * served.
 */
const UNKNOWN_SHARE = 0.2;
/** Until a request that still has time is checked again, at least. */
const MINIMUM_CHECK_MS: Milliseconds = 10;

/** The answer to a request that has not run, and that another host can serve. */
export const STOPPING_REFUSAL: Refusal = {
  status: 503,
  reason: "stopping",
  retryAfter: 0,
};

/** Receives that the time of a request is over. */
export interface WindowListener {
  /** Called when the request can no longer be served if it has not been sent. */
  onLatestStart(): void;
  /** Called when the process ends. */
  onProcessEnd?(): void;
}

interface WatchedRequest {
  readonly admitted: AdmittedRequest;
  readonly listener: WindowListener;
  startTimer: TimerSubscription | undefined;
}

/** Options of a {@link ServingWindow}. */
export interface ServingWindowOptions {
  readonly timer: Timer;
  readonly stats: Pick<UpstreamStats, "attemptDurations">;
  /** Reports an error of one listener; the others are called all the same. */
  readonly guard: (origin: string, work: () => void) => void;
}

/**
 * Knows when the process ends, and which requests it can still serve until then.
 * Every step of a request that lasts asks it again when it is over.
 */
export class ServingWindow {
  readonly #options: ServingWindowOptions;
  readonly #watched = new Set<WatchedRequest>();
  #endsAt: Milliseconds = Infinity;

  constructor(options: ServingWindowOptions) {
    this.#options = options;
  }

  /** When the process ends; `Infinity` unless it is stopping. */
  get endsAt(): Milliseconds {
    return this.#endsAt;
  }

  /** Whether the process has been told to end. */
  get isClosing(): boolean {
    return this.#endsAt !== Infinity;
  }

  /** Sets when the process ends. */
  close(endsAt: Milliseconds): void {
    this.#endsAt = endsAt;
    for (const watched of [...this.#watched]) this.#arm(watched);
  }

  /** Tells all requests that the process ends now. */
  end(): void {
    for (const { listener } of [...this.#watched]) {
      this.#options.guard("end of a request", () => listener.onProcessEnd?.());
    }
  }

  /** Whether a request that is sent now is likely to be served before the end. */
  hasTimeFor(admitted: AdmittedRequest): boolean {
    return !this.isClosing ||
      this.#options.timer.now() < this.latestStart(admitted);
  }

  /** Until when a request must be sent; `Infinity` unless the process is stopping. */
  latestStart(admitted: AdmittedRequest): Milliseconds {
    if (!this.isClosing) return Infinity;
    return this.#endsAt - DELIVERY_MS - this.#longest(admitted);
  }

  /** Follows a request until the subscription is cancelled. */
  watch(
    admitted: AdmittedRequest,
    listener: WindowListener,
  ): TimerSubscription {
    const watched = { admitted, listener, startTimer: undefined };
    this.#watched.add(watched);
    if (this.isClosing) this.#arm(watched);
    return { cancel: () => this.#forget(watched) };
  }

  /** Waits no longer for a step of a request than until its latest start. */
  whileTimeFor<T>(
    admitted: AdmittedRequest,
    { step, onOver }: { step: Promise<T>; onOver: () => T },
  ): Promise<T> {
    return new Promise((resolve, reject) => {
      const watch = this.watch(admitted, {
        onLatestStart: () => {
          watch.cancel();
          resolve(onOver());
        },
      });
      step.finally(() => watch.cancel()).then(resolve, reject);
    });
  }

  /** A request lasts no longer than until its deadline. */
  #longest(admitted: AdmittedRequest): Milliseconds {
    const { route, service, deadline } = admitted;
    const longest = this.#options.stats.attemptDurations.longest({
      route: route.route,
      service,
      promptTokens: promptTokensOf(admitted),
      expectedTokens: expectedTokensOf(admitted),
    });
    const left = Math.max(0, deadline - this.#options.timer.now());
    return Math.min(longest ?? unknownDuration(admitted), left);
  }

  #arm(watched: WatchedRequest): void {
    const { timer } = this.#options;
    const span = this.latestStart(watched.admitted) - timer.now();
    watched.startTimer?.cancel();
    watched.startTimer = timer.after(
      Math.max(MINIMUM_CHECK_MS, span),
      () => this.#checkStart(watched),
    );
  }

  /** The estimate may have changed since the timer was set. */
  #checkStart(watched: WatchedRequest): void {
    if (!this.#watched.has(watched)) return;
    if (this.hasTimeFor(watched.admitted)) return this.#arm(watched);
    this.#options.guard(
      "latest start of a request",
      () => watched.listener.onLatestStart(),
    );
  }

  #forget(watched: WatchedRequest): void {
    this.#watched.delete(watched);
    watched.startTimer?.cancel();
  }
}

function unknownDuration({ route }: AdmittedRequest): Milliseconds {
  const share = UNKNOWN_SHARE * route.timeout;
  return route.isStreaming ? share : Math.min(share, 3 * route.target);
}
