import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import test from "ava";
import fc from "fast-check";
import { VirtualTimer } from "@wasabivane/common";
import {
  exampleBundle,
  exampleSigningKey,
  type HostList,
  hostListSchema,
  HttpBundleSource,
  HttpHostListSource,
  signBundle,
} from "@wasabivane/bundle";
import { corruptedText } from "./helpers/corruptedText.ts";
import {
  createFakePlatform,
  createUnresponsiveFetch,
} from "./helpers/fakePlatform.ts";

const PLATFORM_URL = "http://127.0.0.1:9/platform";
const READ = { afterRevision: 4, waitMs: 2_000 };

const HOST_LIST = {
  version: 7,
  entryHosts: [{
    host: "entry-1",
    peerAddress: "127.0.0.1:7301",
    failureDomain: "hakata",
    state: "live",
    rack: "unknown to us",
  }],
  upstreams: [{ upstream: "drafter-01", state: "leaving" }],
};

function hostList(
  response: Parameters<typeof createFakePlatform>[0],
  limits: { maximumBytes?: number } = {},
): HttpHostListSource {
  const { request } = createFakePlatform(response);
  return new HttpHostListSource({ url: PLATFORM_URL, request, ...limits });
}

function revisionedBody(revision: number, value: unknown): { body: string } {
  return { body: JSON.stringify({ revision, value }) };
}

test("a read requests the next revision and drops unknown keys", async (t) => {
  const { request, urls } = createFakePlatform(revisionedBody(5, HOST_LIST));
  const source = new HttpHostListSource({ url: PLATFORM_URL, request });
  const read = (await source.read(READ))._unsafeUnwrap();
  t.is(
    urls[0]!.href,
    "http://127.0.0.1:9/platform/v1/hosts?after=4&waitMs=2000",
  );
  const { rack: _rack, ...host } = HOST_LIST.entryHosts[0]!;
  t.deepEqual(read, {
    revision: 5,
    value: { ...HOST_LIST, entryHosts: [host] } as unknown as HostList,
  });
});

test("a signed bundle is read over real HTTP", async (t) => {
  const bundle = exampleBundle("cairo", { version: 3 });
  const signed = signBundle(bundle, exampleSigningKey())._unsafeUnwrap();
  const server = createServer((request, response) => {
    t.is(request.url, "/v1/values/bundle?after=0&waitMs=10");
    response.end(JSON.stringify({ revision: 3, value: signed }));
  }).listen(0, "127.0.0.1");
  t.teardown(() => server.close());
  await new Promise((resolve) => server.once("listening", resolve));
  const { port } = server.address() as AddressInfo;
  const source = new HttpBundleSource({ url: `http://127.0.0.1:${port}` });
  const read = await source.read({ afterRevision: 0, waitMs: 10 });
  t.deepEqual(read._unsafeUnwrap(), { revision: 3, value: signed });
});

test("an unchanged or older revision gives no value", async (t) => {
  const responses = [
    { status: 304 },
    revisionedBody(4, HOST_LIST),
    revisionedBody(1, HOST_LIST),
  ];
  for (const response of responses) {
    t.is((await hostList(response).read(READ))._unsafeUnwrap(), undefined);
  }
});

test("the retry delay is taken from Retry-After within limits", async (t) => {
  const waits: [string | undefined, number][] = [
    ["3", 3_000],
    [undefined, 1_000],
    ["soon", 1_000],
    ["99999999999", 600_000],
    ["Thu, 01 Jan 1970 00:00:00 GMT", 0],
  ];
  for (const [header, retryAfterMs] of waits) {
    const headers = { "retry-after": header };
    const read = await hostList({ status: 429, headers }).read(READ);
    t.deepEqual(read._unsafeUnwrapErr(), { kind: "over-budget", retryAfterMs });
  }
});

test("invalid responses are malformed and error statuses unreachable", async (t) => {
  const malformed = [
    { body: "{" },
    { body: new Uint8Array([0x22, 0xff, 0x22]) },
    revisionedBody(5, { ...HOST_LIST, version: "7" }),
    { body: JSON.stringify({ value: HOST_LIST }) },
  ];
  for (const response of malformed) {
    const read = await hostList(response).read(READ);
    t.is(read._unsafeUnwrapErr().kind, "malformed");
  }
  const oversize = hostList(revisionedBody(5, HOST_LIST), {
    maximumBytes: 100,
  });
  t.is((await oversize.read(READ))._unsafeUnwrapErr().kind, "malformed");
  for (const status of [301, 404, 503]) {
    const read = await hostList({ status }).read(READ);
    t.is(read._unsafeUnwrapErr().kind, "unreachable");
  }
});

// Guards against reads that hang forever after the platform host is lost.
test("a platform that never responds is unreachable after the wait and margin", async (t) => {
  const timer = new VirtualTimer();
  const source = new HttpHostListSource({
    url: PLATFORM_URL,
    request: createUnresponsiveFetch(),
    timer,
    responseMarginMs: 500,
  });
  const read = source.read(READ);
  timer.advance(2_500);
  t.is((await read)._unsafeUnwrapErr().kind, "unreachable");
});

test("a corrupted response gives a valid host list or an error", async (t) => {
  const { body } = revisionedBody(5, HOST_LIST);
  const property = fc.asyncProperty(corruptedText(body), async (corrupted) => {
    const read = await hostList({ body: corrupted }).read(READ);
    return read.isErr() || read.value === undefined ||
      hostListSchema.safeParse(read.value.value).success;
  });
  await t.notThrowsAsync(fc.assert(property, { seed: 8, numRuns: 300 }));
});
