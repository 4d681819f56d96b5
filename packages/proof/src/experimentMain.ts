import process from "node:process";
import { cac } from "cac";
import { type LoadPattern, PATTERN_NAMES } from "./arrivalPatterns.ts";
import type { Deployment } from "./arrivals.ts";
import { type DetailedResult, runExperiment } from "./experimentPolicies.ts";
import { formatTable } from "./reportTable.ts";

interface Flags {
  readonly pattern: string;
  readonly deployment: string;
  readonly seed: number;
  readonly json?: boolean;
  readonly report?: string;
}

const DEPLOYMENTS: readonly Deployment[] = ["fukuoka", "cairo"];

/** Parses the command line, runs the experiment and prints the results. */
async function main(): Promise<void> {
  const cli = cac("experiment");
  cli.command("", "Run the decision modules in virtual time")
    .option("--pattern <name>", `One of ${PATTERN_NAMES.join(", ")}, or all`, {
      default: "steady",
    })
    .option("--deployment <name>", "fukuoka or cairo", { default: "fukuoka" })
    .option("--seed <number>", "Seed of arrivals and faults", { default: 1 })
    .option("--json", "Print one JSON object for each pattern")
    .option("--report <file>", "Write an HTML page with plots")
    .action(runCommand);
  cli.help();
  cli.parse(process.argv, { run: false });
  await cli.runMatchedCommand();
}

async function runCommand(flags: Flags): Promise<void> {
  const patterns = flags.pattern === "all" ? PATTERN_NAMES : [flags.pattern];
  const isKnown =
    patterns.every((name) => PATTERN_NAMES.includes(name as LoadPattern)) &&
    DEPLOYMENTS.includes(flags.deployment as Deployment);
  if (!isKnown || !Number.isInteger(flags.seed)) {
    process.stderr.write(
      "Unknown pattern or deployment, or a seed that is not an integer\n",
    );
    process.exitCode = 2;
    return;
  }
  const results = patterns.map((pattern) => {
    const detailed = runExperiment({
      pattern: pattern as LoadPattern,
      deployment: flags.deployment as Deployment,
      seed: flags.seed,
    });
    print(detailed, flags.json === true);
    return detailed;
  });
  if (flags.report === undefined) return;
  // Loaded on demand because the plotting library slows down the start.
  const { writeReport } = await import("./reportPage.ts");
  await writeReport(flags.report, results);
}

function print({ result }: DetailedResult, isJson: boolean): void {
  process.stdout.write(
    isJson ? `${JSON.stringify(result)}\n` : `${formatTable(result)}\n`,
  );
}

await main();
