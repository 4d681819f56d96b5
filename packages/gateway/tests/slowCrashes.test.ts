import test from "ava";
import {
  buildEntry,
  type GatewayStartOptions,
  type RunningGateway,
  startHostsApart,
} from "./helpers/fleet.ts";
import {
  BROKEN,
  countCrashed,
  countPoisonRuns,
  sendCopies,
  startFleet,
  startFragiles,
} from "./helpers/fragileUpstreams.ts";

const UPSTREAMS = 12;
/** Crashes after which a request is refused, and copies that may run besides. */
const MAXIMUM_CRASHES = 3 + 3;

const AT_MOST_ONCE: Partial<GatewayStartOptions> = {
  route: { repeatability: "at-most-once" },
};

for (const lingersFor of [50, 600]) {
  test
    .serial(
      `a request is refused whose upstreams end ${lingersFor} ms after their responses break off`,
      async (t) => {
        // Guards against a check that looks while the process still accepts.
        const upstreams = await startFragiles(UPSTREAMS, { lingersFor });
        const fleet = await startFleet(t, upstreams, {
          ...AT_MOST_ONCE,
          hosts: 4,
        });
        await sendCopies(fleet);
        const crashed = countCrashed(upstreams);
        t.true(crashed <= MAXIMUM_CRASHES, `${crashed} upstreams crashed`);
      },
    );
}

test
  .serial(
    "a request is refused whose callers leave before its upstreams end",
    async (t) => {
      // Guards against crashes that show in no broken response.
      const upstreams = await startFragiles(UPSTREAMS, { runTime: 400 });
      const fleet = await startFleet(t, upstreams, {
        ...AT_MOST_ONCE,
        hosts: 4,
      });
      await sendCopies(fleet, { leavesAfter: 380 });
      const crashed = countCrashed(upstreams);
      t.true(crashed <= MAXIMUM_CRASHES, `${crashed} upstreams crashed`);
    },
  );

test
  .serial(
    "a request is refused whose upstreams are replaced at once",
    async (t) => {
      // Guards against the next process at an address that passes for the crashed one.
      const fleet: RunningGateway[] = [];
      let incarnation = 0;
      const onReplaced = (address: string): void => {
        const entry = buildEntry(`next-${incarnation++}`, { address });
        for (const { gateway } of fleet) gateway.upstreamUpdates.apply(entry);
      };
      const upstreams = await startFragiles(UPSTREAMS, { onReplaced });
      fleet.push(
        ...await startFleet(t, upstreams, { ...AT_MOST_ONCE, hosts: 4 }),
      );
      await sendCopies(fleet);
      const runs = countPoisonRuns(upstreams);
      t.true(runs <= MAXIMUM_CRASHES, `${runs} upstreams crashed`);
    },
  );

test.serial("hosts that hear no peers each let a request end one upstream", async (t) => {
  // Guards against hosts that wait for crashes which peers cannot tell them.
  const upstreams = await startFragiles(UPSTREAMS);
  const fleet = await startHostsApart(t, upstreams, AT_MOST_ONCE);
  await sendCopies(fleet);
  const crashed = countCrashed(upstreams);
  t.true(crashed <= MAXIMUM_CRASHES, `${crashed} upstreams crashed`);
});

test.serial("an upstream has not ended because its predecessor is listed again", async (t) => {
  // Guards against breaks that count as crashes although the upstream is up.
  const [upstream] = await startFragiles(1);
  const [host] = await startFleet(t, [upstream!], {
    ...AT_MOST_ONCE,
    hosts: 1,
  });
  const { context, upstreamUpdates } = host!.gateway;
  const { address } = upstream!;
  const entries = [
    buildEntry("next", { address }),
    buildEntry("u0", { address, slots: 5 }),
  ];
  for (const entry of entries) upstreamUpdates.apply(entry);
  upstreamUpdates.applyAll(entries);
  await sendCopies([host!], { body: BROKEN, count: 3 });
  const crashed = context.crashes.crashes(context.timer.now())
    .map(({ upstream }) => upstream as string);
  t.false(crashed.includes("next"));
});
