import type { Milliseconds, Timer } from "@wasabivane/common";

/** What further values of a tag share. */
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
 * Bounds how many values of one tag leave this process. A metrics daemon keeps
 * a series for each value of each histogram; 1,100 client accounts times tiers,
 * histograms and hosts would be more than it holds. So in each interval the
 * first values seen keep their names and the rest share one. The names are
 * given anew in each interval, so that no account is out of sight for good.
 */
export class BoundedTag {
  readonly #options: Required<BoundedTagOptions>;
  readonly #named = new Set<string>();
  #intervalEnd: Milliseconds = 0;

  constructor(options: BoundedTagOptions) {
    this.#options = {
      maximumValues: DEFAULT_MAXIMUM_VALUES,
      intervalMs: DEFAULT_INTERVAL_MS,
      ...options,
    };
  }

  /** The value itself, or {@link OTHER_TAG_VALUE}. */
  boundedValue(value: string): string {
    const { timer, maximumValues, intervalMs } = this.#options;
    const now = timer.now();
    if (now >= this.#intervalEnd) {
      this.#named.clear();
      this.#intervalEnd = now + intervalMs;
    }
    if (this.#named.has(value)) return value;
    if (this.#named.size >= maximumValues) return OTHER_TAG_VALUE;
    this.#named.add(value);
    return value;
  }
}
