import type {
  ClientAccountId,
  HostId,
  Incarnation,
  Milliseconds,
} from "@wasabivane/common";
import { QuotaBucket, type QuotaTolerance } from "./quotaBucket.ts";
import type {
  AccountDemand,
  AccountGrant,
  QuotaGrants,
  QuotaReport,
} from "./quotaReport.ts";
import type { Quota } from "./types.ts";

/** A host without reports for this time may get credit from another ledger. */
const MINIMUM_TIMEOUT_MS: Milliseconds = 700;
/** The same per host, as hosts of a large fleet report more rarely. */
const TIMEOUT_PER_HOST_MS: Milliseconds = 6;
/** Time without any report after which others have granted credit. */
const SUCCESSION_MS: Milliseconds = 1_500;
/** Longest time between two reports for which buckets are refilled. */
const MAXIMUM_GAP_MS: Milliseconds = 500;
/** Hosts that may report at the same time. */
const MAXIMUM_HOSTS = 2_048;
/** Time in which accounts get what a new ledger starts with. */
const SETTLING_MS: Milliseconds = 700;
/** How long a report that slots are idle holds. */
const IDLE_MS: Milliseconds = 300;
/**
 * Share of a burst that suffices for credit, whatever a request takes. Below it,
 * a host gets credit once its next request is covered, since any credit admits
 * one.
 */
const SUFFICIENT_SHARE = 0.5;
/** Share of a burst that hosts of a new fleet have got from others at most. */
const NEW_FLEET_SHARE = 0.1;
/** Share of their need that hosts hold below that, as others lack the rest. */
const SCARCE_NEED_SHARE = 0.3;
/** Share of what is left below that, which a single grant takes at most. */
const SCARCE_GRANT_SHARE = 0.5;

/** Options of a {@link QuotaLedger}. */
export interface QuotaLedgerOptions {
  /** When the process of this host started. */
  readonly startedAt: Milliseconds;
  readonly tolerance: QuotaTolerance;
  /** Returns an account's quota; `undefined` for an unknown account. */
  readonly quotaOf: (
    account: ClientAccountId,
  ) => Quota | "unlimited" | undefined;
  /**
   * Returns the units of a quota that no host held lately, according to the
   * ledger before this one; `undefined` if unknown.
   */
  readonly levelOf: (
    account: ClientAccountId,
    now: Milliseconds,
  ) => number | undefined;
  /** Returns the number of hosts that may be admitting requests. */
  readonly fleetSize: (now: Milliseconds) => number;
  /** Returns whether this host has just started and may find others yet. */
  readonly isDiscovering: (now: Milliseconds) => boolean;
}

interface HostCredit {
  incarnation: Incarnation;
  used: number;
  returned: number;
  limit: number;
}

interface AccountCredit {
  readonly bucket: QuotaBucket;
  readonly hosts: Map<HostId, HostCredit>;
  /** Credit that hosts hold and have not used. */
  held: number;
  /** Time in which this ledger had been receiving reports. */
  refilledAt: Milliseconds;
  idleUntil: Milliseconds;
  /** Credit that hosts had of other ledgers. */
  foreignCredit: number;
}

/**
 * Grants hosts credit of the quotas of client accounts.
 *
 * Hosts admit requests only against credit, which is taken from the quota when
 * it is granted. So delayed reports, and hosts that end before they report,
 * leave a part of the quota unused instead of exceeding it. A new ledger adopts
 * the credit that hosts hold; a bucket whose level is unknown starts empty.
 */
export class QuotaLedger {
  readonly #options: QuotaLedgerOptions;
  readonly #accounts = new Map<ClientAccountId, AccountCredit>();
  /** When each host reported last. */
  readonly #reportedAt = new Map<HostId, Milliseconds>();
  #receivedAt: Milliseconds = -Infinity;
  /** Grows while reports come in, and not while this process is suspended. */
  #uptime: Milliseconds = 0;
  /** Time before the first report for which buckets are refilled. */
  #headStart: Milliseconds = 0;

  constructor(options: QuotaLedgerOptions) {
    this.#options = options;
  }

  /** Applies a host's report, and returns the credit that it has then. */
  receive(report: QuotaReport, now: Milliseconds): QuotaGrants {
    this.#advance(now);
    if (report.isLast) {
      this.#forget(report.host);
      return this.#createGrants(new Map(), now);
    }
    const isFull = this.#reportedAt.size >= MAXIMUM_HOSTS;
    if (isFull && !this.#reportedAt.has(report.host)) {
      return this.#createGrants(new Map(), now);
    }
    this.#reportedAt.set(report.host, now);
    const accounts = new Map(
      report.demands.map((demand) => [
        demand.account,
        this.#grant(demand, report, now),
      ]),
    );
    return this.#createGrants(accounts, now);
  }

