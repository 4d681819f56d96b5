import type { Milliseconds, Random, UpstreamId } from "@wasabivane/common";
import type { Upstream } from "./types.ts";
import type { UpstreamStats } from "./upstreamStats.ts";

/** Window in which starts are counted. */
const WINDOW_MS: Milliseconds = 1_000;
/**
 * Share of an upstream's warm-up start rate that a coordinator in charge uses,
 * as there may be two of them.
 */
const COORDINATOR_WARMUP_SHARE = 0.4;
/** Share left to all hosts that schedule locally together. */
const LOCAL_WARMUP_SHARE = 0.1;
/** Share used at other upstreams, which may have restarted unnoticed. */
const COORDINATOR_WARM_SHARE = 0.7;
/**
 * Share of the rate that an upstream names which a coordinator in charge uses.
 * Two of them and all hosts that schedule locally stay within one and a half
 * times that rate.
 */
const COORDINATOR_NAMED_SHARE = 0.7;
/** Share left to all other hosts together. */
const LOCAL_NAMED_SHARE = 0.1;
/**
 * Share of the rejections that an upstream tolerates which all hosts without
 * knowledge of the others' requests may cause together.
 */
const UNSURE_STARTS_SHARE = 0.3;
/** Time within which a coordinator learns of a rejection. */
const FEEDBACK_MS: Milliseconds = 20;
/** Stands for lower named rates, as only a response can end a limit. */
const MINIMUM_PER_SECOND = 0.25;

/** Upstreams tracked before outdated ones are dropped. */
const MAXIMUM_UPSTREAMS = 256;

/** Dependencies of a {@link StartLimit}. */
export interface StartLimitOptions {
  /**
   * Starts per second over all hosts that an upstream can take while warming
   * up; `undefined` if unlimited.
   */
  readonly coldStartsOf: (upstream: Upstream) => number | undefined;
  readonly stats: Pick<UpstreamStats, "warmup" | "rateLimits" | "tolerances">;
}

/**
 * Limits the start rate at upstreams that are warming up, whose caches are
 * empty and which crash under too many starts, and at those that name a limit
 * in their responses.
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
 * Start limit of a coordinator. Hosts that pass over unresponsive coordinators
 * use any number of them for one cell at the same time. At upstreams that are
 * warming up, therefore, only those in charge start requests, and only once the
 * starts of the one before are out of the window. A coordinator that receives
 * updates from no other host is partitioned and starts nothing there.
 * At upstreams that name a limit, all others share what is left to hosts that
 * schedule locally.
 */
export class CoordinatorStartLimit extends StartLimit {
  readonly #starts = new Map<UpstreamId, Milliseconds[]>();
  /** Last starts at upstreams that tolerate few rejections. */
  readonly #toleratedStarts = new Map<UpstreamId, Milliseconds>();
  /** Last starts at upstreams that name a limit. */
  readonly #startedAt = new Map<UpstreamId, Milliseconds>();
  readonly #isPartitioned: (now: Milliseconds) => boolean;
  readonly #timeInCharge: (now: Milliseconds) => Milliseconds;
  readonly #hostCount: () => number;

  constructor(
    options: StartLimitOptions & {
      /** Whether no other host sends updates although there are several. */
      readonly isPartitioned: (now: Milliseconds) => boolean;
      /**
       * Returns for how long this host has been in charge of the cell; 0 if it
       * is not.
       */
      readonly timeInCharge: (now: Milliseconds) => Milliseconds;
      /** Number of hosts believed alive, including this one. */
      readonly hostCount: () => number;
    },
  ) {
    super(options);
    this.#isPartitioned = options.isPartitioned;
    this.#timeInCharge = options.timeInCharge;
    this.#hostCount = options.hostCount;
  }

  /** Number of upstreams with tracked starts. */
  get size(): number {
    return this.#starts.size;
  }

  override isOpen(upstream: Upstream, now: Milliseconds): boolean {
    return this.#isWithinNamedRate(upstream, now) &&
      this.#isWithinWarmupRate(upstream, now) &&
      this.#isWithinTolerance(upstream, now);
  }

