import { z } from "zod";
import type { Bundle } from "@wasabivane/bundle";
import {
  Controller,
  type Digest,
  type Metrics,
  type ServiceId,
  type Timer,
  type TimerSubscription,
  type UpstreamId,
} from "@wasabivane/common";
import type { CacheEvent, LoadReport } from "@wasabivane/decisions";
import type { UpstreamClient } from "./upstreamClient.ts";

const POLL_PERIOD_MS = 1_000;
const MAX_EVENTS = 4_096;
const MAX_DIGESTS = 1_024;

const loadDocument = z.object({
  takenAt: z.number(),
  running: z.number().min(0),
  waiting: z.number().min(0),
  memoryShare: z.number().min(0).max(1),
});

const cacheDocument = z.object({
  events: z.array(z.object({
    sequence: z.number().int(),
    kind: z.enum(["stored", "evicted", "cleared"]),
    digests: z.array(z.string().max(64)).max(MAX_DIGESTS),
  })).max(MAX_EVENTS),
});

/** Options of an {@link UpstreamPoller}. */
export interface UpstreamPollerOptions {
  readonly timer: Timer;
  readonly metrics: Metrics;
  readonly client: UpstreamClient;
  readonly bundle: () => Bundle | undefined;
  /**
   * Services whose pools this host coordinates; only their upstreams are
   * polled.
   */
  readonly coordinatedServices: () => Iterable<ServiceId>;
  readonly onLoadReport: (service: ServiceId, report: LoadReport) => void;
  readonly onCacheEvent: (service: ServiceId, event: CacheEvent) => void;
}

/**
 * Polls load reports and cache events of the upstreams whose pools this host
 * coordinates, so that the polling rate of an upstream does not depend on the
 * number of entry hosts.
 */
export class UpstreamPoller extends Controller {
  readonly #options: UpstreamPollerOptions;
  readonly #lastSequences = new Map<UpstreamId, number>();
  readonly #beingPolled = new Set<UpstreamId>();
  #pollTimer: TimerSubscription | undefined;

  constructor(options: UpstreamPollerOptions) {
    super();
    this.#options = options;
  }

  override start(): void {
    const poll = (): void => this.#pollAll();
    this.#pollTimer = this.#options.timer.every(POLL_PERIOD_MS, poll);
  }

  override stop(): void {
    this.#pollTimer?.cancel();
  }

  #pollAll(): void {
    const bundle = this.#options.bundle();
    if (bundle === undefined) return;
    const services = new Set(this.#options.coordinatedServices());
    const modelServices = new Set(
      bundle.services.filter(({ kind }) => kind === "model").map((
        { service },
      ) => service),
    );
    for (const { upstream, service, url } of bundle.upstreams) {
      if (!services.has(service) || this.#beingPolled.has(upstream)) continue;
      void this.#poll({
        upstream,
        service,
        url,
        isModel: modelServices.has(service),
      });
    }
  }

  async #poll(
    target: {
      upstream: UpstreamId;
      service: ServiceId;
      url: string;
      isModel: boolean;
    },
  ): Promise<void> {
    this.#beingPolled.add(target.upstream);
    await this.#pollLoad(target);
    if (target.isModel) await this.#pollCache(target);
    this.#beingPolled.delete(target.upstream);
  }

  async #pollLoad(
    { upstream, service, url }: {
      upstream: UpstreamId;
      service: ServiceId;
      url: string;
    },
  ): Promise<void> {
    const document = await this.#read(url, {
      path: "/v1/load",
      schema: loadDocument,
    });
    if (document === undefined) return;
    const { timer, onLoadReport } = this.#options;
    const age = Math.max(0, timer.wallNow() - document.takenAt);
    onLoadReport(service, {
      upstream,
      takenAt: timer.now() - age,
      runningRequests: document.running,
      waitingRequests: document.waiting,
      memoryShare: document.memoryShare,
    });
  }

  async #pollCache(
    { upstream, service, url }: {
      upstream: UpstreamId;
      service: ServiceId;
      url: string;
    },
  ): Promise<void> {
    const after = this.#lastSequences.get(upstream) ?? 0;
    const path = `/v1/cache-events?after=${after}`;
    const document = await this.#read(url, { path, schema: cacheDocument });
    for (const event of document?.events ?? []) {
      this.#lastSequences.set(upstream, event.sequence);
      const digests = event.digests as Digest[];
      this.#options.onCacheEvent(service, { ...event, upstream, digests });
    }
  }

  async #read<Document>(
    url: string,
    { path, schema }: { path: string; schema: z.ZodType<Document> },
  ): Promise<Document | undefined> {
    const { client, metrics } = this.#options;
    const response = await client.readJson(url, path);
    if (response.isErr()) return undefined;
    const parsed = schema.safeParse(response.value);
    if (parsed.success) return parsed.data;
    metrics.count("upstream.malformed_report");
    return undefined;
  }
}
