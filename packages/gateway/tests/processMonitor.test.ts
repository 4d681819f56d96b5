import { VirtualTimer } from "@wasabivane/common";
import {
  createHostMemory,
  DecisionLog,
  GatewayMetrics,
  monitorProcess,
  UncaughtErrors,
} from "@wasabivane/gateway";
import test from "ava";

const MIB = 1_024 * 1_024;

test("a process that is about to be killed for its memory says what it holds", async (t) => {
  // Guards against a lack of memory that looks like a kill from outside.
  const timer = new VirtualTimer();
  const lines: Record<string, unknown>[] = [];
  const log = new DecisionLog({
    output: { pendingBytes: 0, write: (line) => lines.push(JSON.parse(line)) },
    timer,
    host: "host",
  });
  const metrics = new GatewayMetrics();
  const memory = createHostMemory(200 * MIB);
  memory.bodies.reserve(3 * MIB);
  let resident = 70 * MIB;
  monitorProcess({
    process: { on: () => {} },
    memoryUse: () => ({
      heap: 20 * MIB,
      heapLimit: 110 * MIB,
      resident,
      external: 5 * MIB,
    }),
    memoryLimit: 200 * MIB,
    context: {
      timer,
      log,
      metrics,
      memory,
      errors: new UncaughtErrors({ timer, log, metrics }),
    },
  });
  await timer.runUntil(1_000);
  t.deepEqual(lines, []);
  resident = 171 * MIB;
  await timer.runUntil(2_000);
  t.is(lines.length, 1);
  t.like(lines[0], {
    event: "memory_high",
    resident,
    limit: 200 * MIB,
    bodies: 3 * MIB,
  });
});
