import process from "node:process";
import { cac } from "cac";
import type { Slope } from "./slope.ts";
import { measureSlopes } from "./slopes.ts";

function formatSlope(
  { name, fit, r2, atTarget, budget, holds, unit }: Slope,
): string {
  const budgetStatus = holds === null ? "" : holds ? "holds" : "DOES NOT HOLD";
  const columns = [
    name.padEnd(30),
    String(fit.slope).padStart(12),
    r2.toFixed(3).padStart(8),
    String(atTarget).padStart(12),
    String(budget ?? "-").padStart(12),
  ];
  return `${columns.join(" ")}  ${unit} ${budgetStatus}\n`;
}

const program = cac("slopes");
program.option("--json", "Print one JSON object");
program.option(
  "--only <prefix>",
  "Measure only groups with a slope name of this prefix",
);
program.command("", "Measure how costs grow with the size of a deployment")
  .action(
    async ({ json, only }: { json?: boolean; only?: string }) => {
      const slopes = await measureSlopes({
        prefix: only,
        onGroup: ([first], seconds) =>
          process.stderr.write(
            `Group of ${first}: ${seconds.toFixed(1)} s\n`,
          ),
      });
      if (json) process.stdout.write(`${JSON.stringify({ slopes })}\n`);
      else for (const slope of slopes) process.stdout.write(formatSlope(slope));
    },
  );
program.help();
program.parse(process.argv, { run: false });
await program.runMatchedCommand();
process.exit(0);
