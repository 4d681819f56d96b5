import type { HostId, Incarnation, Milliseconds } from "@wasabivane/common";
import {
  type Cell,
  type CoordinatorCandidate,
  type QuotaGrants,
  type QuotaLedger,
  type QuotaLimiter,
  type QuotaReport,
  rankCoordinators,
} from "@wasabivane/admission";
import { asId } from "@wasabivane/common";

/** Pseudo cell whose coordinator grants credit of quotas. */
const QUOTA_CELL: Cell = {
  service: asId("quotas of client accounts"),
  failureDomain: undefined,
  index: 0,
  count: 1,
};
/** Minimum interval of reports. */
const REPORT_MS: Milliseconds = 100;
/** Interval per host, to bound the load on the grantor in a large fleet. */
const REPORT_PER_HOST_MS: Milliseconds = 2;
/** Interval without demand, so that the grantor counts this host. */
const IDLE_REPORT_MS: Milliseconds = 200;
/** Intervals after which a request for credit does not wait for the next report. */
const URGENT_SHARE = 0.2;
/** Time without a reply after which the next candidate becomes the grantor. */
const UNANSWERED_MS: Milliseconds = 250;
/** The same in intervals of reports. */
const UNANSWERED_REPORTS = 3;
/**
 * Time for which another host must precede the grantor to take its place: while
 * hosts find each other, the order changes with each one.
 */
const SUCCESSION_MS: Milliseconds = 1_000;
/** Time for which an unresponsive grantor is skipped. */
const SKIP_MS: Milliseconds = 3_000;

/** The hosts in the order in which they grant credit. */
interface Ranking {
  /** What it was computed from. */
  readonly hosts: readonly CoordinatorCandidate[];
  readonly order: readonly HostId[];
}

/** The credit of one incarnation of a host. */
export interface GrantMessage {
  readonly grantor: HostId;
  readonly to: HostId;
  readonly toIncarnation: Incarnation;
  readonly grants: QuotaGrants;
}

/** A change of the host that grants credit; `undefined` before the first. */
export interface GrantorChange {
  readonly from: HostId | undefined;
  readonly to: HostId;
}

/** Options of a {@link QuotaSync}. */
export interface QuotaSyncOptions {
  readonly host: HostId;
  readonly incarnation: Incarnation;
  readonly quotas: QuotaLimiter;
  readonly ledger: QuotaLedger;
  /** Returns the live hosts; the same array until it changes. */
  readonly candidates: () => readonly CoordinatorCandidate[];
  /** Whether this host has just started and may find others yet. */
  readonly isDiscovering: (now: Milliseconds) => boolean;
  readonly sendReport: (to: HostId, report: QuotaReport) => void;
  readonly sendGrants: (message: GrantMessage) => void;
  /** Called after a reply to a report. */
  readonly onGrants: () => void;
  /** Called when another host becomes the grantor, as this one sees it. */
  readonly onGrantorChange: (change: GrantorChange) => void;
}

/**
 * Reports this host's demand to the host that grants credit, and grants it if
 * this is that host.
 */
export class QuotaSync {
  readonly #options: QuotaSyncOptions;
  #reportedAt: Milliseconds = -Infinity;
  #hadDemand = false;
  /** When the first report without a reply since was sent. */
  #unansweredSince: Milliseconds | undefined;
  #skipped: { host: HostId; until: Milliseconds } | undefined;
  #grantor: HostId | undefined;
  /** The host that precedes the grantor, and since when. */
  #successor: { host: HostId; since: Milliseconds } | undefined;
  #ranking: Ranking = { hosts: [], order: [] };

  constructor(options: QuotaSyncOptions) {
    this.#options = options;
  }

