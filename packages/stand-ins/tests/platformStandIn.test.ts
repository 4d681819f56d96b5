import test, { type ExecutionContext } from "ava";
import { VirtualTimer } from "@wasabivane/common";
import {
  PlatformStandIn,
  type PlatformStandInOptions,
} from "@wasabivane/stand-ins";

async function startPlatform(
  t: ExecutionContext,
  options: PlatformStandInOptions = {},
): Promise<{ platform: PlatformStandIn; url: string; timer: VirtualTimer }> {
  const timer = new VirtualTimer();
  const platform = new PlatformStandIn({ timer, ...options });
  const { url } = await platform.start();
  t.teardown(() => platform.stop());
  return { platform, url, timer };
}

function put(url: string, value: unknown): Promise<Response> {
  return fetch(url, { method: "PUT", body: JSON.stringify(value) });
}

test("a long poll returns when a new value is published", async (t) => {
  const { url } = await startPlatform(t);
  await put(`${url}/control/bundle`, { version: 1 });
  const first = await fetch(`${url}/v1/values/bundle?after=0`);
  t.deepEqual(await first.json(), { revision: 1, value: { version: 1 } });
  const longPoll = fetch(`${url}/v1/values/bundle?after=1&waitMs=30000`);
  await put(`${url}/control/bundle`, { version: 2 });
  t.deepEqual(await (await longPoll).json(), {
    revision: 2,
    value: { version: 2 },
  });
  t.is((await fetch(`${url}/v1/values/bundle?after=2`)).status, 304);
});

test("all readers share one rate limit, which refills over time", async (t) => {
  const { platform, url, timer } = await startPlatform(t, {
    readsPerSecond: 3,
  });
  const statuses = [];
  for (let read = 0; read < 5; read++) {
    const name = read % 2 === 0 ? "hosts" : "values/bundle";
    statuses.push((await fetch(`${url}/v1/${name}`)).status);
  }
  t.deepEqual(statuses, [304, 304, 304, 429, 429]);
  timer.advance(334);
  t.is((await fetch(`${url}/v1/hosts`)).status, 304);
  const refused = await fetch(`${url}/v1/hosts`);
  t.is(refused.headers.get("retry-after"), "1");
  t.like(platform.reads, { nothingNewer: 4, overBudget: 3 });
});

test("only the host list is published with a lag", async (t) => {
  const { platform, url, timer } = await startPlatform(t, {
    hostListLagMs: 3_000,
  });
  platform.setHosts({ version: 1, entryHosts: [], upstreams: [] });
  timer.advance(2_999);
  t.is((await fetch(`${url}/v1/hosts`)).status, 304);
  timer.advance(1);
  t.is((await fetch(`${url}/v1/hosts`)).status, 200);
});

// Guards against readers that miss updates published during an outage.
test("a stale value is frozen and an unavailable one aborts long polls", async (t) => {
  const { platform, url } = await startPlatform(t);
  await put(`${url}/control/bundle`, { version: 1 });
  await put(`${url}/control/mode`, { bundle: "stale" });
  await put(`${url}/control/bundle`, { version: 2 });
  const stale = await fetch(`${url}/v1/values/bundle`);
  t.like(await stale.json(), { revision: 1 });
  const longPoll = fetch(`${url}/v1/values/bundle?after=1&waitMs=30000`);
  const broken = t.throwsAsync(longPoll);
  await fetch(`${url}/v1/hosts`);
  platform.setMode("bundle", "down");
  await broken;
  await t.throwsAsync(fetch(`${url}/v1/values/bundle`));
  platform.setMode("bundle", "up");
  const fresh = await fetch(`${url}/v1/values/bundle`);
  t.like(await fresh.json(), { revision: 2 });
  t.is((await put(`${url}/control/mode`, { bundle: "odd" })).status, 400);
});
