import type { UpstreamId } from "@wasabivane/common";
import type { DecisionLog } from "./decisionLog.ts";
import type { GatewayMetrics } from "./gatewayMetrics.ts";
import type { HeaderValues } from "./headers.ts";

/** Unknown names that are logged at most. */
const MAXIMUM_NAMES = 32;
const MAXIMUM_NAME_LENGTH = 64;

/** Headers of HTTP itself, which concern the caller or the connection. */
const STANDARD_HEADERS: ReadonlySet<string> = new Set([
  "cache-control",
  "connection",
  "content-disposition",
  "content-encoding",
  "content-language",
  "content-length",
  "content-type",
  "date",
  "etag",
  "expires",
  "keep-alive",
  "last-modified",
  "link",
  "location",
  "server",
  "set-cookie",
  "trailer",
  "transfer-encoding",
  "vary",
  "via",
]);

/** Dependencies of {@link UnknownHeaders}. */
export interface UnknownHeadersOptions {
  /** Lower-case names that the dialect knows. */
  readonly known: ReadonlySet<string>;
  readonly metrics: GatewayMetrics;
  readonly log: DecisionLog;
}

/**
 * Notices response headers of upstreams that this version does not know, so that
 * operators see a new term before requests depend on it. Each name is logged
 * once, its value never, as it may be confidential.
 */
export class UnknownHeaders {
  readonly #options: UnknownHeadersOptions;
  readonly #logged = new Set<string>();

  constructor(options: UnknownHeadersOptions) {
    this.#options = options;
  }

  /** Checks the headers of one response. */
  check(upstream: UpstreamId, headers: HeaderValues): void {
    const { known, metrics } = this.#options;
    let hasUnknown = false;
    for (const name in headers) {
      if (known.has(name) || STANDARD_HEADERS.has(name)) continue;
      hasUnknown = true;
      this.#log(upstream, name);
    }
    if (hasUnknown) metrics.count("upstream_headers_unknown");
  }

  #log(upstream: UpstreamId, name: string): void {
    if (this.#logged.has(name)) return;
    if (this.#logged.size >= MAXIMUM_NAMES) return;
    this.#logged.add(name);
    this.#options.log.write("upstream_header_unknown", {
      upstream,
      name: name.slice(0, MAXIMUM_NAME_LENGTH),
    });
  }
}
