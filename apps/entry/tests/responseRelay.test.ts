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
  readonly ownedResponse: BufferedResponse;
  join(): BufferedResponse;
}

function startPair(duplicateShare = 0): RelayPair {
  const timer = new VirtualTimer();
  const network = new MemoryNetwork({
    timer,
    random: new SeededRandom(1),
    duplicateShare,
  });
  const ownedResponse = new BufferedResponse({ isReplayable: true });
  const relays = [OWNER, READER].map((host) =>
    new ResponseRelay({
      link: network.join(host),
      timer,
      metrics: new MemoryMetrics(),
      findResponse: () => host === OWNER ? ownedResponse : undefined,
    })
  );
  for (const relay of relays) relay.start();
  const join = (): BufferedResponse => {
    const response = new BufferedResponse({ isReplayable: true });
    void relays[1]!.copyResponse({ owner: OWNER, request: REQUEST, response });
    return response;
  };
  return { timer, network, ownedResponse, join };
}

/** Advances virtual time in steps, between which promises settle. */
async function advance(timer: VirtualTimer, span: number): Promise<void> {
  for (let elapsed = 0; elapsed < span; elapsed += 10) {
    timer.advance(10);
    await new Promise((resolve) => setImmediate(resolve));
  }
}

// Guards against relays of one request that consume each other's chunks, which
// multiplies their reads.
test("resends of one request through one host do not multiply reads", async (t) => {
  const { timer, network, ownedResponse, join } = startPair(0.1);
  const copies = [join(), join(), join()];
  await advance(timer, 10_000);
  t.true(network.sentMessages < 200, `${network.sentMessages} messages`);
  ownedResponse.writeHead({ status: 200, headers: {} });
  ownedResponse.append(Buffer.from("whole"));
  ownedResponse.finish({ kind: "whole" });
  await advance(timer, 1_000);
  t.deepEqual(copies.map(({ end }) => end?.kind), ["whole", "whole", "whole"]);
});