  /** Sends a report if one is due. */
  tick(now: Milliseconds): void {
    if (this.#options.isDiscovering(now)) return;
    const interval = this.#interval();
    const due = this.#hadDemand ? interval : Math.max(interval, IDLE_REPORT_MS);
    if (now - this.#reportedAt >= due) this.#report(now);
  }

  /** Sends a report soon, as a request waits for credit. */
  requestCredit(now: Milliseconds): void {
    this.#hadDemand = true;
    if (this.#options.isDiscovering(now)) return;
    const since = now - this.#reportedAt;
    if (since >= URGENT_SHARE * this.#interval()) this.#report(now);
  }

  /** Replies to a host's report with its credit. */
  receiveReport(report: QuotaReport, now: Milliseconds): void {
    const { host, ledger, sendGrants } = this.#options;
    if (report.isLast) return void ledger.receive(report, now);
    const message = {
      grantor: host,
      to: report.host,
      toIncarnation: report.incarnation,
      grants: ledger.receive(report, now),
    };
    if (report.host === host) this.receiveGrants(message, now);
    else sendGrants(message);
  }

  /** Applies credit of this incarnation, if it comes from the current grantor. */
  receiveGrants(
    { grantor, toIncarnation, grants }: GrantMessage,
    now: Milliseconds,
  ): void {
    const { incarnation, quotas, onGrants } = this.#options;
    if (grantor !== this.#grantor || toIncarnation !== incarnation) return;
    this.#unansweredSince = undefined;
    quotas.applyGrants(grants, now);
    onGrants();
  }

  #interval(): Milliseconds {
    const hosts = this.#options.candidates().length;
    return Math.max(REPORT_MS, REPORT_PER_HOST_MS * hosts);
  }

  #report(now: Milliseconds): void {
    const { quotas, host, incarnation, sendReport } = this.#options;
    const demands = quotas.createDemands(this.#interval(), now);
    this.#reportedAt = now;
    this.#hadDemand = demands.length > 0;
    const report = { host, incarnation, demands, isLast: false };
    const grantor = this.#chooseGrantor(now);
    if (grantor === host) return this.receiveReport(report, now);
    this.#unansweredSince ??= now;
    sendReport(grantor, report);
  }

  /** Returns the grantor, or the host that has preceded it for long enough. */
  #succeed(first: HostId, now: Milliseconds): HostId {
    const grantor = this.#grantor;
    const isLost = grantor === undefined || grantor === this.#skipped?.host ||
      !this.#rank().includes(grantor);
    if (isLost || first === grantor) {
      this.#successor = undefined;
      return first;
    }
    if (this.#successor?.host !== first) {
      this.#successor = { host: first, since: now };
    }
    return now - this.#successor.since >= SUCCESSION_MS ? first : grantor;
  }

  /** Tells the former grantor, which may be alive, not to count this host. */
  #leave(): void {
    const { host, incarnation, ledger, sendReport } = this.#options;
    if (this.#grantor === undefined) return;
    const report = { host, incarnation, demands: [], isLast: true };
    if (this.#grantor === host) ledger.receive(report, this.#reportedAt);
    else sendReport(this.#grantor, report);
  }

  #rank(): readonly HostId[] {
    const hosts = this.#options.candidates();
    if (this.#ranking.hosts !== hosts) {
      const order = rankCoordinators(QUOTA_CELL, hosts);
      this.#ranking = { hosts, order };
    }
    return this.#ranking.order;
  }

  #chooseGrantor(now: Milliseconds): HostId {
    const order = this.#rank();
    const patience = Math.max(
      UNANSWERED_MS,
      UNANSWERED_REPORTS * this.#interval(),
    );
    const isUnanswered = this.#unansweredSince !== undefined &&
      now - this.#unansweredSince >= patience;
    if (isUnanswered && this.#grantor !== undefined) {
      this.#skipped = { host: this.#grantor, until: now + SKIP_MS };
    }
    if ((this.#skipped?.until ?? now) <= now) this.#skipped = undefined;
    const first = order.find((host) => host !== this.#skipped?.host) ??
      this.#options.host;
    const grantor = this.#succeed(first, now);
    if (grantor === this.#grantor) return grantor;
    const change = { from: this.#grantor, to: grantor };
    this.#unansweredSince = undefined;
    this.#leave();
    this.#grantor = grantor;
    this.#options.onGrantorChange(change);
    return grantor;
  }
}
