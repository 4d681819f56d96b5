import type {
  ClientAccountId,
  HostId,
  Incarnation,
  Milliseconds,
} from "@wasabivane/common";
import type { UsageReport } from "./quotaLimiter.ts";

/**
 * A host without reports for this time may be partitioned and still admit
 * requests.
 */
const REPORT_TIMEOUT_MS: Milliseconds = 1_500;
/**
 * How long its last rate is assumed to continue; longer than most partitions.
 */
const PRESUMED_USAGE_MS: Milliseconds = 15_000;
/** Window over which a host's rate is measured. */
const RATE_WINDOW_MS: Milliseconds = 2_000;

interface HostUsage {
  incarnation: Incarnation;
  reportedAt: Milliseconds;
  sums: ReadonlyMap<ClientAccountId, number>;
  measuredAt: Milliseconds;
  measured: ReadonlyMap<ClientAccountId, number>;
  /** Units per millisecond. */
  readonly rates: Map<ClientAccountId, number>;
  /** Units admitted by former incarnations. */
  readonly before: Map<ClientAccountId, number>;
}

/**
 * Sums up the usage of client accounts that hosts report, and tells each host
 * what the others admitted.
 *
 * With reports between all hosts, traffic would grow with the square of their
 * number. Sums only increase while this process lives, and hosts charge the
 * difference between two replies, so a new ledger can start at zero without
 * charging anything twice.
 */
export class UsageLedger {
  readonly #hosts = new Map<HostId, HostUsage>();
  /** Usage of all hosts; maintained incrementally. */
  readonly #totals = new Map<ClientAccountId, number>();

  /** Applies a host's total usage since its start. */
  applyUsage(
    { host, incarnation, used: reported }: UsageReport,
    now: Milliseconds,
  ): void {
    // The report of this host itself holds the map that its limiter changes.
    const used = new Map(reported);
    const known = this.#hosts.get(host);
    if (known === undefined) {
      // Earlier usage was charged through the previous ledger.
      const before = new Map(
        [...used].map(([account, sum]) => [account, -sum]),
      );
      this.#replace(
        host,
        createHostUsage({ incarnation, used, before, now }),
        undefined,
      );
      return;
    }
    const former = totalUsage(known);
    if (known.incarnation !== incarnation) {
      const usage = createHostUsage({ incarnation, used, before: former, now });
      return this.#replace(host, usage, former);
    }
    known.sums = used;
    known.reportedAt = now;
    updateRates(known, now);
    this.#replace(host, known, former);
  }

  /** Returns what all hosts but one admitted, by account. */
  usageOfOthers(host: HostId, now: Milliseconds): Map<ClientAccountId, number> {
    const sums = new Map(this.#totals);
    const own = this.#hosts.get(host);
    if (own !== undefined) add(sums, totalUsage(own), -1);
    for (const [other, usage] of this.#hosts) {
      const timeSinceReport = now - usage.reportedAt;
      if (other === host || timeSinceReport < REPORT_TIMEOUT_MS) continue;
      add(sums, usage.rates, Math.min(timeSinceReport, PRESUMED_USAGE_MS));
    }
    return sums;
  }

  #replace(
    host: HostId,
    usage: HostUsage,
    former: ReadonlyMap<ClientAccountId, number> | undefined,
  ): void {
    if (former !== undefined) add(this.#totals, former, -1);
    add(this.#totals, totalUsage(usage), 1);
    this.#hosts.set(host, usage);
  }
}

/** Adds other sums, multiplied by `factor`. */
function add(
  sums: Map<ClientAccountId, number>,
  others: ReadonlyMap<ClientAccountId, number>,
  factor: number,
): void {
  for (const [account, sum] of others) {
    sums.set(account, (sums.get(account) ?? 0) + factor * sum);
  }
}

function createHostUsage(
  { incarnation, used, before, now }: {
    incarnation: Incarnation;
    used: ReadonlyMap<ClientAccountId, number>;
    before: Map<ClientAccountId, number>;
    now: Milliseconds;
  },
): HostUsage {
  return {
    incarnation,
    reportedAt: now,
    sums: used,
    measuredAt: now,
    measured: used,
    rates: new Map(),
    before,
  };
}

/**
 * Returns a host's usage over all incarnations since this ledger first heard of
 * it.
 */
function totalUsage({ before, sums }: HostUsage): Map<ClientAccountId, number> {
  const total = new Map(before);
  for (const [account, sum] of sums) {
    total.set(account, (total.get(account) ?? 0) + sum);
  }
  return total;
}

function updateRates(usage: HostUsage, now: Milliseconds): void {
  const span = now - usage.measuredAt;
  if (span < RATE_WINDOW_MS) return;
  for (const [account, sum] of usage.sums) {
    const rate = (sum - (usage.measured.get(account) ?? 0)) / span;
    usage.rates.set(account, Math.max(0, rate));
  }
  usage.measuredAt = now;
  usage.measured = usage.sums;
}
