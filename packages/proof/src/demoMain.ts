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
const SENDINGS = 3;
const JOBS = 4;
const JOB_WAIT_MS = 20_000;
const TIME_SCALE = 20;

type Counts = Map<string, number>;

interface DemoCall {
  readonly url: string;
  readonly init: RequestInit;
}

/** Sends requests to one user's deployment and prints how they ended. */
async function demonstrate(deployment: ExampleDeployment): Promise<boolean> {
  const startedAt = performance.now();
  const fleet = await startFleet({
    deployment,
    hosts: HOSTS,
    timeScale: TIME_SCALE,
  });
  try {
    print(`${deployment}: ${HOSTS} entry hosts before 16 upstreams`);
    const isServed = await serveMany(fleet);
    const isOnce = await saveOnce(fleet);
    const isKept = await keepJobs(fleet);
    const seconds = ((performance.now() - startedAt) / 1000).toFixed(1);
    print(`  took ${seconds} s\n`);
    return isServed && isOnce && isKept;
  } finally {
    await fleet.stop();
  }
}

async function serveMany({ entries, bundle }: Fleet): Promise<boolean> {
  const counts: Counts = new Map();
  const calls = Array.from({ length: REQUESTS }, (_, index) => {
    const entry = entries[index % entries.length]!;
    return callOf(entry.callerUrl, { index, bundle });
  });
  await Promise.all(
    calls.map(async (call) => add(counts, await endingOf(call))),
  );
  print(`  ${REQUESTS} requests, streamed, whole and to the plain service`);
  for (const [ending, count] of [...counts].sort()) {
    print(`    ${ending.padEnd(40)} ${count}`);
  }
  return !counts.has("cut");
}

/** Each save is sent through several hosts at once under one key. */
async function saveOnce(fleet: Fleet): Promise<boolean> {
  const endings: string[] = [];
  for (let save = 0; save < KEYED_SAVES; save++) {
    const key = await ticketFrom(fleet.entries[save % HOSTS]!, fleet.bundle);
    const sendings = Array.from({ length: SENDINGS }, (_, index) => {
      const { callerUrl } = fleet.entries[(save + index) % HOSTS]!;
      return endingOf(saveCall(callerUrl, { key, bundle: fleet.bundle }));
    });
    endings.push(...await Promise.all(sendings));
  }
  const whole = endings.filter((ending) => ending === "whole").length;
  const runs = [...fleet.deployment.plainServices.values()]
    .flatMap((plain) => Object.values(plain.runs.byKey))
    .reduce((sum, count) => sum + count, 0);
  print(`  ${KEYED_SAVES} saves, each sent through ${SENDINGS} hosts at once`);
  print(`    runs at the plain service                ${runs}`);
  print(`    whole answers                            ${whole}`);
  return runs <= KEYED_SAVES;
}

/** Jobs are taken by one host, which is killed before they are fetched. */
async function keepJobs({ entries, bundle }: Fleet): Promise<boolean> {
  const [holder, ...others] = entries;
  const locations: string[] = [];
  for (let job = 0; job < JOBS; job++) {
    const location = await handIn(holder!, { job, bundle });
    if (location !== undefined) locations.push(location);
  }
  holder!.process.kill("SIGKILL");
  const endings = await Promise.all(locations.map((location, index) => {
    const { callerUrl } = others[index % others.length]!;
    const url = `${callerUrl}${location}?waitMs=${JOB_WAIT_MS}`;
    return endingOf({ url, init: { headers: authorizationOf(bundle) } });
  }));
  const whole = endings.filter((ending) => ending === "whole").length;
  print(`  ${locations.length} jobs accepted by a host that was then killed`);
  print(`    fetched whole through other hosts        ${whole}`);
  return whole === locations.length;
}

async function handIn(
  { callerUrl }: EntryProcess,
  { job, bundle }: { job: number; bundle: Bundle },
): Promise<string | undefined> {
  const { url, init } = chatCall(callerUrl, {
    bundle,
    content: `Review clause ${job} [[tokens=50]]`,
  });
  const headers = { ...authorizationOf(bundle), prefer: "respond-async" };
  const answer = await fetch(url, { ...init, headers });
  return answer.headers.get("location") ?? undefined;
}

async function ticketFrom(
  { callerUrl }: EntryProcess,
  bundle: Bundle,
): Promise<string> {
  const headers = authorizationOf(bundle);
  const answer = await fetch(`${callerUrl}/v1/tickets`, {
    method: "POST",
    headers,
  });
  const { key } = await answer.json() as { key: string };
  return key;
}

function saveCall(
  url: string,
  { key, bundle }: { key: string; bundle: Bundle },
): DemoCall {
  const { pathPrefix } = bundle.services.find(({ kind }) => kind === "plain")!;
  const headers = { ...authorizationOf(bundle), "idempotency-key": key };
  const init = { method: "POST", headers, body: "intake" };
  return { url: `${url}${pathPrefix}/intakes`, init };
}

function callOf(
  url: string,
  { index, bundle }: { index: number; bundle: Bundle },
): DemoCall {
  const { pathPrefix } = bundle.services.find(({ kind }) => kind === "plain")!;
  const headers = authorizationOf(bundle, index);
  if (index % 6 === 5) {
    return { url: `${url}${pathPrefix}/items/${index}`, init: { headers } };
  }
  const notes = "with notes ".repeat(index % 40);
  const content = `Draft plan ${index} ${notes}[[tokens=${10 + index}]]`;
  return chatCall(url, { bundle, content, index, isStream: index % 2 === 0 });
}

function chatCall(
  url: string,
  { bundle, content, index = 0, isStream = false }: {
    bundle: Bundle;
    content: string;
    index?: number;
    isStream?: boolean;
  },
): DemoCall {
  const model = bundle.services.find(({ kind }) => kind === "model")!
    .models[0]!;
  const messages = [{ role: "user", content }];
  const body = JSON.stringify({ model, messages, stream: isStream });
  const headers = authorizationOf(bundle, index);
  return {
    url: `${url}/v1/chat/completions`,
    init: { method: "POST", headers, body },
  };
}

function authorizationOf(
  { clientAccounts }: Bundle,
  index = 0,
): Record<string, string> {
  const { account } = clientAccounts[index % clientAccounts.length]!;
  return { authorization: `Bearer ${demoApiKey(account)}` };
}

async function endingOf({ url, init }: DemoCall): Promise<string> {
  const answer = await fetch(url, init).catch(() => undefined);
  const text = await answer?.text().catch(() => undefined);
  if (answer === undefined || text === undefined) return "cut";
  const type = answer.headers.get("content-type") ?? "";
  if (type.startsWith("application/problem+json")) {
    const problem = JSON.parse(text) as { type: string; ending: string };
    return `${problem.ending} (${problem.type.split(":").at(-1)})`;
  }
  if (answer.status === 202) return "still waiting";
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
