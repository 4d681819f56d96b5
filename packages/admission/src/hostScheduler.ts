import type {
  FailureDomain,
  Milliseconds,
  Random,
  RequestId,
  ServiceId,
  UpstreamId,
} from "@wasabivane/common";
import { AnswerTimeModel } from "./answerTimeModel.ts";
import { FirstEventModel } from "./firstEventModel.ts";
import { FleetLoad, type WaitingCount } from "./fleetLoad.ts";
import { Placement, type Wish } from "./placement.ts";
import { NO_PLACES, type PlaceShare, PlaceShares } from "./placeShares.ts";
import { PromptPlaces } from "./promptPlaces.ts";
import type { Upstream, UpstreamOutcome } from "./types.ts";
import type { UpstreamDirectory } from "./upstreamDirectory.ts";
import { SignsOfLife } from "./signsOfLife.ts";
import { UpstreamHealth } from "./upstreamHealth.ts";
import { UpstreamPauses } from "./upstreamPauses.ts";
import { UpstreamSpeed } from "./upstreamSpeed.ts";
import {
  type Outlook,
  urgencyAt,
  type Waiter,
  WaitingLine,
} from "./waitingLine.ts";

/** Share of all places that must be free for a service to count as idle. */
const IDLE_SHARE = 0.25;
/** Time between hosts' words; work that starts and ends within it is not seen. */
const WORD_LAG_MS: Milliseconds = 30;
/** Assumed residence of a request before any was seen. */
const FIRST_RESIDENCE_MS: Milliseconds = 300;
const RESIDENCE_WEIGHT = 0.05;

/** A request that wants an upstream. */
export interface Candidate extends Waiter, Wish {
  readonly service: ServiceId;
  /** Called once unless the candidate is withdrawn. */
  readonly decide: (verdict: Verdict) => void;
}

/** Why a {@link Candidate} gets no place. */
export type PlaceRefusal =
  | "line-too-long"
  | "waited-out"
  /** It was sent to every upstream of the service before. */
  | "no-other-upstream";

/** What was decided about a {@link Candidate}. */
export type Verdict =
  | { readonly kind: "place"; readonly upstream: Upstream }
  | {
    readonly kind: "refuse";
    readonly reason: PlaceRefusal;
    /** What the line promised when it was decided. */
    readonly outlook: Outlook;
  };

/** What a {@link HostScheduler} is built from. */
export interface HostSchedulerOptions {
  readonly directory: UpstreamDirectory;
  readonly random: Random;
  readonly failureDomain: FailureDomain;
}

interface ServiceLine {
  readonly line: WaitingLine<Candidate>;
  residence: Milliseconds;
  /** Upstreams where ended requests of this host left places that are its to fill. */
  readonly ownFreed: Map<UpstreamId, number>;
  readonly shares: PlaceShares;
}

/**
 * Decides on one host which request goes to which upstream, which waits and which
 * is refused. It never waits for a peer; what peers say only improves the picture.
 *
 * Answers the load pattern of many hosts before few engines that admit in order of
 * arrival and know no tiers. Requests wait here, in order of tier, and engines get
 * no more than they run at once, over all hosts. A place that a request of this
 * host leaves is this host's to fill, unless a peer says that something more
 * urgent waits there; other free places are shared by who waits with how much.
 */
export class HostScheduler {
  readonly load = new FleetLoad();
  readonly health = new UpstreamHealth();
  readonly speed = new UpstreamSpeed();
  readonly firstEvents = new FirstEventModel(this.speed);
  readonly answerTimes = new AnswerTimeModel(this.speed);
  readonly pauses = new UpstreamPauses(this.speed);
  readonly signs = new SignsOfLife();
  readonly #directory: UpstreamDirectory;
  readonly #random: Random;
  readonly #prompts = new PromptPlaces();
  readonly #placement: Placement;
  readonly #services = new Map<ServiceId, ServiceLine>();

