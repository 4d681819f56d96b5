import test from "ava";
import {
  asId,
  type HostId,
  type IdempotencyKey,
  type Incarnation,
} from "@wasabivane/common";
import {
  homeOf,
  LEASE_DURATION_MS,
  tenureStartOf,
  type View,
  ViewLease,
} from "@wasabivane/coordination";

const [A, B, C, D, E] = ["a", "b", "c", "d", "e"].map((name) =>
  asId<HostId>(name)
) as [HostId, HostId, HostId, HostId, HostId];
/** Longer than a lease plus the clock drift. */
const PAST_LEASES_MS = LEASE_DURATION_MS + 500;
const FIRST: View = { version: 1, hosts: [A, B, C] };
const SECOND: View = { version: 2, hosts: [A, B, C, D] };
const THIRD: View = { version: 3, hosts: FIRST.hosts };

/** Creates hosts that have joined and know the first view. */
function createHosts(): Map<HostId, ViewLease> {
  return new Map([A, B, C, D, E].map((host) => {
    const incarnation = asId<Incarnation>(`${host}-1`);
    const lease = new ViewLease({ host, incarnation, startedAt: -10_000 });
    lease.addView(FIRST);
    lease.state.isJoined = true;
    return [host, lease];
  }));
}

/** Requests leases for a holder; only the given granters reply. */
function exchange(
  hosts: Map<HostId, ViewLease>,
  holder: HostId,
  { granters, now }: { granters: readonly HostId[]; now: number },
): void {
  const lease = hosts.get(holder)!;
  const request = lease.nextRequest(now);
  for (const granter of granters) {
    const reply = hosts.get(granter)!.handleRequest(holder, request, now);
    lease.applyReply(granter, reply, now);
  }
}

function keyWithHomes(homes: readonly [View, HostId][]): IdempotencyKey {
  for (let index = 0;; index++) {
    const key = asId<IdempotencyKey>(`key-${index}`);
    if (homes.every(([view, home]) => homeOf(key, view) === home)) return key;
  }
}

test("a tenure does not extend over a view in which another host was the home", (t) => {
  // A gets too few leases in the second view, while D is active there and may
  // grant the key. Continuing A's first tenure would grant it a second time.
  const hosts = createHosts();
  const key = keyWithHomes([[FIRST, A], [SECOND, D], [THIRD, A]]);
  exchange(hosts, A, { granters: [A, B, C], now: 0 });
  t.is(hosts.get(A)!.activeView(0)?.view.version, 1);
  for (const lease of hosts.values()) lease.addView(SECOND);
  const second = PAST_LEASES_MS;
  exchange(hosts, A, { granters: [A, B], now: second });
  t.is(hosts.get(A)!.activeView(second), undefined);
  exchange(hosts, D, { granters: [A, B, C, D], now: second });
  t.is(hosts.get(D)!.activeView(second)?.view.version, 2);
  for (const lease of hosts.values()) lease.addView(THIRD);
  const third = 2 * PAST_LEASES_MS;
  exchange(hosts, A, { granters: [A, B, C, D], now: third });
  const { tenures } = hosts.get(A)!.activeView(third)!;
  t.is(tenureStartOf(key, { host: A, tenures }), third);
});

test("a holder is active only with majorities of the old and the new view", (t) => {
  const hosts = createHosts();
  const replacement: View = { version: 4, hosts: [C, D, E] };
  for (const lease of hosts.values()) lease.addView(replacement);
  exchange(hosts, D, { granters: [C, D, E], now: 0 });
  t.is(hosts.get(D)!.activeView(0), undefined);
  exchange(hosts, D, { granters: [A, C, D, E], now: 0 });
  t.is(hosts.get(D)!.activeView(0)?.view.version, 4);
});

test("a granter refuses a second process of a host until the first one's lease expires", (t) => {
  const hosts = createHosts();
  const granter = hosts.get(B)!;
  const requestLease = (
    incarnation: string,
    now: number,
  ): number | undefined => {
    const request = {
      serial: 1,
      incarnation: asId<Incarnation>(incarnation),
      views: [FIRST],
    };
    return granter.handleRequest(A, request, now).granted;
  };
  t.is(requestLease("a-1", 0), 1);
  t.is(requestLease("a-2", 100), undefined);
  t.is(requestLease("a-2", PAST_LEASES_MS), 1);
});
