import { performance } from "node:perf_hooks";
import type { EpochMilliseconds, Milliseconds } from "./ids.ts";
import { Timer, type TimerSubscription } from "./timer.ts";

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
    const handle = setTimeout(callback, delay);
    return { cancel: () => clearTimeout(handle) };
  }

  override every(
    period: Milliseconds,
    callback: () => void,
  ): TimerSubscription {
    const handle = setInterval(callback, period);
    return { cancel: () => clearInterval(handle) };
  }
}
