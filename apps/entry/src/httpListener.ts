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
const KEEP_ALIVE_TIMEOUT_MS = 30_000;
/** Upper limit of the interval between timeout checks. */
const MAX_TIMEOUT_CHECK_PERIOD_MS = 1_000;
const CHECKS_PER_TIMEOUT = 4;

/** A listening HTTP server. */
export interface HttpListener {
  readonly port: number;
  /** Stops accepting connections; open ones stay. */
  stopAccepting(): void;
  /** Closes every connection. */
  close(): Promise<void>;
}

/** Listens at an address, over TLS if a certificate is configured. */
export function listen(
  handle: RequestHandler,
  { listener, limits, metrics }: {
    listener: Listener;
    limits: Settings["limits"];
    metrics: Metrics;
  },
): Promise<HttpListener> {
  const errorHandler = new ConnectionErrorHandler(limits.maximumConnections);
  const options = {
    maxHeaderSize: MAX_HEADER_BYTES,
    headersTimeout: limits.headersTimeoutMs,
    requestTimeout: limits.headersTimeoutMs + limits.requestTimeoutMs,
    connectionsCheckingInterval: Math.min(
      MAX_TIMEOUT_CHECK_PERIOD_MS,
      limits.headersTimeoutMs / CHECKS_PER_TIMEOUT,
    ),
    // The caller API checks the header itself and sends a problem document.
    requireHostHeader: false,
    keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
  };
  const server = listener.tls === undefined
    ? createServer(options, errorHandler.wrapHandler(handle))
    : createSecureServer(
      { ...options, tls: listener.tls },
      errorHandler.wrapHandler(handle),
    );
  errorHandler.attachTo(server);
  watchServerCertificate(server, { tls: listener.tls, metrics });
  return new Promise((resolve, reject) => {
    // Later errors, such as a failed accept, concern one connection.
    server.on("error", reject);
    server.listen(
      listener.port,
      listener.address,
      () => resolve(createHttpListener(server)),
    );
  });
}

function createSecureServer(
  { tls, ...options }:
    & { tls: NonNullable<Listener["tls"]> }
    & Record<string, unknown>,
  handle: RequestHandler,
): TlsServer {
  const isClientCertificateRequired = tls.authorityFile !== undefined;
  return createTlsServer({
    ...options,
    ...readCertificate(tls),
    requestCert: isClientCertificateRequired,
    rejectUnauthorized: isClientCertificateRequired,
  }, handle);
}

/** Uses a renewed certificate for new connections. */
function watchServerCertificate(
  server: Server | TlsServer,
  { tls, metrics }: { tls: Listener["tls"]; metrics: Metrics },
): void {
  if (tls === undefined || !(server instanceof TlsServer)) return;
  const unwatch = watchCertificate(tls, {
    metrics,
    onRenewed: (context) => server.setSecureContext(context),
  });
  server.once("close", unwatch);
}

function createHttpListener(server: Server | TlsServer): HttpListener {
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
