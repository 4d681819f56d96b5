import { setTimeout as sleep } from "node:timers/promises";
import test from "ava";
import { type GatewayStartOptions, sendRequest } from "./helpers/fleet.ts";
import {
  countCrashed,
  POISON,
  startFleet,
  startFragiles,
} from "./helpers/fragileUpstreams.ts";

/** Pause between two copies of a request; callers wait before they repeat one. */
const PAUSE_MS = 400;
const UPSTREAMS = 12;
/** Crashes after which a request is refused, and copies that may run besides. */
const MAXIMUM_CRASHES = 3 + 3;

const AT_MOST_ONCE: Partial<GatewayStartOptions> = {
  route: { repeatability: "at-most-once" },
};

test
  .serial.failing(
    "a request that crashes each upstream that runs it ends few of them on idle hosts",
    async (t) => {
      // Guards against a poison request that takes down one upstream after another,
      // as no host sends anything to an upstream that has just crashed.
      const upstreams = await startFragiles(UPSTREAMS);
      const fleet = await startFleet(t, upstreams, {
        ...AT_MOST_ONCE,
        hosts: 4,
      });
      for (let copy = 0; copy < UPSTREAMS; copy++) {
        const { url } = fleet[copy % fleet.length]!;
        await sendRequest(url, {
          body: POISON,
          headers: { id: `copy-${copy}` },
        });
        await sleep(PAUSE_MS);
      }
      const crashed = countCrashed(upstreams);
      t.true(crashed <= MAXIMUM_CRASHES, `${crashed} upstreams crashed`);
    },
  );
