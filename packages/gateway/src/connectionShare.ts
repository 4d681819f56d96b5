import type { PolicyState } from "./policyState.ts";

/** Connections to one upstream before a policy says how many it takes. */
const FALLBACK_CONNECTIONS = 64;

/** Connections that this host may have to one upstream, of what all may have. */
export function connectionShare(policies: PolicyState, hosts: number): number {
  const services = policies.index?.policy.services ?? [];
  let least = Infinity;
  for (const { maximumConnections } of services) {
    least = Math.min(least, maximumConnections);
  }
  if (!Number.isFinite(least)) return FALLBACK_CONNECTIONS;
  return Math.max(1, Math.floor(least / hosts));
}
