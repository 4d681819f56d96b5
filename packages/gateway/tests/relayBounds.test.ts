import { Buffer } from "node:buffer";
import test from "ava";
import { WebSocket, WebSocketServer } from "ws";
import { RelayedSocket } from "../src/relayedSocket.ts";
import { relayPathOf } from "../src/relayMessage.ts";
import { startCutPair } from "./helpers/cutPair.ts";
import {
  responseHead,
  sendRequest,
  startUpstream,
  waitUntil,
} from "./helpers/fleet.ts";

const MIB = 1_024 * 1_024;
const BODY_LIMIT_BYTES = 100_000;

test.serial("large requests and responses pass a relay unchanged", async (t) => {
  // Guards against limits of relays that sound requests exceed.
  const response = "0123456789".repeat(300_000);
  const upstream = await startUpstream((received) => {
    const headers = { "content-length": response.length };
    received.socket.write(responseHead(received, headers) + response);
  });
  const { cutOff } = await startCutPair(t, [upstream]);
  const body = "abcdefghij".repeat(BODY_LIMIT_BYTES / 10);
  const { status, body: received } = await sendRequest(cutOff.url, { body });
  t.is(status, 200);
  t.true(received === response);
  t.true(upstream.received[0]?.body === body);
});

test.serial("a message above the size of any request ends its relay", async (t) => {
  // Guards against hosts that keep what a peer sends without end.
  const upstream = await startUpstream(() => {});
  const { inTouch } = await startCutPair(t, [upstream]);
  for (const [bytes, isAccepted] of [[4.5 * MIB, true], [6 * MIB, false]]) {
    const webSocket = new WebSocket(
      `ws://${inTouch.peerAddress}${relayPathOf("u0")}`,
    );
    let isClosed = false;
    webSocket.on("error", () => {});
    webSocket.on("close", () => (isClosed = true));
    await new Promise((resolve) => webSocket.once("open", resolve));
    await new Promise((resolve) =>
      webSocket.send(Buffer.alloc(Number(bytes)), resolve)
    );
    if (!isAccepted) await waitUntil(() => isClosed);
    t.is(isClosed, !isAccepted);
    webSocket.terminate();
  }
});

test.serial("a relay without memory is cut, and small messages pass", async (t) => {
  // Guards against relays that hold more than the host has.
  const upstream = await startUpstream(() => {});
  const { inTouch } = await startCutPair(t, [upstream], {
    memoryLimit: 16 * MIB,
  });
  const { memory, metrics } = inTouch.gateway.context;
  memory.responses.reserve(memory.responses.limit);
  const webSocket = new WebSocket(
    `ws://${inTouch.peerAddress}${relayPathOf("u0")}`,
  );
  webSocket.on("error", () => {});
  await new Promise((resolve) => webSocket.once("open", resolve));
  webSocket.send(Buffer.from("GET / HTTP/1.1\r\n\r\n"));
  await waitUntil(() => upstream.received.length === 1);
  webSocket.send(Buffer.alloc(MIB));
  await new Promise((resolve) => webSocket.once("close", resolve));
  t.regex(await metrics.text(), /"relays_cut_memory"} 1\b/);
  t.is(memory.responses.used, memory.responses.limit);
});

test.serial("a relayed socket sends large writes in parts and joins small messages", async (t) => {
  // Guards against copies of whole bodies, and an object for each byte.
  const server = new WebSocketServer({ host: "127.0.0.1", port: 0 });
  const sizes: number[] = [];
  server.on("connection", (peer) => {
    peer.on("message", (data: Buffer) => sizes.push(data.length));
    for (let count = 0; count < 1_000; count++) peer.send(Buffer.from("x"));
    peer.send(Buffer.alloc(MIB, "y"));
    peer.send(Buffer.from("z"));
  });
  await new Promise((resolve) => server.once("listening", resolve));
  const { port } = server.address() as { port: number };
  const webSocket = new WebSocket(`ws://127.0.0.1:${port}`);
  const socket = new RelayedSocket(webSocket, { onControl: () => {} });
  t.teardown(() => {
    socket.destroy();
    server.close();
  });
  const chunks: Buffer[] = [];
  socket.on("data", (chunk) => chunks.push(chunk));
  await new Promise((resolve) => webSocket.once("open", resolve));
  socket.write(Buffer.alloc(MIB));
  const sumOf = (values: number[]): number =>
    values.reduce((sum, value) => sum + value, 0);
  await waitUntil(() => sumOf(sizes) === MIB);
  t.is(Math.max(...sizes), 64 * 1_024);
  await waitUntil(() =>
    sumOf(chunks.map(({ length }) => length)) === MIB + 1_001
  );
  const expected = "x".repeat(1_000) + "y".repeat(MIB) + "z";
  t.true(Buffer.concat(chunks).toString() === expected);
  t.true(chunks.length < 500);
});
