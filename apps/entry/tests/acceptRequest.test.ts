import { Buffer } from "node:buffer";
import test from "ava";
import fc from "fast-check";
import { exampleBundle } from "@wasabivane/bundle";
import { asId } from "@wasabivane/common";
import { acceptRequest, type IncomingRequest } from "@wasabivane/entry";

const bundle = exampleBundle("fukuoka");
const account = bundle.clientAccounts[0]!;
const model = bundle.services.find(({ kind }) => kind === "model")!.models[0]!;
const CHAT = {
  model,
  messages: [{ role: "user", content: "When does school start?" }],
};

function incoming(overrides: Partial<IncomingRequest> = {}): IncomingRequest {
  return {
    request: asId("r1"),
    bundle,
    account,
    now: 1_000,
    method: "POST",
    path: "/v1/chat/completions",
    headers: {},
    body: Buffer.from(JSON.stringify(CHAT)),
    ...overrides,
  };
}

function problemName(overrides: Partial<IncomingRequest>): string | undefined {
  return acceptRequest(incoming(overrides)).match(
    () => undefined,
    ({ name }) => name,
  );
}

test("a chat request is accepted with its account's cache salt", (t) => {
  const accepted = acceptRequest(incoming())._unsafeUnwrap();
  t.is(JSON.parse(accepted.body.toString()).cache_salt, account.account);
  t.is(accepted.tier, account.defaultTier);
});

test("a caller cannot choose another account's cache salt", (t) => {
  const body = Buffer.from(JSON.stringify({ ...CHAT, cache_salt: "rival" }));
  const accepted = acceptRequest(incoming({ body }))._unsafeUnwrap();
  t.is(JSON.parse(accepted.body.toString()).cache_salt, account.account);
});

const REFUSALS: [string, Partial<IncomingRequest>, string][] = [
  ["broken JSON", { body: Buffer.from("{") }, "malformed-request"],
  [
    "invalid UTF-8",
    { body: Buffer.from([0x7b, 0xff, 0x7d]) },
    "malformed-request",
  ],
  [
    "a wrong type",
    { body: Buffer.from('{"model": 1, "messages": []}') },
    "malformed-request",
  ],
  ["an unknown model", {
    body: Buffer.from(JSON.stringify({ ...CHAT, model: "none" })),
  }, "unknown-model"],
  ["an unknown path", { path: "/nowhere" }, "unknown-path"],
  [
    "a repeated tier header",
    { headers: { "x-tier": "1, 2" } },
    "malformed-request",
  ],
  [
    "a deadline that is not a number",
    { headers: { "x-deadline-ms": "soon" } },
    "malformed-request",
  ],
  [
    "a key with a space",
    { headers: { "idempotency-key": "a b" } },
    "key-malformed",
  ],
  [
    "a tier that the account lacks",
    { headers: { "x-tier": "9" } },
    "tier-not-allowed",
  ],
];

for (const [what, overrides, name] of REFUSALS) {
  test(`${what} is refused as ${name}`, (t) => {
    t.is(problemName(overrides), name);
  });
}

test("any body and headers yield a result without throwing", (t) => {
  const headers = fc.dictionary(
    fc.constantFrom(
      "x-tier",
      "x-deadline-ms",
      "idempotency-key",
      "content-type",
    ),
    fc.string(),
  );
  const bodies = fc.oneof(
    fc.json().map((text) => Buffer.from(text)),
    fc.uint8Array().map(Buffer.from),
  );
  fc.assert(fc.property(headers, bodies, fc.webPath(), (some, body, path) => {
    acceptRequest(incoming({ headers: some, body }));
    acceptRequest(incoming({ headers: some, body, path }));
  }));
  t.pass();
});
