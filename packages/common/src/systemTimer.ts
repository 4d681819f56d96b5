import { performance } from "node:perf_hooks";
import type { EpochMilliseconds, Milliseconds } from "./ids.ts";
import { Timer, type TimerSubscription } from "./timer.ts";

/** The runtime calls back at once after a longer delay. */
const MAXIMUM_DELAY_MS: Milliseconds = 2 ** 31 - 1;

/** Implements {@link Timer} with the system clocks and timers. */
export class SystemTimer extends Timer {
  override now(): Milliseconds {
    return performance.now();
  }

  override wallNow(): EpochMilliseconds {
    return Date.now();
  }

  override after(
    delay: Milliseconds,
    callback: () => void,
  ): TimerSubscription {
    const handle = setTimeout(callback, boundedDelay(delay));
    return { cancel: () => clearTimeout(handle) };
  }

  override every(
    period: Milliseconds,
    callback: () => void,
  ): TimerSubscription {
    const handle = setInterval(callback, boundedDelay(period));
    return { cancel: () => clearInterval(handle) };
  }
}

function boundedDelay(delay: Milliseconds): Milliseconds {
  return Math.min(delay, MAXIMUM_DELAY_MS);
}
