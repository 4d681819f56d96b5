import { StatsD } from "hot-shots";
import {
  type MemoryMetrics,
  Metrics,
  type MetricTags,
  type Timer,
} from "@wasabivane/common";
import { BoundedTag } from "./boundedTag.ts";

const PREFIX = "wasabivane.";
/** Fits an Ethernet frame, which avoids IP fragmentation. */
const MAX_DATAGRAM_BYTES = 1_400;

/** Sends metrics over UDP and keeps the counters for the status document. */
export class StatsdMetrics extends Metrics {
  readonly #statsd: StatsD;
  readonly #memory: MemoryMetrics;
  readonly #accounts: BoundedTag;

  constructor(
    memory: MemoryMetrics,
    { address, port, timer }: { address: string; port: number; timer: Timer },
  ) {
    super();
    this.#accounts = new BoundedTag({ timer });
    this.#memory = memory;
    this.#statsd = new StatsD({
      host: address,
      port,
      prefix: PREFIX,
      maxBufferSize: MAX_DATAGRAM_BYTES,
      errorHandler: () => memory.count("metrics.send_failed"),
    });
  }

  override count(name: string, by = 1, tags: MetricTags = {}): void {
    this.#memory.count(name, by, tags);
    this.#statsd.increment(name, by, this.#bounded(tags));
  }

  override observe(name: string, value: number, tags: MetricTags = {}): void {
    this.#statsd.distribution(name, value, this.#bounded(tags));
  }

  #bounded(tags: MetricTags): Record<string, string | number> {
    const { account } = tags;
    if (account === undefined) return { ...tags };
    return { ...tags, account: this.#accounts.boundedValue(String(account)) };
  }

  /** Flushes the buffer and closes the socket. */
  close(): Promise<void> {
    return new Promise((resolve) => this.#statsd.close(() => resolve()));
  }
}
