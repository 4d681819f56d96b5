import { z } from "zod";
import { trustedKeysSchema } from "@wasabivane/bundle";
import type { FailureDomain, HostId } from "@wasabivane/common";

const port = z.number().int().min(0).max(65_535);
const ipAddress = z.union([z.ipv4(), z.ipv6()]);
const name = z.string().regex(/^[a-z0-9][a-z0-9.-]*$/).max(64);

/** Files of a certificate, which are reloaded when they change. */
export const certificateSchema = z.strictObject({
  certificateFile: z.string().min(1),
  keyFile: z.string().min(1),
  /** Authority that must have signed client certificates; none by default. */
  authorityFile: z.string().min(1).optional(),
});

/** An address to listen on. */
export const listenerSchema = z.strictObject({
  address: ipAddress.default("127.0.0.1"),
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
    /**
     * Address announced to peers, `ip:port`; the listening address by default.
     */
    advertisedAddress: z.string().max(64).optional(),
    /**
     * Authenticate peers in the handshake; the first is used, all are accepted.
     */
    secrets: z.array(z.string().min(16)).min(1).max(2),
  }),
  platform: z.strictObject({
    configurationUrl: z.url({ protocol: /^https?$/ }),
    hostListUrl: z.url({ protocol: /^https?$/ }),
    /** Authority of the platform's certificates; the system's by default. */
    authorityFile: z.string().min(1).optional(),
  }),
  upstreams: z.strictObject({
    /** Authority of the upstreams' certificates; the system's by default. */
    authorityFile: z.string().min(1).optional(),
  }).prefault({}),
  /** Public keys that may sign bundles, by key id. */
  trustedKeys: trustedKeysSchema,
  limits: z.strictObject({
    maximumBodyBytes: z.number().int().min(1024).default(4_194_304),
    maximumConnections: z.number().int().min(1).default(4_096),
    /**
     * Timeout for a request's headers; `requestTimeoutMs` is that for its body.
     */
    headersTimeoutMs: z.number().int().min(100).default(10_000),
    requestTimeoutMs: z.number().int().min(100).default(60_000),
    /** Memory for responses that are retained for resends. */
    retainedAnswerBytes: z.number().int().min(0).default(16_777_216),
  }).prefault({}),
  /** Destination of counters and histograms; none by default. */
  statsd: z.strictObject({ address: ipAddress, port }).optional(),
  logLevel: z.enum(["debug", "info", "warn", "error", "silent"]).default(
    "info",
  ),
});

/** Validated settings of `wasabivane-entry`. */
export type Settings = z.infer<typeof settingsSchema>;
/** Files of a certificate; see {@link certificateSchema}. */
export type CertificateSettings = z.infer<typeof certificateSchema>;
/** An address to listen on; see {@link listenerSchema}. */
export type Listener = z.infer<typeof listenerSchema>;
