import { createServer, type Server } from "node:http";
import {
  createServer as createTlsServer,
  Server as TlsServer,
} from "node:https";
import type { AddressInfo } from "node:net";
import type { Metrics } from "@wasabivane/common";
import { readCertificate, watchCertificate } from "./certificateFiles.ts";
import {
  ConnectionErrorHandler,
  type RequestHandler,
} from "./connectionErrorHandler.ts";
import type { Listener, Settings } from "./settings.ts";

const MAX_HEADER_BYTES = 16 * 1024;
const KEEP_ALIVE_MS = 30_000;
/** Slow connections end within this past their time. */
const MAX_TIMEOUT_CHECK_MS = 1_000;
const TIMEOUT_CHECKS = 4;

/** A listening HTTP server. */
export interface HttpListener {
  readonly port: number;
  /** Takes no new connections; running answers go on. */
  stopAccepting(): void;
  /** Closes every connection. */
  close(): Promise<void>;
}

/** Serves requests at an address, over TLS where the settings give certificates. */
export function listen(
  handle: RequestHandler,
  { listener, limits, metrics }: {
    listener: Listener;
    limits: Settings["limits"];
    metrics: Metrics;
  },
): Promise<HttpListener> {
  const problems = new ConnectionErrorHandler(limits.maximumConnections);
  const options = {
    maxHeaderSize: MAX_HEADER_BYTES,
    headersTimeout: limits.headersTimeoutMs,
    requestTimeout: limits.headersTimeoutMs + limits.requestTimeoutMs,
    connectionsCheckingInterval: Math.min(
      MAX_TIMEOUT_CHECK_MS,
      limits.headersTimeoutMs / TIMEOUT_CHECKS,
    ),
    // The caller interface refuses these itself, with a document.
    requireHostHeader: false,
    keepAliveTimeout: KEEP_ALIVE_MS,
  };
  const server = listener.tls === undefined
    ? createServer(options, problems.wrapHandler(handle))
    : createSecureServer(
      { ...options, tls: listener.tls },
      problems.wrapHandler(handle),
    );
  problems.attachTo(server);
  watchRenewal(server, { tls: listener.tls, metrics });
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(listener.port, listener.address, () => resolve(wrap(server)));
  });
}

function createSecureServer(
  { tls, ...options }:
    & { tls: NonNullable<Listener["tls"]> }
    & Record<string, unknown>,
  handle: RequestHandler,
): TlsServer {
  const isClientCertified = tls.authorityFile !== undefined;
  return createTlsServer({
    ...options,
    ...readCertificate(tls),
    requestCert: isClientCertified,
    rejectUnauthorized: isClientCertified,
  }, handle);
}

/** A renewed certificate counts for new connections; open ones keep theirs. */
function watchRenewal(
  server: Server | TlsServer,
  { tls, metrics }: { tls: Listener["tls"]; metrics: Metrics },
): void {
  if (tls === undefined || !(server instanceof TlsServer)) return;
  const unwatch = watchCertificate(tls, {
    metrics,
    take: (context) => server.setSecureContext(context),
  });
  server.once("close", unwatch);
}

function wrap(server: Server | TlsServer): HttpListener {
  return {
    port: (server.address() as AddressInfo).port,
    stopAccepting: () => void server.close(),
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
}
