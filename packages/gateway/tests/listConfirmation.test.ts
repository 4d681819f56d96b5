import { setImmediate as settle } from "node:timers/promises";
import {
  asId,
  type HostId,
  type Incarnation,
  sleep,
  VirtualTimer,
} from "@wasabivane/common";
import {
  decodeMessage,
  encodeMessage,
  ListConfirmation,
  type PeerMessage,
} from "@wasabivane/gateway";
import test from "ava";
import { CoalescedCalls } from "../src/coalescedCalls.ts";

const HOP_MS = 1;
const STORE_MS = 2;
const READERS = ["r0", "r1", "r2"];
const STEP_MS = 2;

interface Host {
  revision: number;
  isReading: boolean;
  /** Time until the store responds to it; Infinity if it does not. */
  storeDelay: number;
  storeCalls: number;
  readonly confirmation: ListConfirmation;
}

/** Hosts beside a store in virtual time. */
class ConfirmingFleet {
  readonly timer = new VirtualTimer();
  readonly hosts = new Map<HostId, Host>();
  readonly sent: PeerMessage[] = [];
  storeRevision = 1;
  /** Time for which a message travels; Infinity if it is lost. */
  transit: (message: PeerMessage, to: HostId) => number = () => HOP_MS;

  constructor() {
    for (const name of READERS) this.start(name, { isReading: true });
  }

  start(name: string, { isReading }: { isReading: boolean }): Host {
    const id = asId<HostId>(name);
    const { timer } = this;
    const host: Host = {
      revision: this.storeRevision,
      isReading,
      storeDelay: STORE_MS,
      storeCalls: 0,
      confirmation: new ListConfirmation({
        host: id,
        incarnation: asId<Incarnation>("1"),
        timer,
        versions: () => ({ listRevision: host.revision, policyVersion: 1 }),
        isReading: () => host.isReading,
        readers: () =>
          READERS.map((reader) => asId<HostId>(reader))
            .filter((reader) => reader !== id),
        send: (to, message) => this.#deliver(to, message),
        onNewer: (_, { listRevision }) =>
          void timer.after(10 * HOP_MS, () => host.revision = listRevision),
      }),
    };
    host.confirmation.setStoreCheck(async () => {
      host.storeCalls++;
      if (host.storeDelay === Infinity) return false;
      await sleep(timer, host.storeDelay);
      host.revision = Math.max(host.revision, this.storeRevision);
      return true;
    });
    this.hosts.set(id, host);
    return host;
  }

  at(name: string): Host {
    return this.hosts.get(asId<HostId>(name))!;
  }

  async run(span: number): Promise<void> {
    for (let passed = 0; passed < span; passed += STEP_MS) {
      this.timer.advance(STEP_MS);
      await settle();
    }
  }

  /** Returns whether a host's list is confirmed within the time for it. */
  async confirm(host: Host): Promise<boolean> {
    const confirmed = host.confirmation.confirm();
    await settle();
    await this.run(1_000);
    return confirmed;
  }

  #deliver(to: HostId, message: PeerMessage): void {
    this.sent.push(message);
    const transit = this.transit(message, to);
    if (transit === Infinity) return;
    const bytes = encodeMessage(message, 0);
    this.timer.after(transit, () => {
      const received = decodeMessage(bytes, 0)._unsafeUnwrap();
      const confirmation = this.hosts.get(to)?.confirmation;
      if (received.kind === "confirm") void confirmation?.reply(received.query);
      if (received.kind === "confirmed") confirmation?.receive(received.reply);
    });
  }
}

test("a list is confirmed only once it has the changes in the store", async (t) => {
  // Guards against a host that hears of a change later than its peers.
  const fleet = new ConfirmingFleet();
  const host = fleet.start("h", { isReading: false });
  fleet.storeRevision = 2;
  t.true(await fleet.confirm(host));
  t.is(host.revision, 2);
  t.is(fleet.sent.length, 2);
  fleet.at("r0").storeDelay = Infinity;
  fleet.storeRevision = 3;
  t.true(await fleet.confirm(fleet.at("r0")));
  t.is(fleet.at("r0").revision, 3);
});

test("a host that hears nobody, or too late, does not count its list as confirmed", async (t) => {
  // Guards against a host that its peers hear, and replies that a pause held up.
  const fleet = new ConfirmingFleet();
  const host = fleet.start("h", { isReading: true });
  host.storeDelay = 5_000;
  for (const transit of [Infinity, 700]) {
    fleet.transit = (_, to) => to === "h" ? transit : HOP_MS;
    t.false(await fleet.confirm(host));
  }
});

test("lost messages and readers that fail leave it to the next source", async (t) => {
  const fleet = new ConfirmingFleet();
  const host = fleet.start("h", { isReading: false });
  fleet.transit = (_, to) => to === "r0" ? Infinity : HOP_MS;
  fleet.at("r1").storeDelay = Infinity;
  t.true(await fleet.confirm(host));
  t.is(fleet.at("r2").storeCalls, 1);
  fleet.transit = () => Infinity;
  t.true(await fleet.confirm(host));
  t.is(host.storeCalls, 1);
});

test("the store is asked for many streams at once, and not again for 50 ms", async (t) => {
  // Guards against calls of the store, and messages, for each stream.
  const fleet = new ConfirmingFleet();
  const hosts = Array.from(
    { length: 40 },
    (_, index) => fleet.start(`h${index}`, { isReading: false }),
  );
  const calls: Promise<boolean>[] = [];
  for (let passed = 0; passed < 1_000; passed += STEP_MS) {
    for (const host of hosts) calls.push(host.confirmation.confirm());
    await fleet.run(STEP_MS);
  }
  await fleet.run(500);
  t.false((await Promise.all(calls)).includes(false));
  const total = [...fleet.hosts.values()]
    .reduce((sum, { storeCalls }) => sum + storeCalls, 0);
  t.true(total <= 22, `${total} calls`);
  t.true(fleet.sent.length <= 2 * 22 * hosts.length);
});

test("lists are confirmed again after a check of the store that throws", async (t) => {
  // Guards against a host that refuses all streams after one error.
  const timer = new VirtualTimer();
  let runs = 0;
  const calls = new CoalescedCalls({
    timer,
    interval: 0,
    run: () =>
      ++runs === 1
        ? Promise.reject(new Error("A check of the test"))
        : Promise.resolve(true),
  });
  await t.throwsAsync(calls.call());
  t.true(await calls.call());
  t.true(await calls.call());
});
