import process from "node:process";
import {
  asId,
  Blackboard,
  type Incarnation,
  MemoryMetrics,
  type Milliseconds,
  SeededRandom,
  VirtualTimer,
} from "@wasabivane/common";
import {
  HOST_LIST,
  MemoryNetwork,
  VIEW_STATUS,
  ViewController,
} from "@wasabivane/coordination";
import { hostListOf } from "./slopeFleet.ts";
import { processorMsSince } from "./resourceMeasurement.ts";

const WARM_UP_MS: Milliseconds = 6_000;
const MEASURED_MS: Milliseconds = 3_000;
const SECOND = 1_000;

/** Cost of view leases per lease holder and second. */
export interface ViewCost {
  readonly messages: number;
  readonly bytes: number;
  readonly processorMs: number;
}

/** Measures the view leases of a fleet of `size` hosts in virtual time. */
export function measureViews(size: number): ViewCost {
  const timer = new VirtualTimer();
  const network = new MemoryNetwork({ timer, random: new SeededRandom(size) });
  const list = hostListOf(size);
  const blackboards = list.entryHosts.map(({ host }) => {
    const blackboard = new Blackboard();
    blackboard.write(HOST_LIST, list);
    new ViewController({
      host,
      incarnation: asId<Incarnation>(`incarnation-of-${host}`),
      blackboard,
      link: network.join(host),
      timer,
      metrics: new MemoryMetrics(),
    }).start();
    return blackboard;
  });
  timer.advance(WARM_UP_MS);
  const before = { messages: network.sentMessages, bytes: network.sentBytes };
  const start = process.cpuUsage();
  timer.advance(MEASURED_MS);
  const holders =
    blackboards.filter((blackboard) => blackboard.read(VIEW_STATUS).isActive)
      .length;
  if (holders === 0) throw new Error("No host holds a lease");
  const hostSeconds = holders * MEASURED_MS / SECOND;
  return {
    messages: (network.sentMessages - before.messages) / hostSeconds,
    bytes: (network.sentBytes - before.bytes) / hostSeconds,
    processorMs: processorMsSince(start) / hostSeconds,
  };
}
