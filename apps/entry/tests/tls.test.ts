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

interface IssuedCertificates {
  readonly authority: Certificate;
  readonly first: Certificate;
  readonly folder: CertificateFolder;
}

async function issueCertificates(
  t: ExecutionContext,
): Promise<IssuedCertificates> {
  const authority = await createAuthority("authority");
  const first = await createCertificate(authority);
  const folder = new CertificateFolder(t, authority);
  folder.write(first);
  return { authority, first, folder };
}

async function createFixture(
  t: ExecutionContext,
  options: EntryFixtureOptions,
): Promise<EntryFixture> {
  const fixture = await startEntryFixture(options);
  t.teardown(() => fixture.stop());
  return fixture;
}

async function waitForCertificate(
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

test("caller and operator ports serve TLS", async (t) => {
  const { authority, folder } = await issueCertificates(t);
  const tls = folder.files;
  const fixture = await createFixture(t, {
    settings: { callers: { port: 0, tls }, operators: { port: 0, tls } },
  });
  const agent = new Agent({ connect: { ca: authority.cert } });
  t.teardown(() => agent.destroy());
  const response = await fetchOver(
    `https://127.0.0.1:${fixture.callerPort}/casefile/a`,
    { headers: { authorization: bearer() }, dispatcher: agent },
  );
  t.is(response.status, 200);
  await response.text();
  const health = await fetchOver(
    `https://127.0.0.1:${fixture.operatorPort}/health`,
    { dispatcher: agent },
  );
  t.deepEqual(await health.json(), { status: "ok" });
});

// Guards against loading a certificate whose key file was not written yet.
test("a renewed certificate is loaded without a restart once its key matches", async (t) => {
  const { authority, first, folder } = await issueCertificates(t);
  const fixture = await createFixture(t, {
    settings: { callers: { port: 0, tls: folder.files } },
  });
  const renewed = await createCertificate(authority);
  const ca = authority.cert;
  folder.write({ cert: renewed.cert });
  await until(() => fixture.counter("certificate.not_taken") > 0);
  await waitForCertificate(fixture.callerPort, { ca, expected: first.cert });
  folder.write({ key: renewed.key });
  await waitForCertificate(fixture.callerPort, { ca, expected: renewed.cert });
  t.true(fixture.counter("certificate.renewed") > 0);
});

test("an operator port with an authority refuses clients without a certificate", async (t) => {
  const { authority, first, folder } = await issueCertificates(t);
  const tls = { ...folder.files, authorityFile: folder.authorityFile };
  const fixture = await createFixture(t, {
    settings: { operators: { port: 0, tls } },
  });
  const ca = authority.cert;
  const url = `https://127.0.0.1:${fixture.operatorPort}/health`;
  for (const client of [{}, first]) {
    const agent = new Agent({ connect: { ca, ...client } });
    const response = fetchOver(url, { dispatcher: agent });
    if (client === first) t.is((await response).status, 200);
    else await t.throwsAsync(response);
    await agent.destroy();
  }
});

test("a peer with a wrong secret or certificate is refused and a renewed certificate is loaded", async (t) => {
  const { authority, first, folder } = await issueCertificates(t);
  const tls = { ...folder.files, authorityFile: folder.authorityFile };
  const fixture = await createFixture(t, {
    settings: { peers: { port: 0, tls, secrets: [SECRET] } },
  });
  const ca = authority.cert;
  openLink(t, fixture, { certificate: { ...first, ca } });
  await until(() => fixture.counter("answer.piece_sent") > 0);
  t.is(fixture.counter("peer_rejected"), 0);
  openLink(t, fixture, {
    certificate: { ...first, ca },
    secret: "another secret",
  });
  await until(() => fixture.counter("peer_rejected") > 0);
  const foreign = await createCertificate(await createAuthority("other"));
  const port = fixture.peerPort;
  t.true(await canOpenWebSocket(port, { ca, ...first }));
  t.false(await canOpenWebSocket(port, { ca, ...foreign }));
  t.false(await canOpenWebSocket(port, { ca }));
  const renewed = await createCertificate(authority);
  folder.write(renewed);
  await waitForCertificate(port, { ca, expected: renewed.cert, client: first });
  t.true(fixture.counter("certificate.renewed") > 0);
});

/**
 * Opens a peer link and requests a response, whose reply the entry host counts.
 */
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

test("upstreams and the platform are reached over https with the configured authority", async (t) => {
  const { first, folder } = await issueCertificates(t);
  const { authorityFile } = folder;
  const createProxy = (url: string): Promise<string> =>
    startTlsProxy(t, { url, certificate: first });
  const fixture = await createFixture(t, {
    createProxy,
    settings: { upstreams: { authorityFile } },
    platform: { authorityFile },
  });
  t.true((await sendChat(fixture, { prompt: "Draft" })).isComplete);
});

test("a request to an upstream with an untrusted certificate ends as not run", async (t) => {
  const { folder } = await issueCertificates(t);
  const foreign = await createCertificate(await createAuthority("other"));
  const { authorityFile } = folder;
  const proxyUrl = await startTlsProxy(t, {
    url: "http://127.0.0.1:9",
    certificate: foreign,
  });
  const fixture = await createFixture(t, {
    upstreamUrls: { "casefile-1": proxyUrl },
    settings: { upstreams: { authorityFile } },
  });
  const response = await fetch(`${fixture.callerUrl}/casefile/a`, {
    method: "POST",
    headers: { authorization: bearer() },
  });
  t.like(await response.json(), { status: 503, ending: "not-run" });
});
