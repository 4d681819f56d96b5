import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { build as buildHistogram, type Histogram } from "hdr-histogram-js";
import { Agent } from "undici";
import {
  apiKeyDigest,
  type Bundle,
  exampleBundle,
  exampleSigningKey,
  signBundle,
  trustedKeyOf,
  type Upstream,
} from "@wasabivane/bundle";
import { asId, type UpstreamId } from "@wasabivane/common";
import { PlatformStandIn } from "@wasabivane/stand-ins";
import {
  type ChildProgram,
  endProgram,
  processorMicros,
  residentMib,
  startProgram,
} from "./childProgram.ts";

const ENTRY_PROGRAM = "../../../apps/entry/dist/main.js";
const API_KEY = "bench-key";
const DAY_MS = 86_400_000;
const UNARY_CONCURRENCY = 32;
const STREAM_CONCURRENCY = 32;
const STREAM_TOKENS = 500;
const WARM_UP_MS = 2_000;
/** Rounds alternate between both targets, which spreads other load. */
const ROUNDS = 6;
const ROUND_MS = 1_500;
const STREAM_MS = 5_000;
const MICROSECONDS_PER_MS = 1_000;

/** Result of the benchmark of one entry process. */
export interface EntryBenchResult {
  readonly passThroughRps: number;
  readonly entryRps: number;
  /** Median ratio of requests per second, entry to pass-through. */
  readonly ratio: number;
  readonly addedP50Ms: number;
  readonly addedP99Ms: number;
  readonly streamTokensPerSecond: number;
  readonly rssMb: number;
  /** Resident set size of the pass-through proxy under the same load. */
  readonly passThroughRssMb: number;
  /** Processor time per small unary request. */
  readonly passThroughCpuMicros: number;
  readonly entryCpuMicros: number;
  /** Processor time per relayed token. */
  readonly streamTokenCpuMicros: number;
}

interface BenchTarget {
  readonly url: string;
  readonly pid: number;
  readonly latency: Histogram;
  readonly rps: number[];
  calls: number;
  cpuMicros: number;
}

/** Compares one entry process with a minimal proxy over the same upstream. */
export async function benchEntry(): Promise<EntryBenchResult> {
  const upstream = await startProgram("./benchUpstreamMain.js");
  const upstreamUrl = loopbackUrl(upstream.announcement.port);
  const proxy = await startProgram("./benchPassThroughMain.js", [upstreamUrl]);
  const entry = await startBenchEntry(upstreamUrl);
  const proxyUrl = loopbackUrl(proxy.announcement.port);
  const entryUrl = loopbackUrl(entry.program.announcement.callerPort);
  const proxyTarget = createBenchTarget(proxyUrl, proxy.child.pid!);
  const entryTarget = createBenchTarget(entryUrl, entry.program.child.pid!);
  try {
    await measureAlternating([proxyTarget, entryTarget]);
    const passThroughRssMb = await residentMib(proxyTarget.pid);
    const stream = await measureStream(entryTarget);
    const rssMb = await residentMib(entryTarget.pid);
    return {
      passThroughRps: Math.round(median(proxyTarget.rps)),
      entryRps: Math.round(median(entryTarget.rps)),
      ratio: round(
        median(
          entryTarget.rps.map((rps, index) => rps / proxyTarget.rps[index]!),
        ),
      ),
      addedP50Ms: addedLatencyAt(50, {
        entry: entryTarget,
        passThrough: proxyTarget,
      }),
      addedP99Ms: addedLatencyAt(99, {
        entry: entryTarget,
        passThrough: proxyTarget,
      }),
      streamTokensPerSecond: Math.round(stream.tokensPerSecond),
      rssMb: Math.round(rssMb),
      passThroughRssMb: Math.round(passThroughRssMb),
      passThroughCpuMicros: Math.round(
        proxyTarget.cpuMicros / proxyTarget.calls,
      ),
      entryCpuMicros: Math.round(entryTarget.cpuMicros / entryTarget.calls),
      streamTokenCpuMicros: round(stream.cpuMicrosPerToken),
    };
  } finally {
    await Promise.all(
      [upstream, proxy, entry.program].map(({ child }) => endProgram(child)),
    );
    await entry.close();
  }
}

