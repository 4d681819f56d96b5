import type { Milliseconds, Timer } from "@wasabivane/common";

/**
 * Duration of a poll and what follows it above which the process may have stood
 * still after the poll, so that its result is outdated.
 */
const MAXIMUM_AGE_MS: Milliseconds = 200;
/** Polls after which long iterations of the event loop are accepted. */
const MAXIMUM_POLLS = 3;

/**
 * Calls back once the event loop has just polled all sockets again. What a peer
 * sent before is read by then, its close included, which lies behind the data
 * that was read.
 */
export function afterFreshPoll(
  timer: Timer,
  callback: () => void,
  { polls = MAXIMUM_POLLS }: { polls?: number } = {},
): void {
  setImmediate(() => {
    // The iteration that ends here may have polled before the call.
    const startedAt = timer.now();
    setImmediate(() => {
      const isOutdated = timer.now() - startedAt > MAXIMUM_AGE_MS;
      if (!isOutdated || polls <= 1) return callback();
      afterFreshPoll(timer, callback, { polls: polls - 1 });
    });
  });
}
