import type {
  ClientAccountId,
  HostId,
  Incarnation,
  Milliseconds,
} from "@wasabivane/common";
import { err, ok, type Result } from "neverthrow";
import { QuotaBucket, type QuotaTolerance } from "./quotaBucket.ts";
import type { Quota } from "./types.ts";

/** A peer that says nothing for so long may be cut off and go on admitting. */
const SILENCE_MS: Milliseconds = 1_000;
/** Its last rate is charged for so long: longer than partitions usually last. */
const PRESUMED_MS: Milliseconds = 15_000;
/** Span over which a peer's rate is measured. */
const RATE_SPAN_MS: Milliseconds = 2_000;
/** Shortest and longest time after which an account over its quota is asked to return. */
const LEAST_RETRY_MS: Milliseconds = 250;
const GREATEST_RETRY_MS: Milliseconds = 4_000;

/** An account is over its quota. */
export interface OverQuota {
  readonly retryAfter: Milliseconds;
}

/** What one incarnation of a host has admitted since its start, by account. */
export interface UsageReport {
  readonly host: HostId;
  readonly incarnation: Incarnation;
  readonly used: ReadonlyMap<ClientAccountId, number>;
}

interface PeerUsage {
  incarnation: Incarnation;
  heardAt: Milliseconds;
  readonly used: Map<ClientAccountId, number>;
  /** Units a millisecond by account. */
  readonly rates: Map<ClientAccountId, number>;
  measuredAt: Milliseconds;
  measured: Map<ClientAccountId, number>;
}

/**
 * Keeps client accounts within quotas that count over all hosts, without a store.
 * Each host holds a bucket of the whole quota and takes out of it what it admits
 * and what its peers say that they admitted.
 *
 * Answers the load pattern of one account that sends many times its usual through
 * all hosts at once. Equal shares would starve an account whose callers hash to
 * one host; a bucket for each host alone would admit the quota once per host.
 * Peers lag by a fraction of a second, which a bucket in debt makes good. A peer
 * that falls silent may be cut off: its last rate stays charged for a while.
 */
export class QuotaLimiter {
  readonly #tolerance: QuotaTolerance;
  readonly #buckets = new Map<ClientAccountId, QuotaBucket>();
  readonly #used = new Map<ClientAccountId, number>();
  readonly #peers = new Map<HostId, PeerUsage>();

  constructor(tolerance: QuotaTolerance) {
    this.#tolerance = tolerance;
  }

  /**
   * Takes units for a request, or says when to come back. What operators tolerate
   * above a quota is used only where it takes nothing from others: `isIdle` says
   * that places are free and nobody waits.
   */
  take(
    { account, quota, units, isIdle }: {
      account: ClientAccountId;
      quota: Quota;
      units: number;
      isIdle: boolean;
    },
    now: Milliseconds,
  ): Result<void, OverQuota> {
    const bucket = this.#refill(account, quota, now);
    const isToleranceOpen = isIdle && !this.#hasSilentPeer(now);
    const isTolerated = isToleranceOpen && bucket.isTolerated;
    if (!bucket.isWithinQuota && !isTolerated) {
      const refillTime = bucket.refillTime(isToleranceOpen);
      const wait = Math.max(LEAST_RETRY_MS, refillTime);
      return err({ retryAfter: Math.min(GREATEST_RETRY_MS, wait) });
    }
    bucket.take(units);
    this.#used.set(account, (this.#used.get(account) ?? 0) + units);
    return ok(undefined);
  }

  /** Gives back units of a request that did not run. */
  refund(account: ClientAccountId, units: number): void {
    this.#buckets.get(account)?.take(-units);
    this.#used.set(account, (this.#used.get(account) ?? 0) - units);
  }

  /** This host's sums for its peers. */
  used(): ReadonlyMap<ClientAccountId, number> {
    return this.#used;
  }

  /** Takes out what a peer admitted since its last word. */
  applyUsage(
    { host, incarnation, used }: UsageReport,
    now: Milliseconds,
  ): void {
    const former = this.#peers.get(host);
    if (former === undefined || former.incarnation !== incarnation) {
      this.#peers.set(host, freshUsage({ incarnation, used, now }));
      return;
    }
    for (const [account, sum] of used) {
      const before = former.used.get(account) ?? 0;
      this.#buckets.get(account)?.take(sum - before);
      former.used.set(account, sum);
    }
    former.heardAt = now;
    measure(former, now);
  }

  #refill(
    account: ClientAccountId,
    quota: Quota,
    now: Milliseconds,
  ): QuotaBucket {
    const known = this.#buckets.get(account);
    if (known !== undefined) {
      const presumed = this.#presumedRate(account, now) * 1_000;
      known.refill(quota, { presumed, now });
      return known;
    }
    const tolerance = this.#tolerance;
    const bucket = new QuotaBucket(quota, { tolerance, now });
    this.#buckets.set(account, bucket);
    return bucket;
  }

  /** A peer that may be cut off may use the tolerance itself. */
  #hasSilentPeer(now: Milliseconds): boolean {
    for (const { heardAt } of this.#peers.values()) {
      if (now - heardAt >= SILENCE_MS) return true;
    }
    return false;
  }

  /** Units a millisecond that silent peers are taken to admit. */
  #presumedRate(account: ClientAccountId, now: Milliseconds): number {
    let rate = 0;
    for (const [host, peer] of this.#peers) {
      const silence = now - peer.heardAt;
      if (silence < SILENCE_MS) continue;
      if (silence > PRESUMED_MS) this.#peers.delete(host);
      else rate += peer.rates.get(account) ?? 0;
    }
    return rate;
  }
}

function freshUsage(
  { incarnation, used, now }: {
    incarnation: Incarnation;
    used: ReadonlyMap<ClientAccountId, number>;
    now: Milliseconds;
  },
): PeerUsage {
  return {
    incarnation,
    heardAt: now,
    used: new Map(used),
    rates: new Map(),
    measuredAt: now,
    measured: new Map(used),
  };
}

function measure(peer: PeerUsage, now: Milliseconds): void {
  const span = now - peer.measuredAt;
  if (span < RATE_SPAN_MS) return;
  for (const [account, sum] of peer.used) {
    const rate = (sum - (peer.measured.get(account) ?? 0)) / span;
    peer.rates.set(account, Math.max(0, rate));
  }
  peer.measuredAt = now;
  peer.measured = new Map(peer.used);
}
