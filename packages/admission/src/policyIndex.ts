import type { ClientAccountId, ServiceId } from "@wasabivane/common";
import type { ClientAccount, Policy, Route, Service } from "./types.ts";

/** Index of the routes, keys and services of one policy. */
export class PolicyIndex {
  readonly policy: Policy;
  readonly #routes = new Map<string, Route[]>();
  readonly #accountsByKey = new Map<string, ClientAccount>();
  readonly #accounts = new Map<ClientAccountId, ClientAccount>();
  readonly #services = new Map<ServiceId, Service>();

  constructor(policy: Policy) {
    this.policy = policy;
    this.#indexRoutes();
    for (const account of policy.accounts) {
      this.#accounts.set(account.account, account);
      for (const key of account.apiKeys) this.#accountsByKey.set(key, account);
    }
    for (const service of policy.services) {
      this.#services.set(service.service, service);
    }
  }

  /**
   * Returns the route of the host whose prefix is the longest match of the
   * path.
   */
  route(host: string, path: string): Route | undefined {
    return this.#routes.get(hostName(host))?.find(({ prefix }) =>
      path.startsWith(prefix)
    );
  }

  /** Returns the account that holds a key. */
  accountOfKey(key: string): ClientAccount | undefined {
    return this.#accountsByKey.get(key);
  }

  account(account: ClientAccountId): ClientAccount | undefined {
    return this.#accounts.get(account);
  }

  service(service: ServiceId): Service | undefined {
    return this.#services.get(service);
  }

  #indexRoutes(): void {
    for (const route of this.policy.routes) {
      const routes = this.#routes.get(route.host) ?? [];
      routes.push(route);
      this.#routes.set(route.host, routes);
    }
    for (const routes of this.#routes.values()) {
      routes.sort((left, right) => right.prefix.length - left.prefix.length);
    }
  }
}

/**
 * Returns the host name of a `Host` header, in lower case and without the port.
 */
function hostName(field: string): string {
  const colon = field.indexOf(":");
  return (colon < 0 ? field : field.slice(0, colon)).toLowerCase();
}
