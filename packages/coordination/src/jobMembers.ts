import {
  type FailureDomain,
  type HostId,
  type JobId,
  type Milliseconds,
  rendezvousOrder,
} from "@wasabivane/common";
import { hostOfMember, type MemberId, memberId } from "./jobRegister.ts";

const MAX_TRACKED_DEAD = 4096;

/** Fields of a member that jobs use. */
export interface JobMember {
  readonly host: HostId;
  readonly incarnation: string;
  readonly failureDomain: FailureDomain;
  readonly state: "alive" | "suspect" | "dead";
  readonly isLeaving: boolean;
}

/**
 * Tracks which processes are alive according to the membership. A paused or
 * partitioned process looks dead, so this never permits a dispatch by itself.
 */
export class JobMembers {
  readonly #byHost = new Map<HostId, JobMember>();
  readonly #deadSince = new Map<MemberId, Milliseconds>();

  set(members: readonly JobMember[]): void {
    this.#byHost.clear();
    for (const member of members) this.#byHost.set(member.host, member);
  }

  find(host: HostId): JobMember | undefined {
    return this.#byHost.get(host);
  }

  isDead(id: MemberId): boolean {
    const member = this.#byHost.get(hostOfMember(id));
    return member === undefined || member.state === "dead" ||
      memberIdOf(member) !== id;
  }

  /**
   * Returns for how long a process has been considered dead; 0 if it is alive.
   */
  deadFor(id: MemberId, now: Milliseconds): Milliseconds {
    if (!this.isDead(id)) {
      this.#deadSince.delete(id);
      return 0;
    }
    const since = this.#deadSince.get(id) ?? now;
    if (this.#deadSince.size >= MAX_TRACKED_DEAD) this.#deadSince.clear();
    this.#deadSince.set(id, since);
    return now - since;
  }

  /**
   * Tells whether the process has certainly ended: its host runs another one.
   */
  isReplaced(id: MemberId): boolean {
    const member = this.#byHost.get(hostOfMember(id));
    return member !== undefined && memberIdOf(member) !== id;
  }

  isLeaving(id: MemberId): boolean {
    return this.#byHost.get(hostOfMember(id))?.isLeaving === true;
  }

  /** Returns the hosts that can hold a copy. */
  availableMembers(): JobMember[] {
    return [...this.#byHost.values()].filter(({ state, isLeaving }) =>
      state === "alive" && !isLeaving
    );
  }

  /** Returns the known failure domains of the given processes. */
  domainsOf(ids: readonly MemberId[]): FailureDomain[] {
    return ids.flatMap((id) => this.#byHost.get(hostOfMember(id)) ?? [])
      .map(({ failureDomain }) => failureDomain);
  }
}

/** Returns the id of the process that runs on a member's host. */
export function memberIdOf({ host, incarnation }: JobMember): MemberId {
  return memberId(host, incarnation);
}

/** Returns the part of a job's id that determines its placement. */
export function placementKey(id: JobId): string {
  return id.split("~", 1)[0]!;
}

/** Returns the hosts contained in a job's id. */
export function hostsInId(id: JobId): HostId[] {
  return id.split("~").slice(1) as HostId[];
}

/**
 * Selects hosts for copies in the job's rendezvous order: first hosts in
 * failure domains without a copy, then hosts outside the holder's domain, then
 * any. Every entry host can compute this order to find a job that moved.
 */
export function chooseReplicaHosts(
  id: JobId,
  { candidates, usedDomains, count }: {
    candidates: readonly JobMember[];
    usedDomains: readonly FailureDomain[];
    count: number;
  },
): JobMember[] {
  const order = inRendezvousOrder(id, candidates);
  const chosen: JobMember[] = [];
  const domains = new Set(usedDomains);
  const choose = (isEligible: (member: JobMember) => boolean): void => {
    for (const member of order) {
      if (chosen.length >= count) return;
      if (chosen.includes(member) || !isEligible(member)) continue;
      chosen.push(member);
      domains.add(member.failureDomain);
    }
  };
  choose(({ failureDomain }) => !domains.has(failureDomain));
  choose(({ failureDomain }) => failureDomain !== usedDomains[0]);
  choose(() => true);
  return chosen;
}

/** Sorts members by the rendezvous order of a job. */
export function inRendezvousOrder(
  id: JobId,
  members: readonly JobMember[],
): JobMember[] {
  const byHost = new Map(members.map((member) => [member.host, member]));
  return rendezvousOrder(placementKey(id), [...byHost.keys()])
    .map((host) => byHost.get(host)!);
}