/** Starts an entry process with one client account in front of an upstream. */
export async function startBenchEntry(
  upstreamUrl: string,
  { copies = 1 }: { copies?: number } = {},
): Promise<{ program: ChildProgram; close: () => Promise<void> }> {
  const platform = new PlatformStandIn();
  const { url } = await platform.start();
  const bundle = benchBundle(upstreamUrl, copies);
  platform.setBundle(signBundle(bundle, exampleSigningKey())._unsafeUnwrap());
  platform.setHosts({
    version: 1,
    entryHosts: [{
      host: asId("entry-1"),
      peerAddress: "127.0.0.1:1",
      failureDomain: asId("hakata"),
      state: "live",
    }],
    upstreams: bundle.upstreams.map(({ upstream }) => ({
      upstream,
      state: "live",
    })),
  });
  const folder = await mkdtemp(join(tmpdir(), "wasabivane-"));
  const file = join(folder, "entry.json");
  await writeFile(file, JSON.stringify(benchSettings(url)));
  const program = await startProgram(ENTRY_PROGRAM, ["--settings", file]);
  await waitUntilReady(loopbackUrl(program.announcement.operatorPort));
  return {
    program,
    async close(): Promise<void> {
      await platform.stop();
      await rm(folder, { recursive: true });
    },
  };
}

function benchBundle(url: string, copies: number): Bundle {
  const example = exampleBundle("fukuoka");
  const [account] = example.clientAccounts;
  const limits = {
    requestsPerSecond: 1e6,
    tokensPerSecond: 1e9,
    concurrentRequests: 4_096,
    waitingRequests: 4_096,
  };
  return {
    ...example,
    // The constant upstream distorts the scheduler's speed estimates, which
    // must not lead to refused requests.
    tiers: example.tiers.map((tier) => ({ ...tier, deadlineMs: DAY_MS })),
    services: example.services.map((service) => ({
      ...service,
      initialConcurrency: 256,
      maximumConcurrency: 256,
    })),
    upstreams: example.upstreams.flatMap((upstream) =>
      replicate(upstream, copies).map((copy) => ({ ...copy, url }))
    ),
    clientAccounts: [{
      ...account!,
      keyDigests: [apiKeyDigest(API_KEY)],
      limits,
    }],
  };
}

/** Replicates an upstream, since the scheduler limits the streams of each. */
function replicate(upstream: Upstream, copies: number): Upstream[] {
  return Array.from({ length: copies }, (_, index) => ({
    ...upstream,
    upstream: asId<UpstreamId>(`${upstream.upstream}-${index}`),
  }));
}

function benchSettings(platformUrl: string): Record<string, unknown> {
  const listener = { address: "127.0.0.1", port: 0 };
  return {
    host: "entry-1",
    failureDomain: "hakata",
    callers: listener,
    operators: listener,
    peers: { ...listener, secrets: ["loopback-bench-secret"] },
    platform: { configurationUrl: platformUrl, hostListUrl: platformUrl },
    trustedKeys: [trustedKeyOf(exampleSigningKey())],
    logLevel: "silent",
  };
}

async function waitUntilReady(operatorUrl: string): Promise<void> {
  for (let attempt = 0; attempt < 200; attempt++) {
    const response = await fetch(`${operatorUrl}/ready`).catch(() => undefined);
    if (response?.ok) return;
    await new Promise((resolve) => setTimeout(resolve, 50));
  }
  throw new Error("The entry host did not become ready");
}

function createBenchTarget(url: string, pid: number): BenchTarget {
  return {
    url,
    pid,
    latency: buildHistogram(),
    rps: [],
    calls: 0,
    cpuMicros: 0,
  };
}

