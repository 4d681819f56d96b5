import type { HostId, Milliseconds, UpstreamId } from "@wasabivane/common";

/** Load of an unresponsive peer counts for this long. */
const PEER_TIMEOUT_MS: Milliseconds = 2_000;
/** Interval at which unresponsive peers are looked for. */
const PEER_CHECK_INTERVAL_MS: Milliseconds = 100;

/** Weight of the newest report of an upstream. */
const REPORT_WEIGHT = 0.5;
/**
 * Time constant with which unaccounted load decays without new reports. An
 * upstream that seems full gets no requests and so sends no reports.
 */
const UNACCOUNTED_DECAY_MS: Milliseconds = 6_000;

/** Load at one upstream. */
export interface UpstreamLoad {
  readonly requests: number;
  /** Prompt tokens of requests without a first event. */
  readonly pendingPrefillTokens: number;
}

const NO_LOAD: UpstreamLoad = { requests: 0, pendingPrefillTokens: 0 };

/** Load that a host reports; replaces its last report. */
export interface HostLoad {
  readonly inFlight: ReadonlyMap<UpstreamId, UpstreamLoad>;
}

/** Requests at an upstream that no host accounts for; mean of its reports. */
interface UnaccountedLoad {
  readonly requests: number;
  readonly at: Milliseconds;
}

interface PeerLoad extends HostLoad {
  readonly updatedAt: Milliseconds;
}

/**
 * Requests in flight at each upstream over all hosts: exact for this host, last
 * reported by the others.
 *
 * Without the load of the other hosts, several hosts would fill the same
 * upstream while another is idle. Partitioned hosts keep sending without
 * reporting their load; upstreams report their total, and what exceeds the
 * known load counts as taken.
 */
export class FleetLoad {
  readonly #own = new Map<UpstreamId, UpstreamLoad>();
  readonly #others = new Map<UpstreamId, UpstreamLoad>();
  readonly #peers = new Map<HostId, PeerLoad>();
  readonly #unaccounted = new Map<UpstreamId, UnaccountedLoad>();
  /** Latest time passed to any method. */
  #now: Milliseconds = 0;
  #checkedAt: Milliseconds = -Infinity;

  /** Adds a request that this host sends. */
  begin(upstream: UpstreamId, promptTokens = 0): void {
    add(this.#own, upstream, {
      requests: 1,
      pendingPrefillTokens: promptTokens,
    });
  }

  /**
   * Removes the prompt tokens of a request that the upstream has processed or
   * will not process.
   */
  endPrefill(upstream: UpstreamId, promptTokens: number): void {
    add(this.#own, upstream, {
      requests: 0,
      pendingPrefillTokens: -promptTokens,
    });
  }

  /** Removes a request. */
  end(upstream: UpstreamId): void {
    add(this.#own, upstream, { requests: -1, pendingPrefillTokens: 0 });
  }

  /** Replaces the load of a peer. */
  setPeerLoad(peer: HostId, load: HostLoad, now: Milliseconds): void {
    this.#now = Math.max(this.#now, now);
    const former = this.#peers.get(peer);
    if (former !== undefined) this.#addAll(former, -1);
    this.#peers.set(peer, { ...load, updatedAt: now });
    this.#addAll(load, 1);
  }

  /**
   * Removes the load of unresponsive peers; returns whether any was removed.
   */
  expirePeers(now: Milliseconds): boolean {
    this.#now = Math.max(this.#now, now);
    if (now - this.#checkedAt < PEER_CHECK_INTERVAL_MS) return false;
    this.#checkedAt = now;
    let isChanged = false;
    for (const [peer, load] of this.#peers) {
      if (now - load.updatedAt < PEER_TIMEOUT_MS) continue;
      this.#addAll(load, -1);
      this.#peers.delete(peer);
      isChanged = true;
    }
    return isChanged;
  }

  /** Returns the number of requests at the upstream from all hosts. */
  total(upstream: UpstreamId): number {
    return this.#knownTotal(upstream) +
      Math.floor(this.#unaccountedAt(upstream));
  }

  /** Applies an upstream's report of its running and queued requests. */
  recordReport(
    upstream: UpstreamId,
    requests: number,
    now: Milliseconds,
  ): void {
    this.#now = Math.max(this.#now, now);
    const excess = requests - this.#knownTotal(upstream);
    const known = this.#unaccountedAt(upstream);
    const mean = Math.max(0, known + REPORT_WEIGHT * (excess - known));
    this.#unaccounted.set(upstream, { requests: mean, at: now });
  }

  #knownTotal(upstream: UpstreamId): number {
    const own = this.#own.get(upstream) ?? NO_LOAD;
    return own.requests + (this.#others.get(upstream) ?? NO_LOAD).requests;
  }

  #unaccountedAt(upstream: UpstreamId): number {
    const unaccounted = this.#unaccounted.get(upstream);
    if (unaccounted === undefined) return 0;
    const age = this.#now - unaccounted.at;
    return unaccounted.requests *
      Math.exp(-Math.max(0, age) / UNACCOUNTED_DECAY_MS);
  }

  /**
   * Returns the prompt tokens from all hosts that the upstream has yet to
   * process.
   */
  pendingPrefillTokens(upstream: UpstreamId): number {
    const own = this.#own.get(upstream) ?? NO_LOAD;
    const others = this.#others.get(upstream) ?? NO_LOAD;
    return own.pendingPrefillTokens + others.pendingPrefillTokens;
  }

  /** Returns the load of this host. */
  ownInFlight(): ReadonlyMap<UpstreamId, UpstreamLoad> {
    return this.#own;
  }

  #addAll({ inFlight }: HostLoad, sign: 1 | -1): void {
    for (
      const [upstream, { requests, pendingPrefillTokens }] of inFlight
    ) {
      add(this.#others, upstream, {
        requests: sign * requests,
        pendingPrefillTokens: sign * pendingPrefillTokens,
      });
    }
  }
}

function add(
  loads: Map<UpstreamId, UpstreamLoad>,
  upstream: UpstreamId,
  { requests, pendingPrefillTokens: addedTokens }: UpstreamLoad,
): void {
  const former = loads.get(upstream) ?? NO_LOAD;
  const sum = {
    requests: Math.max(0, former.requests + requests),
    pendingPrefillTokens: Math.max(
      0,
      former.pendingPrefillTokens + addedTokens,
    ),
  };
  if (sum.requests > 0) loads.set(upstream, sum);
  else loads.delete(upstream);
}
