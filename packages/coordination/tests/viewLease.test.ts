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
/** Longer than a lease and its drift. */
const PAST_LEASES_MS = LEASE_DURATION_MS + 500;
const FIRST: View = { version: 1, hosts: [A, B, C] };
const SECOND: View = { version: 2, hosts: [A, B, C, D] };
const THIRD: View = { version: 3, hosts: FIRST.hosts };

/** Hosts that have all joined and know the first view. */
function createHosts(): Map<HostId, ViewLease> {
  return new Map([A, B, C, D, E].map((host) => {
    const incarnation = asId<Incarnation>(`${host}-1`);
    const lease = new ViewLease({ host, incarnation, startedAt: -10_000 });
    lease.addView(FIRST);
    lease.state.isJoined = true;
    return [host, lease];
  }));
}

/** One round of leases for a host, answered by the given granters. */
function exchange(
  hosts: Map<HostId, ViewLease>,
  holder: HostId,
  { granters, now }: { granters: readonly HostId[]; now: number },
): void {
  const lease = hosts.get(holder)!;
  const request = lease.nextRequest(now);
  for (const granter of granters) {
    const answer = hosts.get(granter)!.handleRequest(holder, request, now);
    lease.applyReply(granter, answer, now);
  }
}

function keyWithHomes(homes: readonly [View, HostId][]): IdempotencyKey {
  for (let index = 0;; index++) {
    const key = asId<IdempotencyKey>(`key-${index}`);
    if (homes.every(([view, home]) => homeOf(key, view) === home)) return key;
  }
}

test("a tenure does not reach back over a view in which another host was the home", (t) => {
  // A is the key's home in the first and the third view, D in the second. A
  // gets two leases in the second view, one too few to be active, so that the
  // granters never see its leases end. D is active meanwhile and may grant the
  // key. If A then counted its first tenure on, it would grant the key again.
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

test("a holder is active with a majority of the old and the new hosts only", (t) => {
  const hosts = createHosts();
  const jumped: View = { version: 4, hosts: [C, D, E] };
  for (const lease of hosts.values()) lease.addView(jumped);
  exchange(hosts, D, { granters: [C, D, E], now: 0 });
  t.is(hosts.get(D)!.activeView(0), undefined);
  exchange(hosts, D, { granters: [A, C, D, E], now: 0 });
  t.is(hosts.get(D)!.activeView(0)?.view.version, 4);
});

test("a granter keeps a lease from a second process of the same host", (t) => {
  const hosts = createHosts();
  const granter = hosts.get(B)!;
  const ask = (incarnation: string, now: number): number | undefined => {
    const request = {
      serial: 1,
      incarnation: asId<Incarnation>(incarnation),
      views: [FIRST],
    };
    return granter.handleRequest(A, request, now).granted;
  };
  t.is(ask("a-1", 0), 1);
  t.is(ask("a-2", 100), undefined);
  t.is(ask("a-2", PAST_LEASES_MS), 1);
});