async function measureAlternating(
  targets: readonly BenchTarget[],
): Promise<void> {
  const calls = targets.map(({ url }) => createCaller(url, { stream: false }));
  for (const call of calls) {
    await callFor(WARM_UP_MS, { concurrency: UNARY_CONCURRENCY, call });
  }
  for (let round = 0; round < ROUNDS; round++) {
    for (const [index, target] of targets.entries()) {
      await measureRound(target, calls[index]!);
    }
  }
}

async function measureRound(
  target: BenchTarget,
  call: () => Promise<void>,
): Promise<void> {
  const { latency, pid } = target;
  const before = await processorMicros(pid);
  const calls = await callFor(ROUND_MS, {
    concurrency: UNARY_CONCURRENCY,
    call,
    latency,
  });
  target.cpuMicros += await processorMicros(pid) - before;
  target.calls += calls;
  target.rps.push(calls / (ROUND_MS / 1_000));
}

async function measureStream(
  { url, pid }: BenchTarget,
): Promise<{ tokensPerSecond: number; cpuMicrosPerToken: number }> {
  const call = createCaller(url, { stream: true });
  await callFor(WARM_UP_MS, { concurrency: STREAM_CONCURRENCY, call });
  const before = await processorMicros(pid);
  const calls = await callFor(STREAM_MS, {
    concurrency: STREAM_CONCURRENCY,
    call,
  });
  const tokens = calls * STREAM_TOKENS;
  return {
    tokensPerSecond: tokens / (STREAM_MS / 1_000),
    cpuMicrosPerToken: (await processorMicros(pid) - before) / tokens,
  };
}

function median(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}

/** Creates a completion request of the benchmark's client account. */
export function createBenchRequest(
  { stream, tokens }: { stream: boolean; tokens: number },
): {
  path: string;
  method: "POST";
  headers: Record<string, string>;
  body: string;
} {
  return {
    path: "/v1/chat/completions",
    method: "POST",
    headers: {
      "content-type": "application/json",
      "authorization": `Bearer ${API_KEY}`,
    },
    body: JSON.stringify({
      model: exampleBundle("fukuoka").services[0]!.models[0],
      messages: [{ role: "user", content: "When does the school year start?" }],
      stream,
      max_tokens: tokens,
    }),
  };
}

function createCaller(
  url: string,
  { stream }: { stream: boolean },
): () => Promise<void> {
  const agent = new Agent({ connections: 256, pipelining: 1 });
  const request = createBenchRequest({ stream, tokens: STREAM_TOKENS });
  return async () => {
    const response = await agent.request({ origin: url, ...request });
    const text = await response.body.text();
    const isComplete = response.statusCode === 200 &&
      (!stream || text.endsWith("data: [DONE]\n\n"));
    if (!isComplete) {
      throw new Error(
        `Response is incomplete: ${response.statusCode} ${text.slice(-200)}`,
      );
    }
  };
}

/** Runs closed-loop callers for a duration and returns the completed calls. */
async function callFor(
  durationMs: number,
  { concurrency, call, latency }: {
    concurrency: number;
    call: () => Promise<void>;
    latency?: Histogram;
  },
): Promise<number> {
  const end = performance.now() + durationMs;
  let calls = 0;
  const loop = async (): Promise<void> => {
    while (performance.now() < end) {
      const startedAt = performance.now();
      await call();
      latency?.recordValue(
        (performance.now() - startedAt) * MICROSECONDS_PER_MS,
      );
      if (performance.now() <= end) calls++;
    }
  };
  await Promise.all(Array.from({ length: concurrency }, loop));
  return calls;
}

function addedLatencyAt(
  percentile: number,
  { entry, passThrough }: { entry: BenchTarget; passThrough: BenchTarget },
): number {
  const added = entry.latency.getValueAtPercentile(percentile) -
    passThrough.latency.getValueAtPercentile(percentile);
  return round(added / MICROSECONDS_PER_MS);
}

/** Returns the URL of a port on the loopback address. */
export function loopbackUrl(port: unknown): string {
  return `http://127.0.0.1:${String(port)}`;
}

function round(value: number): number {
  return Math.round(value * 1_000) / 1_000;
}
