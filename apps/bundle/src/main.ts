#!/usr/bin/env node
import { createRequire } from "node:module";
import process from "node:process";
import { runBundleTool } from "./program.ts";

const { version } = createRequire(import.meta.url)("../package.json");

process.exitCode = await runBundleTool({
  argv: process.argv,
  version,
  output: {
    write: (text) => process.stdout.write(text),
    writeError: (text) => process.stderr.write(text),
  },
});
