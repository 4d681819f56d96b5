import type { Milliseconds, UpstreamId } from "@wasabivane/common";
import type { SoftwareVersion, UpstreamOutcome } from "@wasabivane/admission";
import type { AttemptEnd } from "./attempt.ts";
import type { GatewayContext } from "./gatewayContext.ts";
import type { AdmittedRequest } from "./requestAdmission.ts";

/**
 * Upstreams that nothing could be sent to after which a request is refused; they
 * do not count as attempts.
 */
const MAXIMUM_UNSENT = 4;

/** What the end of an attempt tells about the request itself. */
type AttemptOutcome = Pick<AttemptEnd, "outcome" | "wasSent">;

/**
 * Tracks the attempts of one request and decides about retries, by the
 * request's repeatability, its route's attempt limit and the shared retry
 * budget.
 */
export class RetryState {
  readonly excluded = new Set<UpstreamId>();
  readonly #context: GatewayContext;
  readonly #admitted: AdmittedRequest;
  #count = 0;
  #unsent = 0;
  #mayHaveRun = false;

  constructor(
    { context, admitted }: {
      context: GatewayContext;
      admitted: AdmittedRequest;
    },
  ) {
    this.#context = context;
    this.#admitted = admitted;
  }

  /** Number of upstreams that may have received the request. */
  get count(): number {
    return this.#count;
  }

  /** Whether an upstream may have run the request. */
  get mayHaveRun(): boolean {
    return this.#mayHaveRun;
  }

  /** Marks the request as possibly run. */
  markMayHaveRun(): void {
    this.#mayHaveRun = true;
  }

  recordSend(now: Milliseconds): void {
    if (this.#count === 0) {
      this.#context.retries.countInitial(this.#admitted.service, now);
    }
    this.#count++;
  }

  /**
   * Returns whether a retry would be allowed, given whether a response has
   * started.
   */
  canRetry(hasStarted: boolean): boolean {
    return this.#isRepeatable(hasStarted) && this.#hasAttemptsLeft();
  }

  /**
   * Returns whether the request could be retried now at an upstream other than
   * this one, of the version that began its stream if one has.
   */
  hasAlternative(
    upstream: UpstreamId,
    softwareVersion: SoftwareVersion | undefined,
  ): boolean {
    const { placementClient, retries, timer, retryingHosts } = this.#context;
    const { service } = this.#admitted;
    const now = timer.now();
    const excluded = new Set([...this.excluded, upstream]);
    const request = { excluded, softwareVersion, now };
    return placementClient.hasAlternative(service, request) &&
      retries.hasRetry(service, { hosts: retryingHosts(), now });
  }

  /**
   * Records a failed attempt, and returns whether the request is to be retried.
   */
  takeRetry(
    upstream: UpstreamId,
    { end, hasStarted, isQuarantined }: {
      end: AttemptOutcome;
      hasStarted: boolean;
      /** Whether the request is quarantined for crashing upstreams. */
      isQuarantined: boolean;
    },
  ): boolean {
    this.excluded.add(upstream);
    if (!end.wasSent) {
      this.#count--;
      this.#unsent++;
      return this.#unsent < MAXIMUM_UNSENT && !isQuarantined;
    }
    const hasNotRun = isNotRun(end.outcome);
    if (!hasNotRun) this.#mayHaveRun = true;
    if (!hasNotRun && !this.#isRepeatable(hasStarted)) return false;
    if (!this.#hasAttemptsLeft() || isQuarantined) return false;
    const { retries, timer, retryingHosts, metrics } = this.#context;
    const isTaken = retries.takeRetry(this.#admitted.service, {
      hosts: retryingHosts(),
      now: timer.now(),
    });
    metrics.count(isTaken ? "retries_taken" : "retries_over_budget");
    return isTaken;
  }

  /** Returns whether a request that may have run can be retried. */
  #isRepeatable(hasStarted: boolean): boolean {
    const { repeatability } = this.#admitted.route;
    if (repeatability === "at-most-once") return false;
    return repeatability === "resumable" || !hasStarted;
  }

  #hasAttemptsLeft(): boolean {
    return this.#count < this.#admitted.route.maximumAttempts;
  }
}

/**
 * Returns whether an outcome means that the upstream did not run the request.
 */
export function isNotRun(outcome: UpstreamOutcome): boolean {
  return outcome === "not-run" || outcome === "replaced";
}

/** Returns whether the upstream may have run the request of a finished attempt. */
export function hasPossiblyRun({ outcome, wasSent }: AttemptOutcome): boolean {
  return wasSent && outcome !== "cancelled" && !isNotRun(outcome);
}
