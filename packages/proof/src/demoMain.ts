import process from "node:process";
import {
  type Bundle,
  demoApiKey,
  type ExampleDeployment,
} from "@wasabivane/bundle";
import { type EntryProcess, type Fleet, startFleet } from "./fleet.ts";

const HOSTS = 6;
const REQUESTS = 120;
const KEYED_SAVES = 10;
const SENDS_PER_KEY = 3;
const JOBS = 4;
const JOB_WAIT_MS = 20_000;
const TIME_SCALE = 20;

type Counts = Map<string, number>;

interface DemoRequest {
  readonly url: string;
  readonly init: RequestInit;
}

/** Runs the demo against one example deployment and prints the outcomes. */
async function runDemo(deployment: ExampleDeployment): Promise<boolean> {
  const startedAt = performance.now();
  const fleet = await startFleet({
    deployment,
    hosts: HOSTS,
    timeScale: TIME_SCALE,
  });
  try {
    print(`${deployment}: ${HOSTS} entry hosts in front of 16 upstreams`);
    const hasNoCut = await runMixedRequests(fleet);
    const isRunOnce = await runKeyedSaves(fleet);
    const areJobsKept = await runJobs(fleet);
    const seconds = ((performance.now() - startedAt) / 1000).toFixed(1);
    print(`  took ${seconds} s\n`);
    return hasNoCut && isRunOnce && areJobsKept;
  } finally {
    await fleet.stop();
  }
}

async function runMixedRequests({ entries, bundle }: Fleet): Promise<boolean> {
  const counts: Counts = new Map();
  const requests = Array.from({ length: REQUESTS }, (_, index) => {
    const entry = entries[index % entries.length]!;
    return createRequest(entry.callerUrl, { index, bundle });
  });
  await Promise.all(
    requests.map(async (request) =>
      countOutcome(counts, await sendRequest(request))
    ),
  );
  print(`  ${REQUESTS} requests: streamed, unary and to the plain service`);
  for (const [outcome, count] of [...counts].sort()) {
    print(`    ${outcome.padEnd(40)} ${count}`);
  }
  return !counts.has("cut");
}

/** Sends each save through several hosts concurrently with one key. */
async function runKeyedSaves(fleet: Fleet): Promise<boolean> {
  const outcomes: string[] = [];
  for (let save = 0; save < KEYED_SAVES; save++) {
    const key = await fetchTicket(fleet.entries[save % HOSTS]!, fleet.bundle);
    const sends = Array.from({ length: SENDS_PER_KEY }, (_, index) => {
      const { callerUrl } = fleet.entries[(save + index) % HOSTS]!;
      return sendRequest(
        createSaveRequest(callerUrl, { key, bundle: fleet.bundle }),
      );
    });
    outcomes.push(...await Promise.all(sends));
  }
  const complete = outcomes.filter((outcome) => outcome === "whole").length;
  const runs = [...fleet.deployment.plainServices.values()]
    .flatMap((plain) => Object.values(plain.runs.byKey))
    .reduce((sum, count) => sum + count, 0);
  print(
    `  ${KEYED_SAVES} saves, each sent through ${SENDS_PER_KEY} hosts concurrently`,
  );
  print(`    runs at the plain service                ${runs}`);
  print(`    complete responses                       ${complete}`);
  return runs <= KEYED_SAVES;
}

/** Submits jobs to a host, kills it and fetches the results elsewhere. */
async function runJobs({ entries, bundle }: Fleet): Promise<boolean> {
  const [holder, ...others] = entries;
  const locations: string[] = [];
  for (let job = 0; job < JOBS; job++) {
    const location = await submitJob(holder!, { job, bundle });
    if (location !== undefined) locations.push(location);
  }
  holder!.process.kill("SIGKILL");
  const outcomes = await Promise.all(locations.map((location, index) => {
    const { callerUrl } = others[index % others.length]!;
    const url = `${callerUrl}${location}?waitMs=${JOB_WAIT_MS}`;
    return sendRequest({
      url,
      init: { headers: authorizationHeaders(bundle) },
    });
  }));
  const complete = outcomes.filter((outcome) => outcome === "whole").length;
  print(`  ${locations.length} jobs accepted by a host that was then killed`);
  print(`    fetched through other hosts              ${complete}`);
  return complete === locations.length;
}

