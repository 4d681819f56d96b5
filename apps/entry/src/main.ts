#!/usr/bin/env node
import process from "node:process";
import { runEntryProgram } from "./program.ts";
import { VERSION } from "./version.ts";

const STOP_SIGNALS = ["SIGTERM", "SIGINT"] as const;

function whenStopped(): Promise<void> {
  return new Promise((resolve) => {
    // Kept, as a second signal would end the process before its requests.
    for (const signal of STOP_SIGNALS) process.on(signal, () => resolve());
  });
}

const exitCode = await runEntryProgram({
  argv: process.argv,
  version: VERSION,
  whenStopped,
  output: {
    write: (text) => process.stdout.write(text),
    writeError: (text) => process.stderr.write(text),
  },
});
process.exit(exitCode);
