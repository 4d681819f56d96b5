import type { HostList } from "@wasabivane/bundle";
import {
  asId,
  type ClientAccountId,
  type HostId,
  type IdempotencyKey,
  type Milliseconds,
  SeededRandom,
} from "@wasabivane/common";
import {
  type ClaimOutcome,
  HOST_LIST,
  MAX_CALLER_CLOCK_SKEW_MS,
  type OwnedKey,
} from "@wasabivane/coordination";
import { advance } from "./asyncTime.ts";
import { bareKey, claimOf, DISPATCH } from "./keys.ts";
import { createList, hostName, MemberFleet } from "./memberFleet.ts";

/** Counts of outcomes over several runs, from a global view. */
export interface FaultTally {
  requests: number;
  dispatched: number;
  whole: number;
  notRun: number;
  unknown: number;
  /** Keys reported as unknown last that were never dispatched. */
  unknownThatHadNotRun: number;
  doubleDispatches: number;
  falseNotRun: number;
  /** Claim outcomes by kind and reason. */
  answers: Record<string, number>;
}

/** Kind of the callers' keys. */
export type KeyKind = "ticket" | "bare";

interface Call {
  key: IdempotencyKey;
  dispatches: number;
  /** Last ending reported to the caller; "unknown" if the connection broke. */
  lastEnding: "whole" | "not-run" | "unknown";
}

const ACCOUNT = asId<ClientAccountId>("oyako");
const HOST_COUNT = 6;
const MIN_LISTED_HOSTS = 3;
const STARTUP_MS = 9_000;
const FAULT_PERIOD_MS = 50_000;
const FAULT_COUNT = 14;
const CALL_COUNT = 60;
const MAX_ATTEMPTS = 4;
/**
 * Maximum clock offset of a host; two hosts differ by at most twice as much.
 */
const MAX_HOST_OFFSET_MS = 240;
const RELEASE_SHARE = 0.15;

/** Creates an empty tally. */
export function createTally(): FaultTally {
  return {
    requests: 0,
    dispatched: 0,
    whole: 0,
    notRun: 0,
    unknown: 0,
    unknownThatHadNotRun: 0,
    doubleDispatches: 0,
    falseNotRun: 0,
    answers: {},
  };
}

/**
 * Runs one random schedule of faults and calls; a seed produces the same
 * schedule for both kinds of keys.
 */
export async function runFaults(
  seed: number,
  { kind, tally }: { kind: KeyKind; tally: FaultTally },
): Promise<void> {
  await new FaultRun(seed, kind, { tally }).run();
}

