import { asId, type HostId, type UpstreamId } from "@wasabivane/common";
import { FleetLoad } from "@wasabivane/admission";
import test from "ava";

const UPSTREAM = asId<UpstreamId>("u0");
const HOST = asId<HostId>("h0");
const REPORT_INTERVAL_MS = 20;

/**
 * Creates a load of which hosts account for `accountedFor` requests and the
 * upstream reports others for half a second.
 */
function reportedLoad(
  { accountedFor, reported }: {
    accountedFor: number;
    reported: (index: number) => number;
  },
): FleetLoad {
  const load = new FleetLoad();
  const inFlight = new Map([[UPSTREAM, {
    requests: accountedFor,
    pendingPrefillTokens: 0,
  }]]);
  for (let index = 0; index < 25; index++) {
    const now = index * REPORT_INTERVAL_MS;
    load.setPeerLoad(HOST, { inFlight }, now);
    load.recordReport(UPSTREAM, reported(index), now);
  }
  return load;
}

test("requests of partitioned hosts count once the upstream reports them", (t) => {
  // Guards against overfilling upstreams that partitioned hosts use as well.
  const load = reportedLoad({ accountedFor: 4, reported: () => 10 });
  t.true(load.total(UPSTREAM) >= 9);
});

test("slightly outdated reports take no slot away", (t) => {
  // Guards against losing slots because reports are slightly outdated.
  const load = reportedLoad({
    accountedFor: 6,
    reported: (index) => 5 + index % 3,
  });
  t.is(load.total(UPSTREAM), 6);
});

test("reported load decays without further reports", (t) => {
  const load = reportedLoad({ accountedFor: 2, reported: () => 9 });
  load.expirePeers(500);
  t.true(load.total(UPSTREAM) > 5);
  load.setPeerLoad(HOST, { inFlight: new Map() }, 20_000);
  t.is(load.total(UPSTREAM), 0);
});
