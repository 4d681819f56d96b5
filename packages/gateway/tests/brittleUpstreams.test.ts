import test from "ava";
import { sendRequest, startGateway } from "./helpers/fleet.ts";
import { startServing } from "./helpers/simpleUpstreams.ts";

test("what a brittle upstream tolerates is read from its responses", async (t) => {
  // Guards against a header that reaches no decision.
  const brittle = await startServing({ brittle: "3" });
  const host = await startGateway({ upstreams: [brittle] });
  t.teardown(() => host.close());
  t.is((await sendRequest(host.url)).status, 200);
  const line = host.lines.find(({ event }) => event === "rejections_limited");
  t.is(line?.rejectionsPerSecond, 3);
  const { upstreamStats, directory } = host.gateway.context;
  const [upstream] = directory.all();
  t.is(upstreamStats.tolerances.of(upstream!.service), 3);
});
