import process from "node:process";
import { cac } from "cac";
import { benchEntry } from "./entryBench.ts";

const program = cac("bench");
program.option("--json", "Print one JSON object");
program.command("", "Measure one entry process").action(
  async (options: { json?: boolean }) => {
    const figures = await benchEntry();
    if (options.json) process.stdout.write(`${JSON.stringify(figures)}\n`);
    else {for (const [name, value] of Object.entries(figures)) {
        process.stdout.write(`${name.padEnd(24)} ${value}\n`);
      }}
  },
);
program.help();
program.parse(process.argv, { run: false });
await program.runMatchedCommand();
process.exit(0);
