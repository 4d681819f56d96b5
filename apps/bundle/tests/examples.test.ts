import { fileURLToPath } from "node:url";
import test from "ava";
import {
  bundleSchema,
  checkBundle,
  EXAMPLE_DEPLOYMENTS,
  exampleBundle,
  readDocument,
} from "@wasabivane/bundle";

for (const deployment of EXAMPLE_DEPLOYMENTS) {
  test(`the bundle file of ${deployment} is the example in code`, (t) => {
    const file = fileURLToPath(
      new URL(`../../../examples/${deployment}/bundle.jsonc`, import.meta.url),
    );
    const read = readDocument(file, bundleSchema, { check: checkBundle });
    t.deepEqual(read._unsafeUnwrap(), exampleBundle(deployment));
  });
}
