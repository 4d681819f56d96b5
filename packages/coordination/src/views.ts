import type { HostList } from "@wasabivane/bundle";
import {
  type HostId,
  type Incarnation,
  type Milliseconds,
  rendezvousOrder,
} from "@wasabivane/common";

/**
 * Maximum number of hosts in a view; larger fleets use a subset, which bounds
 * the number of lease messages.
 */
export const MAX_VIEW_HOSTS = 9;

/**
 * Set of hosts that act as homes of keys; ordered by the version of the
 * platform's host list.
 */
export interface View {
  readonly version: number;
  readonly hosts: readonly HostId[];
}

/** Requests a lease and reports the views that the requester knows. */
export interface LeaseRequest {
  readonly serial: number;
  readonly incarnation: Incarnation;
  /** Every view that may be active, as known to the requester. */
  readonly views: readonly View[];
}

/** Replies to a {@link LeaseRequest}. */
export interface LeaseReply {
  readonly serial: number;
  /** Incarnation of the requester; serials start anew with each incarnation. */
  readonly asker: Incarnation;
  readonly incarnation: Incarnation;
  readonly isJoined: boolean;
  /** Views that may be active and that the request did not list. */
  readonly views: readonly View[];
  /** Versions of the requester's views that can never be active again. */
  readonly retired: readonly number[];
  /**
   * Version of the view that the granter supports; it has no unexpired lease in
   * an older one.
   */
  readonly supported?: number | undefined;
  /** Version of the view in which a lease was granted, if any. */
  readonly granted?: number | undefined;
  /**
   * Serial of the holder's request since which this granter has renewed the
   * lease without granting one that could let another host act in its place.
   */
  readonly unbrokenSince?: number | undefined;
}

/** View in which this host has been active, with the start time. */
export interface Tenure {
  readonly view: View;
  /** Start time on the monotonic clock. */
  readonly startedAt: Milliseconds;
}

/** The active view of this host, in which it may act as a home of keys. */
export interface ActiveView {
  readonly view: View;
  /** Expiry on the monotonic clock. */
  readonly until: Milliseconds;
  /** The current view and the contiguous earlier ones, newest first. */
  readonly tenures: readonly Tenure[];
}

/**
 * Derives the view of a host list: its live hosts, or a limited subset of them.
 */
export function viewOfHostList(list: HostList): View {
  const hosts = list.entryHosts
    .filter(({ state }) => state === "live")
    .map(({ host }) => host);
  const chosen = hosts.length <= MAX_VIEW_HOSTS
    ? hosts
    : rendezvousOrder("view", hosts).slice(0, MAX_VIEW_HOSTS);
  return { version: list.version, hosts: [...chosen].sort() };
}

/**
 * Tells whether two views have the same hosts and so the same home for each
 * key.
 */
export function hasSameHosts(left: View, right: View): boolean {
  return left.hosts.length === right.hosts.length &&
    left.hosts.every((host, index) => host === right.hosts[index]);
}

/** Returns the number of hosts that form a majority of a view. */
export function majoritySize(view: View): number {
  return Math.floor(view.hosts.length / 2) + 1;
}

/** Returns the host that decides about a key in a view. */
export function homeOf(key: string, view: View): HostId | undefined {
  return rendezvousOrder(key, view.hosts)[0];
}

/**
 * Returns when the host became the only one that decides about a key: the start
 * of the earliest contiguous tenure in which it was the key's home.
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
