import {
  type FailureDomain,
  type HostId,
  type JobId,
  type Milliseconds,
  rendezvousOrder,
} from "@wasabivane/common";
import { hostOfMember, type MemberId, memberId } from "./jobRegister.ts";

const MAX_REMEMBERED_DEAD = 4096;

/** What jobs need to know of an entry host. */
export interface JobMember {
  readonly host: HostId;
  readonly incarnation: string;
  readonly failureDomain: FailureDomain;
  readonly state: "alive" | "suspect" | "dead";
  readonly isLeaving: boolean;
}

/**
 * Which processes answer, as the membership tells. It may be wrong: a paused or
 * cut-off process looks dead. Nothing here decides about a dispatch alone.
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

  /** How long a process has looked dead here; 0 for one that does not. */
  deadFor(id: MemberId, now: Milliseconds): Milliseconds {
    if (!this.isDead(id)) {
      this.#deadSince.delete(id);
      return 0;
    }
    const since = this.#deadSince.get(id) ?? now;
    if (this.#deadSince.size >= MAX_REMEMBERED_DEAD) this.#deadSince.clear();
    this.#deadSince.set(id, since);
    return now - since;
  }

  /** Whether the process is gone for certain: its host runs another one. */
  isReplaced(id: MemberId): boolean {
    const member = this.#byHost.get(hostOfMember(id));
    return member !== undefined && memberIdOf(member) !== id;
  }

  isLeaving(id: MemberId): boolean {
    return this.#byHost.get(hostOfMember(id))?.isLeaving === true;
  }

  /** Hosts that may take a copy. */
  availableMembers(): JobMember[] {
    return [...this.#byHost.values()].filter(({ state, isLeaving }) =>
      state === "alive" && !isLeaving
    );
  }

  /** The failure domains of the given processes, as far as they are known. */
  domainsOf(ids: readonly MemberId[]): FailureDomain[] {
    return ids.flatMap((id) => this.#byHost.get(hostOfMember(id)) ?? [])
      .map(({ failureDomain }) => failureDomain);
  }
}

/** The process that runs on a member's host. */
export function memberIdOf({ host, incarnation }: JobMember): MemberId {
  return memberId(host, incarnation);
}

/** The part of a job's id that places it. */
export function placementKey(id: JobId): string {
  return id.split("~", 1)[0]!;
}

/** The hosts that a job's id names. */
export function hostsInId(id: JobId): HostId[] {
  return id.split("~").slice(1) as HostId[];
}

/**
 * Picks hosts for copies in the rendezvous order of the job: first hosts in
 * failure domains that hold none, then hosts outside the first holder's domain,
 * then any. Any entry host knows that order, so that it finds a job that moved.
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
  const take = (accepts: (member: JobMember) => boolean): void => {
    for (const member of order) {
      if (chosen.length >= count) return;
      if (chosen.includes(member) || !accepts(member)) continue;
      chosen.push(member);
      domains.add(member.failureDomain);
    }
  };
  take(({ failureDomain }) => !domains.has(failureDomain));
  take(({ failureDomain }) => failureDomain !== usedDomains[0]);
  take(() => true);
  return chosen;
}

/** Members in the rendezvous order of a job. */
export function inRendezvousOrder(
  id: JobId,
  members: readonly JobMember[],
): JobMember[] {
  const byHost = new Map(members.map((member) => [member.host, member]));
  return rendezvousOrder(placementKey(id), [...byHost.keys()])
    .map((host) => byHost.get(host)!);
}
