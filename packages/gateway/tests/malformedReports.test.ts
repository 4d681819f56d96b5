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
    // One after the other, all might go to the faster upstream.
    const responses = await Promise.all(
      ["q1", "q2", "q3", "q4", "q5", "q6"].map((id) =>
        sendRequest(host.url, { headers: { id } })
      ),
    );
    for (const { status } of responses) t.is(status, 200);
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
