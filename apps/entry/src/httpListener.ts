import { readFileSync, watchFile } from "node:fs";
import { createServer, type Server } from "node:http";
import {
  createServer as createTlsServer,
  type Server as TlsServer,
} from "node:https";
import type { AddressInfo } from "node:net";
import type { SecureContextOptions } from "node:tls";
import {
  ConnectionProblems,
  type RequestHandler,
} from "./connectionProblems.ts";
import type { Listener, Settings } from "./settings.ts";

const CERTIFICATE_POLL_MS = 5_000;
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
  { listener, limits }: { listener: Listener; limits: Settings["limits"] },
): Promise<HttpListener> {
  const problems = new ConnectionProblems(limits.maximumConnections);
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
    ? createServer(options, problems.guard(handle))
    : createSecureServer(
      { ...options, tls: listener.tls },
      problems.guard(handle),
    );
  problems.watch(server);
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
  const server = createTlsServer(
    { ...options, ...readCertificate(tls) },
    handle,
  );
  // A renewed certificate counts for new connections; open ones keep theirs.
  watchFile(tls.certificateFile, {
    interval: CERTIFICATE_POLL_MS,
    persistent: false,
  }, () => {
    try {
      server.setSecureContext(readCertificate(tls));
    } catch {
      return; // The key file is written next; the former pair serves until then.
    }
  });
  return server;
}

function readCertificate(
  tls: NonNullable<Listener["tls"]>,
): SecureContextOptions {
  return {
    cert: readFileSync(tls.certificateFile),
    key: readFileSync(tls.keyFile),
    ...(tls.authorityFile === undefined
      ? {}
      : { ca: readFileSync(tls.authorityFile) }),
  };
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
