import test from "ava";
import { sendRequest, startGateway } from "./helpers/fleet.ts";
import { startServing } from "./helpers/simpleUpstreams.ts";

test("malformed load reports are counted, and the first of each upstream is logged", async (t) => {
  // Guards against an upstream whose reports are ignored unnoticed, and against
  // one that fills the log.
  const upstreams = [
    await startServing({ malformed: "1" }),
    await startServing({ malformed: "1" }),
  ];
  const host = await startGateway({ upstreams });
  t.teardown(() => host.close());
  while (upstreams.some(({ received }) => received.length < 2)) {
    t.is((await sendRequest(host.url)).status, 200);
  }
  const lines = host.lines.filter(({ event }) =>
    event === "load_report_malformed"
  );
  t.is(lines.length, 2);
  t.not(lines[0]?.upstream, lines[1]?.upstream);
  const sent = upstreams[0]!.received.length + upstreams[1]!.received.length;
  const metrics = await host.gateway.context.metrics.text();
  t.true(metrics.includes(`name="load_reports_malformed"} ${sent}`));
});
