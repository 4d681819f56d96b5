import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { connect as connectPlain, type Server } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { connect, type ConnectionOptions, createServer } from "node:tls";
import type { ExecutionContext } from "ava";
import { generate } from "selfsigned";
import { WebSocket } from "ws";

/** PEM texts of a certificate and its key. */
export interface Certificate {
  readonly cert: string;
  readonly key: string;
}

/** Creates a certificate authority. */
export async function createAuthority(name: string): Promise<Certificate> {
  const made = await generate([{ name: "commonName", value: name }], {
    extensions: [
      { name: "basicConstraints", cA: true, critical: true },
      { name: "keyUsage", keyCertSign: true, critical: true },
    ],
  });
  return { key: made.private, cert: made.cert };
}

/** Creates a certificate for the loopback address. */
export async function createCertificate(
  ca: Certificate,
): Promise<Certificate> {
  const made = await generate([{ name: "commonName", value: "loopback" }], {
    ca,
    extensions: [{
      name: "subjectAltName",
      altNames: [{ type: 7, ip: "127.0.0.1" }],
    }],
  });
  return { key: made.private, cert: made.cert };
}

/** A temporary folder with the certificate files that settings name. */
export class CertificateFolder {
  readonly #folder = mkdtempSync(join(tmpdir(), "wasabivane-"));
  readonly certificateFile = join(this.#folder, "certificate.pem");
  readonly keyFile = join(this.#folder, "key.pem");
  readonly authorityFile = join(this.#folder, "authority.pem");

  constructor(t: ExecutionContext, authority: Certificate) {
    t.teardown(() => rmSync(this.#folder, { recursive: true }));
    writeFileSync(this.authorityFile, authority.cert);
  }

  write({ cert, key }: Partial<Certificate>): void {
    if (cert !== undefined) writeFileSync(this.certificateFile, cert);
    if (key !== undefined) writeFileSync(this.keyFile, key);
  }

  /** Certificate settings that do not request client certificates. */
  get files(): { certificateFile: string; keyFile: string } {
    const { certificateFile, keyFile } = this;
    return { certificateFile, keyFile };
  }
}

/** Returns the PEM certificate that a port presents in its handshake. */
export function presentedCertificate(
  port: number,
  options: ConnectionOptions,
): Promise<string | undefined> {
  return new Promise((resolve) => {
    const socket = connect({ ...options, host: "127.0.0.1", port });
    socket.on("secureConnect", () => {
      resolve(socket.getPeerX509Certificate()!.toString().trim());
      socket.destroy();
    });
    socket.on("error", () => resolve(undefined));
  });
}

/** Whether a peer port accepts a client with the certificate of the options. */
export function canOpenWebSocket(
  port: number,
  options: ConnectionOptions,
): Promise<boolean> {
  const socket = new WebSocket(`wss://127.0.0.1:${port}/`, options as object);
  return new Promise((resolve) => {
    socket.on("open", () => {
      socket.terminate();
      resolve(true);
    });
    socket.on("error", () => resolve(false));
  });
}

/** Starts a TLS proxy in front of an HTTP port and returns its `https` URL. */
export async function startTlsProxy(
  t: ExecutionContext,
  { url, certificate }: { url: string; certificate: Certificate },
): Promise<string> {
  const { port } = new URL(url);
  const server: Server = createServer({ ...certificate }, (outside) => {
    const inside = connectPlain({ port: Number(port), host: "127.0.0.1" });
    for (const socket of [outside, inside]) socket.on("error", () => {});
    outside.on("close", () => inside.destroy());
    inside.on("close", () => outside.destroy());
    outside.pipe(inside).pipe(outside);
  });
  server.on("tlsClientError", () => {});
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  t.teardown(() => void server.close());
  return `https://127.0.0.1:${(server.address() as { port: number }).port}`;
}
