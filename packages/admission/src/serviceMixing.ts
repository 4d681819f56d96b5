import type { Milliseconds, ServiceId } from "@wasabivane/common";
import type { PolicyIndex } from "./policyIndex.ts";
import type { Route } from "./types.ts";

/**
 * Tracks which services share routes whose streams may be resumed: routes with
 * several targets, and those that a policy moved. A stream of such a route may
 * have begun at another service than the one that its caller is now sent to.
 */
export class ServiceMixing {
  #index: PolicyIndex | undefined;
  /** When each service shared a route last; Infinity while it does. */
  readonly #mixedAt = new Map<ServiceId, Milliseconds>();

  /** Records that a policy has taken effect. */
  apply(index: PolicyIndex, now: Milliseconds): void {
    for (const [service, mixedAt] of this.#mixedAt) {
      if (mixedAt === Infinity) this.#mixedAt.set(service, now);
    }
    const former = this.#index;
    this.#index = index;
    for (const place of placesOf(former, index)) {
      this.#record([former, index], { place, at: now });
      this.#record([index], { place, at: Infinity });
    }
  }

  /** Whether a service has shared a route since a time. */
  isMixed(service: ServiceId, since: Milliseconds): boolean {
    return (this.#mixedAt.get(service) ?? -Infinity) > since;
  }

  #record(
    indexes: readonly (PolicyIndex | undefined)[],
    { place: { host, prefix }, at }: { place: Route; at: Milliseconds },
  ): void {
    const routes = indexes.flatMap((index) => index?.route(host, prefix) ?? []);
    if (!routes.some(isResumable)) return;
    const services = new Set(
      routes.flatMap(({ targets }) => targets.map(({ service }) => service)),
    );
    if (services.size < 2) return;
    for (const service of services) this.#mixedAt.set(service, at);
  }
}

/** Routes from whose prefixes on requests may be led elsewhere. */
function placesOf(...indexes: (PolicyIndex | undefined)[]): Route[] {
  return indexes.flatMap((index) => index?.policy.routes ?? []);
}

function isResumable({ isStreaming, repeatability }: Route): boolean {
  return isStreaming && repeatability === "resumable";
}
