import type { Server } from "node:http";
import { type AddressInfo, connect } from "node:net";
import test from "ava";
import { listenWith, type Page } from "../src/pages.ts";

/** Sends one request line as it stands, and gives back the status. */
function statusOf(server: Server, line: string): Promise<string> {
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

async function open(page: Page): Promise<Server> {
  return (await listenWith(page, "127.0.0.1:0"))._unsafeUnwrap();
}

test("a request that is no path is not found, and the host goes on", async (t) => {
  // Anybody who reaches the balancer's port may write any request line there. One that
  // cannot be read as an address must not end the host and all answers under way.
  const server = await open({ path: "/p", answer: () => ({ status: 200 }) });
  for (const path of ["//", "http://[", "/%", "*", "/p/../q"]) {
    t.is(await statusOf(server, `GET ${path}`), "404", path);
  }
  t.is(await statusOf(server, "POST /p"), "404");
  t.is(await statusOf(server, "HEAD /p?a=1"), "200");
  t.is(await statusOf(server, "GET /p"), "200");
  server.close();
});

test("a page that fails is told as such, and the host goes on", async (t) => {
  const failing = () => Promise.reject(new Error("Cannot be read"));
  const server = await open({ path: "/p", answer: failing });
  t.is(await statusOf(server, "GET /p"), "500");
  t.is(await statusOf(server, "GET /other"), "404");
  server.close();
});

test("a connection that cannot be taken does not end the host", async (t) => {
  // Out of descriptors in a burst, the system refuses connections, again and again.
  const server = await open({ path: "/p", answer: () => ({ status: 200 }) });
  for (let count = 0; count < 3; count++) {
    t.notThrows(() => server.emit("error", new Error("accept EMFILE")));
  }
  t.is(await statusOf(server, "GET /p"), "200");
  server.close();
});