async function submitJob(
  { callerUrl }: EntryProcess,
  { job, bundle }: { job: number; bundle: Bundle },
): Promise<string | undefined> {
  const { url, init } = createChatRequest(callerUrl, {
    bundle,
    content: `Review clause ${job} [[tokens=50]]`,
  });
  const headers = { ...authorizationHeaders(bundle), prefer: "respond-async" };
  const response = await fetch(url, { ...init, headers });
  return response.headers.get("location") ?? undefined;
}

async function fetchTicket(
  { callerUrl }: EntryProcess,
  bundle: Bundle,
): Promise<string> {
  const headers = authorizationHeaders(bundle);
  const response = await fetch(`${callerUrl}/v1/tickets`, {
    method: "POST",
    headers,
  });
  const { key } = await response.json() as { key: string };
  return key;
}

function createSaveRequest(
  url: string,
  { key, bundle }: { key: string; bundle: Bundle },
): DemoRequest {
  const { pathPrefix } = bundle.services.find(({ kind }) => kind === "plain")!;
  const headers = { ...authorizationHeaders(bundle), "idempotency-key": key };
  const init = { method: "POST", headers, body: "intake" };
  return { url: `${url}${pathPrefix}/intakes`, init };
}

function createRequest(
  url: string,
  { index, bundle }: { index: number; bundle: Bundle },
): DemoRequest {
  const { pathPrefix } = bundle.services.find(({ kind }) => kind === "plain")!;
  const headers = authorizationHeaders(bundle, index);
  if (index % 6 === 5) {
    return { url: `${url}${pathPrefix}/items/${index}`, init: { headers } };
  }
  const notes = "with notes ".repeat(index % 40);
  const content = `Draft plan ${index} ${notes}[[tokens=${10 + index}]]`;
  return createChatRequest(url, {
    bundle,
    content,
    index,
    isStream: index % 2 === 0,
  });
}

function createChatRequest(
  url: string,
  { bundle, content, index = 0, isStream = false }: {
    bundle: Bundle;
    content: string;
    index?: number;
    isStream?: boolean;
  },
): DemoRequest {
  const model = bundle.services.find(({ kind }) => kind === "model")!
    .models[0]!;
  const messages = [{ role: "user", content }];
  const body = JSON.stringify({ model, messages, stream: isStream });
  const headers = authorizationHeaders(bundle, index);
  return {
    url: `${url}/v1/chat/completions`,
    init: { method: "POST", headers, body },
  };
}

function authorizationHeaders(
  { clientAccounts }: Bundle,
  index = 0,
): Record<string, string> {
  const { account } = clientAccounts[index % clientAccounts.length]!;
  return { authorization: `Bearer ${demoApiKey(account)}` };
}

async function sendRequest({ url, init }: DemoRequest): Promise<string> {
  const response = await fetch(url, init).catch(() => undefined);
  const text = await response?.text().catch(() => undefined);
  if (response === undefined || text === undefined) return "cut";
  const type = response.headers.get("content-type") ?? "";
  if (type.startsWith("application/problem+json")) {
    const problem = JSON.parse(text) as { type: string; ending: string };
    return `${problem.ending} (${problem.type.split(":").at(-1)})`;
  }
  if (response.status === 202) return "still waiting";
  if (!type.startsWith("text/event-stream")) return "whole";
  return text.endsWith("data: [DONE]\n\n")
    ? "whole"
    : "broken off with an error event";
}

function countOutcome(counts: Counts, outcome: string): void {
  counts.set(outcome, (counts.get(outcome) ?? 0) + 1);
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

const isFukuokaSuccessful = await runDemo("fukuoka");
const isCairoSuccessful = await runDemo("cairo");
process.exit(isFukuokaSuccessful && isCairoSuccessful ? 0 : 1);
