/** Tags of a metric; each must have a bounded set of values. */
export type MetricTags = Readonly<Record<string, string | number>>;

/** Records counters and histograms. */
export abstract class Metrics {
  /** Adds to a counter. */
  abstract count(name: string, by?: number, tags?: MetricTags): void;
  /** Records a value in a histogram. */
  abstract observe(name: string, value: number, tags?: MetricTags): void;
}

/** Keeps counters in memory for tests and status pages; ignores histograms. */
export class MemoryMetrics extends Metrics {
  readonly #counters = new Map<string, number>();

  override count(name: string, by = 1, tags: MetricTags = {}): void {
    const key = metricKey(name, tags);
    this.#counters.set(key, (this.#counters.get(key) ?? 0) + by);
  }

  override observe(_name: string, _value: number, _tags?: MetricTags): void {}

  /** Returns the value of a counter, 0 if it was never incremented. */
  counter(name: string, tags: MetricTags = {}): number {
    return this.#counters.get(metricKey(name, tags)) ?? 0;
  }

  /** Returns all counters by name and tags. */
  counters(): Record<string, number> {
    return Object.fromEntries([...this.#counters].sort());
  }
}

function metricKey(name: string, tags: MetricTags): string {
  const pairs = Object.entries(tags).sort().map(([key, value]) =>
    `${key}=${value}`
  );
  return pairs.length === 0 ? name : `${name}{${pairs.join(",")}}`;
}
