import test from "ava";
import fc from "fast-check";
import {
  addSignature,
  canonicalJson,
  exampleBundle,
  exampleSigningKey,
  generateSigningKey,
  parseDocument,
  signBundle,
  type SignedBundle,
  signedBundleSchema,
  trustedKeyOf,
  verifySignedBundle,
} from "@wasabivane/bundle";
import { corruptedText } from "./helpers/corruptedText.ts";

const FORMER_KEY = exampleSigningKey("former");
const NEXT_KEY = exampleSigningKey("next");

function signedExample(version = 1): SignedBundle {
  const bundle = exampleBundle("fukuoka", { version });
  return signBundle(bundle, FORMER_KEY)._unsafeUnwrap();
}

test("a signed bundle is verified after a JSON round trip", (t) => {
  const read = JSON.parse(JSON.stringify(signedExample()));
  t.true(verifySignedBundle(read, [trustedKeyOf(FORMER_KEY)]).isOk());
});

test("the root does not depend on the order of lists and keys", (t) => {
  const bundle = exampleBundle("cairo");
  const reversed = {
    ...Object.fromEntries(Object.entries(bundle).reverse()),
    upstreams: [...bundle.upstreams].reverse(),
  } as typeof bundle;
  const left = signBundle(bundle, FORMER_KEY)._unsafeUnwrap();
  const right = signBundle(reversed, FORMER_KEY)._unsafeUnwrap();
  t.deepEqual(right, left);
});

test("either of two keys verifies a bundle during a key rotation", (t) => {
  const bothSigned = addSignature(signedExample(), NEXT_KEY);
  for (const key of [FORMER_KEY, NEXT_KEY]) {
    t.true(verifySignedBundle(bothSigned, [trustedKeyOf(key)]).isOk());
  }
  const bothTrusted = [trustedKeyOf(NEXT_KEY), trustedKeyOf(FORMER_KEY)];
  t.true(verifySignedBundle(signedExample(), bothTrusted).isOk());
});

test("a bundle that changed after signing is rejected", (t) => {
  const signed = signedExample();
  const trusted = [trustedKeyOf(FORMER_KEY)];
  const { bundle } = signed;
  const [account] = bundle.clientAccounts;
  const duplicate = { ...account!, keyDigests: ["0".repeat(64)] };
  const forgeries = [
    { ...bundle, version: 2 as typeof bundle.version },
    { ...bundle, deployment: "cairo" },
    { ...bundle, clientAccounts: [duplicate, ...bundle.clientAccounts] },
    { ...bundle, clientAccounts: bundle.clientAccounts.slice(1) },
    { ...bundle, domainDistanceMs: 3 },
  ];
  for (const forged of forgeries) {
    const result = verifySignedBundle({ ...signed, bundle: forged }, trusted);
    t.true(result.isErr());
  }
});

test("a signature is not valid for another version", (t) => {
  const first = signedExample(1);
  const second = signedExample(2);
  const mismatched = { ...second, signatures: first.signatures };
  const result = verifySignedBundle(mismatched, [trustedKeyOf(FORMER_KEY)]);
  t.deepEqual(result._unsafeUnwrapErr(), {
    kind: "bad-signature",
    keyId: "former",
  });
});

test("an untrusted key with a trusted id is rejected", (t) => {
  const untrustedKey = generateSigningKey("former");
  const bundle = exampleBundle("fukuoka");
  const signed = signBundle(bundle, untrustedKey)._unsafeUnwrap();
  const trusted = [trustedKeyOf(FORMER_KEY)];
  t.is(
    verifySignedBundle(signed, trusted)._unsafeUnwrapErr().kind,
    "bad-signature",
  );
  t.is(
    verifySignedBundle(signed, [trustedKeyOf(NEXT_KEY)])._unsafeUnwrapErr()
      .kind,
    "unknown-key",
  );
});

test("a corrupted signed bundle is rejected or has the same content", (t) => {
  const signed = signedExample();
  const trusted = [trustedKeyOf(FORMER_KEY)];
  const original = canonicalJson(signed.bundle);
  const property = fc.property(
    corruptedText(JSON.stringify(signed)),
    (text) => {
      const verified = parseDocument(text, signedBundleSchema, { file: "any" })
        .mapErr((): unknown => "unreadable")
        .andThen((read) => verifySignedBundle(read, trusted));
      return verified.isErr() ||
        canonicalJson(verified.value.bundle) === original;
    },
  );
  t.notThrows(() => fc.assert(property, { seed: 7, numRuns: 500 }));
});
