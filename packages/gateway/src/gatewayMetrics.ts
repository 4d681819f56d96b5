import type { Milliseconds } from "@wasabivane/common";
import { Counter, Gauge, Histogram, Registry } from "prom-client";

/** Upper bounds of the latency buckets. */
const LATENCY_BUCKETS_MS = [
  10,
  25,
  50,
  100,
  200,
  400,
  800,
  1_600,
  3_200,
  6_400,
  12_800,
];
/** Client accounts with time series of their own; others share one. */
const MAXIMUM_ACCOUNTS = 64;
const OTHER_ACCOUNTS = "other";

/** The outcome and durations of one request. */
export interface RequestSample {
  readonly account: string;
  readonly tier: number;
  readonly ending: string;
  readonly waited: Milliseconds;
  /**
   * Time to the first event or the complete response; `undefined` without
   * either.
   */
  readonly firstByte: Milliseconds | undefined;
  readonly total: Milliseconds;
}

/** Holds the Prometheus metrics of one process. */
export class GatewayMetrics {
  readonly #registry = new Registry();
  readonly #accounts = new Set<string>();
  readonly #requests = new Counter({
    name: "wasabivane_requests_total",
    help: "Requests by how they ended",
    labelNames: ["account", "tier", "ending"],
    registers: [this.#registry],
  });
  readonly #waited = this.#histogram("waited", "Time in the waiting line");
  readonly #firstByte = this.#histogram(
    "first_byte",
    "Time to the first event or the whole answer",
  );
  readonly #total = this.#histogram("whole", "Time to the end");
  readonly #events = new Counter({
    name: "wasabivane_events_total",
    help: "Steps and failures by name",
    labelNames: ["name"],
    registers: [this.#registry],
  });
  readonly #gauges = new Gauge({
    name: "wasabivane_state",
    help: "What the process believes now, by name",
    labelNames: ["name"],
    registers: [this.#registry],
  });

  /**
   * Counts and values since the last text; several a message, which the library
   * would look up by a text of their labels.
   */
  readonly #counts = new Map<string, number>();
  readonly #values = new Map<string, number>();

  /** Records a finished request. */
  observe(sample: RequestSample): void {
    const labels = {
      account: this.#boundedAccount(sample.account),
      tier: sample.tier,
    };
    this.#requests.inc({ ...labels, ending: sample.ending });
    this.#waited.observe(labels, sample.waited);
    this.#total.observe(labels, sample.total);
    if (sample.firstByte !== undefined) {
      this.#firstByte.observe(labels, sample.firstByte);
    }
  }

  count(name: string, by = 1): void {
    this.#counts.set(name, (this.#counts.get(name) ?? 0) + by);
  }

  set(name: string, value: number): void {
    this.#values.set(name, value);
  }

  /** Returns all metrics in the Prometheus text format. */
  text(): Promise<string> {
    for (const [name, by] of this.#counts) this.#events.inc({ name }, by);
    for (const [name, value] of this.#values) this.#gauges.set({ name }, value);
    this.#counts.clear();
    this.#values.clear();
    return this.#registry.metrics();
  }

  #boundedAccount(account: string): string {
    if (this.#accounts.has(account)) return account;
    if (this.#accounts.size >= MAXIMUM_ACCOUNTS) return OTHER_ACCOUNTS;
    this.#accounts.add(account);
    return account;
  }

  #histogram(name: string, help: string): Histogram<"account" | "tier"> {
    return new Histogram({
      name: `wasabivane_${name}_ms`,
      help,
      labelNames: ["account", "tier"],
      buckets: LATENCY_BUCKETS_MS,
      registers: [this.#registry],
    });
  }
}
