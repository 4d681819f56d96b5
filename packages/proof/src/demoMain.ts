import process from "node:process";
import {
  type Bundle,
  demoApiKey,
  type ExampleDeployment,
} from "@wasabivane/bundle";
import { startFleet } from "./fleet.ts";

const HOSTS = 4;
const REQUESTS = 120;
const TIME_SCALE = 20;

type Counts = Map<string, number>;

interface DemoCall {
  readonly url: string;
  readonly init: RequestInit;
}

/** Sends requests to both users' deployments and prints how they ended. */
async function demonstrate(deployment: ExampleDeployment): Promise<boolean> {
  const startedAt = performance.now();
  const fleet = await startFleet({
    deployment,
    hosts: HOSTS,
    timeScale: TIME_SCALE,
  });
  try {
    const counts: Counts = new Map();
    const calls = Array.from({ length: REQUESTS }, (_, index) => {
      const entry = fleet.entries[index % fleet.entries.length]!;
      return callOf(entry.callerUrl, { index, bundle: fleet.bundle });
    });
    await Promise.all(
      calls.map(async (call) => add(counts, await endingOf(call))),
    );
    const seconds = ((performance.now() - startedAt) / 1000).toFixed(1);
    print(
      `${deployment}: ${REQUESTS} requests through ${HOSTS} entry hosts to 16 upstreams, ${seconds} s`,
    );
    for (const [ending, count] of [...counts].sort()) {
      print(`  ${ending.padEnd(40)} ${count}`);
    }
    return !counts.has("cut");
  } finally {
    await fleet.stop();
  }
}

function callOf(
  url: string,
  { index, bundle }: { index: number; bundle: Bundle },
): DemoCall {
  const account = bundle.clientAccounts[index % bundle.clientAccounts.length]!;
  const authorization = `Bearer ${demoApiKey(account.account)}`;
  const plain = bundle.services.find(({ kind }) => kind === "plain")!;
  if (index % 6 === 5) {
    return {
      url: `${url}${plain.pathPrefix}/items/${index}`,
      init: { headers: { authorization } },
    };
  }
  const model = bundle.services.find(({ kind }) => kind === "model")!
    .models[0]!;
  const content = `Draft plan ${index} ${
    "with notes ".repeat(index % 40)
  }[[tokens=${10 + index}]]`;
  const messages = [{ role: "user", content }];
  const body = JSON.stringify({ model, messages, stream: index % 2 === 0 });
  return {
    url: `${url}/v1/chat/completions`,
    init: { method: "POST", headers: { authorization }, body },
  };
}

async function endingOf({ url, init }: DemoCall): Promise<string> {
  const answer = await fetch(url, init).catch(() => undefined);
  const text = await answer?.text().catch(() => undefined);
  if (answer === undefined || text === undefined) return "cut";
  const type = answer.headers.get("content-type") ?? "";
  if (type.startsWith("application/problem+json")) {
    const { type: problem, ending } = JSON.parse(text) as {
      type: string;
      ending: string;
    };
    return `${ending} (${problem.split(":").at(-1)})`;
  }
  if (!type.startsWith("text/event-stream")) return "whole";
  return text.endsWith("data: [DONE]\n\n")
    ? "whole"
    : "broken off with an error event";
}

function add(counts: Counts, ending: string): void {
  counts.set(ending, (counts.get(ending) ?? 0) + 1);
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

const isFukuokaFine = await demonstrate("fukuoka");
const isCairoFine = await demonstrate("cairo");
process.exit(isFukuokaFine && isCairoFine ? 0 : 1);
