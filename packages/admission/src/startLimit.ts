import type { Milliseconds, Random, UpstreamId } from "@wasabivane/common";
import type { Upstream } from "./types.ts";
import type { UpstreamWarmup } from "./upstreamWarmup.ts";

/** Span in which starts are counted. */
const SPAN_MS: Milliseconds = 1_000;
/**
 * Part of the starts that a cold upstream bears which one keeper gives it: while hosts
 * disagree on who keeps its cell, two keepers give theirs.
 */
const KEEPER_COLD_SHARE = 0.4;
/** Part that is left to all hosts which decide alone. */
const LONE_COLD_SHARE = 0.1;
/** An upstream may turn cold unheard; a warm one gets this part of what a cold one bears. */
const KEEPER_WARM_SHARE = 0.7;

/** Upstreams remembered; those that left are looked for when there are more. */
const MAXIMUM_UPSTREAMS = 256;

/** What a {@link StartLimit} reads. */
export interface StartLimitOptions {
  /** Starts in one second that a cold upstream bears over all hosts; `undefined` for any. */
  readonly coldStartsOf: (upstream: Upstream) => number | undefined;
  readonly warmth: UpstreamWarmup;
}

/**
 * Bounds the starts of requests at upstreams that crash under too many while they are
 * cold: caches are empty, code is not compiled yet, and each request takes longer.
 *
 * Answers the load pattern of a burst that meets upstreams which have just returned.
 * They are free, so that all that waits would go there at once, and they would be down
 * again before they are warm.
 */
export abstract class StartLimit {
  protected readonly options: StartLimitOptions;

  constructor(options: StartLimitOptions) {
    this.options = options;
  }

  /** Whether a request may start at an upstream now. */
  abstract isOpen(upstream: Upstream, now: Milliseconds): boolean;
  /** A request starts there. */
  abstract recordStart(upstream: Upstream, now: Milliseconds): void;
}

/**
 * The limit of a keeper, through which all starts at an upstream go. One that nobody
 * else asks although there are other hosts is cut off like them, and gives a cold
 * upstream nothing: each of them would.
 */
export class CoordinatorStartLimit extends StartLimit {
  readonly #starts = new Map<UpstreamId, Milliseconds[]>();
  readonly #isCutOff: (now: Milliseconds) => boolean;

  constructor(
    options: StartLimitOptions & {
      /** Whether only the keeper itself asks it, of several hosts. */
      readonly isCutOff: (now: Milliseconds) => boolean;
    },
  ) {
    super(options);
    this.#isCutOff = options.isCutOff;
  }

  /** Upstreams whose starts are remembered. */
  get size(): number {
    return this.#starts.size;
  }

  override isOpen(upstream: Upstream, now: Milliseconds): boolean {
    const coldStarts = this.options.coldStartsOf(upstream);
    if (coldStarts === undefined) return true;
    const isCold = this.options.warmth.isCold(upstream.upstream, now);
    if (isCold && this.#isCutOff(now)) return false;
    const share = isCold ? KEEPER_COLD_SHARE : KEEPER_WARM_SHARE;
    const starts = this.#starts.get(upstream.upstream);
    if (starts === undefined) return true;
    const most = Math.max(1, Math.floor(share * coldStarts));
    // The start that must be out of the span before another one fits in.
    const earlier = starts.at(-most);
    return earlier === undefined || now - earlier >= SPAN_MS;
  }

  override recordStart(upstream: Upstream, now: Milliseconds): void {
    if (this.options.coldStartsOf(upstream) === undefined) return;
    const starts = this.#starts.get(upstream.upstream) ?? [];
    while (starts.length > 0 && now - starts[0]! >= SPAN_MS) starts.shift();
    starts.push(now);
    this.#starts.set(upstream.upstream, starts);
    if (this.#starts.size > MAXIMUM_UPSTREAMS) this.#forgetOld(now);
  }

  #forgetOld(now: Milliseconds): void {
    for (const [upstream, starts] of this.#starts) {
      if (now - starts.at(-1)! >= SPAN_MS) this.#starts.delete(upstream);
    }
  }
}

/**
 * The limit of a host that decides alone. It sees its own starts only, so that a cold
 * upstream gets a small share of what it bears, over all hosts together.
 */
export class LocalStartLimit extends StartLimit {
  readonly #hosts: () => number;
  readonly #random: Random;
  readonly #openAt = new Map<UpstreamId, Milliseconds>();

  constructor(
    options: StartLimitOptions & {
      /** Hosts that may decide alone, this one included. */
      readonly hosts: () => number;
      readonly random: Random;
    },
  ) {
    super(options);
    this.#hosts = options.hosts;
    this.#random = options.random;
  }

  override isOpen(upstream: Upstream, now: Milliseconds): boolean {
    const coldStarts = this.options.coldStartsOf(upstream);
    if (coldStarts === undefined) return true;
    const id = upstream.upstream;
    if (!this.options.warmth.isCold(id, now)) {
      this.#openAt.delete(id);
      return true;
    }
    const openAt = this.#openAt.get(id);
    if (openAt !== undefined) return now >= openAt;
    // Hosts that begin together must not all send at once.
    const gap = this.#gapOf(coldStarts) * this.#random.float();
    this.#openAt.set(id, now + gap);
    if (this.#openAt.size > MAXIMUM_UPSTREAMS) this.#forgetWarm(now);
    return false;
  }

  #forgetWarm(now: Milliseconds): void {
    for (const upstream of this.#openAt.keys()) {
      if (!this.options.warmth.isCold(upstream, now)) {
        this.#openAt.delete(upstream);
      }
    }
  }

  override recordStart(upstream: Upstream, now: Milliseconds): void {
    const { upstream: id } = upstream;
    const coldStarts = this.options.coldStartsOf(upstream);
    if (coldStarts === undefined || !this.#openAt.has(id)) return;
    this.#openAt.set(id, now + this.#gapOf(coldStarts));
  }

  /** Time between two starts of one host at a cold upstream. */
  #gapOf(coldStarts: number): Milliseconds {
    return SPAN_MS * this.#hosts() / (LONE_COLD_SHARE * coldStarts);
  }
}
