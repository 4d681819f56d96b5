import type { Bundle, HostList, Service, Upstream } from "@wasabivane/bundle";
import type { ServiceId } from "@wasabivane/common";
import type {
  AccountPolicy,
  PoolPolicy,
  UpstreamDescription,
} from "@wasabivane/decisions";

/** Derives the scheduling policy of a service from the bundle and host list. */
export function poolPolicyOf(
  serviceId: ServiceId,
  { bundle, hostList }: { bundle: Bundle; hostList: HostList | undefined },
): PoolPolicy | undefined {
  const service = bundle.services.find(({ service }) => service === serviceId);
  if (service === undefined) return undefined;
  const upstreams = bundle.upstreams.filter((upstream) =>
    upstream.service === serviceId
  );
  const states = statesOf(hostList);
  return {
    upstreams: upstreams.map((upstream) => describeUpstream(upstream, states)),
    accounts: accountsOf(bundle, service),
    tiers: bundle.tiers.map(({ tier }) => tier),
    initialConcurrency: service.initialConcurrency,
    maximumConcurrency: service.maximumConcurrency,
    maximumWaitingTokens: service.maximumWaitingTokens,
    maximumWaitingBytes: service.maximumWaitingBytes,
    maximumEjectedShare: service.maximumEjectedShare,
    domainDistanceMs: bundle.domainDistanceMs,
  };
}

function statesOf(hostList: HostList | undefined): Map<string, string> {
  const upstreams = hostList?.upstreams ?? [];
  return new Map(upstreams.map(({ upstream, state }) => [upstream, state]));
}

/**
 * Describes an upstream to the scheduler. Marks it as leaving if the host list
 * does not list it as live; without a host list all upstreams count as live.
 */
function describeUpstream(
  { upstream, failureDomain, generation }: Upstream,
  states: Map<string, string>,
): UpstreamDescription {
  const isListed = states.size === 0 || states.get(upstream) === "live";
  return { upstream, failureDomain, generation, isLeaving: !isListed };
}

function accountsOf(bundle: Bundle, { service }: Service): AccountPolicy[] {
  return bundle.clientAccounts
    .filter(({ services }) => services.includes(service))
    .map(({ account, limits }) => ({ account, ...limits }));
}
