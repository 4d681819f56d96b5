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

/** What an entry host runs on; everything that touches the outside is given. */
export interface EntryHostOptions {
  readonly settings: Settings;
  readonly incarnation: Incarnation;
  readonly timer: Timer;
  readonly random: Random;
  readonly link: PeerLink;
  readonly client: UpstreamClient;
  readonly bundleSource: BundleSource;
  readonly hostListSource: HostListSource;
  /** Called with the peers' addresses when the host list changes. */
  readonly onPeerAddresses?: (addresses: ReadonlyMap<HostId, string>) => void;
  readonly log: Logger;
  readonly metrics?: Metrics;
  /** Counters shown on the status page. */
  readonly counters?: MemoryMetrics;
}
