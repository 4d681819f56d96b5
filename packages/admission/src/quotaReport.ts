import type { ClientAccountId, HostId, Incarnation } from "@wasabivane/common";

/**
 * What a host has used of an account's credit and needs. Sums are of one
 * incarnation of the host, so that lost and repeated messages change nothing.
 */
export interface AccountDemand {
  readonly account: ClientAccountId;
  /** Units admitted, less refunds. */
  readonly used: number;
  /** Credit given back unused. */
  readonly returned: number;
  /** Credit received. */
  readonly limit: number;
  /** Unused credit that the host needs until some reports later. */
  readonly needed: number;
  /** Mean units of a request. */
  readonly requestUnits: number;
  /** Whether slots are free for the account's requests and none wait. */
  readonly isIdle: boolean;
}

/** The demand of one host. */
export interface QuotaReport {
  readonly host: HostId;
  readonly incarnation: Incarnation;
  readonly demands: readonly AccountDemand[];
  /** Whether the host gets its credit from another host from now on. */
  readonly isLast: boolean;
}

/** An account's credit at one host. */
export interface AccountGrant {
  /** Credit since the start of the host. */
  readonly limit: number;
  /** Units of the quota that no host holds; negative in debt. */
  readonly level: number;
}

/** Credit of one host, in reply to its report. */
export interface QuotaGrants {
  readonly accounts: ReadonlyMap<ClientAccountId, AccountGrant>;
  /** Number of hosts that share the quotas. */
  readonly hosts: number;
  /** Whether the ledger has had time for the reports of all hosts. */
  readonly isSettled: boolean;
}
