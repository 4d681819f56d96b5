import type { Milliseconds } from "@wasabivane/common";

/** Figures kept at most, and the least time between two of them. */
const MAXIMUM_FIGURES = 16;
const FIGURE_INTERVAL_MS: Milliseconds = 40;
/**
 * Time for which a figure is taken as current. Exceeds the time to the next
 * response of an upstream that has some requests.
 */
const HOLD_MS: Milliseconds = 400;
/** Time constant with which an older figure decays. */
const DECAY_MS: Milliseconds = 300;
/** Age from which a figure has no effect. */
const RETENTION_MS: Milliseconds = 2_000;

/** A period of time. */
export interface Period {
  readonly from: Milliseconds;
  readonly until: Milliseconds;
}

interface Figure {
  readonly value: number;
  readonly at: Milliseconds;
}

/**
 * The last values of a figure, which decay to 0 with their age: without new
 * ones, the figure says little about the present.
 */
export class RecentFigures {
  readonly #figures: Figure[] = [];

  /** Records a value; the times of calls must not decrease. */
  add(value: number, at: Milliseconds): void {
    const last = this.#figures.at(-1);
    const previous = this.#figures.at(-2);
    const isClose = last !== undefined && previous !== undefined &&
      last.at - previous.at < FIGURE_INTERVAL_MS;
    if (isClose) this.#figures.pop();
    this.#figures.push({ value, at });
    if (this.#figures.length > MAXIMUM_FIGURES) this.#figures.shift();
  }

  /** Returns the value at a time; 0 before the first one that is kept. */
  valueAt(at: Milliseconds): number {
    const figure = this.#figures.findLast((candidate) => candidate.at <= at);
    return figure === undefined ? 0 : figure.value * weightAt(at - figure.at);
  }

  /** Returns the value that held for a whole period. */
  valueDuring({ from, until }: Period): number {
    return commonPart(this.valueAt(from), this.valueAt(until));
  }

  /** Whether the last value has no effect any more. */
  isOver(now: Milliseconds): boolean {
    const last = this.#figures.at(-1);
    return last === undefined || last.value === 0 ||
      weightAt(now - last.at) === 0;
  }
}

/**
 * Returns the part that two values have in common: the one closer to 0, or 0 if
 * their signs differ.
 */
export function commonPart(first: number, last: number): number {
  if (first * last <= 0) return 0;
  return Math.abs(first) < Math.abs(last) ? first : last;
}

/** Returns the share of a figure that remains at an age. */
export function weightAt(age: Milliseconds): number {
  if (age <= HOLD_MS) return 1;
  return age > RETENTION_MS ? 0 : Math.exp((HOLD_MS - age) / DECAY_MS);
}
