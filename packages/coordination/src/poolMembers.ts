import {
  type HostId,
  rendezvousOrder,
  type ServiceId,
} from "@wasabivane/common";

/** What pools need to know of an entry host. */
export interface PoolMember {
  readonly host: HostId;
  readonly incarnation: string;
  readonly state: "alive" | "suspect" | "dead";
  readonly isLeaving: boolean;
}

/** The member that keeps a pool: the first alive one by rendezvous order. */
export function coordinatorOf(
  service: ServiceId,
  members: readonly PoolMember[],
): PoolMember | undefined {
  const candidates = members.filter(canKeep);
  const [first] = rendezvousOrder(
    `pool:${service}`,
    candidates.map(({ host }) => host),
  );
  return candidates.find(({ host }) => host === first);
}

function canKeep(member: PoolMember): boolean {
  return member.state !== "dead" && !member.isLeaving;
}
