import {
  type HostId,
  rendezvousOrder,
  type ServiceId,
} from "@wasabivane/common";

/** Fields of a member that pools use. */
export interface PoolMember {
  readonly host: HostId;
  readonly incarnation: string;
  readonly state: "alive" | "suspect" | "dead";
  readonly isLeaving: boolean;
}

/**
 * Returns the coordinator of a pool: the first eligible member in rendezvous
 * order.
 */
export function coordinatorOf(
  service: ServiceId,
  members: readonly PoolMember[],
): PoolMember | undefined {
  const candidates = members.filter(isEligible);
  const [first] = rendezvousOrder(
    `pool:${service}`,
    candidates.map(({ host }) => host),
  );
  return candidates.find(({ host }) => host === first);
}

function isEligible(member: PoolMember): boolean {
  return member.state !== "dead" && !member.isLeaving;
}
