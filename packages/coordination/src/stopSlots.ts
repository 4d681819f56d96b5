import type { FailureDomain, HostId, Milliseconds } from "@wasabivane/common";

/**
 * Decides when this host may stop, so that few hosts of one failure domain stop
 * at once.
 *
 * Load pattern: an operator, or a rollout that went wrong, stops several hosts of
 * a domain in the same second. Without it their callers all move to the hosts
 * that are left, which then shed. The hosts of the domain grant each other by
 * logical clocks (Ricart and Agrawala): who asked first goes first, so two that
 * ask at once cannot both be refused or both go. A host may go while fewer
 * others than there are slots have not granted it.
 */

/**
 * A host that died without releasing its slot holds it so long; its callers
 * press on the others meanwhile.
 */
export const SLOT_HOLD_MS: Milliseconds = 60_000;

/** What stopping needs to know of an entry host. */
export interface StopMember {
  readonly host: HostId;
  readonly incarnation: string;
  readonly failureDomain: FailureDomain;
  readonly state: "alive" | "suspect" | "dead";
}

/** When a host asked; earlier tickets go first. */
export interface StopTimestamp {
  readonly clock: number;
  readonly host: HostId;
}

/** A message of another host, with the process that sent it. */
export interface StopSender {
  readonly host: HostId;
  readonly incarnation: string;
  readonly clock: number;
}

type Standing = "idle" | "asking" | "holding";

/** The slots of one failure domain, as one of its hosts sees them. */
export class StopSlots {
  readonly #self: HostId;
  readonly #domain: FailureDomain;
  readonly #granted = new Set<HostId>();
  /** Processes that this host let go first while it asked itself. */
  readonly #yielded = new Map<
    HostId,
    { incarnation: string; until: Milliseconds }
  >();
  /** Incarnations that ended their stop. */
  readonly #released = new Set<string>();
  readonly #deadSince = new Map<HostId, Milliseconds>();
  #neighbours: readonly StopMember[] = [];
  #clock = 0;
  #standing: Standing = "idle";
  #ticket: StopTimestamp | undefined;

  constructor(
    { self, domain }: { self: HostId; domain: FailureDomain },
  ) {
    this.#self = self;
    this.#domain = domain;
  }

  get requestTimestamp(): StopTimestamp | undefined {
    return this.#ticket;
  }

  setMembers(members: readonly StopMember[], now: Milliseconds): void {
    this.#neighbours = members.filter(({ host, failureDomain }) =>
      host !== this.#self && failureDomain === this.#domain
    );
    for (const { host, state } of this.#neighbours) {
      if (state !== "dead") this.#deadSince.delete(host);
      else if (!this.#deadSince.has(host)) this.#deadSince.set(host, now);
    }
  }

  /** Starts to ask; asking again changes nothing. */
  request(): StopTimestamp {
    if (this.#ticket === undefined) {
      this.#clock++;
      this.#ticket = { clock: this.#clock, host: this.#self };
      this.#standing = "asking";
    }
    return this.#ticket;
  }

  /** Hosts whose grant is still wanted. */
  hostsToAsk(): HostId[] {
    if (this.#standing !== "asking") return [];
    return this.#neighbours
      .filter(({ host, state }) => state !== "dead" && !this.#granted.has(host))
      .map(({ host }) => host);
  }

  /** Whether this host grants a neighbour's ticket. */
  handleRequest(
    { host, incarnation, clock }: StopSender,
    now: Milliseconds,
  ): boolean {
    this.#clock = Math.max(this.#clock, clock) + 1;
    if (this.#standing === "holding") return false;
    if (this.#ticket === undefined) return true;
    if (!isEarlierTicket({ clock, host }, this.#ticket)) return false;
    // A grant came from that host before it asked, or from a process that ran
    // there earlier and may have granted more; both are void, also if they come
    // late, since this host would else stop together with the one it yields to.
    this.#granted.delete(host);
    this.#yielded.set(host, { incarnation, until: now + SLOT_HOLD_MS });
    return true;
  }

  /** Takes a neighbour's grant of one of this host's tickets. */
  applyGrant(
    { host, incarnation, clock }: StopSender,
    now: Milliseconds,
  ): void {
    this.#clock = Math.max(this.#clock, clock);
    if (clock !== this.#ticket?.clock) return;
    const yielded = this.#yielded.get(host);
    const isVoid = yielded !== undefined && yielded.until > now &&
      yielded.incarnation !== incarnation;
    if (!isVoid) this.#granted.add(host);
  }

  /** A neighbour's process has ended its stop. */
  applyRelease(incarnation: string): void {
    this.#released.add(incarnation);
  }

  /** Takes a slot if one is free; a slot once taken is kept to the end. */
  tryAcquire(slots: number, now: Milliseconds): boolean {
    if (this.#standing === "holding") return true;
    if (this.#standing !== "asking") return false;
    const taken = this.#neighbours.filter((member) =>
      this.#isTaking(member, now)
    );
    if (taken.length >= slots) return false;
    this.#standing = "holding";
    return true;
  }

  #isTaking(
    { host, incarnation, state }: StopMember,
    now: Milliseconds,
  ): boolean {
    if (state !== "dead") return !this.#granted.has(host);
    if (this.#released.has(incarnation)) return false;
    return now - (this.#deadSince.get(host) ?? now) < SLOT_HOLD_MS;
  }
}

function isEarlierTicket(left: StopTimestamp, right: StopTimestamp): boolean {
  if (left.clock !== right.clock) return left.clock < right.clock;
  return left.host < right.host;
}
