import { once } from "node:events";
import { createServer } from "node:http";
import test from "ava";
import { WebSocket } from "ws";
import { RELAY_PATH } from "../src/relayMessage.ts";
import { RelayServer } from "../src/relayServer.ts";
import { startGateway, startUpstream } from "./helpers/fleet.ts";

test("a host that was told to stop while it connects opens no relay", async (t) => {
  // Guards against relays whose peers never hear that they are about to be cut.
  const upstream = await startUpstream(() => {});
  const host = await startGateway({ upstreams: [upstream] });
  t.teardown(() => host.close());
  const relays = new RelayServer({
    context: host.gateway.context,
    isPeer: () => true,
    onUnreachable: () => t.fail(),
  });
  t.teardown(() => relays.close());
  const server = createServer();
  server.on("upgrade", (request, socket, head) => {
    relays.handleUpgrade(request, socket, head);
    relays.stop();
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  t.teardown(() => server.close());
  const { port } = server.address() as { port: number };
  const webSocket = new WebSocket(
    `ws://127.0.0.1:${port}${RELAY_PATH}?upstream=u0`,
  );
  const opened = once(webSocket, "open").then(() => "open");
  const refused = once(webSocket, "unexpected-response")
    .then(([, { statusCode }]) => statusCode);
  webSocket.on("error", () => {});
  t.is(await Promise.race([opened, refused]).catch(() => "error"), 503);
  webSocket.terminate();
});
