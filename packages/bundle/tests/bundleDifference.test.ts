import test from "ava";
import fc from "fast-check";
import {
  applyBundleDifference,
  type Bundle,
  bundleDifferenceSchema,
  bundleParts,
  canonicalJson,
  createBundleDifference,
  DigestTree,
  exampleBundle,
  exampleSigningKey,
  parseDocument,
  signBundle,
  type SignedBundle,
  trustedKeyOf,
  verifySignatures,
  verifySignedBundle,
} from "@wasabivane/bundle";
import { corruptedText } from "./helpers/corruptedText.ts";

const KEY = exampleSigningKey();
const TRUSTED = [trustedKeyOf(KEY)];

function signed(bundle: Bundle): SignedBundle {
  return signBundle(bundle, KEY)._unsafeUnwrap();
}

function signedExample(
  version: number,
  change: Partial<Bundle> = {},
): SignedBundle {
  return signed({ ...exampleBundle("fukuoka", { version }), ...change });
}

test("a difference contains only changed parts and produces the signed bundle", (t) => {
  const from = signedExample(1);
  const [first, ...others] = from.bundle.upstreams;
  const moved = { ...first!, url: "http://127.0.0.1:9999" };
  const to = signedExample(2, { upstreams: [moved, ...others.slice(1)] });
  const difference = createBundleDifference(from, to)._unsafeUnwrap();
  t.deepEqual(
    difference.changed.map(({ kind }) => kind),
    ["scalars", "upstream"],
  );
  t.is(difference.removed.length, 1);
  const received = bundleDifferenceSchema.parse(
    JSON.parse(JSON.stringify(difference)),
  );
  const applied = applyBundleDifference(from, received)._unsafeUnwrap();
  t.deepEqual(applied, to);
  t.true(verifySignatures(applied, TRUSTED).isOk());
  t.true(verifySignedBundle(applied, TRUSTED).isOk());
});

test("cached digests are not used for a modified copy of the bundle", (t) => {
  // Otherwise a modified copy of a bundle would pass verification unsigned.
  const [from, to] = [
    signedExample(1),
    signedExample(2, { domainDistanceMs: 7 }),
  ];
  const difference = createBundleDifference(from, to)._unsafeUnwrap();
  const applied = applyBundleDifference(from, difference)._unsafeUnwrap();
  t.true(verifySignedBundle(applied, TRUSTED).isOk());
  const altered = { ...applied.bundle, domainDistanceMs: 8 };
  const forged = verifySignedBundle({ ...applied, bundle: altered }, TRUSTED);
  t.is(forged._unsafeUnwrapErr().kind, "root-mismatch");
  const others = { ...applied, signatures: from.signatures };
  const mismatched = verifySignedBundle(others, TRUSTED);
  t.is(mismatched._unsafeUnwrapErr().kind, "bad-signature");
});

test("a difference with another base, an older version or another deployment is rejected", (t) => {
  const [first, second, third] = [
    signedExample(1),
    signedExample(2),
    signedExample(3),
  ];
  const difference = createBundleDifference(second, third)._unsafeUnwrap();
  t.is(
    applyBundleDifference(first, difference)._unsafeUnwrapErr().kind,
    "other-base",
  );
  t.is(
    applyBundleDifference(third, difference)._unsafeUnwrapErr().kind,
    "other-base",
  );
  t.is(
    createBundleDifference(third, second)._unsafeUnwrapErr().kind,
    "not-newer",
  );
  const cairo = signed(exampleBundle("cairo", { version: 4 }));
  t.is(
    createBundleDifference(first, cairo)._unsafeUnwrapErr().kind,
    "other-deployment",
  );
});

test("a forged difference is rejected by its root", (t) => {
  const from = signedExample(1);
  const difference = createBundleDifference(from, signedExample(2))
    ._unsafeUnwrap();
  const [account] = from.bundle.clientAccounts;
  const forged = {
    ...difference,
    changed: [...difference.changed, {
      kind: "client-account" as const,
      value: { ...account!, keyDigests: ["0".repeat(64)] },
    }],
  };
  t.is(
    applyBundleDifference(from, forged)._unsafeUnwrapErr().kind,
    "root-mismatch",
  );
  const { version } = signedExample(9).bundle;
  const relabelled = { ...difference, toVersion: version };
  t.is(
    applyBundleDifference(from, relabelled)._unsafeUnwrapErr().kind,
    "root-mismatch",
  );
});

test("a sequence of differences gives the same root as digesting the bundle", (t) => {
  const urls = fc.array(
    fc.record({ index: fc.nat(15), port: fc.integer({ min: 1, max: 65535 }) }),
    { minLength: 1, maxLength: 8 },
  );
  const property = fc.property(urls, (changes) => {
    let current = signedExample(1);
    for (const [step, { index, port }] of changes.entries()) {
      const upstreams = [...current.bundle.upstreams];
      upstreams[index] = {
        ...upstreams[index]!,
        url: `http://127.0.0.1:${port}`,
      };
      const next = signedExample(step + 2, { upstreams });
      const difference = createBundleDifference(current, next)._unsafeUnwrap();
      current = applyBundleDifference(current, difference)._unsafeUnwrap();
    }
    const parts = bundleParts(current.bundle)._unsafeUnwrap();
    return DigestTree.fromParts(parts.values()).root === current.root;
  });
  t.notThrows(() => fc.assert(property, { seed: 3, numRuns: 25 }));
});

test("a corrupted difference is rejected or produces the same bundle", (t) => {
  const [from, to] = [
    signedExample(1),
    signedExample(2, { domainDistanceMs: 2 }),
  ];
  const difference = createBundleDifference(from, to)._unsafeUnwrap();
  const original = canonicalJson(to.bundle);
  const text = corruptedText(JSON.stringify(difference));
  const property = fc.property(text, (corrupted) => {
    const applied = parseDocument(corrupted, bundleDifferenceSchema, {
      file: "any",
    })
      .mapErr((): unknown => "unreadable")
      .andThen((read) => applyBundleDifference(from, read))
      .andThen((result) => verifySignatures(result, TRUSTED));
    return applied.isErr() || canonicalJson(applied.value.bundle) === original;
  });
  t.notThrows(() => fc.assert(property, { seed: 9, numRuns: 500 }));
});
