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
const WHOLE_CONCURRENCY = 32;
const STREAM_CONCURRENCY = 32;
const STREAM_TOKENS = 500;
const WARM_UP_MS = 2_000;
/** The two are measured in turns, so that other load on the machine hits both alike. */
const ROUNDS = 6;
const ROUND_MS = 1_500;
const STREAM_MS = 5_000;
const MICROSECONDS = 1_000;

/** What the benchmark of one entry process prints. */
export interface EntryBenchResult {
  readonly passThroughRps: number;
  readonly entryRps: number;
  /** Median over the rounds. */
  readonly ratio: number;
  readonly addedP50Ms: number;
  readonly addedP99Ms: number;
  readonly streamTokensPerSecond: number;
  readonly rssMb: number;
  /** Resident size of the pass-through under the same load. */
  readonly passThroughRssMb: number;
  /** Processor time of one small whole answer; other load changes it least. */
  readonly passThroughCpuMicros: number;
  readonly entryCpuMicros: number;
  /** Processor time of one relayed token. */
  readonly streamTokenCpuMicros: number;
}

interface Subject {
  readonly url: string;
  readonly pid: number;
  readonly latency: Histogram;
  readonly rps: number[];
  calls: number;
  cpuMicros: number;
}

/** Measures one entry process against the barest relay, over the same upstream. */
export async function benchEntry(): Promise<EntryBenchResult> {
  const upstream = await startProgram("./benchUpstreamMain.js");
  const upstreamUrl = loopbackUrl(upstream.announcement.port);
  const relay = await startProgram("./benchPassThroughMain.js", [upstreamUrl]);
  const entry = await startBenchEntry(upstreamUrl);
  const relayUrl = loopbackUrl(relay.announcement.port);
  const entryUrl = loopbackUrl(entry.program.announcement.callerPort);
  const relaySubject = subjectOf(relayUrl, relay.child.pid!);
  const entrySubject = subjectOf(entryUrl, entry.program.child.pid!);
  try {
    await measureInTurns([relaySubject, entrySubject]);
    const passThroughRssMb = await residentMib(relaySubject.pid);
    const stream = await measureStream(entrySubject);
    const rssMb = await residentMib(entrySubject.pid);
    return {
      passThroughRps: Math.round(median(relaySubject.rps)),
      entryRps: Math.round(median(entrySubject.rps)),
      ratio: round(
        median(
          entrySubject.rps.map((rps, turn) => rps / relaySubject.rps[turn]!),
        ),
      ),
      addedP50Ms: addedAt(50, {
        through: entrySubject,
        passThrough: relaySubject,
      }),
      addedP99Ms: addedAt(99, {
        through: entrySubject,
        passThrough: relaySubject,
      }),
      streamTokensPerSecond: Math.round(stream.tokensPerSecond),
      rssMb: Math.round(rssMb),
      passThroughRssMb: Math.round(passThroughRssMb),
      passThroughCpuMicros: Math.round(
        relaySubject.cpuMicros / relaySubject.calls,
      ),
      entryCpuMicros: Math.round(entrySubject.cpuMicros / entrySubject.calls),
      streamTokenCpuMicros: round(stream.cpuMicrosPerToken),
    };
  } finally {
    await Promise.all(
      [upstream, relay, entry.program].map(({ child }) => endProgram(child)),
    );
    await entry.close();
  }
}

/** Starts one entry process with a single client account before an upstream. */
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
  await untilReady(loopbackUrl(program.announcement.operatorPort));
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
    // The benchmark measures the relay; no stream of it shall be refused because
    // an engine that answers from a constant has taught the scheduler odd speeds.
    tiers: example.tiers.map((tier) => ({ ...tier, deadlineMs: DAY_MS })),
    services: example.services.map((service) => ({
      ...service,
      initialConcurrency: 256,
      maximumConcurrency: 256,
    })),
    upstreams: example.upstreams.flatMap((upstream) =>
      copiesOf(upstream, copies).map((copy) => ({ ...copy, url }))
    ),
    clientAccounts: [{
      ...account!,
      keyDigests: [apiKeyDigest(API_KEY)],
      limits,
    }],
  };
}

