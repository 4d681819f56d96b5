import { GatewayMetrics } from "@wasabivane/gateway";
import test from "ava";

test("counts add up over several texts, and values are the last ones", async (t) => {
  // Guards against counts that are lost or added twice between two scrapes.
  const metrics = new GatewayMetrics();
  metrics.count("sent");
  metrics.count("sent", 4);
  metrics.set("peers", 7);
  metrics.set("peers", 3);
  t.regex(await metrics.text(), /events_total\{name="sent"\} 5\n/);
  metrics.count("sent");
  const text = await metrics.text();
  t.regex(text, /events_total\{name="sent"\} 6\n/);
  t.regex(text, /state\{name="peers"\} 3\n/);
});
