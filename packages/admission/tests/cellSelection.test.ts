import {
  asId,
  type FailureDomain,
  type Milliseconds,
  type VirtualTimer,
} from "@wasabivane/common";
import test from "ava";
import { type Replay, replayLoad } from "./helpers/loadReplay.ts";

const DOMAINS = ["d0", "d1", "d2"].map((name) => asId<FailureDomain>(name));
const UPSTREAMS = 60;
const SLOTS = 4;
const WORK_MS: Milliseconds = 250;
const TARGET_MS: Milliseconds = 150;
/** Share of the total capacity that is asked for. */
const LOAD = 0.85;
const DURATION_MS: Milliseconds = 8_000;
/** Time in which the demand of a failure domain rises and falls. */
const PERIOD_MS: Milliseconds = 4_000;
const LOSS_AT_MS: Milliseconds = 4_500;
/** Longest wait for a coordinator that does not reply. */
const REPLY_TIMEOUT_MS: Milliseconds = 143;
const SEEDS = [5, 6, 7];

const BASE: Omit<Replay, "seed" | "tiers"> = {
  hosts: 30,
  upstreams: UPSTREAMS,
  slots: SLOTS,
  speeds: [1],
  duration: DURATION_MS,
  isCoordinated: true,
  failureDomains: DOMAINS,
};

interface DomainDemand {
  /** By how much the demand of each domain rises and falls, as a share of it. */
  readonly swing: number;
  /** Whether the hosts of one domain that coordinate cells die midway. */
  readonly isLosingCoordinators?: boolean;
}

interface Shares {
  readonly late: number;
  /** Requests that went to another failure domain than that of their host. */
  readonly abroad: number;
}

/** Returns the shares of a replay with a seed. */
function replayDemand(
  { swing, isLosingCoordinators = false }: DomainDemand,
  seed: number,
): Shares {
  let timer: VirtualTimer | undefined;
  let sent = 0;
  let abroad = 0;
  const results = replayLoad({
    ...BASE,
    seed,
    tiers: [{
      tier: 1,
      rateAt: () => LOAD * UPSTREAMS * SLOTS * 1_000 / WORK_MS,
      work: (random) => WORK_MS * (0.5 + random.float()),
      target: TARGET_MS,
      usefulWithin: 3_000,
    }],
    hostOf: (random) => {
      const turn = timer!.now() / PERIOD_MS;
      const demands = DOMAINS.map((_, index) =>
        1 + swing * Math.sin(2 * Math.PI * (turn + index / DOMAINS.length))
      );
      let draw = random.float() * DOMAINS.length;
      return demands.findIndex((demand) => (draw -= demand) < 0);
    },
    onStart: (fleet, virtualTimer) => {
      timer = virtualTimer;
      if (!isLosingCoordinators) return;
      timer.after(LOSS_AT_MS, () => {
        for (const host of fleet.hosts) {
          const isConcerned = host.failureDomain === DOMAINS[0] &&
            host.coordinators.size > 0;
          if (isConcerned) host.isDead = true;
        }
      });
    },
    onSend: (upstream, _at, host) => {
      sent++;
      if (upstream.failureDomain !== host.failureDomain) abroad++;
    },
  });
  const { submitted, onTime } = results.get(1)!;
  return { late: 1 - onTime / submitted, abroad: abroad / sent };
}

/** Returns the mean shares over all seeds. */
function meanShares(demand: DomainDemand): Shares {
  const all = SEEDS.map((seed) => replayDemand(demand, seed));
  const mean = (of: (shares: Shares) => number): number =>
    all.reduce((sum, shares) => sum + of(shares), 0) / all.length;
  return { late: mean(({ late }) => late), abroad: mean((s) => s.abroad) };
}

test("work leaves a failure domain before its callers wait beyond their target", (t) => {
  // Guards against a queue in one failure domain while others have free slots:
  // at its peak a domain asks for 1.27 times its capacity.
  const { late, abroad } = meanShares({ swing: 0.5 });
  t.log({ late, abroad });
  t.true(late < 0.02, `${late}`);
});

test("coordinators that are lost cost their requests one reply timeout", (t) => {
  // Guards against requests that wait for a failure domain's dead coordinator
  // again and again.
  const { late } = meanShares({ swing: 0.5 });
  const { late: lateAfterLoss } = meanShares({
    swing: 0.5,
    isLosingCoordinators: true,
  });
  t.log({ late, lateAfterLoss });
  const asked = REPLY_TIMEOUT_MS / DURATION_MS;
  t.true(lateAfterLoss - late < asked, `${lateAfterLoss - late} of ${asked}`);
});
