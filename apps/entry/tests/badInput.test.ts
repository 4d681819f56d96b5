import { Buffer } from "node:buffer";
import fc from "fast-check";
import test, { type ExecutionContext } from "ava";
import {
  bearer,
  type EntryFixture,
  startEntryFixture,
  until,
} from "./helpers/entryFixture.ts";
import {
  openSocket,
  type RawResponse,
  readRawResponse,
  sendRawRequest,
} from "./helpers/rawHttp.ts";

const MAXIMUM_BODY_BYTES = 2_048;
const CHAT = JSON.stringify({
  model: "drafter",
  messages: [{ role: "user", content: "When does school start?" }],
});

let fixture: EntryFixture;

test.before(async () => {
  fixture = await startEntryFixture({
    settings: {
      limits: {
        maximumBodyBytes: MAXIMUM_BODY_BYTES,
        headersTimeoutMs: 200,
        requestTimeoutMs: 200,
      },
    },
  });
});

test.after.always(() => fixture.stop());

interface RequestParts {
  readonly method?: string;
  readonly target?: string;
  readonly headers?: readonly string[];
  readonly body?: string | Buffer;
  readonly authorization?: string;
}

function requestBytes(
  {
    method = "POST",
    target = "/v1/chat/completions",
    headers = [],
    body = "",
    authorization = bearer(),
  }: RequestParts,
): Buffer {
  const content = Buffer.from(body);
  const isFramed = headers.some((header) =>
    /^(content-length|transfer-encoding):/i.test(header)
  );
  const head = [
    `${method} ${target} HTTP/1.1`,
    "Host: entry",
    "Connection: close",
    `Authorization: ${authorization}`,
    ...headers,
    ...isFramed ? [] : [`Content-Length: ${content.byteLength}`],
  ];
  return Buffer.concat([Buffer.from(`${head.join("\r\n")}\r\n\r\n`), content]);
}

interface Refusal extends RequestParts {
  readonly problem: string;
  readonly status: number;
}

function chunk(text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}

const OVERSIZED = "x".repeat(MAXIMUM_BODY_BYTES + 1);
const MALFORMED = { problem: "malformed-request", status: 400 };

const REFUSALS: Readonly<Record<string, Refusal>> = {
  "broken JSON": { ...MALFORMED, body: '{"model":' },
  "an empty body": { ...MALFORMED, body: "" },
  "a wrong type": { ...MALFORMED, body: '{"model":"drafter","messages":"hi"}' },
  "a body that is an array": { ...MALFORMED, body: "[]" },
  "invalid UTF-8": {
    ...MALFORMED,
    body: Buffer.from([0x7b, 0x22, 0xff, 0x22, 0x7d]),
  },
  "an unknown model": {
    problem: "unknown-model",
    status: 404,
    body: CHAT.replace("drafter", "painter"),
  },
  "an unknown account": {
    problem: "unauthenticated",
    status: 401,
    body: CHAT,
    authorization: "Bearer demo-key-of-nobody",
  },
  "a wrong scheme": {
    problem: "unauthenticated",
    status: 401,
    body: CHAT,
    authorization: "Basic ZGVtbzpkZW1v",
  },
  "a tier that the account lacks": {
    problem: "tier-not-allowed",
    status: 403,
    body: CHAT,
    headers: ["X-Tier: 1"],
    authorization: bearer("oita-law-office"),
  },
  "a malformed key": {
    problem: "key-malformed",
    status: 400,
    body: CHAT,
    headers: ["Idempotency-Key: order-17"],
  },
  "two idempotency keys": {
    ...MALFORMED,
    body: CHAT,
    headers: ["Idempotency-Key: a", "Idempotency-Key: b"],
  },
  "two authorization headers": {
    ...MALFORMED,
    body: CHAT,
    headers: [`Authorization: ${bearer("oita-law-office")}`],
  },
  "two host headers": { ...MALFORMED, body: CHAT, headers: ["Host: other"] },
  "a deadline that is not a number": {
    ...MALFORMED,
    body: CHAT,
    headers: ["X-Deadline-Ms: soon"],
  },
  "a declared body above the limit": {
    problem: "body-too-large",
    status: 413,
    headers: [`Content-Length: ${OVERSIZED.length}`],
    body: OVERSIZED,
  },
  "a chunked body above the limit": {
    problem: "body-too-large",
    status: 413,
    headers: ["Transfer-Encoding: chunked"],
    body: chunk(OVERSIZED) + chunk(""),
  },
  "both a length and a transfer encoding": {
    ...MALFORMED,
    headers: ["Content-Length: 4", "Transfer-Encoding: chunked"],
    body: chunk(""),
  },
  "a malformed chunk": {
    ...MALFORMED,
    headers: ["Transfer-Encoding: chunked"],
    body: "zz\r\n",
  },
  "headers above the limit": {
    problem: "headers-too-large",
    status: 431,
    headers: [`X-Filler: ${"x".repeat(20_000)}`],
  },
  "a header without a colon": { ...MALFORMED, headers: ["Nonsense"] },
  "a path of no service": {
    problem: "unknown-path",
    status: 404,
    method: "GET",
    target: "/elsewhere",
  },
  "a path that merely starts with a service's prefix": {
    problem: "unknown-path",
    status: 404,
    method: "GET",
    target: "/casefiles",
  },
  "an asterisk target": {
    problem: "unknown-path",
    status: 404,
    method: "OPTIONS",
    target: "*",
  },
  "an unknown expectation": { ...MALFORMED, headers: ["Expect: wonders"] },
  "an unknown job": {
    problem: "unknown-job",
    status: 404,
    method: "GET",
    target: "/v1/jobs/none",
  },
  ...Object.fromEntries(
    [
      "/casefile/../secret",
      "/casefile/..",
      "/casefile/./a",
      "/casefile/%2e%2e/secret",
      "/casefile/%2E./secret",
      "/casefile/..%2fsecret",
      "/casefile/a%2f..%2f..%2fsecret",
      "/casefile/..%5csecret",
      "/casefile/..\\secret",
      "/casefile/%252e%252e/secret",
      "/casefile/..;x=1/secret",
      "/casefile/%zz",
      "/casefile/%00",
      "/casefile/a#b",
      "http://entry/casefile/../secret",
    ].map((target) => [target, { ...MALFORMED, method: "GET", target }]),
  ),
};

