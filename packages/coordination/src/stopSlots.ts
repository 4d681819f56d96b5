import type { FailureDomain, HostId, Milliseconds } from "@wasabivane/common";

/** How long a host that died without releasing its slot keeps it. */
export const SLOT_HOLD_MS: Milliseconds = 60_000;

/** Fields of a member that planned stops use. */
export interface StopMember {
  readonly host: HostId;
  readonly incarnation: string;
  readonly failureDomain: FailureDomain;
  readonly state: "alive" | "suspect" | "dead";
}

/**
 * Logical timestamp of a host's slot request; earlier requests take precedence.
 */
export interface StopTimestamp {
  readonly clock: number;
  readonly host: HostId;
}

/** Sender and logical clock of a message about stop slots. */
export interface StopSender {
  readonly host: HostId;
  readonly incarnation: string;
  readonly clock: number;
}

type SlotState = "idle" | "asking" | "holding";

/**
 * Limits how many hosts of one failure domain stop at once, so that the
 * remaining hosts are not overloaded.
 *
 * The hosts of the domain grant each other slots by the Ricart-Agrawala
 * algorithm: requests are ordered by logical clocks. A host may stop while
 * fewer other hosts than there are slots have not granted its request.
 */
export class StopSlots {
  readonly #self: HostId;
  readonly #domain: FailureDomain;
  readonly #grants = new Set<HostId>();
  /** Processes granted ahead of this host's own request. */
  readonly #grantedBeforeOwn = new Map<
    HostId,
    { incarnation: string; until: Milliseconds }
  >();
  /** Incarnations that have finished their stop. */
  readonly #releasedIncarnations = new Set<string>();
  readonly #deadSince = new Map<HostId, Milliseconds>();
  #neighbours: readonly StopMember[] = [];
  #clock = 0;
  #state: SlotState = "idle";
  #requestTimestamp: StopTimestamp | undefined;

  constructor(
    { self, domain }: { self: HostId; domain: FailureDomain },
  ) {
    this.#self = self;
    this.#domain = domain;
  }

  get requestTimestamp(): StopTimestamp | undefined {
    return this.#requestTimestamp;
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

  /** Requests a slot; later calls have no effect. */
  request(): StopTimestamp {
    if (this.#requestTimestamp === undefined) {
      this.#clock++;
      this.#requestTimestamp = { clock: this.#clock, host: this.#self };
      this.#state = "asking";
    }
    return this.#requestTimestamp;
  }

  /** Returns the hosts whose grant is still missing. */
  hostsToAsk(): HostId[] {
    if (this.#state !== "asking") return [];
    return this.#neighbours
      .filter(({ host, state }) => state !== "dead" && !this.#grants.has(host))
      .map(({ host }) => host);
  }

  /** Handles a neighbour's request and returns whether it is granted. */
  handleRequest(
    { host, incarnation, clock }: StopSender,
    now: Milliseconds,
  ): boolean {
    this.#clock = Math.max(this.#clock, clock) + 1;
    if (this.#state === "holding") return false;
    if (this.#requestTimestamp === undefined) return true;
    if (!isEarlierRequest({ clock, host }, this.#requestTimestamp)) {
      return false;
    }
    // An earlier grant by that host, or by a former process on it, no longer
    // holds; otherwise both hosts could stop at once.
    this.#grants.delete(host);
    this.#grantedBeforeOwn.set(host, {
      incarnation,
      until: now + SLOT_HOLD_MS,
    });
    return true;
  }

  /** Applies a neighbour's grant of this host's request. */
  applyGrant(
    { host, incarnation, clock }: StopSender,
    now: Milliseconds,
  ): void {
    this.#clock = Math.max(this.#clock, clock);
    if (clock !== this.#requestTimestamp?.clock) return;
    const granted = this.#grantedBeforeOwn.get(host);
    const isRevoked = granted !== undefined && granted.until > now &&
      granted.incarnation !== incarnation;
    if (!isRevoked) this.#grants.add(host);
  }

  /** Records that a neighbour's process has finished its stop. */
  applyRelease(incarnation: string): void {
    this.#releasedIncarnations.add(incarnation);
  }

  /** Acquires a slot if one is free; it is kept until the process ends. */
  tryAcquire(slots: number, now: Milliseconds): boolean {
    if (this.#state === "holding") return true;
    if (this.#state !== "asking") return false;
    const occupying = this.#neighbours.filter((member) =>
      this.#occupiesSlot(member, now)
    );
    if (occupying.length >= slots) return false;
    this.#state = "holding";
    return true;
  }

  #occupiesSlot(
    { host, incarnation, state }: StopMember,
    now: Milliseconds,
  ): boolean {
    if (state !== "dead") return !this.#grants.has(host);
    if (this.#releasedIncarnations.has(incarnation)) return false;
    return now - (this.#deadSince.get(host) ?? now) < SLOT_HOLD_MS;
  }
}

function isEarlierRequest(left: StopTimestamp, right: StopTimestamp): boolean {
  if (left.clock !== right.clock) return left.clock < right.clock;
  return left.host < right.host;
}
