import type { Buffer } from "node:buffer";
import { readFileSync } from "node:fs";
import { err, ok, type Result } from "neverthrow";
import { pino } from "pino";
import { Agent } from "undici";
import {
  HttpBundleSource,
  HttpHostListSource,
  type PlatformFetch,
} from "@wasabivane/bundle";
import {
  asId,
  type Incarnation,
  MemoryMetrics,
  type Metrics,
  SystemRandom,
  SystemTimer,
  type Timer,
} from "@wasabivane/common";
import {
  WebSocketLink,
  type WebSocketLinkOptions,
} from "@wasabivane/coordination";
import { readCertificate, watchCertificate } from "./certificateFiles.ts";
import { Daemon } from "./daemon.ts";
import { HttpUpstreamClient } from "./httpUpstreamClient.ts";
import type { Settings } from "./settings.ts";
import { StatsdMetrics } from "./statsdMetrics.ts";

const INCARNATION_BYTES = 8;
const STANDARD_ERROR = 2;

/** A running daemon with the ports that it listens on. */
export interface StartedEntry {
  readonly daemon: Daemon;
  readonly ports: {
    readonly callerPort: number;
    readonly operatorPort: number;
    readonly peerPort: number;
  };
  /** Stops immediately and closes all ports. */
  stop(): Promise<void>;
}

/** The reason why an entry host did not start. */
export interface StartError {
  readonly kind: "cannot-start";
  readonly detail: string;
}

/** Starts an entry host with the system's clock and sockets. */
export async function startEntry(
  settings: Settings,
): Promise<Result<StartedEntry, StartError>> {
  const closers: Closer[] = [];
  const stop = async (): Promise<void> => {
    for (const close of closers.splice(0).reverse()) await close();
  };
  try {
    return ok({ ...await startComponents(settings, closers), stop });
  } catch (thrown) {
    await stop();
    const detail = (thrown as Error).message;
    return err({ kind: "cannot-start", detail });
  }
}

type Closer = () => void | Promise<void>;

/** Adds a closer for each started component, for use if a later one fails. */
async function startComponents(
  settings: Settings,
  closers: Closer[],
): Promise<Omit<StartedEntry, "stop">> {
  const timer = new SystemTimer();
  const random = new SystemRandom();
  const counters = new MemoryMetrics();
  const metrics = createMetrics(settings, { counters, closers, timer });
  const incarnation = asId<Incarnation>(random.hex(INCARNATION_BYTES));
  const link = createLink(settings, { incarnation, timer, random, metrics });
  closers.push(() => link.close());
  const peers = await link.listen(settings.peers);
  if (peers.isErr()) throw new Error(peers.error.detail);
  closers.push(watchPeerCertificate(settings, { link, metrics }));
  const platform = new Agent({
    connect: authorityOf(settings.platform.authorityFile),
  });
  closers.push(() => platform.destroy());
  const { configurationUrl, hostListUrl } = settings.platform;
  const request: PlatformFetch = (url, options) =>
    platform.request({
      origin: url.origin,
      path: url.pathname + url.search,
      method: "GET",
      signal: options.signal,
    });
  const daemon = new Daemon({
    settings,
    incarnation,
    timer,
    random,
    metrics,
    counters,
    link,
    client: new HttpUpstreamClient(
      authorityOf(settings.upstreams.authorityFile),
    ),
    onPeerAddresses: (addresses) => link.setAddresses(addresses),
    bundleSource: new HttpBundleSource({ url: configurationUrl, request }),
    hostListSource: new HttpHostListSource({ url: hostListUrl, request }),
    log: pino(
      { level: settings.logLevel, base: { host: settings.host } },
      pino.destination(STANDARD_ERROR),
    ),
  });
  closers.push(() => daemon.stop());
  const ports = { ...await daemon.start(), peerPort: peers.value };
  return { daemon, ports };
}

function createMetrics(
  { statsd }: Settings,
  { counters, closers, timer }: {
    counters: MemoryMetrics;
    closers: Closer[];
    timer: Timer;
  },
): Metrics {
  if (statsd === undefined) return counters;
  const metrics = new StatsdMetrics(counters, { ...statsd, timer });
  closers.push(() => metrics.close());
  return metrics;
}

function createLink(
  { host, peers }: Settings,
  services: Pick<
    WebSocketLinkOptions,
    "incarnation" | "timer" | "random" | "metrics"
  >,
): WebSocketLink {
  return new WebSocketLink({
    ...services,
    host,
    sharedSecrets: peers.secrets,
    ...(peers.tls === undefined
      ? {}
      : { secureContext: readCertificate(peers.tls) }),
  });
}

function watchPeerCertificate(
  { peers: { tls } }: Settings,
  { link, metrics }: { link: WebSocketLink; metrics: Metrics },
): Closer {
  if (tls === undefined) return () => {};
  return watchCertificate(tls, {
    metrics,
    onRenewed: (context) => link.renewSecureContext(context),
  });
}

function authorityOf(file: string | undefined): { ca?: Buffer } {
  return file === undefined ? {} : { ca: readFileSync(file) };
}
