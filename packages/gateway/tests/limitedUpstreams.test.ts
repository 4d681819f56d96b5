import test from "ava";
import { sendRequest, startGateway } from "./helpers/fleet.ts";
import { startServing } from "./helpers/simpleUpstreams.ts";

/** So low that one start uses it up for the whole test. */
const NAMED_PER_SECOND = 0.01;
const REQUESTS = 8;

test("requests go to other upstreams while one names a limit", async (t) => {
  // Guards against a limit that is read from no response or reaches no decision.
  const limited = await startServing({ limit: String(NAMED_PER_SECOND) });
  const other = await startServing({});
  const host = await startGateway({ upstreams: [limited, other] });
  t.teardown(() => host.close());
  for (let count = 0; count < REQUESTS; count++) {
    t.is((await sendRequest(host.url)).status, 200);
  }
  const line = host.lines.find(({ event }) => event === "upstream_limited");
  t.is(line?.startsPerSecond, NAMED_PER_SECOND);
  // The first one names the limit, and one more may start under it.
  t.true(limited.received.length <= 2, `${limited.received.length}`);
  t.is(limited.received.length + other.received.length, REQUESTS);
});
