#!/usr/bin/env node
import { createRequire } from "node:module";
import process from "node:process";
import { runOperatorTool } from "./program.ts";

const { version } = createRequire(import.meta.url)("../package.json");
const interrupt = new AbortController();
process.once("SIGINT", () => interrupt.abort());

process.exitCode = await runOperatorTool({
  argv: process.argv,
  version,
  signal: interrupt.signal,
  isTerminal: process.stdout.isTTY,
  output: {
    write: (text) => process.stdout.write(text),
    writeError: (text) => process.stderr.write(text),
  },
});
