import { Buffer } from "node:buffer";
import test from "ava";
import {
  asId,
  type HostId,
  MemoryMetrics,
  type RequestId,
  SeededRandom,
  VirtualTimer,
} from "@wasabivane/common";
import { MemoryNetwork } from "@wasabivane/coordination";
import { BufferedResponse, ResponseRelay } from "@wasabivane/entry";

const REQUEST = asId<RequestId>("r1");
const OWNER = asId<HostId>("owner");
const READER = asId<HostId>("reader");

interface RelayPair {
  readonly timer: VirtualTimer;
  readonly network: MemoryNetwork;
  readonly answer: BufferedResponse;
  join(): BufferedResponse;
}

function startPair(duplicateShare = 0): RelayPair {
  const timer = new VirtualTimer();
  const network = new MemoryNetwork({
    timer,
    random: new SeededRandom(1),
    duplicateShare,
  });
  const answer = new BufferedResponse({ isReplayable: true });
  const relays = [OWNER, READER].map((host) =>
    new ResponseRelay({
      link: network.join(host),
      timer,
      metrics: new MemoryMetrics(),
      findResponse: () => host === OWNER ? answer : undefined,
    })
  );
  for (const relay of relays) relay.start();
  const join = (): BufferedResponse => {
    const record = new BufferedResponse({ isReplayable: true });
    void relays[1]!.copyResponse({ owner: OWNER, request: REQUEST, record });
    return record;
  };
  return { timer, network, answer, join };
}

/** Lets promises settle between the steps of virtual time. */
async function pass(timer: VirtualTimer, span: number): Promise<void> {
  for (let at = 0; at < span; at += 10) {
    timer.advance(10);
    await new Promise((resolve) => setImmediate(resolve));
  }
}

// A caller sends the same request three times through one host while it waits
// at another. Each of the three takes only the pieces that answer its own reads;
// before, the reads doubled with every piece and the host ran out of memory
// (faults, seed 11, schedule 2771).
test("several resends through one host do not multiply their reads", async (t) => {
  const { timer, network, answer, join } = startPair(0.1);
  const records = [join(), join(), join()];
  await pass(timer, 10_000);
  t.true(network.sentMessages < 200, `${network.sentMessages} messages`);
  answer.writeHead({ status: 200, headers: {} });
  answer.append(Buffer.from("whole"));
  answer.finish({ kind: "whole" });
  await pass(timer, 1_000);
  t.deepEqual(records.map(({ end }) => end?.kind), ["whole", "whole", "whole"]);
});
