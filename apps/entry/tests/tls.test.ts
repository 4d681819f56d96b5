import { Agent, fetch as fetchOver } from "undici";
import test, { type ExecutionContext } from "ava";
import {
  asId,
  type HostId,
  type Incarnation,
  MemoryMetrics,
  SystemRandom,
  SystemTimer,
} from "@wasabivane/common";
import {
  RESPONSE_READ_REQUEST,
  sendMessage,
  WebSocketLink,
} from "@wasabivane/coordination";
import {
  canOpenWebSocket,
  type Certificate,
  CertificateFolder,
  createAuthority,
  createCertificate,
  presentedCertificate,
  startTlsProxy,
} from "./helpers/certificates.ts";
import { sendChat } from "./helpers/chatClient.ts";
import {
  bearer,
  type EntryFixture,
  type EntryFixtureOptions,
  startEntryFixture,
  until,
} from "./helpers/entryFixture.ts";

const SECRET = "secret-of-the-bench";
const ENTRY = asId<HostId>("entry-1");

interface Issued {
  readonly authority: Certificate;
  readonly first: Certificate;
  readonly folder: CertificateFolder;
}

async function issue(t: ExecutionContext): Promise<Issued> {
  const authority = await createAuthority("authority");
  const first = await createCertificate(authority);
  const folder = new CertificateFolder(t, authority);
  folder.write(first);
  return { authority, first, folder };
}

async function withBench(
  t: ExecutionContext,
  options: EntryFixtureOptions,
): Promise<EntryFixture> {
  const bench = await startEntryFixture(options);
  t.teardown(() => bench.stop());
  return bench;
}

async function untilShown(
  port: number,
  { ca, expected, client = {} }: {
    ca: string;
    expected: string;
    client?: Partial<Certificate>;
  },
): Promise<void> {
  while (
    await presentedCertificate(port, { ca, ...client }) !== expected.trim()
  );
}

test("callers and operators speak TLS", async (t) => {
  const { authority, folder } = await issue(t);
  const tls = folder.files;
  const bench = await withBench(t, {
    settings: { callers: { port: 0, tls }, operators: { port: 0, tls } },
  });
  const agent = new Agent({ connect: { ca: authority.cert } });
  t.teardown(() => agent.destroy());
  const answer = await fetchOver(
    `https://127.0.0.1:${bench.callerPort}/casefile/a`,
    { headers: { authorization: bearer() }, dispatcher: agent },
  );
  t.is(answer.status, 200);
  await answer.text();
  const health = await fetchOver(
    `https://127.0.0.1:${bench.operatorPort}/health`,
    { dispatcher: agent },
  );
  t.deepEqual(await health.json(), { status: "ok" });
});

// The two files of a renewed pair are never written at one moment. Between the
// writes they do not fit together, and a host that took them would refuse all.
test("a renewed certificate is taken without a restart, once its key fits", async (t) => {
  const { authority, first, folder } = await issue(t);
  const bench = await withBench(t, {
    settings: { callers: { port: 0, tls: folder.files } },
  });
  const renewed = await createCertificate(authority);
  const ca = authority.cert;
  folder.write({ cert: renewed.cert });
  await until(() => bench.counter("certificate.not_taken") > 0);
  await untilShown(bench.callerPort, { ca, expected: first.cert });
  folder.write({ key: renewed.key });
  await untilShown(bench.callerPort, { ca, expected: renewed.cert });
  t.true(bench.counter("certificate.renewed") > 0);
});

test("an operator port with an authority refuses clients without a certificate", async (t) => {
  const { authority, first, folder } = await issue(t);
  const tls = { ...folder.files, authorityFile: folder.authorityFile };
  const bench = await withBench(t, {
    settings: { operators: { port: 0, tls } },
  });
  const ca = authority.cert;
  const url = `https://127.0.0.1:${bench.operatorPort}/health`;
  for (const client of [{}, first]) {
    const agent = new Agent({ connect: { ca, ...client } });
    const answer = fetchOver(url, { dispatcher: agent });
    if (client === first) t.is((await answer).status, 200);
    else await t.throwsAsync(answer);
    await agent.destroy();
  }
});

test("a peer with a wrong secret or a foreign certificate is refused, a renewed certificate taken", async (t) => {
  const { authority, first, folder } = await issue(t);
  const tls = { ...folder.files, authorityFile: folder.authorityFile };
  const bench = await withBench(t, {
    settings: { peers: { port: 0, tls, secrets: [SECRET] } },
  });
  const ca = authority.cert;
  openLink(t, bench, { certificate: { ...first, ca } });
  await until(() => bench.counter("answer.piece_sent") > 0);
  t.is(bench.counter("peer_rejected"), 0);
  openLink(t, bench, {
    certificate: { ...first, ca },
    secret: "another secret",
  });
  await until(() => bench.counter("peer_rejected") > 0);
  const foreign = await createCertificate(await createAuthority("other"));
  const port = bench.peerPort;
  t.true(await canOpenWebSocket(port, { ca, ...first }));
  t.false(await canOpenWebSocket(port, { ca, ...foreign }));
  t.false(await canOpenWebSocket(port, { ca }));
  const renewed = await createCertificate(authority);
  folder.write(renewed);
  await untilShown(port, { ca, expected: renewed.cert, client: first });
  t.true(bench.counter("certificate.renewed") > 0);
});

/** A peer that asks for an answer; the entry host counts its reply. */
function openLink(
  t: ExecutionContext,
  { peerPort }: EntryFixture,
  { certificate, secret = SECRET }: {
    certificate: Certificate & { ca: string };
    secret?: string;
  },
): void {
  const link = new WebSocketLink({
    host: asId<HostId>("entry-2"),
    incarnation: asId<Incarnation>("incarnation-2"),
    timer: new SystemTimer(),
    random: new SystemRandom(),
    metrics: new MemoryMetrics(),
    sharedSecrets: [secret],
    secureContext: certificate,
    addresses: new Map([[ENTRY, `127.0.0.1:${peerPort}`]]),
  });
  t.teardown(() => link.close());
  sendMessage(link, RESPONSE_READ_REQUEST, {
    to: ENTRY,
    body: { request: asId("request"), read: 1, position: 0 },
  });
}

test("upstreams and the platform are reached over https with the settings' authority", async (t) => {
  const { first, folder } = await issue(t);
  const { authorityFile } = folder;
  const proxied = (url: string): Promise<string> =>
    startTlsProxy(t, { url, certificate: first });
  const bench = await withBench(t, {
    createProxy: proxied,
    settings: { upstreams: { authorityFile } },
    platform: { authorityFile },
  });
  t.true((await sendChat(bench, { prompt: "Draft" })).isComplete);
});

test("an upstream with a foreign certificate gets no byte, so nothing has run", async (t) => {
  const { folder } = await issue(t);
  const foreign = await createCertificate(await createAuthority("other"));
  const { authorityFile } = folder;
  const plain = await startTlsProxy(t, {
    url: "http://127.0.0.1:9",
    certificate: foreign,
  });
  const bench = await withBench(t, {
    upstreamUrls: { "casefile-1": plain },
    settings: { upstreams: { authorityFile } },
  });
  const answer = await fetch(`${bench.callerUrl}/casefile/a`, {
    method: "POST",
    headers: { authorization: bearer() },
  });
  t.like(await answer.json(), { status: 503, ending: "not-run" });
});
