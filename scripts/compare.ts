/**
 * Runs benchmark days on two checkouts with the same seeds, without charging
 * processor time, and prints the mean difference of their worth with its 95 %
 * confidence interval.
 *
 *   node --import=tsx scripts/compare.ts --bench PATH BASE CHANGED SITE:DAY ...
 */
import { spawn } from "node:child_process";
import process from "node:process";
import { cac } from "cac";

/** Two-sided 95 % quantile of the standard normal distribution. */
const Z_SCORE = 1.96;
const WORTH_LINE = /^worth (-?[\d.]+) =/m;
const BROKEN_RULES_LINE = /^rules broken: (.*)$/m;

interface BenchmarkRun {
  readonly site: string;
  readonly day: string;
  readonly seed: number;
}

interface BenchmarkResult {
  readonly worth: number;
  readonly brokenRules: string;
}

interface ResultPair extends BenchmarkRun {
  readonly base: BenchmarkResult;
  readonly changed: BenchmarkResult;
}

interface BenchmarkProgram {
  readonly path: string;
  readonly isSmall: boolean;
}

function runBenchmark(
  checkout: string,
  { site, day, seed }: BenchmarkRun,
  { path, isSmall }: BenchmarkProgram,
): Promise<BenchmarkResult> {
  const args = ["run", site, day, "--seed", String(seed), "--no-cpu"];
  if (isSmall) args.push("--small");
  args.push("--why", "Comparison of two codes, paired by seed");
  return new Promise((resolve) => {
    const child = spawn(path, args, { cwd: checkout });
    let output = "";
    child.stdout.on("data", (chunk) => output += String(chunk));
    child.on("close", () =>
      resolve({
        worth: Number(WORTH_LINE.exec(output)?.[1] ?? NaN),
        brokenRules: BROKEN_RULES_LINE.exec(output)?.[1] ?? "",
      }));
  });
}

/** Computes the mean and half the width of its confidence interval. */
function confidenceInterval(differences: readonly number[]): [number, number] {
  const count = differences.length;
  const mean = differences.reduce((sum, value) => sum + value, 0) / count;
  const squaredDeviations = differences.reduce(
    (sum, value) => sum + (value - mean) ** 2,
    0,
  );
  const standardDeviation = count > 1
    ? Math.sqrt(squaredDeviations / (count - 1))
    : Infinity;
  return [mean, Z_SCORE * standardDeviation / Math.sqrt(count)];
}

function printPair({ site, day, seed, base, changed }: ResultPair): void {
  const name = site.slice(site.lastIndexOf("/") + 1);
  const worth = `${base.worth.toFixed(3)} / ${changed.worth.toFixed(3)}`;
  console.log(
    name,
    day,
    seed,
    worth,
    base.brokenRules,
    "/",
    changed.brokenRules,
  );
}

async function main(): Promise<void> {
  const { args, options } = cac("compare")
    .option("--bench <path>", "Path of the benchmark program")
    .option("--seeds <list>", "Seeds, separated by commas", { default: "1,2" })
    .option("--jobs <n>", "Pairs of runs at the same time", { default: 1 })
    .option("--small", "Run the small variants of large days")
    .help()
    .parse();
  const [basePath, changedPath, ...siteDays] = args;
  if (options.help || basePath === undefined || changedPath === undefined) {
    return;
  }
  const program = {
    path: String(options.bench),
    isSmall: options.small === true,
  };
  const seeds = String(options.seeds).split(",").map(Number);
  const runs = siteDays.flatMap((entry) => {
    const [site = "", day = ""] = entry.split(":");
    return seeds.map((seed) => ({ site, day, seed }));
  });
  const pairs: ResultPair[] = [];
  const runPairs = async (): Promise<void> => {
    for (let next = runs.shift(); next; next = runs.shift()) {
      const base = await runBenchmark(basePath, next, program);
      const changed = await runBenchmark(changedPath, next, program);
      pairs.push({ ...next, base, changed });
      printPair(pairs.at(-1)!);
    }
  };
  await Promise.all(Array.from({ length: Number(options.jobs) }, runPairs));
  const differences = pairs.map(({ base, changed }) =>
    changed.worth - base.worth
  );
  const [mean, halfWidth] = confidenceInterval(differences);
  console.log(
    `changed - base: ${mean.toFixed(4)} +- ${
      halfWidth.toFixed(4)
    }, ${pairs.length} pairs`,
  );
}

process.exitCode = 0;
await main();
