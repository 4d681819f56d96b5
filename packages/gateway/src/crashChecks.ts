import type { Milliseconds, UpstreamId } from "@wasabivane/common";
import {
  type CrashSuspicion,
  CrashSuspicions,
  type Upstream,
} from "@wasabivane/admission";
import { CrashWatch } from "./crashWatch.ts";
import type { GatewayContext } from "./gatewayContext.ts";
import type { RequestTraits } from "./requestTraits.ts";
import type { UpstreamState } from "./upstreamProbe.ts";

/**
 * Looks after a broken response: a process may end in several steps, or hang
 * until it is killed.
 */
const LOOKS_AFTER_BREAK_MS: readonly Milliseconds[] = [
  0,
  150,
  500,
  1_500,
  4_000,
  9_000,
];
/** A retry of a suspect request waits for the look at this time. */
const SETTLING_MS: Milliseconds = 150;
/** Look after a request that this host ended itself, which happens often. */
const LOOK_AFTER_ABORT_MS: Milliseconds = 1_000;
/** Minimum interval between such looks. */
const ABORT_LOOK_INTERVAL_MS: Milliseconds = 250;
/** Time within which an upstream may crash under a request that has ended. */
const LIFETIME_MS: Milliseconds = 10_000;
const MAXIMUM_REPLACED = 500;
/** An upstream that is up so long after a response has not crashed under it. */
const OUTLIVED_MS: Milliseconds = 1_000;

/** A request that ended at an upstream without a complete response. */
export interface UnfinishedRequest {
  readonly requestId: string;
  readonly traits: RequestTraits;
  readonly upstream: Upstream;
  readonly sentAt: Milliseconds;
}

/** Why an upstream is no longer used. */
export type Departure =
  | "announced"
  | "replaced"
  | "started again"
  | "removed"
  | "not listed"
  | "did not come back";

/** Departures that show that the upstream's process has ended. */
const ENDS: ReadonlySet<Departure> = new Set<Departure>([
  "replaced",
  "started again",
]);

/** Options of {@link CrashChecks}. */
export interface CrashChecksOptions {
  readonly context: () => GatewayContext;
  /** Finds out whether an upstream accepts connections. */
  readonly probe: (upstream: Upstream) => Promise<UpstreamState>;
}

/**
 * Finds out whether upstreams have crashed under requests that ended there
 * without a complete response. Later requests do not show it in time, as hosts
 * avoid an upstream whose responses break off, so this connects to it several
 * times; what the list, a response or a peer tells of it counts as well.
 */
export class CrashChecks {
  readonly #options: CrashChecksOptions;
  readonly #suspicions = new CrashSuspicions();
  readonly #watches = new Map<UpstreamId, CrashWatch>();
  /** Upstreams whose addresses now belong to others. */
  readonly #replaced = new Set<UpstreamId>();
  /** What to do once upstreams have outlived responses that seem complete. */
  readonly #unframedEnds = new WeakMap<CrashSuspicion, () => void>();
  #abortLookAt: Milliseconds = -Infinity;

  constructor(options: CrashChecksOptions) {
    this.#options = options;
  }

  /** Records a request whose response broke off or stopped. */
  recordBreak(request: UnfinishedRequest): void {
    const { requestId, traits, upstream: { upstream } } = request;
    const { fingerprint, parts } = traits;
    if (this.#suspect(request) === undefined) return;
    const { metrics, log } = this.#options.context();
    metrics.count("crashes_suspected");
    log.write("crash_suspected", {
      id: requestId,
      upstream,
      fingerprint,
      parts: parts.join(","),
    });
    if (this.#replaced.has(upstream)) return this.confirm(upstream);
    this.#watch(request.upstream).schedule(LOOKS_AFTER_BREAK_MS, {
      settling: SETTLING_MS,
      lifetime: LIFETIME_MS,
    });
  }

