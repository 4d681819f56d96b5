import type { Server } from "node:http";
import { type AddressInfo, connect } from "node:net";
import test from "ava";
import { type Endpoint, serveEndpoint } from "../src/httpEndpoint.ts";

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
  return (await serveEndpoint(endpoint, "127.0.0.1:0"))._unsafeUnwrap();
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
