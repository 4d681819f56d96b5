import { Buffer } from "node:buffer";
import { setTimeout as sleep } from "node:timers/promises";
import { asId } from "@wasabivane/common";
import test from "ava";
import {
  buildPolicy,
  buildRoute,
  type GatewayStartOptions,
  sendRequest,
} from "./helpers/fleet.ts";
import {
  BROKEN,
  countCrashed,
  joinFleet,
  PAUSE_MS,
  POISON,
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

test.serial("a request that crashes each upstream that runs it ends few of them on idle hosts", async (t) => {
  // Guards against a poison request that takes down one upstream after another,
  // as no host sends anything to an upstream that has just crashed.
  const upstreams = await startFragiles(UPSTREAMS);
  const fleet = await startFleet(t, upstreams, { ...AT_MOST_ONCE, hosts: 4 });
  await sendCopies(fleet);
  const crashed = countCrashed(upstreams);
  t.true(crashed <= MAXIMUM_CRASHES, `${crashed} upstreams crashed`);
});

test.serial("an idempotent request that crashes upstreams is not retried beyond the limit", async (t) => {
  // Guards against retries that are sent before the last crash is known.
  const upstreams = await startFragiles(UPSTREAMS);
  const fleet = await startFleet(t, upstreams, { hosts: 2 });
  const statuses = await sendCopies(fleet, { count: 4 });
  t.true(countCrashed(upstreams) <= MAXIMUM_CRASHES);
  // It may have run at the first copies, but certainly has not at the last.
  t.deepEqual([statuses[0], statuses[3]], [502, 503]);
});

test.serial("a request whose responses only break off is not refused", async (t) => {
  // Guards against a quarantine by broken responses alone.
  const upstreams = await startFragiles(3);
  const fleet = await startFleet(t, upstreams, { ...AT_MOST_ONCE, hosts: 2 });
  await sendCopies(fleet, { body: BROKEN, count: 8 });
  const received = upstreams.flatMap((upstream) => upstream.received);
  t.is(received.length, 8);
});

test.serial("requests that ran at crashed upstreams are served when they are sent again", async (t) => {
  // Guards against a quarantine of those that only were at the same upstreams.
  const upstreams = await startFragiles(UPSTREAMS, { runTime: 200 });
  const fleet = await startFleet(t, upstreams, { hosts: 2, slots: 8 });
  const bodies = Array.from({ length: 24 }, (_, index) => `sound-${index}`);
  const served = await Promise.all([
    sendCopies(fleet, { count: 4 }),
    ...bodies.map(async (body, index) => {
      const { url } = fleet[index % fleet.length]!;
      for (let id = 0; id < 3; id++) {
        const headers = { id: `${body}-${id}` };
        const { status, isComplete } = await sendRequest(url, {
          body,
          headers,
        });
        if (status === 200 && isComplete) return body;
      }
      return undefined;
    }),
  ]);
  t.deepEqual(served.slice(1), bodies);
});

test.serial("a host that starts after the crashes refuses the request that caused them", async (t) => {
  // Guards against a host that lets it run as it missed the announcements.
  const upstreams = await startFragiles(UPSTREAMS);
  const fleet = await startFleet(t, upstreams, { ...AT_MOST_ONCE, hosts: 3 });
  await sendCopies(fleet, { count: 6 });
  const crashed = countCrashed(upstreams);
  // Longer than crashes are announced.
  await sleep(3_500);
  const late = await joinFleet(fleet, upstreams, AT_MOST_ONCE);
  t.teardown(() => late.close());
  await sleep(PAUSE_MS);
  t.deepEqual(await sendCopies([late], { count: 2 }), [503, 503]);
  t.is(countCrashed(upstreams), crashed);
});

test.serial("a request in quarantine stays there when its route is renamed", async (t) => {
  // Guards against three more upstreams that end with each policy.
  const upstreams = await startFragiles(UPSTREAMS);
  const fleet = await startFleet(t, upstreams, { ...AT_MOST_ONCE, hosts: 1 });
  await sendCopies(fleet, { count: 3 });
  const { gateway, url } = fleet[0]!;
  const routes = [buildRoute({ ...AT_MOST_ONCE.route, route: asId("other") })];
  const policy = buildPolicy({ version: 2, routes });
  gateway.adoptPolicy(Buffer.from(JSON.stringify(policy)), {
    confirmedAt: gateway.context.elapsed.now(),
    revision: 2,
  });
  const response = await sendRequest(url, { body: POISON });
  t.is(response.status, 503);
  t.truthy(response.headers["retry-after"]);
  t.is(countCrashed(upstreams), 3);
});
