import { VirtualTimer } from "@wasabivane/common";
import { DecisionLog, type LogOutput } from "@wasabivane/gateway";
import test from "ava";

interface Lines extends LogOutput {
  pendingBytes: number;
  readonly events: string[];
}

function createLines(): Lines {
  const events: string[] = [];
  return {
    pendingBytes: 0,
    events,
    write: (line) => events.push(JSON.parse(line).event),
  };
}

test("a flood of routine lines leaves room for failures and says what is missing", (t) => {
  // Load rises a hundredfold. Lines about what goes well must neither slow the
  // process down nor crowd out the one that tells of a lost store.
  const output = createLines();
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

test("a reader that stops reading costs neither time nor memory", (t) => {
  const output = createLines();
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
