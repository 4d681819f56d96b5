import { readFileSync, unwatchFile, watchFile } from "node:fs";
import { createSecureContext, type SecureContextOptions } from "node:tls";
import type { Metrics } from "@wasabivane/common";
import type { CertificateSettings } from "./settings.ts";

const POLL_MS = 1_000;

/** Reads a certificate with its key and, where one is named, its authority. */
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
 * Reads a certificate again whenever one of its files changes; the returned
 * function ends that. Between the writes of two files they do not fit together:
 * then nothing is taken, the former pair serves on, and the change of the other
 * file brings the next try.
 */
export function watchCertificate(
  files: CertificateSettings,
  { metrics, take }: {
    metrics: Metrics;
    take: (context: SecureContextOptions) => void;
  },
): () => void {
  const renew = (): void => {
    try {
      const context = readCertificate(files);
      createSecureContext(context);
      take(context);
      metrics.count("certificate.renewed");
    } catch {
      metrics.count("certificate.not_taken");
    }
  };
  const watched = [files.certificateFile, files.keyFile];
  if (files.authorityFile !== undefined) watched.push(files.authorityFile);
  const options = { interval: POLL_MS, persistent: false };
  for (const file of watched) watchFile(file, options, renew);
  return () => watched.forEach((file) => unwatchFile(file, renew));
}
