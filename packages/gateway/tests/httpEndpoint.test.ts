import { Buffer } from "node:buffer";
import { once } from "node:events";
import type { Server } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { MemoryBudget } from "@wasabivane/common";
import test from "ava";
import { type Endpoint, serveEndpoint } from "../src/httpEndpoint.ts";
import { waitUntil } from "./helpers/fleet.ts";

/** Sends a raw request line and returns the status of the response. */
function sendRequestLine(server: Server, line: string): Promise<string> {
  const { port } = server.address() as AddressInfo;
  return new Promise((resolve, reject) => {
    const socket = connect(port, "127.0.0.1");
    let text = "";
    socket.on("data", (chunk) => text += chunk.toString());
    socket.on("error", reject);
    socket.on("close", () => resolve(text.slice(9, 12)));
    socket.write(`${line} HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n`);
  });
}

async function startServer(endpoint: Endpoint): Promise<Server> {
  return (await serveEndpoint({ endpoint, address: "127.0.0.1:0" }))
    ._unsafeUnwrap();
}

test("a request with an invalid path gets 404 and does not stop the server", async (t) => {
  // Guards against a process that ends when it parses an invalid URL.
  const server = await startServer({
    path: "/p",
    respond: () => ({ status: 200 }),
  });
  for (const path of ["//", "http://[", "/%", "*", "/p/../q"]) {
    t.is(await sendRequestLine(server, `GET ${path}`), "404", path);
  }
  t.is(await sendRequestLine(server, "POST /p"), "404");
  t.is(await sendRequestLine(server, "HEAD /p?a=1"), "200");
  t.is(await sendRequestLine(server, "GET /p"), "200");
  server.close();
});

test("a failing endpoint responds with 500 and the server keeps running", async (t) => {
  const failing = () => Promise.reject(new Error("Cannot be read"));
  const server = await startServer({ path: "/p", respond: failing });
  t.is(await sendRequestLine(server, "GET /p"), "500");
  t.is(await sendRequestLine(server, "GET /other"), "404");
  server.close();
});

test("a failed accept does not stop the server", async (t) => {
  // Guards against a process that ends when it runs out of file descriptors.
  const server = await startServer({
    path: "/p",
    respond: () => ({ status: 200 }),
  });
  for (let count = 0; count < 3; count++) {
    t.notThrows(() => server.emit("error", new Error("accept EMFILE")));
  }
  t.is(await sendRequestLine(server, "GET /p"), "200");
  server.close();
});

test("a connection that pipelines requests without end is closed", async (t) => {
  // Guards against one stranger that keeps the process from all other work.
  let served = 0;
  const server = await startServer({
    path: "/p",
    respond: () => ({ status: 200, body: String(++served) }),
  });
  const { port } = server.address() as AddressInfo;
  const socket = connect(port, "127.0.0.1");
  t.teardown(() => {
    socket.destroy();
    server.close();
  });
  socket.resume().on("error", () => {});
  socket.write("GET /p HTTP/1.1\r\nhost: h\r\n\r\n".repeat(2_000));
  await new Promise((resolve) => {
    socket.once("close", resolve);
    setTimeout(resolve, 1_000);
  });
  t.true(served < 10, `${served} served`);
  t.is(await sendRequestLine(server, "GET /p"), "200");
});

test("idle connections of strangers keep no caller out", async (t) => {
  // Guards against a load balancer that takes a sound host out.
  const server = await startServer({
    path: "/p",
    respond: () => ({ status: 200 }),
  });
  const { port } = server.address() as AddressInfo;
  const idle = Array.from(
    { length: 400 },
    () => connect(port, "127.0.0.1").on("error", () => {}).resume(),
  );
  t.teardown(() => {
    for (const socket of idle) socket.destroy();
    server.close();
  });
  await Promise.all(
    idle.map((socket) =>
      new Promise((resolve) => socket.once("connect", resolve))
    ),
  );
  t.is(await sendRequestLine(server, "GET /p"), "200");
  const open = await new Promise<number>((resolve) =>
    server.getConnections((_error, count) => resolve(count))
  );
  t.true(open <= 256, `${open} open`);
});

test("a body is not read", async (t) => {
  // Guards against a stranger that sends one without end.
  const server = await startServer({
    path: "/p",
    respond: () => ({ status: 200 }),
  });
  const { port } = server.address() as AddressInfo;
  const socket = connect(port, "127.0.0.1").on("error", () => {}).resume();
  socket.write("GET /p HTTP/1.1\r\nhost: h\r\ncontent-length: 900000\r\n\r\n");
  const isClosed = await new Promise((resolve) => {
    socket.once("close", () => resolve(true));
    setTimeout(() => resolve(false), 1_000);
  });
  t.true(isClosed);
  socket.destroy();
  server.close();
});

test("requests that come in one chunk without end are not even parsed", async (t) => {
  // Guards against a stranger that connects again and again with full chunks.
  const server = await startServer({
    path: "/p",
    respond: () => ({ status: 200 }),
  });
  let parsed = 0;
  server.prependListener("request", () => parsed++);
  const { port } = server.address() as AddressInfo;
  for (let count = 0; count < 5; count++) {
    const socket = connect(port, "127.0.0.1").on("error", () => {}).resume();
    socket.write("GET /p HTTP/1.1\r\nhost: h\r\n\r\n".repeat(2_000));
    await new Promise((resolve) => socket.once("close", resolve));
  }
  t.is(parsed, 0);
  t.is(await sendRequestLine(server, "GET /p"), "200");
  server.close();
});

test("responses that wait for their turn hold no memory behind their connection", async (t) => {
  // Guards against strangers that use up the memory for all snapshots.
  const memory = new MemoryBudget();
  let responses = 0;
  const body = Buffer.alloc(8 * 1_024 * 1_024);
  const server = await startServer({
    path: "/p",
    respond: () => {
      responses++;
      return { status: 200, body, lease: memory.reserve(body.length)! };
    },
  });
  t.teardown(() => server.close());
  const { port } = server.address() as AddressInfo;
  const socket = connect(port, "127.0.0.1");
  socket.pause();
  socket.write("GET /p HTTP/1.1\r\nhost: h\r\n\r\n".repeat(3));
  await waitUntil(() => responses === 3);
  socket.destroy();
  await once(socket, "close");
  await sleep(100);
  t.is(memory.used, 0);
});

test("requests with an unknown expectation are bounded like others", async (t) => {
  // Guards against pipelined requests that the HTTP server answers by itself.
  const server = await startServer({
    path: "/p",
    respond: () => ({ status: 200 }),
  });
  t.teardown(() => server.close());
  const { port } = server.address() as AddressInfo;
  const socket = connect(port, "127.0.0.1");
  let text = "";
  socket.on("data", (chunk) => text += chunk.toString());
  socket.on("error", () => {});
  socket.write("GET /p HTTP/1.1\r\nhost: h\r\nexpect: x\r\n\r\n".repeat(1_000));
  socket.write("GET /p HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n");
  await new Promise((resolve) => socket.once("close", resolve));
  t.true(text.split("HTTP/1.1 ").length - 1 <= 4);
});
