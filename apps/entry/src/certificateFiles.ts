import { readFileSync, unwatchFile, watchFile } from "node:fs";
import { createSecureContext, type SecureContextOptions } from "node:tls";
import type { Metrics } from "@wasabivane/common";
import type { CertificateSettings } from "./settings.ts";

const POLL_PERIOD_MS = 1_000;

/**
 * Reads a certificate, its key and, if configured, its certificate authority.
 */
export function readCertificate(
  { certificateFile, keyFile, authorityFile }: CertificateSettings,
): SecureContextOptions {
  return {
    cert: readFileSync(certificateFile),
    key: readFileSync(keyFile),
    ...(authorityFile === undefined ? {} : { ca: readFileSync(authorityFile) }),
  };
}

/**
 * Reloads a certificate whenever one of its files changes. While only one file
 * of a renewed pair has been written, the former certificate stays in use.
 * Returns a function that stops watching.
 */
export function watchCertificate(
  files: CertificateSettings,
  { metrics, onRenewed }: {
    metrics: Metrics;
    onRenewed: (context: SecureContextOptions) => void;
  },
): () => void {
  const reload = (): void => {
    try {
      const context = readCertificate(files);
      createSecureContext(context);
      onRenewed(context);
      metrics.count("certificate.renewed");
    } catch {
      metrics.count("certificate.not_taken");
    }
  };
  const watched = [files.certificateFile, files.keyFile];
  if (files.authorityFile !== undefined) watched.push(files.authorityFile);
  const options = { interval: POLL_PERIOD_MS, persistent: false };
  for (const file of watched) watchFile(file, options, reload);
  return () => watched.forEach((file) => unwatchFile(file, reload));
}
