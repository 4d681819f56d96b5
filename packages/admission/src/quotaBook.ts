import type {
  ClientAccountId,
  HostId,
  Incarnation,
  Milliseconds,
} from "@wasabivane/common";
import { err, ok, type Result } from "neverthrow";
import type { Quota } from "./types.ts";

/** A host that just started does not know what was used; it takes this share of a burst as left. */
const START_SHARE = 0.5;
/** A peer that says nothing for so long may be cut off and go on admitting. */
const SILENCE_MS: Milliseconds = 1_000;
/** Its last rate is charged for so long: longer than partitions usually last. */
const PRESUMED_MS: Milliseconds = 15_000;
/** Span over which a peer's rate is measured. */
const RATE_SPAN_MS: Milliseconds = 2_000;
/** Part of the granted slack that a bucket may go into debt by; a burst above the quota spends it once. */
const USED_SLACK = 0.4;
/** Part of the granted overrun that is used; the rest covers what peers tell late and restarts forget. */
const USED_OVERRUN = 0.7;
/** Shortest and longest time after which an account over its quota is asked to return. */
const LEAST_RETRY_MS: Milliseconds = 250;
const GREATEST_RETRY_MS: Milliseconds = 4_000;

/** By how much all hosts together may exceed a quota, as they count without a store. */
export interface QuotaTolerance {
  /** Share of the quota. */
  readonly overrun: number;
  /** Units besides, in the span over which operators count. */
  readonly slack: number;
}

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

interface Bucket {
  quota: Quota;
  level: number;
  refilledAt: Milliseconds;
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
export class QuotaBook {
  readonly #overrun: number;
  readonly #debt: number;
  readonly #buckets = new Map<ClientAccountId, Bucket>();
  readonly #used = new Map<ClientAccountId, number>();
  readonly #peers = new Map<HostId, PeerUsage>();

  constructor({ overrun, slack }: QuotaTolerance) {
    this.#overrun = USED_OVERRUN * overrun;
    this.#debt = USED_SLACK * slack;
  }

  /** Takes units for a request, or says when to come back. */
  take(
    { account, quota, units }: {
      account: ClientAccountId;
      quota: Quota;
      units: number;
    },
    now: Milliseconds,
  ): Result<void, OverQuota> {
    const bucket = this.#refill(account, quota, now);
    const left = bucket.level + this.#debt;
    if (left <= 0) {
      const wait = -left / quota.perSecond * 1_000;
      const retryAfter = Math.min(
        GREATEST_RETRY_MS,
        Math.max(LEAST_RETRY_MS, wait),
      );
      return err({ retryAfter });
    }
    bucket.level -= units;
    this.#used.set(account, (this.#used.get(account) ?? 0) + units);
    return ok(undefined);
  }

  /** Gives back units of a request that did not run. */
  giveBack(account: ClientAccountId, units: number): void {
    const bucket = this.#buckets.get(account);
    if (bucket !== undefined) bucket.level += units;
    this.#used.set(account, (this.#used.get(account) ?? 0) - units);
  }

  /** This host's sums for its peers. */
  used(): ReadonlyMap<ClientAccountId, number> {
    return this.#used;
  }

  /** Takes out what a peer admitted since its last word. */
  hear({ host, incarnation, used }: UsageReport, now: Milliseconds): void {
    const former = this.#peers.get(host);
    if (former === undefined || former.incarnation !== incarnation) {
      this.#peers.set(host, freshUsage({ incarnation, used, now }));
      return;
    }
    for (const [account, sum] of used) {
      const before = former.used.get(account) ?? 0;
      const bucket = this.#buckets.get(account);
      if (bucket !== undefined) bucket.level -= sum - before;
      former.used.set(account, sum);
    }
    former.heardAt = now;
    measure(former, now);
  }

  #refill(
    account: ClientAccountId,
    quota: Quota,
    now: Milliseconds,
  ): Bucket {
    let bucket = this.#buckets.get(account);
    if (bucket === undefined) {
      const level = quota.burst * START_SHARE;
      bucket = { quota, level, refilledAt: now };
      this.#buckets.set(account, bucket);
      return bucket;
    }
    const presumed = this.#presumedRate(account, now) * 1_000;
    const granted = quota.perSecond * (1 + this.#overrun);
    const rate = Math.max(0, granted - presumed);
    const elapsed = (now - bucket.refilledAt) / 1_000;
    bucket.quota = quota;
    bucket.level = Math.min(quota.burst, bucket.level + rate * elapsed);
    bucket.refilledAt = now;
    return bucket;
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
