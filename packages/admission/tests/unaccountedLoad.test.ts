import { asId, type HostId, type UpstreamId } from "@wasabivane/common";
import { FleetLoad } from "@wasabivane/admission";
import test from "ava";

const ENGINE = asId<UpstreamId>("u0");
const HOST = asId<HostId>("h0");
const REPORT_EVERY_MS = 20;

/** A load of which hosts tell so much, and that its engine reports for half a second. */
function reportedLoad(
  { told, reported }: { told: number; reported: (index: number) => number },
): FleetLoad {
  const load = new FleetLoad();
  const inFlight = new Map([[ENGINE, {
    requests: told,
    pendingPrefillTokens: 0,
  }]]);
  for (let index = 0; index < 25; index++) {
    const now = index * REPORT_EVERY_MS;
    load.setPeerLoad(HOST, { inFlight }, now);
    load.recordReport(ENGINE, reported(index), now);
  }
  return load;
}

test("work of hosts that are cut off counts once the engine reports it", (t) => {
  // Three hosts of eight reach the engines but no other host, and send all that comes.
  // To the others the engines look half empty; filled up to the brim, they hold twice
  // what they run at once, and every first event comes a second late.
  const load = reportedLoad({ told: 4, reported: () => 10 });
  t.true(load.total(ENGINE) >= 9);
});

test("reports that lag a little take no place away", (t) => {
  // An engine's report is some moments old: now one request more than is known of,
  // now one less. Its places must stay in use.
  const load = reportedLoad({ told: 6, reported: (index) => 5 + index % 3 });
  t.is(load.total(ENGINE), 6);
});

test("what was reported fades when the engine says nothing more", (t) => {
  const load = reportedLoad({ told: 2, reported: () => 9 });
  load.expirePeers(500);
  t.true(load.total(ENGINE) > 5);
  load.setPeerLoad(HOST, { inFlight: new Map() }, 20_000);
  t.is(load.total(ENGINE), 0);
});
