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

test("a signed bundle passes with its key, after a way through JSON too", (t) => {
  const read = JSON.parse(JSON.stringify(signedExample()));
  t.true(verifySignedBundle(read, [trustedKeyOf(FORMER_KEY)]).isOk());
});

test("the order of lists and keys does not change the root", (t) => {
  const bundle = exampleBundle("cairo");
  const reversed = {
    ...Object.fromEntries(Object.entries(bundle).reverse()),
    upstreams: [...bundle.upstreams].reverse(),
  } as typeof bundle;
  const left = signBundle(bundle, FORMER_KEY)._unsafeUnwrap();
  const right = signBundle(reversed, FORMER_KEY)._unsafeUnwrap();
  t.deepEqual(right, left);
});

test("two keys are valid during a change of keys", (t) => {
  const bothSigned = addSignature(signedExample(), NEXT_KEY);
  for (const key of [FORMER_KEY, NEXT_KEY]) {
    t.true(verifySignedBundle(bothSigned, [trustedKeyOf(key)]).isOk());
  }
  const bothTrusted = [trustedKeyOf(NEXT_KEY), trustedKeyOf(FORMER_KEY)];
  t.true(verifySignedBundle(signedExample(), bothTrusted).isOk());
});

test("a changed limit, an added account or another version is refused", (t) => {
  const signed = signedExample();
  const trusted = [trustedKeyOf(FORMER_KEY)];
  const { bundle } = signed;
  const [account] = bundle.clientAccounts;
  const doubled = { ...account!, keyDigests: ["0".repeat(64)] };
  const forgeries = [
    { ...bundle, version: 2 as typeof bundle.version },
    { ...bundle, deployment: "cairo" },
    { ...bundle, clientAccounts: [doubled, ...bundle.clientAccounts] },
    { ...bundle, clientAccounts: bundle.clientAccounts.slice(1) },
    { ...bundle, domainDistanceMs: 3 },
  ];
  for (const forged of forgeries) {
    const result = verifySignedBundle({ ...signed, bundle: forged }, trusted);
    t.true(result.isErr());
  }
});

test("a signature does not carry over to another version's root", (t) => {
  const first = signedExample(1);
  const second = signedExample(2);
  const crossed = { ...second, signatures: first.signatures };
  const result = verifySignedBundle(crossed, [trustedKeyOf(FORMER_KEY)]);
  t.deepEqual(result._unsafeUnwrapErr(), {
    kind: "bad-signature",
    keyId: "former",
  });
});

test("a stranger's key under a trusted id is refused", (t) => {
  const stranger = generateSigningKey("former");
  const bundle = exampleBundle("fukuoka");
  const signed = signBundle(bundle, stranger)._unsafeUnwrap();
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

test("any damage to a signed bundle's text is refused or leaves the same bundle", (t) => {
  const signed = signedExample();
  const trusted = [trustedKeyOf(FORMER_KEY)];
  const untouched = canonicalJson(signed.bundle);
  const property = fc.property(
    corruptedText(JSON.stringify(signed)),
    (text) => {
      const taken = parseDocument(text, signedBundleSchema, { file: "any" })
        .mapErr((): unknown => "unreadable")
        .andThen((read) => verifySignedBundle(read, trusted));
      return taken.isErr() || canonicalJson(taken.value.bundle) === untouched;
    },
  );
  t.notThrows(() => fc.assert(property, { seed: 7, numRuns: 500 }));
});
