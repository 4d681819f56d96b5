import { Buffer } from "node:buffer";
import { createHash } from "node:crypto";
import { createServer } from "node:http";
import { asId, SeededRandom, SystemTimer } from "@wasabivane/common";
import { DirectLinks } from "@wasabivane/admission";
import test from "ava";
import { RelayClient } from "../src/relayClient.ts";
import { UpstreamDialer } from "../src/upstreamDialer.ts";
import { UpstreamConnections } from "../src/upstreamConnections.ts";
import { buildEntry, waitUntil } from "./helpers/fleet.ts";
import { collectUncaughtErrors } from "./helpers/uncaughtErrors.ts";
import { callTo, createListener } from "./helpers/upstreamCalls.ts";

const WEB_SOCKET_GUID = "258EAFA5-E914-47DA-95CA-C5AB0DC85B11";
/** A frame with a reserved opcode. */
const INVALID_FRAME = Buffer.from([0x8f, 0]);

test.serial("a relay that breaks as it opens fails its connection only", async (t) => {
  // Guards against an error without a listener, which ends the process.
  const uncaught = collectUncaughtErrors(t);
  const server = createServer();
  server.on("upgrade", ({ headers }, socket) => {
    const accept = createHash("sha1")
      .update(headers["sec-websocket-key"] + WEB_SOCKET_GUID).digest("base64");
    const head = "HTTP/1.1 101 Switching Protocols\r\nupgrade: websocket\r\n" +
      `connection: upgrade\r\nsec-websocket-accept: ${accept}\r\n\r\n`;
    socket.write(Buffer.concat([Buffer.from(head), INVALID_FRAME]));
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as { port: number };
  const timer = new SystemTimer();
  const relays = new RelayClient({
    failureDomain: asId("west"),
    timer,
    random: new SeededRandom(1),
    connectTimeout: 20_000,
    peers: () => [{
      host: asId("peer"),
      address: asId(`127.0.0.1:${port}`),
      failureDomain: asId("west"),
    }],
    onStopping: () => {},
    onBackoff: () => {},
  });
  const upstream = buildEntry("u", { address: "127.0.0.1:1" });
  const connections = new UpstreamConnections({
    maximumConnections: () => 4,
    timer,
  });
  const dialer = new UpstreamDialer({
    timer,
    links: new DirectLinks({ countUpstreams: () => 1 }),
    connectDirectly: connections.directConnector,
    openRelay: (id) => relays.open(id),
    findUpstream: () => upstream,
    onLinkChange: () => {},
  });
  connections.setConnector(dialer.connector);
  t.teardown(async () => {
    await connections.close();
    server.closeAllConnections();
    server.close();
  });
  let outcome: string | undefined;
  connections.send(
    callTo(upstream),
    createListener({
      ended: () => (outcome = "ended"),
      failed: () => (outcome = "failed"),
    }),
  );
  await waitUntil(() => outcome !== undefined || uncaught.length > 0);
  t.deepEqual(uncaught, []);
  t.is(outcome, "failed");
});
