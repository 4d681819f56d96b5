import type { Milliseconds, Random, UpstreamId } from "@wasabivane/common";
import type { Upstream } from "./types.ts";
import type { UpstreamWarmup } from "./upstreamWarmup.ts";

/** Window in which starts are counted. */
const WINDOW_MS: Milliseconds = 1_000;
/**
 * Share of an upstream's warm-up start rate that one coordinator uses, as there
 * may be two while hosts disagree on the coordinator.
 */
const COORDINATOR_WARMUP_SHARE = 0.4;
/** Share left to all hosts that schedule locally together. */
const LOCAL_WARMUP_SHARE = 0.1;
/** Share used at other upstreams, which may have restarted unnoticed. */
const COORDINATOR_WARM_SHARE = 0.7;

/** Upstreams tracked before outdated ones are dropped. */
const MAXIMUM_UPSTREAMS = 256;

/** Dependencies of a {@link StartLimit}. */
export interface StartLimitOptions {
  /**
   * Starts per second over all hosts that an upstream can take while warming
   * up; `undefined` if unlimited.
   */
  readonly coldStartsOf: (upstream: Upstream) => number | undefined;
  readonly warmup: UpstreamWarmup;
}

/**
 * Limits the start rate at upstreams that are warming up, whose caches are
 * empty and which crash under too many starts.
 *
 * Upstreams that have just restarted are idle, so a burst would otherwise send
 * them all waiting requests at once.
 */
export abstract class StartLimit {
  protected readonly options: StartLimitOptions;

  constructor(options: StartLimitOptions) {
    this.options = options;
  }

  /** Whether a request may start at an upstream now. */
  abstract isOpen(upstream: Upstream, now: Milliseconds): boolean;
  /** Records a start. */
  abstract recordStart(upstream: Upstream, now: Milliseconds): void;
}

/**
 * Start limit of a coordinator, which makes all starts at its upstreams. A
 * coordinator that receives updates from no other host is partitioned; it
 * starts nothing at upstreams that are warming up, as other partitioned hosts
 * may.
 */
export class CoordinatorStartLimit extends StartLimit {
  readonly #starts = new Map<UpstreamId, Milliseconds[]>();
  readonly #isPartitioned: (now: Milliseconds) => boolean;

  constructor(
    options: StartLimitOptions & {
      /** Whether no other host sends updates although there are several. */
      readonly isPartitioned: (now: Milliseconds) => boolean;
    },
  ) {
    super(options);
    this.#isPartitioned = options.isPartitioned;
  }

  /** Number of upstreams with tracked starts. */
  get size(): number {
    return this.#starts.size;
  }

  override isOpen(upstream: Upstream, now: Milliseconds): boolean {
    const coldStarts = this.options.coldStartsOf(upstream);
    if (coldStarts === undefined) return true;
    const isWarmingUp = this.options.warmup.isWarmingUp(upstream.upstream, now);
    if (isWarmingUp && this.#isPartitioned(now)) return false;
    const share = isWarmingUp
      ? COORDINATOR_WARMUP_SHARE
      : COORDINATOR_WARM_SHARE;
    const starts = this.#starts.get(upstream.upstream);
    if (starts === undefined) return true;
    const maximum = Math.max(1, Math.floor(share * coldStarts));
    // The start that must have left the window before another one is allowed.
    const earlier = starts.at(-maximum);
    return earlier === undefined || now - earlier >= WINDOW_MS;
  }

  override recordStart(upstream: Upstream, now: Milliseconds): void {
    if (this.options.coldStartsOf(upstream) === undefined) return;
    const starts = this.#starts.get(upstream.upstream) ?? [];
    while (starts.length > 0 && now - starts[0]! >= WINDOW_MS) starts.shift();
    starts.push(now);
    this.#starts.set(upstream.upstream, starts);
    if (this.#starts.size > MAXIMUM_UPSTREAMS) this.#dropOutdated(now);
  }

  #dropOutdated(now: Milliseconds): void {
    for (const [upstream, starts] of this.#starts) {
      if (now - starts.at(-1)! >= WINDOW_MS) this.#starts.delete(upstream);
    }
  }
}

/**
 * Start limit of a host that schedules locally. It knows only its own starts,
 * so all such hosts together get a small share.
 */
export class LocalStartLimit extends StartLimit {
  readonly #hostCount: () => number;
  readonly #random: Random;
  readonly #openAt = new Map<UpstreamId, Milliseconds>();

  constructor(
    options: StartLimitOptions & {
      /** Number of hosts that may schedule locally, including this one. */
      readonly hosts: () => number;
      readonly random: Random;
    },
  ) {
    super(options);
    this.#hostCount = options.hosts;
    this.#random = options.random;
  }

  override isOpen(upstream: Upstream, now: Milliseconds): boolean {
    const coldStarts = this.options.coldStartsOf(upstream);
    if (coldStarts === undefined) return true;
    const id = upstream.upstream;
    if (!this.options.warmup.isWarmingUp(id, now)) {
      this.#openAt.delete(id);
      return true;
    }
    const openAt = this.#openAt.get(id);
    if (openAt !== undefined) return now >= openAt;
    // Spreads the first starts of hosts that begin at the same time.
    const gap = this.#gapOf(coldStarts) * this.#random.float();
    this.#openAt.set(id, now + gap);
    if (this.#openAt.size > MAXIMUM_UPSTREAMS) this.#dropWarm(now);
    return false;
  }

  #dropWarm(now: Milliseconds): void {
    for (const upstream of this.#openAt.keys()) {
      if (!this.options.warmup.isWarmingUp(upstream, now)) {
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

  /**
   * Returns the time between two starts of one host at an upstream that is
   * warming up.
   */
  #gapOf(coldStarts: number): Milliseconds {
    return WINDOW_MS * this.#hostCount() / (LOCAL_WARMUP_SHARE * coldStarts);
  }
}
