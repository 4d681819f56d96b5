import type { Milliseconds, Timer } from "@wasabivane/common";
import type {
  OverQuota,
  QuotaLimiter,
  QuotaRequest,
} from "@wasabivane/admission";
import type { Result } from "neverthrow";

/** How long a request waits for credit that the host has requested. */
const WAIT_MS: Milliseconds = 1_000;
/** Share of the time left that a request spends on that, to be served then. */
const MAXIMUM_WAIT_SHARE = 0.5;

/** Options of a {@link QuotaGate}. */
export interface QuotaGateOptions {
  readonly quotas: QuotaLimiter;
  readonly timer: Timer;
  /** Requests credit for this host. */
  readonly requestCredit: () => void;
}

/** Charges requests to their accounts' quotas, once the host has credit. */
export class QuotaGate {
  readonly #options: QuotaGateOptions;
  readonly #waiting = new Set<() => void>();

  constructor(options: QuotaGateOptions) {
    this.#options = options;
  }

  /** Refuses a request whose account has just got no credit; takes nothing. */
  check(request: QuotaRequest): Result<void, OverQuota> {
    const { quotas, timer } = this.#options;
    return this.#count(request, quotas.check(request, timer.now()));
  }

  /** Takes the units of a request, which may wait for credit. */
  async charge(
    request: QuotaRequest,
    { deadline, latestStart }: {
      deadline: Milliseconds;
      /** Until when the request must be sent. */
      latestStart: Milliseconds;
    },
  ): Promise<Result<void, OverQuota>> {
    const { quotas, timer, requestCredit } = this.#options;
    const now = timer.now();
    const span = Math.min(WAIT_MS, MAXIMUM_WAIT_SHARE * (deadline - now));
    const until = Math.min(now + span, latestStart);
    for (;;) {
      const taken = quotas.take(request, timer.now());
      const isDecided = taken.isOk() || !taken.error.isPending;
      if (isDecided || timer.now() >= until) return this.#count(request, taken);
      const granted = this.#nextGrants(until - timer.now());
      requestCredit();
      await granted;
    }
  }

  /** Lets requests that wait try again. */
  handleGrants(): void {
    for (const resume of [...this.#waiting]) resume();
  }

  #count(
    { account }: QuotaRequest,
    result: Result<void, OverQuota>,
  ): Result<void, OverQuota> {
    if (result.isErr()) this.#options.quotas.countRefusal(account);
    return result;
  }

  #nextGrants(span: Milliseconds): Promise<void> {
    return new Promise((resolve) => {
      const resume = (): void => {
        timeout.cancel();
        this.#waiting.delete(resume);
        resolve();
      };
      const timeout = this.#options.timer.after(span, resume);
      this.#waiting.add(resume);
    });
  }
}
