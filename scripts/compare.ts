/**
 * Plays days of the users' bench on two checkouts, paired by seed and without processor
 * time charged, and prints the mean difference of worth with its interval.
 *
 *   node --import=tsx scripts/compare.ts --bench PATH BASE CHANGED SITE:DAY ...
 */
import { spawn } from "node:child_process";
import process from "node:process";
import { cac } from "cac";

/** Two-sided 95 % of the normal distribution. */
const Z = 1.96;
const WORTH = /^worth (-?[\d.]+) =/m;
const BROKEN = /^rules broken: (.*)$/m;

interface Play {
  readonly site: string;
  readonly day: string;
  readonly seed: number;
}

interface Outcome {
  readonly worth: number;
  readonly broken: string;
}

interface Pair extends Play {
  readonly base: Outcome;
  readonly changed: Outcome;
}

interface Bench {
  readonly path: string;
  readonly small: boolean;
}

function play(
  checkout: string,
  { site, day, seed }: Play,
  { path, small }: Bench,
): Promise<Outcome> {
  const words = ["run", site, day, "--seed", String(seed), "--no-cpu"];
  if (small) words.push("--small");
  words.push("--why", "Comparison of two codes, paired by seed");
  return new Promise((resolve) => {
    const child = spawn(path, words, { cwd: checkout });
    let output = "";
    child.stdout.on("data", (chunk) => output += String(chunk));
    child.on("close", () =>
      resolve({
        worth: Number(WORTH.exec(output)?.[1] ?? NaN),
        broken: BROKEN.exec(output)?.[1] ?? "",
      }));
  });
}

/** Mean of the differences and half the width of its interval. */
function intervalOf(differences: readonly number[]): [number, number] {
  const count = differences.length;
  const mean = differences.reduce((sum, value) => sum + value, 0) / count;
  const squares = differences.reduce(
    (sum, value) => sum + (value - mean) ** 2,
    0,
  );
  const deviation = count > 1 ? Math.sqrt(squares / (count - 1)) : Infinity;
  return [mean, Z * deviation / Math.sqrt(count)];
}

function show({ site, day, seed, base, changed }: Pair): void {
  const name = site.slice(site.lastIndexOf("/") + 1);
  const worth = `${base.worth.toFixed(3)} / ${changed.worth.toFixed(3)}`;
  console.log(name, day, seed, worth, base.broken, "/", changed.broken);
}

async function main(): Promise<void> {
  const { args, options } = cac("compare")
    .option("--bench <path>", "The users' bench")
    .option("--seeds <list>", "Seeds, joined by commas", { default: "1,2" })
    .option("--jobs <n>", "Pairs of plays at once", { default: 1 })
    .option("--small", "Play small twins of large days")
    .help()
    .parse();
  const [baseAt, changedAt, ...days] = args;
  if (options.help || baseAt === undefined || changedAt === undefined) return;
  const bench = { path: String(options.bench), small: options.small === true };
  const seeds = String(options.seeds).split(",").map(Number);
  const plays = days.flatMap((entry) => {
    const [site = "", day = ""] = entry.split(":");
    return seeds.map((seed) => ({ site, day, seed }));
  });
  const pairs: Pair[] = [];
  const work = async (): Promise<void> => {
    for (let next = plays.shift(); next; next = plays.shift()) {
      const base = await play(baseAt, next, bench);
      const changed = await play(changedAt, next, bench);
      pairs.push({ ...next, base, changed });
      show(pairs.at(-1)!);
    }
  };
  await Promise.all(Array.from({ length: Number(options.jobs) }, work));
  const differences = pairs.map(({ base, changed }) =>
    changed.worth - base.worth
  );
  const [mean, half] = intervalOf(differences);
  console.log(
    `changed - base: ${mean.toFixed(4)} +- ${
      half.toFixed(4)
    }, ${pairs.length} pairs`,
  );
}

process.exitCode = 0;
await main();
