import test from "ava";
import {
  asId,
  asTier,
  Blackboard,
  createTopic,
  type HostId,
  MemoryMetrics,
  type RequestId,
  SeededRandom,
  type ServiceId,
  VirtualTimer,
} from "@wasabivane/common";
import {
  coordinatorOf,
  type MemoryLink,
  MemoryNetwork,
  PoolClient,
  PoolCoordinator,
  type PoolMember,
} from "@wasabivane/coordination";
import {
  type Decision,
  LeastOutstandingScheduler,
  type PlacementRequest,
  type PoolPolicy,
} from "@wasabivane/decisions";

const SERVICE = asId<ServiceId>("drafter");
const MEMBERS = createTopic<readonly PoolMember[]>("test-members", []);
const SHARE = createTopic("test-share", 1);
const SLOTS = 2;

const POLICY: PoolPolicy = {
  upstreams: [{
    upstream: asId("drafter-01"),
    failureDomain: asId("hakata"),
    generation: "g1",
    isLeaving: false,
  }],
  accounts: [],
  tiers: [asTier(1)],
  initialConcurrency: SLOTS,
  maximumConcurrency: SLOTS,
  maximumWaitingTokens: 1_000_000,
  maximumWaitingBytes: 1_000_000,
  maximumEjectedShare: 0.4,
  domainDistanceMs: 1,
};

interface PoolHost {
  readonly blackboard: Blackboard;
  readonly link: MemoryLink;
  readonly client: PoolClient;
  readonly coordinator: PoolCoordinator;
}

class Fleet {
  readonly timer = new VirtualTimer();
  readonly network = new MemoryNetwork({
    timer: this.timer,
    random: new SeededRandom(1),
  });
  readonly hosts = new Map<HostId, PoolHost>();

  constructor(...names: string[]) {
    for (const name of names) this.startHost(asId<HostId>(name));
    this.agreeOnMembers();
  }

  startHost(host: HostId): PoolHost {
    const blackboard = new Blackboard();
    const link = this.network.join(host);
    const common = {
      blackboard,
      link,
      timer: this.timer,
      members: MEMBERS,
      metrics: new MemoryMetrics(),
    };
    const client: PoolClient = new PoolClient({
      ...common,
      localCoordinator: () => coordinator,
    });
    const coordinator: PoolCoordinator = new PoolCoordinator({
      ...common,
      reachableShare: SHARE,
      policyOf: () => POLICY,
      createScheduler: (_service, policy) =>
        new LeastOutstandingScheduler(policy, { random: new SeededRandom(2) }),
      onLocalDecision: (service, decision) =>
        client.applyLocalDecision(service, decision),
    });
    client.start();
    coordinator.start();
    const started = { blackboard, link, client, coordinator };
    this.hosts.set(host, started);
    return started;
  }

  agreeOnMembers(): void {
    const members = [...this.hosts.keys()].map((host): PoolMember => ({
      host,
      incarnation: "1",
      state: "alive",
      isLeaving: false,
    }));
    for (const { blackboard } of this.hosts.values()) {
      blackboard.write(MEMBERS, members);
    }
  }

  coordinator(): HostId {
    const [first] = this.hosts.values();
    return coordinatorOf(SERVICE, first!.blackboard.read(MEMBERS))!.host;
  }

  other(host: HostId): HostId {
    return [...this.hosts.keys()].find((candidate) => candidate !== host)!;
  }

  kill(host: HostId): void {
    const { client, coordinator, link } = this.hosts.get(host)!;
    client.stop();
    coordinator.stop();
    link.close();
    this.hosts.delete(host);
  }

  submit(host: HostId, request: string): Decision[] {
    const decisions: Decision[] = [];
    const placementRequest = createPlacementRequest(host, {
      request,
      now: this.timer.now(),
    });
    this.hosts.get(host)!.client.submit(SERVICE, placementRequest, {
      decide: (decision) => void decisions.push(decision),
    });
    return decisions;
  }

  finish(host: HostId, request: string): void {
    this.hosts.get(host)!.client.finish(SERVICE, {
      request: asId(request),
      upstream: asId("drafter-01"),
      outcome: "whole",
      outputTokens: 1,
    });
  }
}

function createPlacementRequest(
  origin: HostId,
  { request, now }: { request: string; now: number },
): PlacementRequest {
  return {
    request: asId<RequestId>(request),
    origin,
    originDomain: asId("hakata"),
    account: asId("firm"),
    tier: asTier(1),
    promptTokens: 10,
    maximumOutputTokens: 10,
    bodyBytes: 40,
    deadline: now + 60_000,
    prefixDigests: [],
    fingerprint: asId(request),
  };
}

test("requests of all hosts share the pool's slots", (t) => {
  const fleet = new Fleet("a", "b");
  const coordinator = fleet.coordinator();
  const other = fleet.other(coordinator);
  const remote = fleet.submit(other, "r1");
  fleet.timer.advance(1_500);
  t.is(remote[0]?.kind, "grant");
  fleet.submit(coordinator, "r2");
  const third = fleet.submit(coordinator, "r3");
  fleet.timer.advance(100);
  t.deepEqual(third, [], "both slots are taken");
  fleet.finish(other, "r1");
  fleet.timer.advance(100);
  t.is(third[0]?.kind, "grant");
});

// The new coordinator must not grant the slots of running requests again.
test("a new coordinator counts running requests before it grants waiting ones", (t) => {
  const fleet = new Fleet("a", "b", "c");
  const coordinator = fleet.coordinator();
  const other = fleet.other(coordinator);
  fleet.submit(other, "r1");
  fleet.submit(other, "r2");
  const waiting = fleet.submit(other, "r3");
  fleet.timer.advance(2_000);
  fleet.kill(coordinator);
  fleet.agreeOnMembers();
  fleet.timer.advance(3_000);
  t.deepEqual(waiting, []);
  fleet.finish(other, "r1");
  fleet.timer.advance(1_000);
  t.is(waiting[0]?.kind, "grant");
});

// Otherwise the request would wait until its deadline.
test("a lost placement request is recovered within two syncs", (t) => {
  const fleet = new Fleet("a", "b");
  const other = fleet.other(fleet.coordinator());
  fleet.network.setFaults({ dropShare: 1 });
  const decisions = fleet.submit(other, "r1");
  fleet.timer.advance(10);
  fleet.network.setFaults({ dropShare: 0 });
  fleet.timer.advance(2_500);
  t.is(decisions[0]?.kind, "grant");
});

// Otherwise the slot would stay occupied.
test("the slot of a request whose end was lost is freed within two syncs", (t) => {
  const fleet = new Fleet("a", "b");
  const other = fleet.other(fleet.coordinator());
  fleet.submit(other, "r1");
  fleet.submit(other, "r2");
  fleet.timer.advance(1_500);
  fleet.network.setFaults({ dropShare: 1 });
  fleet.finish(other, "r1");
  fleet.timer.advance(10);
  fleet.network.setFaults({ dropShare: 0 });
  const third = fleet.submit(other, "r3");
  fleet.timer.advance(2_500);
  t.is(third[0]?.kind, "grant");
});