  constructor({ directory, random, failureDomain }: HostSchedulerOptions) {
    this.#directory = directory;
    this.#random = random;
    this.#placement = new Placement({
      load: this.load,
      health: this.health,
      speed: this.speed,
      pauses: this.pauses,
      firstEvents: this.firstEvents,
      prompts: this.#prompts,
      random,
      failureDomain,
      limitOf: (upstream) => this.#limitOf(upstream),
    });
  }

  /** Takes a candidate in; it may be decided before the call returns. */
  submit(candidate: Candidate, now: Milliseconds): void {
    const { line } = this.#stateOf(candidate.service);
    if (this.#hasNoOther(candidate)) {
      return refuse(candidate, "no-other-upstream", { line, now });
    }
    if (line.isHopeless(candidate, now)) {
      return refuse(candidate, "line-too-long", { line, now });
    }
    line.push(candidate, now);
    this.#fill(candidate.service, now);
  }

  /** Takes back a candidate that still waits. */
  withdraw(service: ServiceId, request: RequestId): void {
    this.#services.get(service)?.line.remove(request);
  }

  /** A request was sent to an upstream. */
  begin(upstream: UpstreamId, promptTokens = 0): void {
    this.load.begin(upstream, promptTokens);
  }

  /** It ended there after `residence`. */
  end(
    upstream: Upstream,
    { outcome, residence, now }: {
      outcome: UpstreamOutcome;
      residence: Milliseconds;
      now: Milliseconds;
    },
  ): void {
    this.load.end(upstream.upstream);
    const state = this.#stateOf(upstream.service);
    if (outcome === "whole") {
      state.residence += RESIDENCE_WEIGHT * (residence - state.residence);
    }
    const freed = state.ownFreed.get(upstream.upstream) ?? 0;
    state.ownFreed.set(upstream.upstream, freed + 1);
    this.#fill(upstream.service, now);
  }

  /** Looks at every line again: upstreams or peers' words have changed, or time went by. */
  review(now: Milliseconds): void {
    for (const [service, { line }] of this.#services) {
      for (const candidate of line.takeUseless(now)) {
        refuse(candidate, "waited-out", { line, now });
      }
      this.#fill(service, now);
    }
  }

  /** What waits here, for the peers. */
  waiting(): WaitingCount[] {
    const counts: WaitingCount[] = [];
    for (const [service, { line }] of this.#services) {
      for (const [urgency, count] of line.counts()) {
        counts.push({ service, urgency, count });
      }
    }
    return counts;
  }

  get waitingTotal(): number {
    let total = 0;
    for (const { line } of this.#services.values()) total += line.size;
    return total;
  }

  /** Whether places of a service are free to spare and nobody waits, here or elsewhere. */
  isIdle(service: ServiceId, now: Milliseconds): boolean {
    if ((this.#services.get(service)?.line.size ?? 0) > 0) return false;
    if (this.load.waitingElsewhere(service, now).length > 0) return false;
    const upstreams = this.#directory.of(service);
    let places = 0;
    for (const upstream of upstreams) places += this.#limitOf(upstream);
    const free = this.#placement.freePlaces(upstreams, now);
    return free > IDLE_SHARE * places;
  }

  /** Whether a service has an upstream in reach besides those left out. */
  hasOther(
    service: ServiceId,
    { excluded, now }: {
      excluded: ReadonlySet<UpstreamId>;
      now: Milliseconds;
    },
  ): boolean {
    return this.#directory.of(service).some(({ upstream }) =>
      !excluded.has(upstream) && !this.health.isEjected(upstream, now)
    );
  }

  /** An upstream is gone for good. */
  forget(upstream: UpstreamId): void {
    this.health.forget(upstream);
    this.speed.forget(upstream);
    this.signs.forget(upstream);
    this.pauses.forget(upstream);
  }

  /**
   * Fills free places in order of the line. Places that this host's own requests
   * left come first and at their upstream: a peer sees them only when told, so
   * that two hosts do not run for one place.
   */
  #fill(service: ServiceId, now: Milliseconds): void {
    const state = this.#stateOf(service);
    const upstreams = this.#directory.of(service);
    if (state.line.size > 0) {
      const share = this.#shareOf(state, { service, upstreams, now });
      this.#start(state, {
        upstreams: upstreams.filter(({ upstream }) =>
          state.ownFreed.has(upstream)
        ),
        most: Math.min(share.left, share.own),
        now,
      });
      this.#start(state, { upstreams, most: share.common, now });
    }
    state.ownFreed.clear();
  }

  /** Starts up to `most` requests at the given upstreams. */
  #start(
    state: ServiceLine,
    { upstreams, most, now }: {
      upstreams: readonly Upstream[];
      most: number;
      now: Milliseconds;
    },
  ): void {
    let left = Math.min(most, this.#placement.freePlaces(upstreams, now));
    if (left <= 0) return;
    for (const candidate of state.line.inOrder(now)) {
      if (left <= 0) return;
      const upstream = this.#placement.pick(upstreams, candidate, now);
      if (upstream === undefined) continue;
      // A verdict may end a request at once and fill places anew from within; who
      // was placed meanwhile must not be placed twice.
      if (state.line.start(candidate.request, now) === undefined) continue;
      left--;
      const { prompt } = candidate;
      if (prompt !== undefined) {
        this.#prompts.note(prompt.last, upstream.upstream);
      }
      candidate.decide({ kind: "place", upstream });
    }
  }

  #shareOf(
    state: ServiceLine,
    { service, upstreams, now }: {
      service: ServiceId;
      upstreams: readonly Upstream[];
      now: Milliseconds;
    },
  ): PlaceShare {
    const first = state.line.mostUrgent(now);
    if (first === undefined) return NO_PLACES;
    let ownFreed = 0;
    for (const count of state.ownFreed.values()) ownFreed += count;
    return state.shares.of({
      free: this.#placement.freePlaces(upstreams, now),
      waiting: state.line.size,
      urgency: urgencyAt(first),
      passing: state.line.passing(now).length,
      elsewhere: this.load.waitingElsewhere(service, now),
      ownFreed,
    }, now);
  }

  #hasNoOther({ service, excluded }: Candidate): boolean {
    const upstreams = this.#directory.of(service);
    return upstreams.length > 0 &&
      upstreams.every(({ upstream }) => excluded?.has(upstream));
  }

  /**
   * Short work may start and end between two words of a host; so many places
   * more keep an upstream busy meanwhile.
   */
  #limitOf(upstream: Upstream): number {
    const state = this.#services.get(upstream.service);
    const residence = state?.residence ?? FIRST_RESIDENCE_MS;
    const unseen = upstream.slots * WORD_LAG_MS / Math.max(residence, 1);
    return upstream.slots + Math.min(upstream.slots, Math.floor(unseen));
  }

  #stateOf(service: ServiceId): ServiceLine {
    let state = this.#services.get(service);
    if (state === undefined) {
      state = {
        line: new WaitingLine(),
        residence: FIRST_RESIDENCE_MS,
        ownFreed: new Map(),
        shares: new PlaceShares(this.#random),
      };
      this.#services.set(service, state);
    }
    return state;
  }
}

function refuse(
  candidate: Candidate,
  reason: PlaceRefusal,
  { line, now }: { line: WaitingLine<Candidate>; now: Milliseconds },
): void {
  const outlook = line.outlook(candidate, now);
  candidate.decide({ kind: "refuse", reason, outlook });
}
