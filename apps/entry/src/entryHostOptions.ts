import type {
  HostId,
  Incarnation,
  MemoryMetrics,
  Metrics,
  PeerLink,
  Random,
  Timer,
} from "@wasabivane/common";
import type { BundleSource, HostListSource } from "@wasabivane/bundle";
import type { Logger } from "pino";
import type { Settings } from "./settings.ts";
import type { UpstreamClient } from "./upstreamClient.ts";

/** Options of an {@link EntryHost}, including all its external dependencies. */
export interface EntryHostOptions {
  readonly settings: Settings;
  readonly incarnation: Incarnation;
  readonly timer: Timer;
  readonly random: Random;
  readonly link: PeerLink;
  readonly client: UpstreamClient;
  readonly bundleSource: BundleSource;
  readonly hostListSource: HostListSource;
  /** Called with the peers' addresses when the membership changes. */
  readonly onPeerAddresses?: (addresses: ReadonlyMap<HostId, string>) => void;
  readonly log: Logger;
  readonly metrics?: Metrics;
  /** Counters shown in the status document. */
  readonly counters?: MemoryMetrics;
}
