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

/** Makes an authority that can sign certificates. */
export async function createAuthority(name: string): Promise<Certificate> {
  const made = await generate([{ name: "commonName", value: name }], {
    extensions: [
      { name: "basicConstraints", cA: true, critical: true },
      { name: "keyUsage", keyCertSign: true, critical: true },
    ],
  });
  return { key: made.private, cert: made.cert };
}

/** Makes a certificate for this machine's loopback address. */
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

/** A folder with certificate files, as settings name them. */
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

  /** Settings without the authority: client certificates are not asked for. */
  get files(): { certificateFile: string; keyFile: string } {
    const { certificateFile, keyFile } = this;
    return { certificateFile, keyFile };
  }
}

/** The certificate that a port shows in its handshake, as PEM. */
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

/** Whether a peer port takes a connection from a client with this certificate. */
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

/** Speaks TLS for an HTTP port that does not; gives the https url. */
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
