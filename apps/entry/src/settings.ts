import { z } from "zod";
import { trustedKeysSchema } from "@wasabivane/bundle";
import type { FailureDomain, HostId } from "@wasabivane/common";

const port = z.number().int().min(0).max(65_535);
const ipNumber = z.union([z.ipv4(), z.ipv6()]);
const name = z.string().regex(/^[a-z0-9][a-z0-9.-]*$/).max(64);

/** Files of a certificate; read again when they change, without a restart. */
export const certificateSchema = z.strictObject({
  certificateFile: z.string().min(1),
  keyFile: z.string().min(1),
  /** Authorities whose client certificates are asked for. */
  authorityFile: z.string().min(1).optional(),
});

/** An address to listen on. */
export const listenerSchema = z.strictObject({
  address: ipNumber.default("127.0.0.1"),
  port,
  tls: certificateSchema.optional(),
});

/** Settings of `wasabivane-entry`. */
export const settingsSchema = z.strictObject({
  host: name as unknown as z.ZodType<HostId>,
  failureDomain: name as unknown as z.ZodType<FailureDomain>,
  callers: listenerSchema,
  operators: listenerSchema,
  peers: listenerSchema.extend({
    /** Address told to peers, `ip:port`; the listening one when left out. */
    advertisedAddress: z.string().max(64).optional(),
    /** Shared by all entry hosts; prove a peer in the handshake. The first is used, both count. */
    secrets: z.array(z.string().min(16)).min(1).max(2),
  }),
  platform: z.strictObject({
    configurationUrl: z.url({ protocol: /^https?$/ }),
    hostListUrl: z.url({ protocol: /^https?$/ }),
    /** Authority of the platform's certificates; the system's when left out. */
    authorityFile: z.string().min(1).optional(),
  }),
  upstreams: z.strictObject({
    /** Authority of the upstreams' certificates; the system's when left out. */
    authorityFile: z.string().min(1).optional(),
  }).prefault({}),
  /** Public keys whose bundle signatures count, by key id. */
  trustedKeys: trustedKeysSchema,
  limits: z.strictObject({
    maximumBodyBytes: z.number().int().min(1024).default(4_194_304),
    maximumConnections: z.number().int().min(1).default(4_096),
    /** Time for a request's headers, then for its body. */
    headersTimeoutMs: z.number().int().min(100).default(10_000),
    requestTimeoutMs: z.number().int().min(100).default(60_000),
    /** Memory for answers kept for resends. */
    retainedAnswerBytes: z.number().int().min(0).default(16_777_216),
  }).prefault({}),
  /** Where counters and histograms go; none when left out. */
  statsd: z.strictObject({ address: ipNumber, port }).optional(),
  logLevel: z.enum(["debug", "info", "warn", "error", "silent"]).default(
    "info",
  ),
});

/** Checked settings of `wasabivane-entry`. */
export type Settings = z.infer<typeof settingsSchema>;
/** See {@link certificateSchema}. */
export type CertificateSettings = z.infer<typeof certificateSchema>;
/** See {@link listenerSchema}. */
export type Listener = z.infer<typeof listenerSchema>;
