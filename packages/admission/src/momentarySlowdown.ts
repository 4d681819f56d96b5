import type { Milliseconds, ServiceId, UpstreamId } from "@wasabivane/common";
import { FigureTrust } from "./figureTrust.ts";

/** Largest multiple of the usual time that an upstream can report. */
const MAXIMUM_REPORTED = 100;
/** Bounds of the effect of one figure. */
const MINIMUM_SLOWDOWN = 0.25;
const MAXIMUM_SLOWDOWN = 4;
/**
 * Time for which a figure is taken as current. Exceeds the time to the next
 * response of an upstream that has some requests.
 */
const HOLD_MS: Milliseconds = 400;
/** Time constant with which an older figure decays to the usual time. */
const DECAY_MS: Milliseconds = 300;
/** Age at which a figure has no effect any more. */
const RETENTION_MS: Milliseconds = 2_000;
/** Figures kept for each upstream, and the least time between two of them. */
const MAXIMUM_FIGURES = 16;
const FIGURE_INTERVAL_MS: Milliseconds = 40;
/** Time for which the mean of a service is not computed again. */
const MEAN_LIFETIME_MS: Milliseconds = 5;
/** Weight of a sample in the usual time of an upstream, and of a service. */
const USUAL_WEIGHT = 0.05;

/** What an upstream reported of itself. */
export interface ReportedSlowdown {
  readonly service: ServiceId;
  readonly upstream: UpstreamId;
  /** Multiple of the usual time; `undefined` if it reports none. */
  readonly slowdown: number | undefined;
}

/** Time that an upstream took for one unit of work. */
export interface WorkSample {
  readonly service: ServiceId;
  readonly upstream: UpstreamId;
  readonly duration: Milliseconds;
  /** When the response began and ended. */
  readonly from: Milliseconds;
  readonly until: Milliseconds;
}

/** A period of time. */
export interface Period {
  readonly from: Milliseconds;
  readonly until: Milliseconds;
}

interface Figure {
  /** Natural logarithm of the slowdown. */
  readonly value: number;
  readonly at: Milliseconds;
}

/** A moving mean of logarithmic times. */
interface UsualTime {
  value: number;
  samples: number;
}

interface UpstreamState {
  /** Figures that it reported, oldest first. */
  readonly figures: Figure[];
  readonly trust: FigureTrust;
  usual: UsualTime | undefined;
}

interface ServiceState {
  /** Upstreams that have responded or reported a figure. */
  readonly upstreams: Map<UpstreamId, UpstreamState>;
  /** Those whose last figure may still have an effect. */
  readonly slowed: Set<UpstreamState>;
  readonly usual: UsualTime;
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
   * Records what an upstream reported; a figure that is not above 0 and at most
   * 100 is ignored.
   */
  record(
    { service, upstream, slowdown }: ReportedSlowdown,
    now: Milliseconds,
  ): void {
    if (slowdown === undefined || !isSlowdown(slowdown)) return;
    const state = this.#serviceOf(service);
    const known = upstreamOf(state, upstream);
    const { figures } = known;
    const last = figures.at(-1);
    const previous = figures.at(-2);
    const isClose = last !== undefined && previous !== undefined &&
      last.at - previous.at < FIGURE_INTERVAL_MS;
    if (isClose) figures.pop();
    figures.push({ value: Math.log(bounded(slowdown)), at: now });
    if (figures.length > MAXIMUM_FIGURES) figures.shift();
    state.slowed.add(known);
  }

  /** Returns the factor on the time of work at an upstream. */
  factor(
    { service, upstream }: Pick<WorkSample, "service" | "upstream">,
    now: Milliseconds,
  ): number {
    return factorOf(this.#services.get(service)?.upstreams.get(upstream), now);
  }

  /** Returns the mean factor over the known upstreams of a service. */
  mean(service: ServiceId, now: Milliseconds): number {
    const state = this.#services.get(service);
    if (state === undefined || state.slowed.size === 0) return 1;
    const age = now - state.meanAt;
    if (age < 0 || age >= MEAN_LIFETIME_MS) {
      state.mean = computeMean(state, now);
      state.meanAt = now;
    }
    return state.mean;
  }

  /**
   * Returns the factor at an upstream relative to the mean of its service. A
   * slowdown of all upstreams leaves it at 1.
   */
  relative(
    work: Pick<WorkSample, "service" | "upstream">,
    now: Milliseconds,
  ): number {
    return this.factor(work, now) / this.mean(work.service, now);
  }

  /**
   * Returns the factor that held for a whole period: that of its begin or its
   * end, whichever is closer to 1. Work that ran partly at another speed is not
   * explained by the figure at its end.
   */
  during(
    { service, upstream }: Pick<WorkSample, "service" | "upstream">,
    period: Period,
  ): number {
    const known = this.#services.get(service)?.upstreams.get(upstream);
    if (known === undefined || known.figures.length === 0) return 1;
    return Math.exp(known.trust.value * reportedDuring(known, period));
  }

  /** Compares the time of a response with what the upstream reported. */
  observe({ service, upstream, duration, ...period }: WorkSample): void {
    if (duration <= 0) return;
    const state = this.#serviceOf(service);
    const known = upstreamOf(state, upstream);
    const time = Math.log(duration);
    const reported = reportedDuring(known, period);
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

  forget(upstream: UpstreamId): void {
    for (const { upstreams, slowed } of this.#services.values()) {
      const state = upstreams.get(upstream);
      if (state === undefined) continue;
      upstreams.delete(upstream);
      slowed.delete(state);
    }
  }

  #serviceOf(service: ServiceId): ServiceState {
    let state = this.#services.get(service);
    if (state === undefined) {
      state = {
        upstreams: new Map(),
        usual: { value: 0, samples: 0 },
        slowed: new Set(),
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

function weightAt(age: Milliseconds): number {
  if (age <= HOLD_MS) return 1;
  return age > RETENTION_MS ? 0 : Math.exp((HOLD_MS - age) / DECAY_MS);
}

function computeMean(
  { upstreams, slowed }: ServiceState,
  now: Milliseconds,
): number {
  let excess = 0;
  for (const state of slowed) {
    const { value, at } = state.figures.at(-1)!;
    if (value === 0 || now - at > RETENTION_MS) slowed.delete(state);
    else excess += factorOf(state, now) - 1;
  }
  return 1 + excess / upstreams.size;
}

function factorOf(state: UpstreamState | undefined, now: Milliseconds): number {
  const last = state?.figures.at(-1);
  if (state === undefined || last === undefined || last.value === 0) return 1;
  const weight = weightAt(now - last.at);
  return weight === 0 ? 1 : Math.exp(state.trust.value * last.value * weight);
}

/** Returns the logarithmic slowdown that was reported for a whole period. */
function reportedDuring(
  { figures }: UpstreamState,
  { from, until }: Period,
): number {
  const first = reportedAt(figures, from);
  const last = reportedAt(figures, until);
  if (first * last <= 0) return 0;
  return Math.abs(first) < Math.abs(last) ? first : last;
}

function reportedAt(figures: readonly Figure[], at: Milliseconds): number {
  const figure = figures.findLast((candidate) => candidate.at <= at);
  return figure === undefined ? 0 : figure.value * weightAt(at - figure.at);
}

function upstreamOf(state: ServiceState, upstream: UpstreamId): UpstreamState {
  let known = state.upstreams.get(upstream);
  if (known === undefined) {
    known = { figures: [], trust: new FigureTrust(), usual: undefined };
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
