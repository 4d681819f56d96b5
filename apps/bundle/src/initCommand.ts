import {
  EXAMPLE_DEPLOYMENTS,
  type ExampleDeployment,
  listAllowed,
} from "@wasabivane/bundle";
import { type CommandReport, EXIT_OK, UsageError } from "@wasabivane/common";
import { createBundleTemplate } from "./createBundleTemplate.ts";
import { fileWriteErrorReport, writeNewFile } from "./writeNewFile.ts";

/** Options of {@link initCommand}. */
export interface InitOptions {
  readonly deployment: string;
  readonly out?: string;
}

/** Writes a commented bundle template for one of the example deployments. */
export function initCommand({ deployment, out }: InitOptions): CommandReport {
  if (!isExampleDeployment(deployment)) {
    const allowed = listAllowed(EXAMPLE_DEPLOYMENTS, { found: deployment });
    throw new UsageError(
      `Unknown deployment ${JSON.stringify(deployment)}; allowed: ${allowed}`,
    );
  }
  const text = createBundleTemplate(deployment);
  if (out === undefined) {
    return { exitCode: EXIT_OK, data: { text }, lines: [text.trimEnd()] };
  }
  return writeNewFile(out, { text }).match(
    () => ({ exitCode: EXIT_OK, data: { file: out }, lines: [`Wrote ${out}`] }),
    fileWriteErrorReport,
  );
}

function isExampleDeployment(name: string): name is ExampleDeployment {
  return (EXAMPLE_DEPLOYMENTS as readonly string[]).includes(name);
}
