import { Buffer } from "node:buffer";
import {
  asId,
  SystemTimer,
  type UpstreamId,
  VirtualTimer,
} from "@wasabivane/common";
import test from "ava";
import { Attempt, type AttemptEnd } from "../src/attempt.ts";
import {
  UpstreamConnections,
  type UpstreamListener,
} from "../src/upstreamConnections.ts";
import { PlainDialect } from "./helpers/plainDialect.ts";
import {
  responseHead,
  sendRequest,
  startGateway,
  startUpstream,
} from "./helpers/fleet.ts";
import { holdAllCalls } from "./helpers/heldCalls.ts";

const DEADLINE_MS = 400;
const CALL = {
  method: "POST",
  path: "/",
  headers: [["host", "plans.example"]],
  body: Buffer.from("{}"),
} as const;

/** Accepts calls and leaves it to the test when they are sent. */
class HeldConnections extends UpstreamConnections {
  listener: UpstreamListener | undefined;

  override send(_call: unknown, listener: UpstreamListener): {
    abort(): void;
    pause(): void;
    resume(): void;
  } {
    this.listener = listener;
    return { abort: () => {}, pause: () => {}, resume: () => {} };
  }
}

test("a request whose deadline passes while connecting is not sent", (t) => {
  // Guards against upstreams that work for callers who have left.
  for (const connectingTakes of [DEADLINE_MS - 1, DEADLINE_MS + 1]) {
    const timer = new VirtualTimer();
    const connections = new HeldConnections({
      maximumConnections: () => 1,
      timer,
    });
    const ends: AttemptEnd[] = [];
    const attempt = new Attempt({
      upstream: {
        upstream: asId<UpstreamId>("u"),
        name: "u",
        bornAt: 0,
        service: asId("plans"),
        address: asId("127.0.0.1:9"),
        failureDomain: asId("west"),
        slots: 1,
        isLeaving: false,
        coldFor: 0,
        softwareVersion: asId("1"),
      },
      call: { ...CALL, address: asId("127.0.0.1:9") },
      connections,
      dialect: new PlainDialect(),
      timer,
      deadline: DEADLINE_MS,
      isUsable: () => true,
      hasEnded: () => Promise.resolve(false),
      requestId: "a",
      isStreaming: false,
      pauseTarget: 0,
      promptTokens: 0,
      silenceTimeouts: undefined,
      onReport: () => {},
      listener: {
        onStreamStart: () => {},
        onEvents: () => {},
        onEnd: (end) => ends.push(end),
      },
    });
    attempt.start();
    timer.advance(connectingTakes);
    const isInTime = connectingTakes < DEADLINE_MS;
    t.is(connections.listener!.shouldSend(), isInTime);
    t.deepEqual(
      ends.map(({ outcome, wasSent }) => [outcome, wasSent]),
      isInTime ? [] : [["cancelled", false]],
    );
  }
});

test("a request that is rejected just before sending does not reach the upstream", async (t) => {
  // Guards against an HTTP library that writes the headers before it aborts.
  const upstream = await startUpstream((received) => {
    received.socket.write(
      responseHead(received, { "content-length": 2 }) + "ok",
    );
  });
  const connections = new UpstreamConnections({
    maximumConnections: () => 4,
    timer: new SystemTimer(),
  });
  const listener = {
    shouldSend: () => false,
    sent: () => t.fail(),
    head: () => t.fail(),
    data: () => {},
    ended: () => t.fail(),
    failed: () => {},
  };
  connections.send({ ...CALL, address: upstream.address }, listener);
  await new Promise((resolve) => setTimeout(resolve, 200));
  t.is(upstream.received.length, 0);
  await connections.close();
  upstream.close();
});

test("a request of which nothing was sent at silent upstreams is refused as not run", async (t) => {
  // Guards against callers that give up a request which they may repeat.
  const upstreams = await Promise.all(
    [1, 2].map(() => startUpstream(() => {})),
  );
  const host = await startGateway({
    upstreams,
    route: { target: 150, timeout: 1_500 },
  });
  t.teardown(() => host.close());
  holdAllCalls(host);
  t.is((await sendRequest(host.url)).status, 503);
});
