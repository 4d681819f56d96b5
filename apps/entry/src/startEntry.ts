import { readFileSync } from "node:fs";
import type { SecureContextOptions } from "node:tls";
import { err, ok, type Result } from "neverthrow";
import { pino } from "pino";
import { HttpBundleSource, HttpHostListSource } from "@wasabivane/bundle";
import {
  asId,
  type Incarnation,
  MemoryMetrics,
  SystemRandom,
  SystemTimer,
} from "@wasabivane/common";
import { WebSocketLink } from "@wasabivane/coordination";
import { Daemon } from "./daemon.ts";
import { HttpUpstreamClient } from "./httpUpstreamClient.ts";
import type { Settings } from "./settings.ts";
import { StatsdMetrics } from "./statsdMetrics.ts";

const INCARNATION_BYTES = 8;

/** A daemon with the ports that it listens on. */
export interface StartedEntry {
  readonly daemon: Daemon;
  readonly ports: {
    readonly callerPort: number;
    readonly operatorPort: number;
    readonly peerPort: number;
  };
  /** Ends at once and closes every port. */
  stop(): Promise<void>;
}

/** Why an entry host did not start. */
export interface StartError {
  readonly kind: "cannot-listen";
  readonly detail: string;
}

/** Starts an entry host from its settings, on real time and real sockets. */
export async function startEntry(
  settings: Settings,
): Promise<Result<StartedEntry, StartError>> {
  const timer = new SystemTimer();
  const random = new SystemRandom();
  const counters = new MemoryMetrics();
  const metrics = settings.statsd === undefined
    ? counters
    : new StatsdMetrics(counters, settings.statsd);
  const incarnation = asId<Incarnation>(random.hex(INCARNATION_BYTES));
  const link = new WebSocketLink({
    host: settings.host,
    incarnation,
    timer,
    random,
    metrics,
    sharedSecrets: settings.peers.secrets,
    ...secureContextOf(settings),
  });
  const peers = await link.listen(settings.peers);
  if (peers.isErr()) return err(peers.error);
  const daemon = new Daemon({
    settings,
    incarnation,
    timer,
    random,
    metrics,
    counters,
    link,
    client: new HttpUpstreamClient(),
    onPeerAddresses: (addresses) => link.setAddresses(addresses),
    bundleSource: new HttpBundleSource({
      url: settings.platform.configurationUrl,
    }),
    hostListSource: new HttpHostListSource({
      url: settings.platform.hostListUrl,
    }),
    log: pino(
      { level: settings.logLevel, base: { host: settings.host } },
      pino.destination(2),
    ),
  });
  try {
    return ok({
      daemon,
      ports: { ...await daemon.start(), peerPort: peers.value },
      async stop(): Promise<void> {
        await daemon.stop();
        link.close();
        if (metrics instanceof StatsdMetrics) await metrics.close();
      },
    });
  } catch (thrown) {
    return err({ kind: "cannot-listen", detail: (thrown as Error).message });
  }
}

function secureContextOf(
  { peers }: Settings,
): { secureContext?: SecureContextOptions } {
  if (peers.tls === undefined) return {};
  const { certificateFile, keyFile, authorityFile } = peers.tls;
  return {
    secureContext: {
      cert: readFileSync(certificateFile),
      key: readFileSync(keyFile),
      ...(authorityFile === undefined
        ? {}
        : { ca: readFileSync(authorityFile) }),
    },
  };
}
