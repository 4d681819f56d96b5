import type {
  FailureDomain,
  Milliseconds,
  TimerSubscription,
  UpstreamId,
} from "@wasabivane/common";
import type { Upstream } from "@wasabivane/admission";
import type { GatewayContext } from "./gatewayContext.ts";

/** Connections of upstreams that are gone are closed so long after; answers may still come on them. */
const CONNECTION_GRACE_MS: Milliseconds = 30_000;

/** Takes in what the store and peers say of upstreams, and logs what it changes. */
export class UpstreamUpdates {
  readonly #parts: GatewayContext;
  readonly #tellLeft: (upstream: UpstreamId) => void;
  readonly #graces = new Set<TimerSubscription>();

  constructor(
    parts: GatewayContext,
    { tellLeft }: { tellLeft: (upstream: UpstreamId) => void },
  ) {
    this.#parts = parts;
    this.#tellLeft = tellLeft;
  }

  /** Takes in what the store says of one upstream. */
  apply(upstream: Upstream): void {
    const { directory, log, reviewPlaces } = this.#parts;
    const known = directory.findListed(upstream.upstream);
    if (upstream.isLeaving) this.#leave(upstream.upstream);
    const former = directory.set(upstream);
    this.#hearWarmth(upstream);
    if (former !== undefined) this.#forget(former, "started again");
    const isListed = directory.findListed(upstream.upstream) !== undefined;
    if (known === undefined && isListed) {
      log.write("upstream_listed", {
        upstream: upstream.upstream,
        service: upstream.service,
        slots: upstream.slots,
      });
    }
    reviewPlaces();
  }

  /** An entry of the list that names no upstream to use; the others hold. */
  rejectEntry(name: string, detail: string): void {
    const { metrics, log } = this.#parts;
    metrics.count("upstream_entries_malformed");
    log.write("upstream_malformed", { upstream: name, detail });
    this.drop(name);
  }

  /**
   * An upstream's address answered for another one. This life of it is over and never
   * returns, whatever the store still says; one that starts again is another life.
   * Listed for seconds more, it would refuse request after request at once.
   */
  removeReplaced(upstream: UpstreamId): void {
    this.#leave(upstream, "replaced");
  }

  /** A peer tells that an upstream announced its leaving. */
  takeLeft(upstream: UpstreamId): void {
    this.#leave(upstream, "told by a peer");
    this.#parts.reviewPlaces();
  }

  /** The store holds an upstream no more; after an outage it is kept for a while. */
  drop(name: string, keepUntil?: Milliseconds): void {
    const { directory, log } = this.#parts;
    const known = directory.findByName(name);
    if (known === undefined) return;
    if (directory.remove(known.upstream, keepUntil)) {
      return this.#forget(known, "removed");
    }
    log.write("upstream_left", { upstream: known.upstream, why: "lapsed" });
  }

  /** Takes in a full reading of all upstreams. */
  applyAll(upstreams: readonly Upstream[], keepUntil?: Milliseconds): void {
    const { directory, reviewPlaces, log } = this.#parts;
    for (const { upstream, isLeaving } of upstreams) {
      if (isLeaving) this.#leave(upstream);
    }
    for (const upstream of upstreams) this.#hearWarmth(upstream);
    for (const gone of directory.replaceAll(upstreams, keepUntil)) {
      this.#forget(gone, "not listed");
    }
    log.write("upstreams_read", {
      listed: upstreams.length,
      known: directory.size,
      kept: keepUntil !== undefined,
    });
    reviewPlaces();
  }

  /**
   * Takes in which failure domains are evacuated. Requests that wait look for places
   * elsewhere at once; what runs there ends in peace.
   */
  applyEvacuation(domains: ReadonlySet<FailureDomain>): void {
    const { directory, log, reviewPlaces } = this.#parts;
    if (!directory.evacuate(domains)) return;
    log.write("domains_evacuated", { domains: [...domains].join(",") });
    reviewPlaces();
  }

  /** Ends the time for which entries were kept that did not come back. */
  expire(): void {
    const { directory, timer, reviewPlaces } = this.#parts;
    const gone = directory.expireLapsed(timer.now());
    for (const upstream of gone) this.#forget(upstream, "did not come back");
    if (gone.length > 0) reviewPlaces();
  }

  close(): void {
    for (const grace of this.#graces) grace.cancel();
  }

  #hearWarmth({ upstream, coldFor }: Upstream): void {
    const { knowledge, timer } = this.#parts;
    knowledge.warmup.update(upstream, { coldFor, now: timer.now() });
  }

  #leave(upstream: UpstreamId, why = "announced"): void {
    const known = this.#parts.directory.findListed(upstream);
    if (!this.#parts.directory.markLeaving(upstream)) return;
    this.#tellLeft(upstream);
    if (known !== undefined) this.#forget(known, why);
  }

  #forget({ upstream, address }: Upstream, why: string): void {
    const { knowledge, signs, connections, directory, timer, log } =
      this.#parts;
    log.write("upstream_left", { upstream, why });
    knowledge.forget(upstream);
    signs.forget(upstream);
    const grace = timer.after(CONNECTION_GRACE_MS, () => {
      this.#graces.delete(grace);
      const isUsed = directory.all().some((other) => other.address === address);
      if (!isUsed) connections.forget(address);
    });
    this.#graces.add(grace);
  }
}