  #createGrants(
    accounts: QuotaGrants["accounts"],
    now: Milliseconds,
  ): QuotaGrants {
    const isSettled = this.#uptime >= SETTLING_MS &&
      !this.#options.isDiscovering(now);
    return { accounts, hosts: this.#reportedAt.size, isSettled };
  }

  #advance(now: Milliseconds): void {
    const isFirst = this.#receivedAt === -Infinity;
    const gap = now - (isFirst ? this.#options.startedAt : this.#receivedAt);
    this.#receivedAt = now;
    if (isFirst && gap <= SUCCESSION_MS) {
      // Hosts that start together have had no credit of another ledger.
      this.#headStart = gap;
      return;
    }
    if (gap > SUCCESSION_MS) {
      // Meanwhile, hosts have got their credit from another ledger.
      this.#accounts.clear();
      this.#reportedAt.clear();
      this.#uptime = 0;
      this.#headStart = 0;
      return;
    }
    this.#uptime += Math.min(gap, MAXIMUM_GAP_MS);
    const timeout = Math.max(
      MINIMUM_TIMEOUT_MS,
      TIMEOUT_PER_HOST_MS * this.#reportedAt.size,
    );
    for (const [host, reportedAt] of this.#reportedAt) {
      if (now - reportedAt > timeout) this.#forget(host);
    }
  }

  #forget(host: HostId): void {
    this.#reportedAt.delete(host);
    for (const credit of this.#accounts.values()) {
      const former = credit.hosts.get(host);
      if (former === undefined) continue;
      credit.held -= heldBy(former);
      credit.hosts.delete(host);
    }
  }

  #grant(
    demand: AccountDemand,
    { host, incarnation }: QuotaReport,
    now: Milliseconds,
  ): AccountGrant {
    const quota = this.#options.quotaOf(demand.account);
    // This host may have no policy yet, or an older one.
    if (quota === undefined) return { limit: demand.limit, level: 0 };
    if (quota === "unlimited") {
      const limit = demand.used + demand.returned + demand.needed;
      return { limit, level: 0 };
    }
    const account = this.#accountOf(demand.account, now);
    if (demand.isIdle) account.idleUntil = now + IDLE_MS;
    const known = account.hosts.get(host);
    if (known !== undefined) account.held -= heldBy(known);
    account.foreignCredit += Math.max(0, demand.limit - (known?.limit ?? 0));
    // An incarnation that ended may have used all of its credit.
    const credit = known?.incarnation === incarnation
      ? known
      : createCredit(demand, incarnation);
    settle(credit, { demand, bucket: account.bucket });
    const sufficient = SUFFICIENT_SHARE * quota.burst;
    const least = Math.min(demand.requestUnits, sufficient);
    this.#refill(account, { quota, least, now });
    const { level } = account.bucket;
    const needed = level >= sufficient
      ? demand.needed
      : computeScarceNeed(demand);
    const missing = needed - heldBy(credit);
    if (missing > 0 && level > 0 && level >= least) {
      // What is scarce goes to more than one host.
      const scarce = Math.max(least, level * SCARCE_GRANT_SHARE);
      const available = level >= sufficient ? level : scarce;
      const granted = Math.floor(Math.min(missing, available));
      account.bucket.take(granted);
      credit.limit += granted;
    }
    account.held += heldBy(credit);
    account.hosts.set(host, credit);
    return { limit: credit.limit, level: account.bucket.level };
  }

  #accountOf(account: ClientAccountId, now: Milliseconds): AccountCredit {
    const known = this.#accounts.get(account);
    if (known !== undefined) return known;
    const { tolerance, levelOf } = this.#options;
    const created = {
      bucket: new QuotaBucket(tolerance, levelOf(account, now)),
      hosts: new Map(),
      held: 0,
      refilledAt: -this.#headStart,
      idleUntil: -Infinity,
      foreignCredit: 0,
    };
    this.#accounts.set(account, created);
    return created;
  }

  #refill(
    account: AccountCredit,
    { quota, least, now }: { quota: Quota; least: number; now: Milliseconds },
  ): void {
    const reporting = this.#reportedAt.size;
    const hosts = Math.max(reporting, this.#options.fleetSize(now));
    account.bucket.refill(quota, {
      elapsed: this.#uptime - account.refilledAt,
      share: reporting / hosts,
      least,
      isNew: account.foreignCredit < NEW_FLEET_SHARE * quota.burst,
      held: account.held,
      isIdle: now < account.idleUntil,
    });
    account.refilledAt = this.#uptime;
  }
}

/** Returns a part of what a host needs, or its next request if that is more. */
function computeScarceNeed({ needed, requestUnits }: AccountDemand): number {
  const part = Math.ceil(SCARCE_NEED_SHARE * needed);
  return Math.min(needed, Math.max(part, requestUnits));
}

function createCredit(
  { used, returned, limit }: AccountDemand,
  incarnation: Incarnation,
): HostCredit {
  return { incarnation, used, returned, limit };
}

/** Updates a host's credit, and charges what it used beyond it. */
function settle(
  credit: HostCredit,
  { demand, bucket }: { demand: AccountDemand; bucket: QuotaBucket },
): void {
  const { used, returned, limit } = demand;
  bucket.take(-Math.max(0, returned - credit.returned));
  credit.used = used;
  credit.returned = Math.max(credit.returned, returned);
  const spent = used + credit.returned;
  // Another ledger may have granted more meanwhile.
  credit.limit = Math.max(credit.limit, limit);
  bucket.take(Math.max(0, spent - credit.limit));
  credit.limit = Math.max(credit.limit, spent);
}

/** Returns the credit that a host has not used; 0 if it used more. */
function heldBy({ limit, used, returned }: HostCredit): number {
  return Math.max(0, limit - used - returned);
}
