import { setTimeout as sleep } from "node:timers/promises";
import { SystemTimer } from "@wasabivane/common";
import test from "ava";
import { UpstreamConnections } from "../src/upstreamConnections.ts";
import {
  type ReceivedRequest,
  startUpstream,
  waitUntil,
} from "./helpers/fleet.ts";
import { collectUncaughtErrors } from "./helpers/uncaughtErrors.ts";
import { callTo, createListener } from "./helpers/upstreamCalls.ts";

/** Long enough for the end of a connection to arrive. */
const SETTLING_MS = 100;
const CLOSING = "HTTP/1.1 200 OK\r\nconnection: close\r\n";
const CHUNKED = `${CLOSING}transfer-encoding: chunked\r\n`;

/** Responses by how they end, with what is received in the end. */
const RESPONSES = [
  ["without a length", `${CLOSING}\r\nabc`, "ended"],
  ["of HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\nabc", "ended"],
  ["with its length", `${CLOSING}content-length: 3\r\n\r\nabc`, "ended"],
  [
    "with its length on a kept connection",
    "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc",
    "ended",
  ],
  ["without its end", `${CLOSING}content-length: 4\r\n\r\nabc`, "failed"],
  [
    "of HTTP/1.0 without its end",
    "HTTP/1.0 200 OK\r\ncontent-length: 4\r\n\r\nabc",
    "failed",
  ],
  ["without the end of a chunk", `${CHUNKED}\r\n4\r\nabc`, "failed"],
  ["without a last chunk", `${CHUNKED}\r\n3\r\nabc\r\n`, "failed"],
  ["with all chunks", `${CHUNKED}\r\n3\r\nabc\r\n0\r\n\r\n`, "ended"],
] as const;

for (const [name, text, expected] of RESPONSES) {
  for (const pausedAt of ["head", "data"] as const) {
    test.serial(`a response ${name}, paused at its ${pausedAt}, survives the end of its connection`, async (t) => {
      // Guards against an assertion of the HTTP library that ends the process.
      const uncaught = collectUncaughtErrors(t);
      let received: ReceivedRequest | undefined;
      const upstream = await startUpstream((request) => {
        received = request;
        request.socket.write(text);
      });
      const connections = new UpstreamConnections({
        maximumConnections: () => 8,
        timer: new SystemTimer(),
      });
      t.teardown(async () => {
        await connections.close();
        upstream.close();
      });
      let isPaused = false;
      let outcome: string | undefined;
      let body = "";
      const pause = (): void => {
        call.pause();
        isPaused = true;
      };
      const call = connections.send(
        callTo(upstream),
        createListener({
          head: () => {
            if (pausedAt === "head") pause();
          },
          data: (chunk) => {
            body += chunk.toString();
            pause();
          },
          ended: () => (outcome = "ended"),
          failed: () => (outcome = "failed"),
        }),
      );
      await waitUntil(() => isPaused);
      received!.socket.end();
      await sleep(SETTLING_MS);
      await waitUntil(() => {
        call.resume();
        return outcome !== undefined || uncaught.length > 0;
      });
      t.deepEqual(uncaught, []);
      t.deepEqual([outcome, body], [expected, "abc"]);
    });
  }
}