for (const [name, { problem, status, ...parts }] of Object.entries(REFUSALS)) {
  test.serial(`${name} is refused with a document and reaches no upstream`, async (t) => {
    const response = await sendRawRequest(requestBytes(parts), {
      port: fixture.callerPort,
    });
    assertProblem(t, response, { problem, status });
    assertNothingRan(t);
  });
}

function assertProblem(
  t: ExecutionContext,
  response: RawResponse | undefined,
  { problem, status }: { problem: string; status: number },
): void {
  t.is(response?.status, status);
  t.is(response?.headers["content-type"], "application/problem+json");
  const document = JSON.parse(response!.body);
  t.is(document.type, `urn:wasabivane:problem:${problem}`);
  t.is(document.status, status);
  t.is(document.ending, problem === "unknown-job" ? "unknown" : "not-run");
  t.is(response?.headers["retry-after"], undefined);
}

function assertNothingRan(t: ExecutionContext): void {
  t.is(fixture.status().openExchanges, 0);
  t.deepEqual(fixture.engines[0]!.state.runs, {});
  t.is(fixture.plainServices[0]!.runs.total, 0);
}

// Guards against a host that crashes or hangs on malformed input.
test.serial("randomly damaged requests end with a document or a closed connection", async (t) => {
  const separateFixture = await startEntryFixture();
  t.teardown(() => separateFixture.stop());
  const head = requestBytes({ body: CHAT });
  const damage = fc.record({
    at: fc.nat({ max: head.length - 1 }),
    bytes: fc.uint8Array({ minLength: 1, maxLength: 40 }),
  });
  await fc.assert(
    fc.asyncProperty(damage, async ({ at, bytes }) => {
      const damaged = Buffer.from(head);
      damaged.set(bytes.subarray(0, head.length - at), at);
      if (damaged.equals(head)) return;
      const response = await sendRawRequest(damaged, {
        port: separateFixture.callerPort,
        shouldHalfClose: true,
      });
      if (response === undefined || response.status === 200) return;
      const document = JSON.parse(response.body);
      t.is(document.status, response.status);
      t.true(["not-run", "unknown"].includes(document.ending));
    }),
    { numRuns: 150, seed: 11 },
  );
  await until(() => separateFixture.status().openExchanges === 0);
});

test.serial("headers that arrive too slowly end with a document", async (t) => {
  const socket = await openSocket(fixture.callerPort);
  const response = readRawResponse(socket);
  socket.write("POST /v1/chat/completions HTTP/1.1\r\nHost: entry\r\n");
  assertProblem(t, await response, { problem: "request-timeout", status: 408 });
  assertNothingRan(t);
});

test.serial("a body that arrives too slowly ends with a document", async (t) => {
  const socket = await openSocket(fixture.callerPort);
  const response = readRawResponse(socket);
  const headers = [`Content-Length: ${CHAT.length}`];
  socket.write(requestBytes({ body: CHAT.slice(0, 10), headers }));
  assertProblem(t, await response, { problem: "request-timeout", status: 408 });
  assertNothingRan(t);
});

test.serial("a half-close during the body ends with a document", async (t) => {
  const headers = [`Content-Length: ${CHAT.length}`];
  const bytes = requestBytes({ body: CHAT.slice(0, 10), headers });
  const response = await sendRawRequest(bytes, {
    port: fixture.callerPort,
    shouldHalfClose: true,
  });
  assertProblem(t, response, MALFORMED);
  assertNothingRan(t);
});

test.serial("a request without a host header is refused", async (t) => {
  const response = await sendRawRequest(
    "GET /casefile HTTP/1.1\r\nConnection: close\r\n\r\n",
    { port: fixture.callerPort },
  );
  assertProblem(t, response, MALFORMED);
});

test.serial("a caller above the connection limit is told to retry later", async (t) => {
  const limitedFixture = await startEntryFixture({
    settings: { limits: { maximumConnections: 2 } },
  });
  const sockets = [
    await openSocket(limitedFixture.callerPort),
    await openSocket(limitedFixture.callerPort),
  ];
  const bytes = requestBytes({ body: CHAT });
  const response = await sendRawRequest(bytes, {
    port: limitedFixture.callerPort,
  });
  t.is(response?.status, 503);
  t.is(response?.headers["retry-after"], "1");
  const document = JSON.parse(response!.body);
  t.is(document.type, "urn:wasabivane:problem:too-many-connections");
  t.is(document.ending, "not-run");
  t.deepEqual(limitedFixture.engines[0]!.state.runs, {});
  for (const socket of sockets) socket.destroy();
  await until(() => limitedFixture.status().openExchanges === 0);
  await limitedFixture.stop();
});
