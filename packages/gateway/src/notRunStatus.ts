/** Statuses that promise a caller that its request has not run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/**
 * Whether a status promises that the request has not run. An upstream's response
 * with one is replaced by this host's own, which knows whether that is true.
 */
export function isNotRunStatus(status: number): boolean {
  return NOT_RUN_STATUSES.has(status);
}
