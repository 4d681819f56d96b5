import { readdirSync } from "node:fs";
import { fileURLToPath } from "node:url";
import test from "ava";
import {
  bundleSchema,
  checkBundle,
  EXAMPLE_DEPLOYMENTS,
  exampleBundle,
  exampleSigningKey,
  readDocument,
  trustedKeyOf,
} from "@wasabivane/bundle";
import { settingsSchema } from "../../entry/src/settings.ts";

function exampleFile(deployment: string, name = ""): string {
  const url = new URL(
    `../../../examples/${deployment}/${name}`,
    import.meta.url,
  );
  return fileURLToPath(url);
}

for (const deployment of EXAMPLE_DEPLOYMENTS) {
  test(`the bundle file of ${deployment} equals the example in the code`, (t) => {
    const file = exampleFile(deployment, "bundle.jsonc");
    const read = readDocument(file, bundleSchema, { check: checkBundle });
    t.deepEqual(read._unsafeUnwrap(), exampleBundle(deployment));
  });

  test(`the entry settings of ${deployment} are valid and trust the example key`, (t) => {
    const names = readdirSync(exampleFile(deployment)).filter((name) =>
      name.startsWith("entry-")
    );
    const settings = names.map((name) =>
      readDocument(exampleFile(deployment, name), settingsSchema)
        ._unsafeUnwrap()
    );
    const domains = exampleBundle(deployment).failureDomains;
    t.deepEqual(
      settings.map(({ failureDomain }) => failureDomain),
      domains.map(({ failureDomain }) => failureDomain),
    );
    for (const { trustedKeys } of settings) {
      t.deepEqual(trustedKeys, [trustedKeyOf(exampleSigningKey())]);
    }
  });
}