/** The scheduler bounds what one upstream streams; more streams need more upstreams. */
function copiesOf(upstream: Upstream, copies: number): Upstream[] {
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

async function untilReady(operatorUrl: string): Promise<void> {
  for (let attempt = 0; attempt < 200; attempt++) {
    const answer = await fetch(`${operatorUrl}/ready`).catch(() => undefined);
    if (answer?.ok) return;
    await new Promise((resolve) => setTimeout(resolve, 50));
  }
  throw new Error("The entry did not become ready");
}

function subjectOf(url: string, pid: number): Subject {
  return {
    url,
    pid,
    latency: buildHistogram(),
    rps: [],
    calls: 0,
    cpuMicros: 0,
  };
}

async function measureInTurns(subjects: readonly Subject[]): Promise<void> {
  const calls = subjects.map(({ url }) => caller(url, { stream: false }));
  for (const call of calls) {
    await callFor(WARM_UP_MS, { concurrency: WHOLE_CONCURRENCY, call });
  }
  for (let turn = 0; turn < ROUNDS; turn++) {
    for (const [index, subject] of subjects.entries()) {
      await measureTurn(subject, calls[index]!);
    }
  }
}

async function measureTurn(
  subject: Subject,
  call: () => Promise<void>,
): Promise<void> {
  const { latency, pid } = subject;
  const before = await processorMicros(pid);
  const calls = await callFor(ROUND_MS, {
    concurrency: WHOLE_CONCURRENCY,
    call,
    latency,
  });
  subject.cpuMicros += await processorMicros(pid) - before;
  subject.calls += calls;
  subject.rps.push(calls / (ROUND_MS / 1_000));
}

async function measureStream(
  { url, pid }: Subject,
): Promise<{ tokensPerSecond: number; cpuMicrosPerToken: number }> {
  const call = caller(url, { stream: true });
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

/** The call that the benchmark's client account makes. */
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

function caller(
  url: string,
  { stream }: { stream: boolean },
): () => Promise<void> {
  const agent = new Agent({ connections: 256, pipelining: 1 });
  const request = createBenchRequest({ stream, tokens: STREAM_TOKENS });
  return async () => {
    const answer = await agent.request({ origin: url, ...request });
    const text = await answer.body.text();
    const isWhole = answer.statusCode === 200 &&
      (!stream || text.endsWith("data: [DONE]\n\n"));
    if (!isWhole) {
      throw new Error(
        `An answer was not whole: ${answer.statusCode} ${text.slice(-200)}`,
      );
    }
  };
}

/** Calls in closed loops for a span; returns the calls that ended within it. */
async function callFor(
  span: number,
  { concurrency, call, latency }: {
    concurrency: number;
    call: () => Promise<void>;
    latency?: Histogram;
  },
): Promise<number> {
  const end = performance.now() + span;
  let calls = 0;
  const loop = async (): Promise<void> => {
    while (performance.now() < end) {
      const startedAt = performance.now();
      await call();
      latency?.recordValue((performance.now() - startedAt) * MICROSECONDS);
      if (performance.now() <= end) calls++;
    }
  };
  await Promise.all(Array.from({ length: concurrency }, loop));
  return calls;
}

function addedAt(
  percentile: number,
  { through, passThrough }: { through: Subject; passThrough: Subject },
): number {
  const added = through.latency.getValueAtPercentile(percentile) -
    passThrough.latency.getValueAtPercentile(percentile);
  return round(added / MICROSECONDS);
}

/** The address of a program on loopback. */
export function loopbackUrl(port: unknown): string {
  return `http://127.0.0.1:${String(port)}`;
}

function round(value: number): number {
  return Math.round(value * 1_000) / 1_000;
}
