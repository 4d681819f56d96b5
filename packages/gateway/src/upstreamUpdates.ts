import type {
  FailureDomain,
  Milliseconds,
  TimerSubscription,
  UpstreamId,
} from "@wasabivane/common";
import type { ReplacementOptions, Upstream } from "@wasabivane/admission";
import type { Departure } from "./crashChecks.ts";
import type { GatewayContext } from "./gatewayContext.ts";
import type { UpstreamListChange } from "./gossipMessage.ts";

/**
 * Delay before the connections of a removed upstream close, so that responses
 * can finish.
 */
const CONNECTION_CLOSE_DELAY_MS: Milliseconds = 30_000;
const MAXIMUM_LOGGED_REJECTIONS = 1_000;
const MAXIMUM_LOGGED_NAME_LENGTH = 200;

/** Applies upstream changes from the store and from peers, and logs them. */
export class UpstreamUpdates {
  readonly #context: GatewayContext;
  readonly #announceLeaving: (upstream: UpstreamId) => void;
  readonly #pendingCloses = new Set<TimerSubscription>();
  /** Names of entries that were logged and have not been sound since. */
  readonly #loggedRejections = new Set<string>();

  constructor(
    context: GatewayContext,
    { announceLeaving }: { announceLeaving: (upstream: UpstreamId) => void },
  ) {
    this.#context = context;
    this.#announceLeaving = announceLeaving;
  }

  /** Adds or updates one upstream from its store entry. */
  apply(upstream: Upstream): void {
    this.#applyEntries([upstream]);
  }

  /**
   * Applies a change of the list. Removed entries are kept until `keepUntil` if
   * they may have lapsed during a store outage.
   */
  applyChange(
    { upstreams, removed, evacuated }: UpstreamListChange,
    keepUntil?: Milliseconds,
  ): void {
    if (upstreams.length > 0) this.#applyEntries(upstreams);
    for (const name of removed) this.remove(name, keepUntil);
    if (evacuated !== undefined) this.applyEvacuation(new Set(evacuated));
  }

