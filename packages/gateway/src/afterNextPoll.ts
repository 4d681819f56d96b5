/**
 * Calls back once the event loop has polled all sockets again, in the order of
 * the calls. What a peer sent before is read by then, its close included, which
 * lies behind the data that was read.
 */
export function afterNextPoll(callback: () => void): void {
  // The first iteration may have polled already.
  setImmediate(() => setImmediate(callback));
}
