import process from "node:process";
import { SystemTimer } from "@wasabivane/common";
import test, { type ExecutionContext } from "ava";
import { UpstreamConnections } from "../src/upstreamConnections.ts";
import { type ReceivedRequest, startUpstream, waitUntil } from "./helpers/fleet.ts";

/** Responses whose body is received while they are paused. */
const RESPONSES: Readonly<Record<string, { head: string; body: string }>> = {
  "without a length": { head: "HTTP/1.1 200 OK\r\nconnection: close", body: "abc" },
  "of HTTP/1.0": { head: "HTTP/1.0 200 OK", body: "abc" },
  "that lacks a part of its length": {
    head: "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 4",
    body: "abc",
  },
  "of HTTP/1.0 that lacks a part of its length": {
    head: "HTTP/1.0 200 OK\r\ncontent-length: 4",
    body: "abc",
  },
  "that has its length": {
    head: "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 3",
    body: "abc",
  },
  "that is kept alive and has its length": {
    head: "HTTP/1.1 200 OK\r\ncontent-length: 3",
    body: "abc",
  },
  "that lacks the end of a chunk": {
    head: "HTTP/1.1 200 OK\r\nconnection: close\r\ntransfer-encoding: chunked",
    body: "4\r\nabc",
  },
  "that lacks the last chunk": {
    head: "HTTP/1.1 200 OK\r\nconnection: close\r\ntransfer-encoding: chunked",
    body: "3\r\nabc\r\n",
  },
  "that has all chunks": {
    head: "HTTP/1.1 200 OK\r\nconnection: close\r\ntransfer-encoding: chunked",
    body: "3\r\nabc\r\n0\r\n\r\n",
  },
};

/** Collects errors that would end the process. */
function collectUncaught(t: ExecutionContext): unknown[] {
  const errors: unknown[] = [];
  const listeners = process.listeners("uncaughtException");
  const collect = (error: unknown): void => void errors.push(error);
  process.removeAllListeners("uncaughtException");
  process.on("uncaughtException", collect);
  t.teardown(() => {
    process.off("uncaughtException", collect);
    for (const listener of listeners) process.on("uncaughtException", listener);
  });
  return errors;
}

for (const [name, { head, body }] of Object.entries(RESPONSES)) {
  for (const ending of ["end", "resetAndDestroy"] as const) {
   for (const pauseAt of ["head", "data"]) {
    test.serial(`a paused response ${name} survives the ${ending} of its connection ${pauseAt}`, async (t) => {
      // Guards against an assertion of the HTTP library that ends the process.
      const uncaught = collectUncaught(t);
      let received: ReceivedRequest | undefined;
      const upstream = await startUpstream((request) => {
        received = request;
        request.socket.write(`${head}\r\n\r\n${body}`);
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
      let got = 0;
      const call = connections.send({
        address: upstream.address,
        method: "GET",
        path: "/",
        headers: [],
        body: undefined,
      }, {
        shouldSend: () => true,
        sent: () => {},
        head: () => { if (pauseAt === "head") { call.pause(); isPaused = true; }},
        data: (c) => {
          got += c.length;
          call.pause();
          isPaused = true;
        },
        ended: () => (outcome = "ended"),
        failed: (detail) => (outcome = detail),
      });
      await waitUntil(() => isPaused);
      received!.socket[ending]();
      await new Promise(r=>setTimeout(r,300));
      if (outcome===undefined) {call.resume(); await new Promise(r=>setTimeout(r,300));t.log("resumed");}
      t.log(outcome, got);
      t.deepEqual(uncaught, []);
      t.not(outcome, undefined);
    });
   }
  }
}
