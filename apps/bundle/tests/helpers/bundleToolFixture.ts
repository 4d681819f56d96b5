import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { ExecutionContext } from "ava";
import { createBundleTemplate, runBundleTool } from "@wasabivane/bundle-tool";
import type { ExampleDeployment } from "@wasabivane/bundle";

/** Exit code and output of one run of the tool. */
export interface ToolResult {
  readonly exitCode: number;
  readonly stdout: string;
  readonly stderr: string;
}

/** Runs the tool on files in a temporary folder. */
export class BundleToolFixture {
  readonly #folder = mkdtempSync(join(tmpdir(), "wasabivane-"));

  constructor(t: ExecutionContext) {
    t.teardown(() => rmSync(this.#folder, { recursive: true }));
  }

  path(name: string): string {
    return join(this.#folder, name);
  }

  read(name: string): string {
    return readFileSync(this.path(name), "utf8");
  }

  write(name: string, text: string): string {
    writeFileSync(this.path(name), text);
    return this.path(name);
  }

  /** Writes an example bundle after applying `edit` to its text. */
  writeBundle(
    name: string,
    { deployment = "fukuoka", edit = (text) => text }: {
      deployment?: ExampleDeployment;
      edit?: (text: string) => string;
    } = {},
  ): string {
    return this.write(name, edit(createBundleTemplate(deployment)));
  }

  /** Runs the tool with command-line arguments. */
  async run(...args: string[]): Promise<ToolResult> {
    let stdout = "";
    let stderr = "";
    const exitCode = await runBundleTool({
      argv: ["node", "wasabivane-bundle", ...args],
      version: "0.0.0",
      output: {
        write: (text) => void (stdout += text),
        writeError: (text) => void (stderr += text),
      },
    });
    return { exitCode, stdout, stderr };
  }

  /** Creates a key pair and a file of trusted keys that contains it. */
  async makeKey(keyId: string): Promise<{ key: string; trust: string }> {
    const key = this.path(`${keyId}.pem`);
    const { stdout } = await this.run(
      "keygen",
      "--json",
      "--key-id",
      keyId,
      "--out",
      key,
    );
    const trustedKeys = JSON.stringify([JSON.parse(stdout).trustedKey]);
    return { key, trust: this.write(`${keyId}.trust.json`, trustedKeys) };
  }
}
