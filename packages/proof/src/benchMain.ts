import process from "node:process";
import { cac } from "cac";
import { benchDecisions } from "./decisionBench.ts";
import { benchEntry } from "./entryBench.ts";

interface Flags {
  readonly json?: boolean;
  readonly decisions?: boolean;
}

function print(figures: object): void {
  for (const [name, value] of Object.entries(figures)) {
    process.stdout.write(`${name.padEnd(24)} ${JSON.stringify(value)}\n`);
  }
}

async function run({ json, decisions }: Flags): Promise<void> {
  const figures = decisions
    ? { decisions: benchDecisions() }
    : await benchEntry();
  if (json) process.stdout.write(`${JSON.stringify(figures)}\n`);
  else print(figures);
}

const program = cac("bench");
program.option("--json", "Print one JSON object");
program.option("--decisions", "Measure decisions by pool size instead");
program.command("", "Measure one entry process").action(run);
program.help();
program.parse(process.argv, { run: false });
await program.runMatchedCommand();
process.exit(0);