  #applyEntries(upstreams: readonly Upstream[]): void {
    const { directory, reviewQueues } = this.#context;
    for (const { upstream, isLeaving } of upstreams) {
      if (isLeaving) this.#markLeaving(upstream);
    }
    this.#reportPredecessors(upstreams);
    for (const upstream of upstreams) {
      this.#loggedRejections.delete(upstream.name);
      const known = directory.findListed(upstream.upstream);
      const previous = directory.set(upstream);
      this.#updateWarmup(upstream);
      if (previous !== undefined) this.#discard(previous, "started again");
      if (known === undefined) this.#logListed(upstream);
    }
    reviewQueues();
  }

  #logListed({ upstream, service, slots }: Upstream): void {
    const { directory, log } = this.#context;
    if (directory.findListed(upstream) === undefined) return;
    log.write("upstream_listed", { upstream, service, slots });
  }

  /**
   * Reports an entry that cannot be used. Only the first of several is logged, as
   * upstreams write theirs at each heartbeat.
   */
  reportRejection(name: string, detail: string): void {
    this.#context.metrics.count("upstream_entries_malformed");
    if (this.#loggedRejections.has(name)) return;
    if (this.#loggedRejections.size >= MAXIMUM_LOGGED_REJECTIONS) {
      this.#loggedRejections.clear();
    }
    this.#loggedRejections.add(name);
    const upstream = name.slice(0, MAXIMUM_LOGGED_NAME_LENGTH);
    this.#context.log.write("upstream_malformed", { upstream, detail });
  }

  /**
   * Removes an upstream whose address now belongs to another one. It is not
   * added again, even if the store still lists this incarnation.
   */
  removeReplaced(upstream: UpstreamId): void {
    this.#markLeaving(upstream, "replaced");
  }

  /**
   * Applies the report of a response or a peer that an upstream is leaving, and
   * passes it on. Unlike the store's word it may be false, so the upstream stays
   * listed and can be reinstated.
   */
  reportLeaving(upstream: UpstreamId, by: "response" | "peer"): void {
    const { directory, timer, log, reviewQueues } = this.#context;
    if (!directory.reportLeaving(upstream, timer.now())) return;
    log.write("upstream_leaving", { upstream, by });
    this.#announceLeaving(upstream);
    reviewQueues();
  }

  /**
   * Removes an upstream, or keeps it until `keepUntil` after a store outage.
   */
  remove(name: string, keepUntil?: Milliseconds): void {
    const { directory, log } = this.#context;
    directory.dropRelisted(name);
    directory.recordRemoval(name);
    const known = directory.findByName(name);
    if (known === undefined) return;
    if (directory.remove(known.upstream, keepUntil)) {
      return this.#discard(known, "removed");
    }
    log.write("upstream_left", { upstream: known.upstream, why: "lapsed" });
  }

  /** Replaces the list with a full read of all upstreams. */
  applyAll(
    upstreams: readonly Upstream[],
    options: ReplacementOptions = {},
  ): void {
    const { directory, reviewQueues, log } = this.#context;
    for (const { upstream, isLeaving } of upstreams) {
      if (isLeaving) this.#markLeaving(upstream);
    }
    for (const upstream of upstreams) {
      this.#loggedRejections.delete(upstream.name);
      this.#updateWarmup(upstream);
    }
    this.#reportPredecessors(upstreams);
    for (const removed of directory.replaceAll(upstreams, options)) {
      this.#discard(removed, "not listed");
    }
    log.write("upstreams_read", {
      listed: upstreams.length,
      known: directory.size,
      kept: options.keepUntil !== undefined,
    });
    reviewQueues();
  }

  /**
   * Replaces the set of evacuated failure domains; those that are missing are
   * retained until `retainUntil`. Queued requests move elsewhere; running ones
   * finish there.
   */
  applyEvacuation(
    domains: ReadonlySet<FailureDomain>,
    retainUntil?: Milliseconds,
  ): void {
    const { directory, reviewQueues } = this.#context;
    if (!directory.evacuate(domains, retainUntil)) return;
    this.#logEvacuations();
    reviewQueues();
  }

  #logEvacuations(): void {
    const { directory, log } = this.#context;
    const domains = [...directory.evacuated].join(",");
    log.write("domains_evacuated", { domains });
  }

  /**
   * Removes lapsed upstreams that were not listed again in time, applies what
   * was held back after the store was restored, and reinstates upstreams that
   * were falsely reported to be leaving. Returns those that the store has listed
   * before and that are used only now.
   */
  expire(): Upstream[] {
    const { directory, timer, log, reviewQueues } = this.#context;
    const removed = directory.expireLapsed(timer.now());
    for (const upstream of removed) {
      this.#discard(upstream, "did not come back");
    }
    const { evacuated } = directory;
    const listed: Upstream[] = [];
    const isRestored = directory.expireRestored(
      timer.now(),
      (upstream) => listed.push(upstream),
    );
    if (directory.evacuated !== evacuated) this.#logEvacuations();
    const reinstated = this.#reinstate();
    for (const upstream of reinstated) {
      log.write("upstream_reinstated", { upstream });
    }
    const isChanged = isRestored || removed.length + reinstated.length > 0;
    if (isChanged) reviewQueues();
    return listed;
  }

  #reinstate(): UpstreamId[] {
    const { directory, timer, policies, elapsed } = this.#context;
    // A confirmation of the policy covers the list of upstreams, too.
    const isCurrent = policies.freshness.isKeyTrusted(elapsed.now());
    return directory.reinstate({ isCurrent, now: timer.now() });
  }

  /** Cancels pending closes of connections. */
  close(): void {
    for (const closeTimer of this.#pendingCloses) closeTimer.cancel();
  }

  #updateWarmup({ upstream, coldFor }: Upstream): void {
    const { upstreamStats, timer } = this.#context;
    upstreamStats.warmup.update(upstream, { coldFor, now: timer.now() });
  }

  #markLeaving(upstream: UpstreamId, why: Departure = "announced"): void {
    const known = this.#context.directory.findListed(upstream);
    if (!this.#context.directory.markLeaving(upstream)) return;
    this.#announceLeaving(upstream);
    if (known !== undefined) this.#discard(known, why);
  }

  /** Reports the upstreams whose addresses new ones are listed with. */
  #reportPredecessors(upstreams: readonly Upstream[]): void {
    const { directory, crashChecks } = this.#context;
    const isNew = ({ upstream, isLeaving }: Upstream): boolean =>
      !isLeaving && directory.lastKnown(upstream) === undefined;
    const successors = new Map(
      upstreams.filter(isNew).map(({ address, name }) => [address, name]),
    );
    if (successors.size === 0) return;
    for (const known of directory.all()) {
      const successor = successors.get(known.address);
      // Incarnations of one name replace each other in the directory.
      if (successor === undefined || successor === known.name) continue;
      crashChecks.handleDeparture(known, "replaced");
    }
  }

  #discard(known: Upstream, why: Departure): void {
    const { upstream, address } = known;
    const {
      upstreamStats,
      upstreamActivity,
      connections,
      crashChecks,
      directory,
      malformedReports,
      timer,
      log,
    } = this.#context;
    log.write("upstream_left", { upstream, why });
    crashChecks.handleDeparture(known, why);
    upstreamStats.forget(upstream);
    upstreamActivity.forget(upstream);
    malformedReports.forget(upstream);
    const closeTimer = timer.after(CONNECTION_CLOSE_DELAY_MS, () => {
      this.#pendingCloses.delete(closeTimer);
      const isUsed = directory.all().some((other) => other.address === address);
      if (!isUsed) connections.forget(address);
    });
    this.#pendingCloses.add(closeTimer);
  }
}
