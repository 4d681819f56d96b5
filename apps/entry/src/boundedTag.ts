import type { Milliseconds, Timer } from "@wasabivane/common";

/** Replaces all tag values above the limit. */
export const OTHER_TAG_VALUE = "other";

const DEFAULT_MAXIMUM_VALUES = 200;
const DEFAULT_INTERVAL_MS: Milliseconds = 300_000;

/** Options of a {@link BoundedTag}. */
export interface BoundedTagOptions {
  readonly timer: Timer;
  readonly maximumValues?: number;
  readonly intervalMs?: Milliseconds;
}

/**
 * Limits the cardinality of a metric tag, since a metrics daemon keeps a series
 * for each value of each histogram. In each interval the first distinct
 * values are reported as they are and all others as {@link OTHER_TAG_VALUE}.
 * The set of reported values starts empty in each interval, so that every value
 * has a chance to be reported.
 */
export class BoundedTag {
  readonly #options: Required<BoundedTagOptions>;
  readonly #reportedValues = new Set<string>();
  #intervalEnd: Milliseconds = 0;

  constructor(options: BoundedTagOptions) {
    this.#options = {
      maximumValues: DEFAULT_MAXIMUM_VALUES,
      intervalMs: DEFAULT_INTERVAL_MS,
      ...options,
    };
  }

  /**
   * Returns the value, or {@link OTHER_TAG_VALUE} when it is above the limit.
   */
  boundedValue(value: string): string {
    const { timer, maximumValues, intervalMs } = this.#options;
    const now = timer.now();
    if (now >= this.#intervalEnd) {
      this.#reportedValues.clear();
      this.#intervalEnd = now + intervalMs;
    }
    if (this.#reportedValues.has(value)) return value;
    if (this.#reportedValues.size >= maximumValues) return OTHER_TAG_VALUE;
    this.#reportedValues.add(value);
    return value;
  }
}
