import { readFileSync, watchFile } from "node:fs";
import { createServer, type Server } from "node:http";
import {
  createServer as createTlsServer,
  type Server as TlsServer,
} from "node:https";
import type { AddressInfo } from "node:net";
import type { SecureContextOptions } from "node:tls";
import { getRequestListener } from "@hono/node-server";
import type { Listener, Settings } from "./settings.ts";

type FetchCallback = Parameters<typeof getRequestListener>[0];

const CERTIFICATE_POLL_MS = 5_000;
const MAX_HEADER_BYTES = 16 * 1024;
const KEEP_ALIVE_MS = 30_000;

/** A listening HTTP server. */
export interface HttpListener {
  readonly port: number;
  /** Takes no new connections; running answers go on. */
  stopAccepting(): void;
  /** Closes every connection. */
  close(): Promise<void>;
}

/** What is served, such as a Hono application. */
export interface Routes {
  fetch(request: Request, environment: never): Response | Promise<Response>;
}

/** Serves routes at an address, over TLS where the settings give certificates. */
export function listen(
  { fetch }: Routes,
  { listener, limits }: { listener: Listener; limits: Settings["limits"] },
): Promise<HttpListener> {
  const handle = getRequestListener(
    fetch as FetchCallback,
    {
      overrideGlobalObjects: false,
    },
  );
  const options = {
    maxHeaderSize: MAX_HEADER_BYTES,
    headersTimeout: limits.headersTimeoutMs,
    requestTimeout: limits.requestTimeoutMs,
    keepAliveTimeout: KEEP_ALIVE_MS,
  };
  const server = listener.tls === undefined
    ? createServer(options, handle)
    : createSecureServer({ ...options, tls: listener.tls }, handle);
  server.maxConnections = limits.maximumConnections;
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(listener.port, listener.address, () => resolve(wrap(server)));
  });
}

function createSecureServer(
  { tls, ...options }:
    & { tls: NonNullable<Listener["tls"]> }
    & Record<string, unknown>,
  handle: ReturnType<typeof getRequestListener>,
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
