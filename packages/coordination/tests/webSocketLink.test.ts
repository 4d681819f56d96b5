import { setTimeout as delay } from "node:timers/promises";
import test from "ava";
import {
  asId,
  type HostId,
  type Incarnation,
  MemoryMetrics,
  SystemRandom,
  SystemTimer,
} from "@wasabivane/common";
import {
  defineMessage,
  objectOf,
  sendMessage,
  subscribeMessage,
  textOf,
  WebSocketLink,
} from "@wasabivane/coordination";
import { generate } from "selfsigned";
import { WebSocket } from "ws";

const NOTE = defineMessage("test-note", objectOf({ text: textOf<string>() }));
const A = asId<HostId>("a");
const B = asId<HostId>("b");
const LOOPBACK = "127.0.0.1";

type LinkChanges = Partial<ConstructorParameters<typeof WebSocketLink>[0]>;

function createLink(
  host: HostId,
  changes: LinkChanges = {},
): { link: WebSocketLink; metrics: MemoryMetrics } {
  const metrics = new MemoryMetrics();
  const link = new WebSocketLink({
    host,
    incarnation: asId<Incarnation>(`${host}-1`),
    timer: new SystemTimer(),
    random: new SystemRandom(),
    metrics,
    sharedSecrets: ["peer secret"],
    ...changes,
  });
  return { link, metrics };
}

async function listen(link: WebSocketLink, port = 0): Promise<string> {
  const result = await link.listen({ address: LOOPBACK, port });
  return `${LOOPBACK}:${result._unsafeUnwrap()}`;
}

async function eventually(condition: () => boolean): Promise<void> {
  while (!condition()) await delay(5);
}

test("messages reach a peer after it restarted at another address", async (t) => {
  const { link: a } = createLink(A);
  const { link: b } = createLink(B);
  const seen: string[] = [];
  subscribeMessage(b, NOTE, (from, { text }) => seen.push(`${from} ${text}`));
  a.setAddresses(new Map([[B, await listen(b)]]));
  sendMessage(a, NOTE, { to: B, body: { text: "first" } });
  await eventually(() => seen.length === 1);
  b.close();
  const { link: restarted } = createLink(B);
  subscribeMessage(restarted, NOTE, (_from, { text }) => seen.push(text));
  a.setAddresses(new Map([[B, await listen(restarted)]]));
  sendMessage(a, NOTE, { to: B, body: { text: "second" } });
  await eventually(() => seen.length === 2);
  t.deepEqual(seen, ["a first", "second"]);
  a.close();
  restarted.close();
});

test("a refused connection is retried while messages are queued", async (t) => {
  const { link: placeholder } = createLink(B);
  const address = await listen(placeholder);
  placeholder.close();
  const { link: a } = createLink(A, { addresses: new Map([[B, address]]) });
  sendMessage(a, NOTE, { to: B, body: { text: "waits" } });
  await delay(20);
  const { link: b } = createLink(B);
  const seen: string[] = [];
  subscribeMessage(b, NOTE, (_from, { text }) => seen.push(text));
  await listen(b, Number(address.split(":")[1]));
  await eventually(() => seen.length === 1);
  t.deepEqual(seen, ["waits"]);
  a.close();
  b.close();
});

test("a peer with a wrong secret is disconnected and counted", async (t) => {
  const { link: a } = createLink(A, { sharedSecrets: ["wrong"] });
  const { link: b, metrics } = createLink(B);
  subscribeMessage(b, NOTE, () => t.fail());
  a.setAddresses(new Map([[B, await listen(b)]]));
  sendMessage(a, NOTE, { to: B, body: { text: "forged" } });
  await eventually(() =>
    metrics.counter("peer_rejected", { reason: "handshake" }) > 0
  );
  t.pass();
  a.close();
  b.close();
});

test("a host with another name than the dialed one receives no messages", async (t) => {
  const { link: a, metrics } = createLink(A);
  const { link: other } = createLink(asId<HostId>("other"));
  subscribeMessage(other, NOTE, () => t.fail());
  a.setAddresses(new Map([[B, await listen(other)]]));
  sendMessage(a, NOTE, { to: B, body: { text: "for b only" } });
  await eventually(() => Object.keys(metrics.counters()).length > 0);
  t.pass();
  a.close();
  other.close();
});

test("a malformed frame before authentication closes the connection and is counted", async (t) => {
  const { link: b, metrics } = createLink(B);
  const socket = new WebSocket(`ws://${await listen(b)}/`);
  socket.on("open", () => socket.send("rubbish"));
  await new Promise((resolve) => socket.on("close", resolve));
  t.is(metrics.counter("peer_rejected", { reason: "malformed" }), 1);
  b.close();
});

test("peers communicate over TLS before and after a certificate renewal", async (t) => {
  const authority = await createAuthority();
  const first = await createCertificate(authority);
  const { link: a } = createLink(A, { secureContext: first });
  const { link: b } = createLink(B, { secureContext: first });
  const seen: string[] = [];
  subscribeMessage(b, NOTE, (_from, { text }) => seen.push(text));
  const address = await listen(b);
  a.setAddresses(new Map([[B, address]]));
  sendMessage(a, NOTE, { to: B, body: { text: "first" } });
  await eventually(() => seen.length === 1);
  b.renewSecureContext(await createCertificate(authority));
  a.setAddresses(new Map());
  a.setAddresses(new Map([[B, address]]));
  sendMessage(a, NOTE, { to: B, body: { text: "second" } });
  await eventually(() => seen.length === 2);
  t.deepEqual(seen, ["first", "second"]);
  a.close();
  b.close();
});

interface Certificate {
  readonly key: string;
  readonly cert: string;
  readonly ca?: string;
}

async function createAuthority(): Promise<Certificate> {
  const name = [{ name: "commonName", value: "peers authority" }];
  const generated = await generate(name, {
    extensions: [
      { name: "basicConstraints", cA: true, critical: true },
      { name: "keyUsage", keyCertSign: true, critical: true },
    ],
  });
  return { key: generated.private, cert: generated.cert };
}

async function createCertificate(ca: Certificate): Promise<Certificate> {
  const generated = await generate([{ name: "commonName", value: "peer" }], {
    ca,
  });
  return { key: generated.private, cert: generated.cert, ca: ca.cert };
}

test("a peer whose address cannot be used gets no messages, and others do", async (t) => {
  // Guards against a host that ends by one odd entry of the host list.
  const { link: b } = createLink(B);
  const seen: string[] = [];
  subscribeMessage(b, NOTE, (_from, { text }) => seen.push(text));
  const odd = ["127.0.0.1:70000", "999.1.1.1:80", "a b:1", "h#1:1", ":", "%"];
  const peers = odd.map((address, index) =>
    [asId<HostId>(`odd-${index}`), address] as const
  );
  const { link: a, metrics } = createLink(A, {
    addresses: new Map([...peers, [B, await listen(b)]]),
  });
  for (const [to] of peers) {
    t.notThrows(() => sendMessage(a, NOTE, { to, body: { text: "odd" } }));
    t.is(metrics.counter("peer_messages_dropped", { peer: to }), 1);
  }
  sendMessage(a, NOTE, { to: B, body: { text: "sound" } });
  await eventually(() => seen.length === 1);
  a.close();
  b.close();
});
