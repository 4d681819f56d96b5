import type { Milliseconds, ServiceId, UpstreamId } from "@wasabivane/common";
import { FigureTrust } from "./figureTrust.ts";
import {
  commonPart,
  type Period,
  RecentFigures,
  weightAt,
} from "./recentFigures.ts";

/** Largest multiple of the usual time that an upstream can report. */
const MAXIMUM_REPORTED = 100;
/** Bounds of the effect of one figure. */
const MINIMUM_SLOWDOWN = 0.25;
const MAXIMUM_SLOWDOWN = 4;
/** Time for which the mean of a service is not computed again. */
const MEAN_LIFETIME_MS: Milliseconds = 5;
/** Weight of a sample in the usual time of an upstream, and of a service. */
const USUAL_WEIGHT = 0.05;
/** Upstreams that have left whose late responses are ignored. */
const MAXIMUM_FORGOTTEN = 1_024;

/** Work that is done at an upstream. */
export interface UpstreamWork {
  readonly service: ServiceId;
  readonly upstream: UpstreamId;
}

/** What an upstream reported of itself. */
export interface ReportedSlowdown extends UpstreamWork {
  /** Multiple of the usual time; `undefined` if it reports none. */
  readonly slowdown: number | undefined;
}

/** Measured duration of one unit of work of a response. */
export interface WorkSample extends UpstreamWork {
  readonly duration: Milliseconds;
  /** When the response was in its slot. */
  readonly period: Period;
}

/** A moving mean of logarithmic times. */
interface UsualTime {
  value: number;
  samples: number;
}

interface UpstreamState {
  /** Natural logarithms of the slowdowns that it reported. */
  readonly figures: RecentFigures;
  readonly trust: FigureTrust;
  usual: UsualTime | undefined;
}

interface ServiceState {
  /** Upstreams that have responded or reported a figure. */
  readonly upstreams: Map<UpstreamId, UpstreamState>;
  /** Those whose last figure may still have an effect. */
  readonly slowed: Set<UpstreamState>;
  readonly usual: UsualTime;
  /** Natural logarithms of the mean factor. */
  readonly means: RecentFigures;
  mean: number;
  meanAt: Milliseconds;
}

/**
 * Tracks how long work takes at each upstream at the moment, as upstreams report
 * it: 1 for the usual time.
 *
 * An upstream that is avoided reports nothing new, so a figure decays with its
 * age. One that reports figures which do not fit the times of its responses is
 * trusted less. A service without figures has the factor 1 everywhere.
 */
export class MomentarySlowdown {
  readonly #services = new Map<ServiceId, ServiceState>();
  /**
   * Upstreams that have left, the latest last. Their responses may still end, and
   * must not count in the mean of the service again.
   */
  readonly #forgotten = new Set<UpstreamId>();

