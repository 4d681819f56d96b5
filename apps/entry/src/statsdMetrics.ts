import { StatsD } from "hot-shots";
import {
  type MemoryMetrics,
  Metrics,
  type MetricTags,
} from "@wasabivane/common";

const PREFIX = "wasabivane.";
/** Fits an Ethernet frame, so that no datagram is split. */
const MAX_DATAGRAM_BYTES = 1_400;

/** Sends metrics over UDP and keeps the counters for the status page. */
export class StatsdMetrics extends Metrics {
  readonly #statsd: StatsD;
  readonly #memory: MemoryMetrics;

  constructor(
    memory: MemoryMetrics,
    { address, port }: { address: string; port: number },
  ) {
    super();
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
    this.#statsd.increment(name, by, { ...tags });
  }

  override observe(name: string, value: number, tags: MetricTags = {}): void {
    this.#statsd.distribution(name, value, { ...tags });
  }

  /** Sends what is buffered and closes the socket. */
  close(): Promise<void> {
    return new Promise((resolve) => this.#statsd.close(() => resolve()));
  }
}
