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

/** What happened over some schedules, as a judge who sees everything counts it. */
export interface FaultTally {
  requests: number;
  dispatched: number;
  whole: number;
  notRun: number;
  unknown: number;
  /** Keys of which a caller heard "unknown" last and which never were dispatched: the price. */
  unknownThatHadNotRun: number;
  doubleDispatches: number;
  falseNotRun: number;
  /** Answers of homes by kind and reason. */
  answers: Record<string, number>;
}

/** Which keys the callers use. */
export type KeyKind = "ticket" | "bare";

interface Call {
  key: IdempotencyKey;
  dispatches: number;
  /** What the caller heard last; a broken connection says no more than "unknown". */
  lastEnding: "whole" | "not-run" | "unknown";
}

const ACCOUNT = asId<ClientAccountId>("oyako");
const HOSTS = 6;
const LEAST_LISTED = 3;
const SETTLE_MS = 9_000;
const FAULTY_MS = 50_000;
const FAULTS = 14;
const CALLS = 60;
const MAX_ATTEMPTS = 4;
/** Half of what two hosts' clocks may differ by. */
const HOST_SKEW_SPREAD_MS = 240;
const GIVE_UP_SHARE = 0.15;

/** An empty tally. */
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

/** Runs one random schedule of faults and calls; the same seed gives both kinds of keys the same one. */
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
  /** Draws faults and calls; the fleet draws its own. */
  readonly #random: SeededRandom;
  readonly #names = Array.from({ length: HOSTS }, (_, at) => hostName(at + 1));
  readonly #lists: HostList[] = [];
  readonly #calls: Call[] = [];

  constructor(seed: number, kind: KeyKind, { tally }: { tally: FaultTally }) {
    this.#kind = kind;
    this.#tally = tally;
    this.#random = new SeededRandom(seed);
    this.#fleet = new MemberFleet({ size: HOSTS, seed: seed + 1 });
    this.#lists.push(this.#fleet.list);
  }

  async run(): Promise<void> {
    const fleet = this.#fleet;
    fleet.network.setFaults({
      jitterMs: 50,
      dropShare: 0.02,
      duplicateShare: 0.05,
    });
    for (let fault = 0; fault < FAULTS; fault++) {
      this.#at(this.#random.float() * FAULTY_MS, this.#drawFault());
    }
    for (let call = 0; call < CALLS; call++) this.#scheduleCall();
    await advance(fleet.sharedTimer, SETTLE_MS + FAULTY_MS);
    fleet.network.heal();
    await advance(fleet.sharedTimer, 30_000);
    this.#judge();
  }

  #at(delay: Milliseconds, action: () => void): void {
    this.#fleet.sharedTimer.after(SETTLE_MS + delay, action);
  }

  #drawFault(): () => void {
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
      const skewMs = (share - 0.5) * 2 * HOST_SKEW_SPREAD_MS;
      this.#fleet.start(host, { skewMs, list: this.#someList(share) });
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
    const cut = 1 + Math.floor(share * (HOSTS - 1));
    const order = [...this.#names].sort((left, right) =>
      this.#place(left, share) - this.#place(right, share)
    );
    this.#fleet.network.partition([order.slice(0, cut), order.slice(cut)]);
    this.#fleet.sharedTimer.after(length, () => this.#fleet.network.heal());
  }

  #place(host: HostId, share: number): number {
    return (this.#names.indexOf(host) * 7 + Math.floor(share * 100)) % 11;
  }

  /** A host leaves or joins the list; some read the new one, the others do not. */
  #changeList(host: HostId, { share }: { share: number }): void {
    const newest = this.#lists.at(-1)!;
    const listed = newest.entryHosts.map((item) => item.host);
    const changed = listed.includes(host)
      ? listed.filter((other) => other !== host)
      : [...listed, host];
    if (changed.length < LEAST_LISTED) return;
    const list = createList(changed, { version: newest.version + 1 });
    this.#lists.push(list);
    const readers = this.#names.filter((name) =>
      this.#fleet.hosts.has(name) && this.#place(name, share) < 6
    );
    this.#fleet.publish(list, readers);
  }

  /** A stale replica of the platform answers with some list of the past. */
  #rereadList(host: HostId, { share }: { share: number }): void {
    const reader = this.#fleet.hosts.get(host);
    reader?.blackboard.write(HOST_LIST, this.#someList(share));
  }

  #someList(share: number): HostList {
    return this.#lists[Math.floor(share * this.#lists.length)]!;
  }

  #scheduleCall(): void {
    const at = this.#random.float() * FAULTY_MS;
    const skew = (this.#random.float() * 2 - 1) * MAX_CALLER_CLOCK_SKEW_MS;
    const entries = Array.from(
      { length: MAX_ATTEMPTS },
      () => this.#random.pick(this.#names),
    );
    const gaps = entries.map(() => 200 + this.#random.float() * 8_000);
    const waits = entries.map(() => this.#random.float() * 2_500);
    const givesUp = entries.map(() => this.#random.float() < GIVE_UP_SHARE);
    const chance = new SeededRandom(this.#random.int(2 ** 30));
    this.#at(at, () => {
      const issuedAt = this.#fleet.sharedTimer.wallNow() + skew;
      const key = this.#kind === "bare"
        ? bareKey(issuedAt, chance)
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
    this.#count(outcome);
    if (outcome.kind === "granted") {
      host.timer.after(options.wait, () => {
        this.#use(call, outcome.owned, { entry, givesUp: options.givesUp });
      });
      return;
    }
    if (outcome.kind === "not-run") this.#sayNotRun(call);
  }

  #count(outcome: ClaimOutcome): void {
    const { answers } = this.#tally;
    const name = "reason" in outcome
      ? `${outcome.kind}: ${outcome.reason}`
      : outcome.kind;
    answers[name] = (answers[name] ?? 0) + 1;
  }

  #use(
    call: Call,
    owned: OwnedKey,
    { entry, givesUp }: { entry: HostId; givesUp: boolean },
  ): void {
    const keys = this.#fleet.hosts.get(entry)?.keys;
    if (keys === undefined) return;
    if (givesUp) {
      void keys.release(owned).then((isReleased) => {
        if (isReleased) this.#sayNotRun(call);
        else call.lastEnding = "unknown";
      });
      return;
    }
    if (!keys.markDispatched(owned, DISPATCH)) return;
    call.dispatches++;
    keys.markFinished(owned, DISPATCH);
    call.lastEnding = "whole";
  }

  #sayNotRun(call: Call): void {
    call.lastEnding = "not-run";
    if (call.dispatches > 0) this.#tally.falseNotRun++;
  }

  #judge(): void {
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
