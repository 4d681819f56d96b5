import type { Milliseconds, UpstreamId } from "@wasabivane/common";
import type { UpstreamOutcome } from "@wasabivane/admission";
import type { GatewayContext } from "./gatewayContext.ts";
import type { Admitted } from "./intake.ts";

/** Unreachable upstreams cost a request no send; after so many it is refused. */
const MAXIMUM_UNREACHABLE = 4;

/**
 * Where one request was sent, and whether it may be sent to another upstream: by
 * what it is, by the most attempts of its route and by the shared retry budget.
 */
export class RequestSends {
  readonly excluded = new Set<UpstreamId>();
  readonly #parts: GatewayContext;
  readonly #admitted: Admitted;
  #count = 0;
  #unreachable = 0;
  #mayHaveRun = false;

  constructor(
    { parts, admitted }: { parts: GatewayContext; admitted: Admitted },
  ) {
    this.#parts = parts;
    this.#admitted = admitted;
  }

  /** Upstreams that may have got it. */
  get count(): number {
    return this.#count;
  }

  /** Whether some upstream may have run the request. */
  get mayHaveRun(): boolean {
    return this.#mayHaveRun;
  }

  /** It may have run although nothing was heard of it. */
  noteMayHaveRun(): void {
    this.#mayHaveRun = true;
  }

  noteSend(now: Milliseconds): void {
    if (this.#count === 0) {
      this.#parts.retries.countInitial(this.#admitted.service, now);
    }
    this.#count++;
  }

  /** Whether another send would be allowed after this one; `hasStarted`: an answer is under way. */
  mayFollow(hasStarted: boolean): boolean {
    return this.#isRepeatable(hasStarted) && this.#hasAttemptsLeft();
  }

  /** Whether an attempt that ends now could go on at another upstream than this one. */
  hasOther(upstream: UpstreamId): boolean {
    const { places, retries, timer, hostCount } = this.#parts;
    const { service } = this.#admitted;
    const now = timer.now();
    const excluded = new Set([...this.excluded, upstream]);
    return places.hasAlternative(service, { excluded, now }) &&
      retries.hasRetry(service, { hosts: hostCount(), now });
  }

  /** An attempt did not end whole; true when the request is to be sent again. */
  takeNext(
    upstream: UpstreamId,
    { outcome, hasStarted, isConvicted }: {
      outcome: UpstreamOutcome;
      hasStarted: boolean;
      /** It crashed so many upstreams that it must not run again. */
      isConvicted: boolean;
    },
  ): boolean {
    this.excluded.add(upstream);
    if (outcome === "unreachable") {
      this.#count--;
      this.#unreachable++;
      return this.#unreachable < MAXIMUM_UNREACHABLE;
    }
    const hasNotRun = isNotRun(outcome);
    if (!hasNotRun) this.#mayHaveRun = true;
    if (!hasNotRun && !this.#isRepeatable(hasStarted)) return false;
    if (!this.#hasAttemptsLeft() || isConvicted) return false;
    const { retries, timer, hostCount } = this.#parts;
    return retries.takeRetry(this.#admitted.service, {
      hosts: hostCount(),
      now: timer.now(),
    });
  }

  /** Whether a request that may have run can be sent to another upstream. */
  #isRepeatable(hasStarted: boolean): boolean {
    const { repeatability } = this.#admitted.route;
    if (repeatability === "at-most-once") return false;
    return repeatability === "resumable" || !hasStarted;
  }

  #hasAttemptsLeft(): boolean {
    return this.#count < this.#admitted.route.maximumAttempts;
  }
}

/** The upstream said that it did not run it, or another one has its address. */
export function isNotRun(outcome: UpstreamOutcome): boolean {
  return outcome === "not-run" || outcome === "replaced";
}
