import { VirtualTimer } from "@wasabivane/common";
import { DecisionLog, type LogOutput } from "@wasabivane/gateway";
import test from "ava";

interface RecordedOutput extends LogOutput {
  pendingBytes: number;
  readonly events: string[];
}

function createOutput(): RecordedOutput {
  const events: string[] = [];
  return {
    pendingBytes: 0,
    events,
    write: (line) => events.push(JSON.parse(line).event),
  };
}

test("a flood of routine lines leaves room for failures, and dropped lines are reported", (t) => {
  // Guards against routine lines that displace a failure under high load.
  const output = createOutput();
  const timer = new VirtualTimer();
  const log = new DecisionLog({ output, timer, host: "h" });
  for (let index = 0; index < 5_000; index++) log.write("request_sent");
  log.write("store_lost");
  t.true(output.events.length < 100);
  t.is(output.events.at(-1), "store_lost");
  timer.advance(1_000);
  log.write("request_sent");
  t.deepEqual(output.events.slice(-2), ["lines_left_out", "request_sent"]);
});

test("lines are dropped while the reader of the log is stalled", (t) => {
  const output = createOutput();
  const log = new DecisionLog({
    output,
    timer: new VirtualTimer(),
    host: "h",
  });
  log.write("store_lost");
  output.pendingBytes = 1_024 * 1_024;
  for (let index = 0; index < 100; index++) log.write("request_refused");
  t.deepEqual(output.events, ["store_lost"]);
});
