import type { PolicyState } from "./policyState.ts";

/** Connections per upstream until a policy sets a limit. */
const FALLBACK_CONNECTIONS = 64;

/**
 * Returns how many connections this host may open to one upstream: its share of
 * the policy's limit.
 */
export function connectionShare(policies: PolicyState, hosts: number): number {
  const services = policies.index?.policy.services ?? [];
  let lowest = Infinity;
  for (const { maximumConnections } of services) {
    lowest = Math.min(lowest, maximumConnections);
  }
  if (!Number.isFinite(lowest)) return FALLBACK_CONNECTIONS;
  return Math.max(1, Math.floor(lowest / hosts));
}
