import type { Digest, Milliseconds, UpstreamId } from "@wasabivane/common";
import type { Upstream } from "@wasabivane/admission";
import type { GatewayContext } from "./gatewayContext.ts";
import type { UpstreamState } from "./upstreamProbe.ts";

/** A request whose response broke off. */
export interface BrokenRequest {
  readonly requestId: string;
  readonly fingerprint: Digest;
  readonly upstream: Upstream;
}

/** Options of {@link CrashChecks}. */
export interface CrashChecksOptions {
  readonly context: () => GatewayContext;
  /** Finds out whether an upstream accepts connections. */
  readonly probe: (upstream: Upstream) => Promise<UpstreamState>;
}

/**
 * Checks after a broken response whether the upstream has crashed. Later requests
 * do not show it in time, as hosts avoid an upstream whose responses break off.
 */
export class CrashChecks {
  readonly #options: CrashChecksOptions;
  readonly #running = new Map<UpstreamId, (() => void)[]>();

  constructor(options: CrashChecksOptions) {
    this.#options = options;
  }

  /** Records a broken response, and starts a check unless one is running. */
  start(
    { requestId, fingerprint, upstream: { upstream, ...rest } }: BrokenRequest,
  ): void {
    const { crashes, directory, metrics, log, timer } = this.#options.context();
    // An upstream that leaves may cut responses without a crash.
    if (directory.get(upstream) === undefined) return;
    metrics.count("crashes_suspected");
    log.write("crash_suspected", { id: requestId, upstream, fingerprint });
    crashes.recordBrokenResponse({ fingerprint, upstream, at: timer.now() });
    if (this.#running.has(upstream)) return;
    this.#running.set(upstream, []);
    void this.#run({ upstream, ...rest });
  }

  /** Confirms the crashes of an upstream that is known to be down. */
  confirm(upstream: UpstreamId): void {
    const { crashes, metrics, log, announceCrash, timer } = this.#options
      .context();
    const now = timer.now();
    for (const crash of crashes.confirmCrashes(upstream, now)) {
      const { fingerprint } = crash;
      metrics.count("crashes_confirmed");
      log.write("crash_confirmed", {
        upstream,
        fingerprint,
        quarantine: roundIfAny(crashes.quarantineLeft(fingerprint, now)),
      });
      announceCrash(crash);
    }
  }

  /** Calls back once no check of the upstream is running. */
  whenSettled(upstream: UpstreamId, callback: () => void): void {
    const callbacks = this.#running.get(upstream);
    if (callbacks === undefined) callback();
    else callbacks.push(callback);
  }

  async #run(upstream: Upstream): Promise<void> {
    const id = upstream.upstream;
    const state = await this.#options.probe(upstream);
    const { metrics, log } = this.#options.context();
    metrics.count(`crash_checks_${state}`);
    log.write("crash_checked", { upstream: id, state });
    if (state === "down") this.confirm(id);
    const callbacks = this.#running.get(id) ?? [];
    this.#running.delete(id);
    for (const callback of callbacks) callback();
  }
}

function roundIfAny(span: Milliseconds): Milliseconds | undefined {
  return span > 0 ? Math.round(span) : undefined;
}
