import type { HostId, Milliseconds, UpstreamId } from "@wasabivane/common";

/** Requests of a silent peer count until then: upstreams drop those of a dead one within seconds. */
const PEER_FORGET_MS: Milliseconds = 2_000;
/** Silence is looked for so often: a small part of the time after which it counts. */
const SILENCE_CHECK_MS: Milliseconds = 100;

/** Weight of the newest report of an upstream; two or three show work that nobody tells of. */
const REPORT_WEIGHT = 0.5;
/**
 * Without reports, work that nobody tells of is taken to fade in about this time, about
 * as long as hosts are cut off. A full upstream gets nothing and says nothing; as soon as
 * one place seems free, the next answer tells.
 */
const UNTOLD_MEMORY_MS: Milliseconds = 6_000;

/** Work at one upstream. */
export interface UpstreamLoad {
  readonly requests: number;
  /** Prompt tokens of requests that have no first event yet. */
  readonly pendingPrefillTokens: number;
}

const NO_LOAD: UpstreamLoad = { requests: 0, pendingPrefillTokens: 0 };

/** What a host tells of its own work; each word replaces the one before. */
export interface HostLoad {
  readonly inFlight: ReadonlyMap<UpstreamId, UpstreamLoad>;
}

/** Requests at an upstream that no host tells of, as a mean of its reports. */
interface UntoldLoad {
  readonly requests: number;
  readonly at: Milliseconds;
}

interface PeerLoad extends HostLoad {
  readonly heardAt: Milliseconds;
}

/**
 * Requests in flight at each upstream over all hosts: own ones exactly, those
 * of peers as they told them last.
 *
 * Answers the load pattern of many hosts before few upstreams. Each sees only
 * its own few requests; without the others' counts several hosts fill the same
 * upstream while another idles, and the engines queue or reject what was sent. Hosts
 * that are cut off go on sending and tell nobody: an upstream's own report shows that
 * it has more than is known of, and what it has more counts as taken.
 */
export class FleetLoad {
  readonly #own = new Map<UpstreamId, UpstreamLoad>();
  readonly #others = new Map<UpstreamId, UpstreamLoad>();
  readonly #peers = new Map<HostId, PeerLoad>();
  readonly #untold = new Map<UpstreamId, UntoldLoad>();
  /** Time of the last call that told it. */
  #now: Milliseconds = 0;
  #checkedAt: Milliseconds = -Infinity;

  /** Counts a request in that this host sends. */
  begin(upstream: UpstreamId, promptTokens = 0): void {
    add(this.#own, upstream, {
      requests: 1,
      pendingPrefillTokens: promptTokens,
    });
  }

  /** The upstream has read a request's prompt, or will not any more. */
  endPrefill(upstream: UpstreamId, promptTokens: number): void {
    add(this.#own, upstream, {
      requests: 0,
      pendingPrefillTokens: -promptTokens,
    });
  }

  /** Counts a request out. */
  end(upstream: UpstreamId): void {
    add(this.#own, upstream, { requests: -1, pendingPrefillTokens: 0 });
  }

  /** Takes a peer's word. */
  setPeerLoad(peer: HostId, load: HostLoad, now: Milliseconds): void {
    this.#now = Math.max(this.#now, now);
    const former = this.#peers.get(peer);
    if (former !== undefined) this.#addAll(former, -1);
    this.#peers.set(peer, { ...load, heardAt: now });
    this.#addAll(load, 1);
  }

  /** Forgets peers that have been silent; true when one was forgotten. */
  expirePeers(now: Milliseconds): boolean {
    this.#now = Math.max(this.#now, now);
    if (now - this.#checkedAt < SILENCE_CHECK_MS) return false;
    this.#checkedAt = now;
    let isChanged = false;
    for (const [peer, load] of this.#peers) {
      if (now - load.heardAt < PEER_FORGET_MS) continue;
      this.#addAll(load, -1);
      this.#peers.delete(peer);
      isChanged = true;
    }
    return isChanged;
  }

  /** Requests at the upstream from all hosts. */
  total(upstream: UpstreamId): number {
    return this.#told(upstream) + Math.floor(this.#untoldAt(upstream));
  }

  /** An upstream says how many requests it has, running and waiting. */
  recordReport(
    upstream: UpstreamId,
    requests: number,
    now: Milliseconds,
  ): void {
    this.#now = Math.max(this.#now, now);
    const more = requests - this.#told(upstream);
    const known = this.#untoldAt(upstream);
    const mean = Math.max(0, known + REPORT_WEIGHT * (more - known));
    this.#untold.set(upstream, { requests: mean, at: now });
  }

  #told(upstream: UpstreamId): number {
    const own = this.#own.get(upstream) ?? NO_LOAD;
    return own.requests + (this.#others.get(upstream) ?? NO_LOAD).requests;
  }

  #untoldAt(upstream: UpstreamId): number {
    const untold = this.#untold.get(upstream);
    if (untold === undefined) return 0;
    const age = this.#now - untold.at;
    return untold.requests * Math.exp(-Math.max(0, age) / UNTOLD_MEMORY_MS);
  }

  /** Prompt tokens from all hosts that the upstream has yet to read. */
  pendingPrefillTokens(upstream: UpstreamId): number {
    const own = this.#own.get(upstream) ?? NO_LOAD;
    const others = this.#others.get(upstream) ?? NO_LOAD;
    return own.pendingPrefillTokens + others.pendingPrefillTokens;
  }

  /** This host's own work. */
  ownInFlight(): ReadonlyMap<UpstreamId, UpstreamLoad> {
    return this.#own;
  }

  #addAll({ inFlight }: HostLoad, sign: 1 | -1): void {
    for (
      const [upstream, { requests, pendingPrefillTokens: unreadTokens }]
        of inFlight
    ) {
      add(this.#others, upstream, {
        requests: sign * requests,
        pendingPrefillTokens: sign * unreadTokens,
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
