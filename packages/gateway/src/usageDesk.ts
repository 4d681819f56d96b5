import type {
  ClientAccountId,
  HostId,
  Incarnation,
  Milliseconds,
} from "@wasabivane/common";
import {
  type Cell,
  type CoordinatorCandidate,
  type QuotaLimiter,
  rankCoordinators,
  UsageLedger,
  type UsageReport,
} from "@wasabivane/admission";
import { asId } from "@wasabivane/common";
import type { UsageSums } from "./peerMessage.ts";

/** Who adds usage up is chosen like the keeper of a cell. */
const LEDGER: Cell = {
  service: asId("usage of client accounts"),
  failureDomain: undefined,
  index: 0,
  count: 1,
};
/** All hosts but one, as one host in the quota book. */
const OTHERS = asId<HostId>("others");
/** Hosts report so often, */
const REPORT_MS: Milliseconds = 100;
/** and more seldom where there are many, so that one host can add up for all. */
const REPORT_BY_HOST_MS: Milliseconds = 2;
/** A host without usage reports so often, for what the others used. */
const IDLE_REPORT_MS: Milliseconds = 400;
/** Reports without an answer after which the next in order adds up. */
const UNANSWERED = 3;
const PASSED_OVER_MS: Milliseconds = 3_000;

/** What a {@link UsageDesk} needs. */
export interface UsageDeskOptions {
  readonly host: HostId;
  readonly incarnation: Incarnation;
  readonly quotas: QuotaLimiter;
  readonly candidates: () => readonly CoordinatorCandidate[];
  readonly sendReport: (to: HostId, usage: UsageReport) => void;
  readonly sendSums: (to: HostId, sums: UsageSums) => void;
}

/** Reports what this host admitted to whoever adds up, and adds up where it is its turn. */
export class UsageDesk {
  readonly #options: UsageDeskOptions;
  #ledger = new UsageLedger();
  #reportedAt: Milliseconds = -Infinity;
  #reported = 0;
  #unanswered = 0;
  #passedOver: { host: HostId; until: Milliseconds } | undefined;
  #source: HostId | undefined;

  constructor(options: UsageDeskOptions) {
    this.#options = options;
  }

  /** Reports when it is time. */
  tick(now: Milliseconds): void {
    const { quotas, candidates, host, incarnation, sendReport } = this.#options;
    const hosts = candidates();
    if (hosts.length <= 1) return;
    const since = now - this.#reportedAt;
    if (since < Math.max(REPORT_MS, REPORT_BY_HOST_MS * hosts.length)) return;
    const used = quotas.used();
    const total = totalOf(used);
    if (total === this.#reported && since < IDLE_REPORT_MS) return;
    this.#reported = total;
    this.#reportedAt = now;
    const source = this.#chooseSource(hosts, now);
    if (source === host) {
      return this.hearReport({ host, incarnation, used }, now);
    }
    this.#unanswered++;
    sendReport(source, { host, incarnation, used });
  }

  /** Takes in a host's report and tells it what the others did. */
  hearReport(report: UsageReport, now: Milliseconds): void {
    const { host, incarnation, sendSums } = this.#options;
    this.#ledger.applyUsage(report, now);
    const others = this.#ledger.usageOfOthers(report.host, now);
    const sums = { host, incarnation, others };
    if (report.host === host) this.hearSums(sums, now);
    else sendSums(report.host, sums);
  }

  /** Takes in what the others did. */
  hearSums({ host, incarnation, others }: UsageSums, now: Milliseconds): void {
    if (host !== this.#source) return;
    this.#unanswered = 0;
    this.#options.quotas.applyUsage({
      host: OTHERS,
      incarnation: asId<Incarnation>(`${host} ${incarnation}`),
      used: others,
    }, now);
  }

  #chooseSource(
    hosts: readonly CoordinatorCandidate[],
    now: Milliseconds,
  ): HostId {
    const order = rankCoordinators(LEDGER, hosts);
    if (this.#unanswered >= UNANSWERED && this.#source !== undefined) {
      this.#passedOver = { host: this.#source, until: now + PASSED_OVER_MS };
      this.#unanswered = 0;
    }
    if ((this.#passedOver?.until ?? now) <= now) this.#passedOver = undefined;
    const source = order.find((host) => host !== this.#passedOver?.host) ??
      this.#options.host;
    if (source !== this.#source) this.#unanswered = 0;
    this.#source = source;
    return source;
  }
}

function totalOf(used: ReadonlyMap<ClientAccountId, number>): number {
  let total = 0;
  for (const sum of used.values()) total += sum;
  return total;
}
