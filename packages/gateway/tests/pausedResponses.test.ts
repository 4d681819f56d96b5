import { setTimeout as sleep } from "node:timers/promises";
import { SystemTimer } from "@wasabivane/common";
import test from "ava";
import {
  UpstreamConnections,
  type UpstreamListener,
} from "../src/upstreamConnections.ts";
import { responseHead, startUpstream, waitUntil } from "./helpers/fleet.ts";
import { callTo, createListener } from "./helpers/upstreamCalls.ts";

const LONG_BYTES = 16 * 1_024 * 1_024;
const SETTLING_MS = 100;
const ENDED_RESPONSES = 30;

test("a paused response stays paused while others end with their connections", async (t) => {
  // Guards against a host that outgrows its memory beside callers that do not read.
  const long = await startUpstream((received) => {
    const head = responseHead(received, { "content-length": LONG_BYTES });
    received.socket.write(head);
    received.socket.write("x".repeat(LONG_BYTES));
  });
  const unframed = await startUpstream((received) => {
    const head = responseHead(received, { connection: "close" });
    received.socket.end(`${head}ok`);
  });
  const connections = new UpstreamConnections({
    maximumConnections: () => 8,
    timer: new SystemTimer(),
  });
  t.teardown(async () => {
    await connections.close();
    long.close();
    unframed.close();
  });
  let chunks = 0;
  const paused = connections.send(
    callTo(long),
    createListener({
      data: () => {
        chunks++;
        paused.pause();
      },
    }),
  );
  await waitUntil(() => chunks > 0);
  await sleep(SETTLING_MS);
  const before = chunks;
  let ended = 0;
  for (let count = 0; count < ENDED_RESPONSES; count++) {
    connections.send(
      callTo(unframed),
      createListener({ ended: () => ended++ }),
    );
  }
  await waitUntil(() => ended === ENDED_RESPONSES);
  await sleep(SETTLING_MS);
  t.is(chunks, before);
});

test("a response that is resumed while another one is read goes on, and so does the other", async (t) => {
  // Guards against responses of pipelined requests that fail or stand still.
  const upstream = await startUpstream((received) => {
    const head = responseHead(received, { "content-length": 4 });
    received.socket.write(`${head}ab`);
  });
  const connections = new UpstreamConnections({
    maximumConnections: () => 8,
    timer: new SystemTimer(),
  });
  t.teardown(async () => {
    await connections.close();
    upstream.close();
  });
  const outcomes: string[] = [];
  const outcomeOf = (name: string): Partial<UpstreamListener> => ({
    ended: () => outcomes.push(`${name} ended`),
    failed: (detail) => outcomes.push(`${name} failed: ${detail}`),
  });
  let isPaused = false;
  const first = connections.send(
    callTo(upstream),
    createListener({
      ...outcomeOf("first"),
      data: () => {
        first.pause();
        isPaused = true;
      },
    }),
  );
  await waitUntil(() => isPaused);
  connections.send(
    callTo(upstream),
    createListener({ ...outcomeOf("second"), data: () => first.resume() }),
  );
  await waitUntil(() => upstream.received.length === 2);
  for (const { socket } of upstream.received) socket.write("cd");
  await waitUntil(() => {
    if (outcomes.length > 0) first.resume();
    return outcomes.length === 2;
  });
  t.deepEqual(outcomes.toSorted(), ["first ended", "second ended"]);
});
