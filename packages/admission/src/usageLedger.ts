import type {
  ClientAccountId,
  HostId,
  Incarnation,
  Milliseconds,
} from "@wasabivane/common";
import type { UsageReport } from "./quotaLimiter.ts";

/** A host that says nothing for so long may be cut off and go on admitting. */
const SILENCE_MS: Milliseconds = 1_500;
/** It is taken to go on at its last rate for so long: longer than partitions usually last. */
const PRESUMED_MS: Milliseconds = 15_000;
/** Span over which a host's rate is measured. */
const RATE_SPAN_MS: Milliseconds = 2_000;

interface Reporter {
  incarnation: Incarnation;
  heardAt: Milliseconds;
  sums: ReadonlyMap<ClientAccountId, number>;
  measuredAt: Milliseconds;
  measured: ReadonlyMap<ClientAccountId, number>;
  /** Units a millisecond. */
  readonly rates: Map<ClientAccountId, number>;
  /** What former incarnations admitted. */
  readonly before: Map<ClientAccountId, number>;
}

/**
 * Adds up what all hosts admitted for each client account, and tells each what the
 * others did.
 *
 * Answers the load pattern of one account that sends through hundreds of hosts. Sums
 * that every host tells every other grow with the square of the hosts; one host that
 * adds them up hears one word of each. Nothing is kept beyond its process: sums only
 * grow while it lives, and hosts charge themselves by the difference between two of
 * its words, so that a new ledger begins at nought without a second charge.
 */
export class UsageLedger {
  readonly #reporters = new Map<HostId, Reporter>();
  /** What all hosts admitted; kept, as adding up anew for each word takes too long. */
  readonly #totals = new Map<ClientAccountId, number>();

  /** Takes in what a host has admitted since its start. */
  applyUsage(
    { host, incarnation, used }: UsageReport,
    now: Milliseconds,
  ): void {
    const known = this.#reporters.get(host);
    if (known === undefined) {
      // What it admitted before this ledger began was charged by the one before.
      const before = new Map(
        [...used].map(([account, sum]) => [account, -sum]),
      );
      this.#replace(
        host,
        reporterOf({ incarnation, used, before, now }),
        undefined,
      );
      return;
    }
    const former = sumsOf(known);
    if (known.incarnation !== incarnation) {
      const reporter = reporterOf({ incarnation, used, before: former, now });
      return this.#replace(host, reporter, former);
    }
    known.sums = used;
    known.heardAt = now;
    measure(known, now);
    this.#replace(host, known, former);
  }

  /** What all hosts but one admitted, by account. */
  usageOfOthers(host: HostId, now: Milliseconds): Map<ClientAccountId, number> {
    const sums = new Map(this.#totals);
    const own = this.#reporters.get(host);
    if (own !== undefined) add(sums, sumsOf(own), -1);
    for (const [other, reporter] of this.#reporters) {
      const silence = now - reporter.heardAt;
      if (other === host || silence < SILENCE_MS) continue;
      add(sums, reporter.rates, Math.min(silence, PRESUMED_MS));
    }
    return sums;
  }

  #replace(
    host: HostId,
    reporter: Reporter,
    former: ReadonlyMap<ClientAccountId, number> | undefined,
  ): void {
    if (former !== undefined) add(this.#totals, former, -1);
    add(this.#totals, sumsOf(reporter), 1);
    this.#reporters.set(host, reporter);
  }
}

/** Adds other sums, each so many times. */
function add(
  sums: Map<ClientAccountId, number>,
  others: ReadonlyMap<ClientAccountId, number>,
  times: number,
): void {
  for (const [account, sum] of others) {
    sums.set(account, (sums.get(account) ?? 0) + times * sum);
  }
}

function reporterOf(
  { incarnation, used, before, now }: {
    incarnation: Incarnation;
    used: ReadonlyMap<ClientAccountId, number>;
    before: Map<ClientAccountId, number>;
    now: Milliseconds;
  },
): Reporter {
  return {
    incarnation,
    heardAt: now,
    sums: used,
    measuredAt: now,
    measured: used,
    rates: new Map(),
    before,
  };
}

/** What a host admitted since the ledger first heard of it, over all its incarnations. */
function sumsOf({ before, sums }: Reporter): Map<ClientAccountId, number> {
  const total = new Map(before);
  for (const [account, sum] of sums) {
    total.set(account, (total.get(account) ?? 0) + sum);
  }
  return total;
}

function measure(reporter: Reporter, now: Milliseconds): void {
  const span = now - reporter.measuredAt;
  if (span < RATE_SPAN_MS) return;
  for (const [account, sum] of reporter.sums) {
    const rate = (sum - (reporter.measured.get(account) ?? 0)) / span;
    reporter.rates.set(account, Math.max(0, rate));
  }
  reporter.measuredAt = now;
  reporter.measured = reporter.sums;
}
