import { Buffer } from "node:buffer";
import { gzipSync } from "node:zlib";
import {
  apiKeyDigest,
  applyBundleDifference,
  type Bundle,
  bundleSchema,
  createBundleDifference,
  exampleBundle,
  exampleSigningKey,
  signBundle,
  type SignedBundle,
  trustedKeyOf,
  verifySignedBundle,
} from "@wasabivane/bundle";
import { asBundleVersion } from "@wasabivane/common";
import { minimumProcessorMs, retainedBytes } from "./resourceMeasurement.ts";
import type { SlopePoint } from "./slope.ts";
import { TARGET } from "./slopeTarget.ts";

const UPSTREAM_COUNTS = [1_000, 3_000, 6_000, 12_000];
const SIGNING_KEY = exampleSigningKey();
const TRUSTED_KEYS = [trustedKeyOf(SIGNING_KEY)];
/** Few rounds, since each verifies a whole bundle. */
const ROUNDS = 3;

/** Costs of a bundle by its number of upstreams. */
export interface BundleCosts {
  readonly bytes: SlopePoint[];
  readonly compressedBytes: SlopePoint[];
  readonly heapBytes: SlopePoint[];
  readonly verifyMs: SlopePoint[];
  readonly differenceBytes: SlopePoint[];
  readonly changeMs: SlopePoint[];
}

/** Measures bundles with the accounts and models of the target deployment. */
export function measureBundles(): BundleCosts {
  const costs = UPSTREAM_COUNTS.map(measureBundle);
  const pointsOf = (name: keyof BundleCosts): SlopePoint[] =>
    costs.map((cost, index) => [UPSTREAM_COUNTS[index]!, cost[name]]);
  return {
    bytes: pointsOf("bytes"),
    compressedBytes: pointsOf("compressedBytes"),
    heapBytes: pointsOf("heapBytes"),
    verifyMs: pointsOf("verifyMs"),
    differenceBytes: pointsOf("differenceBytes"),
    changeMs: pointsOf("changeMs"),
  };
}

function measureBundle(upstreams: number): Record<keyof BundleCosts, number> {
  const signed = sign(createTargetBundle(upstreams, 1));
  const text = JSON.stringify(signed);
  const next = sign(createTargetBundle(upstreams, 2));
  const difference = createBundleDifference(signed, next)._unsafeUnwrap();
  return {
    bytes: Buffer.byteLength(text),
    compressedBytes: gzipSync(text).length,
    heapBytes: retainedBytes(() => JSON.parse(text)),
    verifyMs: minimumProcessorMs(
      () => void verify(JSON.parse(text) as SignedBundle),
      { rounds: ROUNDS },
    ),
    differenceBytes: Buffer.byteLength(JSON.stringify(difference)),
    changeMs: minimumProcessorMs(() => {
      const applied = applyBundleDifference(signed, difference)._unsafeUnwrap();
      verify(applied);
    }, { rounds: ROUNDS }),
  };
}

function verify(signed: SignedBundle): SignedBundle {
  return verifySignedBundle(signed, TRUSTED_KEYS)._unsafeUnwrap();
}

function sign(bundle: Bundle): SignedBundle {
  return signBundle(bundle, SIGNING_KEY)._unsafeUnwrap();
}

/** Creates a bundle of the target; each version changes one upstream. */
function createTargetBundle(upstreams: number, version: number): Bundle {
  const example = exampleBundle("fukuoka");
  const domains = Array.from(
    { length: TARGET.failureDomains },
    (_, index) => ({
      failureDomain: `domain-${index + 1}`,
      region: `region-${index % TARGET.regions + 1}`,
    }),
  );
  const models = Array.from(
    { length: TARGET.models },
    (_, index) => `model-${index + 1}`,
  );
  const [account] = example.clientAccounts;
  return bundleSchema.parse({
    ...example,
    version: asBundleVersion(version),
    failureDomains: domains,
    services: models.map((model) => ({
      service: model,
      kind: "model",
      models: [model],
    })),
    upstreams: Array.from({ length: upstreams }, (_, index) => ({
      upstream: `upstream-${index + 1}`,
      service: models[index % models.length],
      url: `http://10.${index >> 16}.${index >> 8 & 255}.${index & 255}:8000`,
      failureDomain: domains[index % domains.length]!.failureDomain,
      generation: index === 0 ? `g${version}` : `g${index % 3 + 1}`,
      fencing: "checked",
    })),
    clientAccounts: Array.from({ length: TARGET.accounts }, (_, index) => ({
      ...account!,
      account: `client-account-${index + 1}`,
      keyDigests: [apiKeyDigest(`key ${index}`)],
      services: models,
    })),
  });
}