class FaultRun {
  readonly #fleet: MemberFleet;
  readonly #kind: KeyKind;
  readonly #tally: FaultTally;
  /** Generates faults and calls; the fleet uses its own generator. */
  readonly #random: SeededRandom;
  readonly #names = Array.from(
    { length: HOST_COUNT },
    (_, at) => hostName(at + 1),
  );
  readonly #lists: HostList[] = [];
  readonly #calls: Call[] = [];

  constructor(seed: number, kind: KeyKind, { tally }: { tally: FaultTally }) {
    this.#kind = kind;
    this.#tally = tally;
    this.#random = new SeededRandom(seed);
    this.#fleet = new MemberFleet({ size: HOST_COUNT, seed: seed + 1 });
    this.#lists.push(this.#fleet.list);
  }

  async run(): Promise<void> {
    const fleet = this.#fleet;
    fleet.network.setFaults({
      jitterMs: 50,
      dropShare: 0.02,
      duplicateShare: 0.05,
    });
    for (let fault = 0; fault < FAULT_COUNT; fault++) {
      this.#schedule(
        this.#random.float() * FAULT_PERIOD_MS,
        this.#randomFault(),
      );
    }
    for (let call = 0; call < CALL_COUNT; call++) this.#scheduleCall();
    await advance(fleet.sharedTimer, STARTUP_MS + FAULT_PERIOD_MS);
    fleet.network.heal();
    await advance(fleet.sharedTimer, 30_000);
    this.#countOutcomes();
  }

  #schedule(delay: Milliseconds, action: () => void): void {
    this.#fleet.sharedTimer.after(STARTUP_MS + delay, action);
  }

  #randomFault(): () => void {
    const host = this.#random.pick(this.#names);
    const length = 500 + this.#random.float() * 12_000;
    const share = this.#random.float();
    const faults = [
      () => this.#restart(host, { length, share }),
      () => this.#pause(host, { length }),
      () => this.#partition(share, { length }),
      () => this.#changeList(host, { share }),
      () => this.#rereadList(host, { share }),
    ];
    return this.#random.pick(faults);
  }

  #restart(
    host: HostId,
    { length, share }: { length: Milliseconds; share: number },
  ): void {
    if (!this.#fleet.hosts.has(host)) return;
    this.#fleet.kill(host);
    this.#fleet.sharedTimer.after(length, () => {
      const skewMs = (share - 0.5) * 2 * MAX_HOST_OFFSET_MS;
      this.#fleet.start(host, { skewMs, list: this.#randomList(share) });
    });
  }

  #pause(host: HostId, { length }: { length: Milliseconds }): void {
    const paused = this.#fleet.hosts.get(host);
    if (paused === undefined) return;
    this.#fleet.pause(host);
    this.#fleet.sharedTimer.after(length, () => {
      paused.timer.resume();
      paused.link.resume();
    });
  }

  #partition(share: number, { length }: { length: Milliseconds }): void {
    const cut = 1 + Math.floor(share * (HOST_COUNT - 1));
    const order = [...this.#names].sort((left, right) =>
      this.#pseudoRandomRank(left, share) - this.#pseudoRandomRank(right, share)
    );
    this.#fleet.network.partition([order.slice(0, cut), order.slice(cut)]);
    this.#fleet.sharedTimer.after(length, () => this.#fleet.network.heal());
  }

  #pseudoRandomRank(host: HostId, share: number): number {
    return (this.#names.indexOf(host) * 7 + Math.floor(share * 100)) % 11;
  }

  /**
   * Adds a host to the list or removes it; only some hosts read the new list.
   */
  #changeList(host: HostId, { share }: { share: number }): void {
    const newest = this.#lists.at(-1)!;
    const listed = newest.entryHosts.map((item) => item.host);
    const changed = listed.includes(host)
      ? listed.filter((other) => other !== host)
      : [...listed, host];
    if (changed.length < MIN_LISTED_HOSTS) return;
    const list = createList(changed, { version: newest.version + 1 });
    this.#lists.push(list);
    const readers = this.#names.filter((name) =>
      this.#fleet.hosts.has(name) && this.#pseudoRandomRank(name, share) < 6
    );
    this.#fleet.publish(list, readers);
  }

  /** Lets a host read an old list, as from an outdated platform replica. */
  #rereadList(host: HostId, { share }: { share: number }): void {
    const reader = this.#fleet.hosts.get(host);
    reader?.blackboard.write(HOST_LIST, this.#randomList(share));
  }

  #randomList(share: number): HostList {
    return this.#lists[Math.floor(share * this.#lists.length)]!;
  }

  #scheduleCall(): void {
    const at = this.#random.float() * FAULT_PERIOD_MS;
    const skew = (this.#random.float() * 2 - 1) * MAX_CALLER_CLOCK_SKEW_MS;
    const entries = Array.from(
      { length: MAX_ATTEMPTS },
      () => this.#random.pick(this.#names),
    );
    const gaps = entries.map(() => 200 + this.#random.float() * 8_000);
    const waits = entries.map(() => this.#random.float() * 2_500);
    const givesUp = entries.map(() => this.#random.float() < RELEASE_SHARE);
    const keyRandom = new SeededRandom(this.#random.int(2 ** 30));
    this.#schedule(at, () => {
      const issuedAt = this.#fleet.sharedTimer.wallNow() + skew;
      const key = this.#kind === "bare"
        ? bareKey(issuedAt, keyRandom)
        : this.#fleet.hosts.get(entries[0]!)?.keys.mintTicket(ACCOUNT);
      if (key === undefined) return;
      const call: Call = { key, dispatches: 0, lastEnding: "unknown" };
      this.#calls.push(call);
      let delay = 0;
      entries.forEach((entry, index) => {
        this.#fleet.sharedTimer.after(delay, () => {
          const wait = waits[index]!;
          void this.#attempt(call, entry, { wait, givesUp: givesUp[index]! });
        });
        delay += gaps[index]!;
      });
    });
  }

  async #attempt(
    call: Call,
    entry: HostId,
    options: { wait: Milliseconds; givesUp: boolean },
  ): Promise<void> {
    const host = this.#fleet.hosts.get(entry);
    if (host === undefined || call.lastEnding === "whole") return;
    call.lastEnding = "unknown";
    const outcome = await host.keys.claim(claimOf(call.key));
    this.#countClaimOutcome(outcome);
    if (outcome.kind === "granted") {
      host.timer.after(options.wait, () => {
        this.#useGrant(call, outcome.owned, {
          entry,
          givesUp: options.givesUp,
        });
      });
      return;
    }
    if (outcome.kind === "not-run") this.#reportNotRun(call);
  }

  #countClaimOutcome(outcome: ClaimOutcome): void {
    const { answers } = this.#tally;
    const name = "reason" in outcome
      ? `${outcome.kind}: ${outcome.reason}`
      : outcome.kind;
    answers[name] = (answers[name] ?? 0) + 1;
  }

  #useGrant(
    call: Call,
    owned: OwnedKey,
    { entry, givesUp }: { entry: HostId; givesUp: boolean },
  ): void {
    const keys = this.#fleet.hosts.get(entry)?.keys;
    if (keys === undefined) return;
    if (givesUp) {
      void keys.release(owned).then((isReleased) => {
        if (isReleased) this.#reportNotRun(call);
        else call.lastEnding = "unknown";
      });
      return;
    }
    if (!keys.markDispatched(owned, DISPATCH)) return;
    call.dispatches++;
    keys.markFinished(owned, DISPATCH);
    call.lastEnding = "whole";
  }

  #reportNotRun(call: Call): void {
    call.lastEnding = "not-run";
    if (call.dispatches > 0) this.#tally.falseNotRun++;
  }

  #countOutcomes(): void {
    const tally = this.#tally;
    for (const call of this.#calls) {
      tally.requests++;
      if (call.dispatches > 0) tally.dispatched++;
      if (call.dispatches > 1) tally.doubleDispatches++;
      if (call.lastEnding === "whole") tally.whole++;
      if (call.lastEnding === "not-run") tally.notRun++;
      if (call.lastEnding !== "unknown") continue;
      tally.unknown++;
      if (call.dispatches === 0) tally.unknownThatHadNotRun++;
    }
  }
}
