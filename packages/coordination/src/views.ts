import type { HostList } from "@wasabivane/bundle";
import {
  type HostId,
  type Incarnation,
  type Milliseconds,
  rendezvousOrder,
} from "@wasabivane/common";

/**
 * Hosts of a view; a larger fleet takes that many of its hosts, so that messages
 * stay bounded. Four of nine may fail at once.
 */
export const MAX_VIEW_HOSTS = 9;

/** The hosts among which homes of keys are chosen, ordered by the platform's list version. */
export interface View {
  readonly version: number;
  readonly hosts: readonly HostId[];
}

/** Asks a host of a view for a lease; also tells what the asker knows. */
export interface LeaseRequest {
  readonly serial: number;
  readonly incarnation: Incarnation;
  /** Every view that may be active as far as the asker knows. */
  readonly views: readonly View[];
}

/** What a granter says to a {@link LeaseRequest}. */
export interface LeaseReply {
  readonly serial: number;
  /** Who asked; a successor that counts its requests anew must not take the answer for its own. */
  readonly asker: Incarnation;
  readonly incarnation: Incarnation;
  readonly isJoined: boolean;
  /** Views that may be active and that the asker did not name itself. */
  readonly views: readonly View[];
  /** Which of the asker's views can never be active again. */
  readonly retired: readonly number[];
  /** The view that the granter supports; it has no lease left in an older one. */
  readonly supported?: number | undefined;
  /** The view in which a lease was granted, if one was. */
  readonly granted?: number | undefined;
  /**
   * The holder's request since when this granter renewed its lease and granted
   * nothing that could have let another host act in its place.
   */
  readonly unbrokenSince?: number | undefined;
}

/** A view in which this host was active, and since when. */
export interface Tenure {
  readonly view: View;
  /** On the monotonic clock. */
  readonly startedAt: Milliseconds;
}

/** What this host may act for at present. */
export interface ActiveView {
  readonly view: View;
  /** On the monotonic clock; the view is not active from then on. */
  readonly until: Milliseconds;
  /** The present view and those before it without a gap, newest first. */
  readonly tenures: readonly Tenure[];
}

/** The view of a host list: its live hosts, or a bounded choice among them. */
export function viewOfHostList(list: HostList): View {
  const hosts = list.entryHosts
    .filter(({ state }) => state === "live")
    .map(({ host }) => host);
  const chosen = hosts.length <= MAX_VIEW_HOSTS
    ? hosts
    : rendezvousOrder("view", hosts).slice(0, MAX_VIEW_HOSTS);
  return { version: list.version, hosts: [...chosen].sort() };
}

/** Whether two views choose the same homes for every key. */
export function hasSameHosts(left: View, right: View): boolean {
  return left.hosts.length === right.hosts.length &&
    left.hosts.every((host, index) => host === right.hosts[index]);
}

/** How many hosts of a view are more than half of them. */
export function majoritySize(view: View): number {
  return Math.floor(view.hosts.length / 2) + 1;
}

/** The host that decides about a key under a view. */
export function homeOf(key: string, view: View): HostId | undefined {
  return rendezvousOrder(key, view.hosts)[0];
}

/**
 * Since when a host alone decides about a key: the tenure reaches back over
 * earlier views as long as the host was the key's home in them too.
 */
export function tenureStartOf(
  key: string,
  { host, tenures }: { host: HostId; tenures: readonly Tenure[] },
): Milliseconds {
  let startedAt = Infinity;
  for (const tenure of tenures) {
    if (homeOf(key, tenure.view) !== host) break;
    startedAt = tenure.startedAt;
  }
  return startedAt;
}