  /** Records a request that this host ended, as its caller left or in time. */
  recordAbort(request: UnfinishedRequest): void {
    const { upstream } = request.upstream;
    if (this.#suspect(request) === undefined) return;
    if (this.#replaced.has(upstream)) return this.confirm(upstream);
    const watch = this.#watch(request.upstream);
    watch.extend(LIFETIME_MS);
    if (watch.isDueWithin(LOOK_AFTER_ABORT_MS)) return;
    if (this.#takeAbortLook()) watch.addLook(LOOK_AFTER_ABORT_MS);
  }

  /**
   * Records a complete response that only the end of its connection shows to be
   * complete. Calls back once its upstream has outlived it.
   */
  recordUnframedEnd(request: UnfinishedRequest, onOutlived: () => void): void {
    const { upstream } = request.upstream;
    const suspicion = this.#suspect(request);
    if (suspicion === undefined) return onOutlived();
    if (this.#replaced.has(upstream)) return this.confirm(upstream);
    this.#unframedEnds.set(suspicion, onOutlived);
    const watch = this.#watch(request.upstream);
    watch.extend(LIFETIME_MS);
    if (watch.isDueWithin(OUTLIVED_MS)) return;
    if (this.#takeAbortLook()) watch.addLook(OUTLIVED_MS);
  }

  /** Records that an upstream has completed a request. */
  recordCompletion(upstream: UpstreamId, startedAt: Milliseconds): void {
    if (!this.#suspicions.has(upstream)) return;
    const outlived = this.#suspicions.refute(upstream, startedAt);
    for (const suspicion of outlived) this.#settleUnframed(suspicion);
    if (!this.#suspicions.has(upstream)) this.#end(upstream);
  }

  /**
   * Records why an upstream is no longer used. One that announced it may cut
   * responses without a crash; one that is only missing is looked at once more.
   */
  handleDeparture(known: Upstream, why: Departure): void {
    const { upstream } = known;
    if (ENDS.has(why)) {
      this.#addReplaced(upstream);
      return this.confirm(upstream);
    }
    if (why === "announced") {
      const suspicions = this.#suspicions.take(upstream);
      for (const suspicion of suspicions) this.#settleUnframed(suspicion);
      return this.#end(upstream);
    }
    if (!this.#suspicions.has(upstream)) return;
    this.#watch(known).schedule([0], { settling: 0, lifetime: 0 });
  }

  /** Confirms the crashes of an upstream that is known to be down. */
  confirm(upstream: UpstreamId): void {
    const { crashes, metrics, log, announceCrash, timer } = this.#options
      .context();
    if (this.#isLeaving(upstream)) return this.#end(upstream);
    const now = timer.now();
    for (const crash of this.#suspicions.take(upstream)) {
      this.#unframedEnds.delete(crash);
      this.#recordParts(crash);
      if (!crashes.recordCrash(crash, now)) continue;
      const { fingerprint } = crash;
      metrics.count("crashes_confirmed");
      log.write("crash_confirmed", {
        upstream,
        fingerprint,
        quarantine: roundIfAny(crashes.quarantineLeft(fingerprint, now)),
      });
      announceCrash(crash);
    }
    this.#end(upstream);
  }

  #recordParts(crash: CrashSuspicion): void {
    if (crash.parts.length === 0) return;
    const { partCrashes, announcePartCrash, timer } = this.#options.context();
    const now = timer.now();
    if (partCrashes.recordCrash(crash, { isOwn: true, now })) {
      announcePartCrash(crash);
    }
  }

  /** Calls back once it is known whether an upstream has crashed. */
  whenSettled(upstream: UpstreamId, callback: () => void): void {
    const watch = this.#watches.get(upstream);
    if (watch === undefined) callback();
    else watch.whenSettled(callback);
  }

  /** Ends all watches. */
  close(): void {
    for (const upstream of [...this.#watches.keys()]) this.#end(upstream);
  }

  /** Returns `undefined` if there is nothing to find out. */
  #suspect(
    { traits, sentAt, upstream: { upstream, softwareVersion } }:
      UnfinishedRequest,
  ): CrashSuspicion | undefined {
    const { directory, timer } = this.#options.context();
    const isInUse = directory.get(upstream) !== undefined;
    if (!isInUse && !this.#replaced.has(upstream)) return undefined;
    const suspicion = {
      ...traits,
      upstream,
      softwareVersion,
      sentAt,
      at: timer.now(),
    };
    this.#suspicions.add(suspicion);
    return suspicion;
  }

  /** Whether an upstream may end as planned, although the store lists it. */
  #isLeaving(upstream: UpstreamId): boolean {
    const { directory } = this.#options.context();
    return directory.findListed(upstream) !== undefined &&
      directory.get(upstream) === undefined;
  }

  #takeAbortLook(): boolean {
    const now = this.#options.context().timer.now();
    if (now - this.#abortLookAt < ABORT_LOOK_INTERVAL_MS) return false;
    this.#abortLookAt = now;
    return true;
  }

  #addReplaced(upstream: UpstreamId): void {
    this.#replaced.add(upstream);
    if (this.#replaced.size <= MAXIMUM_REPLACED) return;
    this.#replaced.delete([...this.#replaced][0]!);
  }

  #watch(upstream: Upstream): CrashWatch {
    const id = upstream.upstream;
    const known = this.#watches.get(id);
    if (known !== undefined) return known;
    const watch = new CrashWatch({
      timer: this.#options.context().timer,
      probe: () => this.#options.probe(upstream),
      onLook: (state) => this.#handleLook(id, state),
      onExpiry: () => this.#end(id),
    });
    this.#watches.set(id, watch);
    return watch;
  }

  #handleLook(upstream: UpstreamId, state: UpstreamState): void {
    const { metrics, log } = this.#options.context();
    metrics.count(`crash_checks_${state}`);
    log.write("crash_checked", { upstream, state });
    if (state === "down") this.confirm(upstream);
    if (state === "up") this.#settleOutlived(upstream);
  }

  #settleOutlived(upstream: UpstreamId): void {
    const { timer } = this.#options.context();
    const outlivedBefore = timer.now() - OUTLIVED_MS;
    for (const suspicion of this.#suspicions.of(upstream)) {
      if (suspicion.at <= outlivedBefore) this.#settleUnframed(suspicion);
    }
  }

  #settleUnframed(suspicion: CrashSuspicion): void {
    const onOutlived = this.#unframedEnds.get(suspicion);
    if (onOutlived === undefined) return;
    this.#unframedEnds.delete(suspicion);
    this.#suspicions.remove(suspicion);
    onOutlived();
  }

  #end(upstream: UpstreamId): void {
    this.#suspicions.take(upstream);
    const watch = this.#watches.get(upstream);
    this.#watches.delete(upstream);
    watch?.end();
  }
}

function roundIfAny(span: Milliseconds): Milliseconds | undefined {
  return span > 0 ? Math.round(span) : undefined;
}
