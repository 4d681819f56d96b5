import { Buffer } from "node:buffer";
import { setMaxListeners } from "node:events";
import { readFile } from "node:fs/promises";
import { setTimeout as sleep } from "node:timers/promises";
import { Agent } from "undici";
import { endProgram, residentMib, startProgram } from "./childProgram.ts";
import {
  createBenchRequest,
  loopbackUrl,
  startBenchEntry,
} from "./entryBench.ts";
import type { SlopePoint } from "./slope.ts";

const STREAM_COUNTS = [100, 200, 400, 600];
const SETTLE_MS = 2_500;
const MEASURED_MS = 4_000;
const SECOND = 1_000;
/** Clock ticks per second in /proc. */
const TICKS_PER_SECOND = 100;
const BYTES_PER_MIB = 1024 * 1024;
const EVENT_PREFIX = "data: ";

/** Costs of open streams for one entry process. */
export interface StreamCosts {
  /** Resident set size by the number of open streams. */
  readonly residentBytes: SlopePoint[];
  /** Processor milliseconds per second by relayed tokens per second. */
  readonly processorMs: SlopePoint[];
}

/** Measures the memory and processor time of an entry process by streams. */
export async function measureStreams(): Promise<StreamCosts> {
  const upstream = await startProgram("./slopeUpstreamMain.js");
  const entry = await startBenchEntry(loopbackUrl(upstream.announcement.port), {
    copies: 16,
  });
  const pid = entry.program.child.pid!;
  const load = new StreamLoad(
    loopbackUrl(entry.program.announcement.callerPort),
  );
  const residentBytes: SlopePoint[] = [];
  const processorMs: SlopePoint[] = [];
  try {
    for (const count of STREAM_COUNTS) {
      load.openStreams(count);
      await sleep(SETTLE_MS);
      const before = { ticks: await processorTicks(pid), tokens: load.tokens };
      const startedAt = performance.now();
      await sleep(MEASURED_MS);
      const seconds = (performance.now() - startedAt) / SECOND;
      const ticks = await processorTicks(pid) - before.ticks;
      const tokens = load.tokens - before.tokens;
      processorMs.push([
        tokens / seconds,
        ticks / TICKS_PER_SECOND * SECOND / seconds,
      ]);
      residentBytes.push([count, await residentMib(pid) * BYTES_PER_MIB]);
      load.checkOpen();
    }
  } finally {
    load.stop();
    await Promise.all(
      [upstream, entry.program].map(({ child }) => endProgram(child)),
    );
    await entry.close();
  }
  return { residentBytes, processorMs };
}

/** Callers that read endless streams. */
class StreamLoad {
  tokens = 0;
  readonly #url: string;
  readonly #agent = new Agent({ connections: 2_048, pipelining: 1 });
  readonly #abortController = new AbortController();
  #opened = 0;
  #failure: unknown;

  constructor(url: string) {
    this.#url = url;
    setMaxListeners(0, this.#abortController.signal);
  }

  openStreams(count: number): void {
    for (; this.#opened < count; this.#opened++) void this.#read();
  }

  /** Throws if a stream ended early, which would distort the measurement. */
  checkOpen(): void {
    if (this.#failure !== undefined) throw this.#failure;
  }

  stop(): void {
    this.#abortController.abort();
    void this.#agent.destroy();
  }

  async #read(): Promise<void> {
    try {
      const response = await this.#agent.request({
        origin: this.#url,
        ...createBenchRequest({ stream: true, tokens: 4_096 }),
        signal: this.#abortController.signal,
      });
      let last = "";
      for await (const bytes of response.body) {
        last = (bytes as Buffer).toString("latin1");
        this.tokens += last.split(EVENT_PREFIX).length - 1;
      }
      const { statusCode } = response;
      throw new Error(`Stream ended early with status ${statusCode}: ${last}`);
    } catch (error) {
      if (!this.#abortController.signal.aborted) this.#failure ??= error;
    }
  }
}

async function processorTicks(pid: number): Promise<number> {
  const text = await readFile(`/proc/${pid}/stat`, "utf8");
  const fields = text.slice(text.lastIndexOf(")") + 2).split(" ");
  const [user, system] = [fields[11], fields[12]];
  return Number(user) + Number(system);
}