  /**
   * Records what an upstream reported; a figure that is not above 0 and at most
   * 100 is ignored.
   */
  record(
    { service, upstream, slowdown }: ReportedSlowdown,
    now: Milliseconds,
  ): void {
    if (slowdown === undefined || !isSlowdown(slowdown)) return;
    if (this.#forgotten.has(upstream)) return;
    const state = this.#serviceOf(service);
    const known = upstreamOf(state, upstream);
    known.figures.add(Math.log(bounded(slowdown)), now);
    state.slowed.add(known);
  }

  /** Returns the factor on the time of work at an upstream. */
  factor({ service, upstream }: UpstreamWork, now: Milliseconds): number {
    const known = this.#services.get(service)?.upstreams.get(upstream);
    return known === undefined ? 1 : factorOf(known, now);
  }

  /**
   * Returns the factor at an upstream relative to the mean of its service. A
   * slowdown of all upstreams leaves it at 1.
   */
  relative(work: UpstreamWork, now: Milliseconds): number {
    return this.factor(work, now) / this.#mean(work.service, now);
  }

  /**
   * Returns the factor that held for a whole period: that at its begin or at its
   * end, whichever is closer to 1. A figure does not explain the time of work
   * that partly ran at another speed.
   */
  during({ service, upstream }: UpstreamWork, period: Period): number {
    const known = this.#services.get(service)?.upstreams.get(upstream);
    if (known === undefined) return 1;
    return Math.exp(known.trust.value * known.figures.valueDuring(period));
  }

  /** Returns the factor relative to the mean that held for a whole period. */
  relativeDuring(work: UpstreamWork, { from, until }: Period): number {
    this.#mean(work.service, until);
    const state = this.#services.get(work.service);
    const known = state?.upstreams.get(work.upstream);
    const relativeAt = (at: Milliseconds): number =>
      (known === undefined
        ? 0
        : known.trust.value * known.figures.valueAt(at)) -
      (state?.means.valueAt(at) ?? 0);
    return Math.exp(commonPart(relativeAt(from), relativeAt(until)));
  }

  /** Compares the time of a response with what the upstream reported. */
  observe({ service, upstream, duration, period }: WorkSample): void {
    if (duration <= 0 || this.#forgotten.has(upstream)) return;
    const state = this.#serviceOf(service);
    const known = upstreamOf(state, upstream);
    const time = Math.log(duration);
    const reported = known.figures.valueDuring(period);
    known.usual ??= {
      value: state.usual.samples === 0 ? time : state.usual.value,
      samples: 0,
    };
    if (reported !== 0) {
      known.trust.observe(reported, time - known.usual.value);
    }
    const usualTime = time - known.trust.value * reported;
    blend(known.usual, usualTime);
    blend(state.usual, usualTime);
  }

  /** Drops an upstream that has left, and ignores it from now on. */
  forget(upstream: UpstreamId): void {
    this.#forgotten.add(upstream);
    if (this.#forgotten.size > MAXIMUM_FORGOTTEN) {
      const [oldest] = this.#forgotten;
      this.#forgotten.delete(oldest!);
    }
    for (const { upstreams, slowed } of this.#services.values()) {
      const known = upstreams.get(upstream);
      if (known === undefined) continue;
      upstreams.delete(upstream);
      slowed.delete(known);
    }
  }

  /** Returns the mean factor over the known upstreams of a service. */
  #mean(service: ServiceId, now: Milliseconds): number {
    const state = this.#services.get(service);
    if (state === undefined || state.slowed.size === 0) return 1;
    if (now - state.meanAt >= MEAN_LIFETIME_MS) {
      state.mean = computeMean(state, now);
      state.meanAt = now;
      state.means.add(Math.log(state.mean), now);
    }
    return state.mean;
  }

  #serviceOf(service: ServiceId): ServiceState {
    let state = this.#services.get(service);
    if (state === undefined) {
      state = {
        upstreams: new Map(),
        slowed: new Set(),
        usual: { value: 0, samples: 0 },
        means: new RecentFigures(),
        mean: 1,
        meanAt: -Infinity,
      };
      this.#services.set(service, state);
    }
    return state;
  }
}

/**
 * Returns what remains of a slowdown that was reported some time ago, as a
 * multiple of the usual time.
 */
export function decayedSlowdown(slowdown: number, age: Milliseconds): number {
  return Math.exp(Math.log(bounded(slowdown)) * weightAt(age));
}

/** Whether a number can be a multiple of the usual time. */
export function isSlowdown(value: number): boolean {
  return value > 0 && value <= MAXIMUM_REPORTED;
}

function bounded(slowdown: number): number {
  return Math.min(MAXIMUM_SLOWDOWN, Math.max(MINIMUM_SLOWDOWN, slowdown));
}

function factorOf(
  { figures, trust }: UpstreamState,
  now: Milliseconds,
): number {
  const value = figures.valueAt(now);
  return value === 0 ? 1 : Math.exp(trust.value * value);
}

/** Returns the mean factor, and drops upstreams without an effect on it. */
function computeMean(
  { upstreams, slowed }: ServiceState,
  now: Milliseconds,
): number {
  let excess = 0;
  for (const known of slowed) {
    if (known.figures.isOver(now)) slowed.delete(known);
    else excess += factorOf(known, now) - 1;
  }
  return 1 + excess / upstreams.size;
}

function upstreamOf(state: ServiceState, upstream: UpstreamId): UpstreamState {
  let known = state.upstreams.get(upstream);
  if (known === undefined) {
    known = {
      figures: new RecentFigures(),
      trust: new FigureTrust(),
      usual: undefined,
    };
    state.upstreams.set(upstream, known);
  }
  return known;
}

/** Adds a sample to a mean; the first samples weigh equally. */
function blend(usual: UsualTime, sample: number): void {
  usual.samples++;
  const weight = Math.max(USUAL_WEIGHT, 1 / usual.samples);
  usual.value += weight * (sample - usual.value);
}