  /**
   * Whether a request that finds the upstream full does no harm. Several
   * coordinators do not know of each other's requests, so those that are not in
   * charge start fewer than an upstream may turn away, and those in charge start
   * few until they would know of a rejection.
   */
  #isWithinTolerance(upstream: Upstream, now: Milliseconds): boolean {
    const { tolerances } = this.options.stats;
    const tolerated = tolerances.of(upstream.service);
    if (tolerated === undefined) return true;
    if (tolerances.isExhausted(upstream, now)) return false;
    const startedAt = this.#toleratedStarts.get(upstream.upstream);
    if (startedAt === undefined) return true;
    const perSecond = UNSURE_STARTS_SHARE * tolerated / this.#hostCount();
    const gap = this.#isInCharge(now)
      ? FEEDBACK_MS / tolerances.limitOf(tolerated)
      : WINDOW_MS / perSecond;
    return now - startedAt >= gap;
  }

  #isWithinNamedRate({ upstream }: Upstream, now: Milliseconds): boolean {
    const named = this.options.stats.rateLimits.of(upstream);
    if (named === undefined) {
      this.#startedAt.delete(upstream);
      return true;
    }
    const isInCharge = this.#isInCharge(now);
    const startedAt = this.#startedAt.get(upstream);
    if (startedAt === undefined) {
      // Any number of other coordinators may be about to start their first one.
      if (!isInCharge) this.#startedAt.set(upstream, now);
      return isInCharge;
    }
    const total = Math.max(MINIMUM_PER_SECOND, named);
    const perSecond = isInCharge
      ? COORDINATOR_NAMED_SHARE * total
      : LOCAL_NAMED_SHARE * total / this.#hostCount();
    return now - startedAt >= WINDOW_MS / perSecond;
  }

  #isWithinWarmupRate(upstream: Upstream, now: Milliseconds): boolean {
    const coldStarts = this.options.coldStartsOf(upstream);
    if (coldStarts === undefined) return true;
    const isWarmingUp = this.options.stats.warmup.isWarmingUp(
      upstream.upstream,
      now,
    );
    if (isWarmingUp && !this.#isInCharge(now)) return false;
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

  /** Whether this coordinator may use the share of one in charge. */
  #isInCharge(now: Milliseconds): boolean {
    return this.#timeInCharge(now) >= WINDOW_MS && !this.#isPartitioned(now);
  }

  override recordStart(upstream: Upstream, now: Milliseconds): void {
    this.#recordNamedStart(upstream, now);
    this.#recordToleratedStart(upstream, now);
    if (this.options.coldStartsOf(upstream) === undefined) return;
    const starts = this.#starts.get(upstream.upstream) ?? [];
    while (starts.length > 0 && now - starts[0]! >= WINDOW_MS) starts.shift();
    starts.push(now);
    this.#starts.set(upstream.upstream, starts);
    if (this.#starts.size > MAXIMUM_UPSTREAMS) this.#dropOutdated(now);
  }

  #recordToleratedStart(
    { upstream, service }: Upstream,
    now: Milliseconds,
  ): void {
    if (this.options.stats.tolerances.of(service) === undefined) {
      return this.#toleratedStarts.clear();
    }
    this.#toleratedStarts.set(upstream, now);
  }

  #recordNamedStart({ upstream }: Upstream, now: Milliseconds): void {
    if (this.options.stats.rateLimits.of(upstream) === undefined) {
      this.#startedAt.delete(upstream);
    } else this.#startedAt.set(upstream, now);
    if (this.#startedAt.size <= MAXIMUM_UPSTREAMS) return;
    for (const known of this.#startedAt.keys()) {
      if (this.options.stats.rateLimits.of(known) === undefined) {
        this.#startedAt.delete(known);
      }
    }
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
    const id = upstream.upstream;
    const perSecond = this.#rateOf(upstream, now);
    if (perSecond === undefined) {
      this.#openAt.delete(id);
      return true;
    }
    if (this.options.stats.tolerances.isExhausted(upstream, now)) return false;
    const openAt = this.#openAt.get(id);
    if (openAt !== undefined) return now >= openAt;
    // Spreads the first starts of hosts that begin at the same time.
    const gap = this.#gapOf(perSecond) * this.#random.float();
    this.#openAt.set(id, now + gap);
    if (this.#openAt.size > MAXIMUM_UPSTREAMS) this.#dropUnlimited(now);
    return false;
  }

  #dropUnlimited(now: Milliseconds): void {
    const { warmup, rateLimits } = this.options.stats;
    for (const upstream of this.#openAt.keys()) {
      const isLimited = warmup.isWarmingUp(upstream, now) ||
        rateLimits.of(upstream) !== undefined;
      if (!isLimited) this.#openAt.delete(upstream);
    }
  }

  override recordStart(upstream: Upstream, now: Milliseconds): void {
    const { upstream: id } = upstream;
    const perSecond = this.#rateOf(upstream, now);
    if (perSecond === undefined || !this.#openAt.has(id)) return;
    this.#openAt.set(id, now + this.#gapOf(perSecond));
  }

  /**
   * Returns the starts per second of all hosts that schedule locally together;
   * `undefined` if unlimited.
   */
  #rateOf(upstream: Upstream, now: Milliseconds): number | undefined {
    const { coldStartsOf, stats } = this.options;
    const { warmup, rateLimits, tolerances } = stats;
    const id = upstream.upstream;
    const coldStarts = warmup.isWarmingUp(id, now)
      ? coldStartsOf(upstream)
      : undefined;
    const named = rateLimits.of(id);
    const tolerated = tolerances.of(upstream.service);
    const isUnlimited = coldStarts === undefined && named === undefined &&
      tolerated === undefined;
    if (isUnlimited) return undefined;
    return Math.min(
      UNSURE_STARTS_SHARE * (tolerated ?? Infinity),
      LOCAL_WARMUP_SHARE * (coldStarts ?? Infinity),
      LOCAL_NAMED_SHARE * Math.max(MINIMUM_PER_SECOND, named ?? Infinity),
    );
  }

  /** Returns the time between two starts of one host. */
  #gapOf(perSecond: number): Milliseconds {
    return WINDOW_MS * this.#hostCount() / perSecond;
  }
}
