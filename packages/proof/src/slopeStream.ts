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
/** The kernel's clock ticks a second in /proc; 100 on every Linux of ours. */
const TICKS_PER_SECOND = 100;
const BYTES_PER_MIB = 1024 * 1024;
const TOKEN_MARK = "data: ";

/** What open streams cost one entry process. */
export interface StreamCosts {
  /** Resident bytes by open streams. */
  readonly residentBytes: SlopePoint[];
  /** Processor milliseconds a second by relayed tokens a second. */
  readonly processorMs: SlopePoint[];
}

/** Holds streams open through one entry process and reads what the kernel charges it. */
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
      load.openUpTo(count);
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
      load.check();
    }
  } finally {
    load.end();
    await Promise.all(
      [upstream, entry.program].map(({ child }) => endProgram(child)),
    );
    await entry.close();
  }
  return { residentBytes, processorMs };
}

/** Callers that read their streams without end. */
class StreamLoad {
  tokens = 0;
  readonly #url: string;
  readonly #agent = new Agent({ connections: 2_048, pipelining: 1 });
  readonly #ending = new AbortController();
  #opened = 0;
  #failure: unknown;

  constructor(url: string) {
    this.#url = url;
    setMaxListeners(0, this.#ending.signal);
  }

  openUpTo(count: number): void {
    for (; this.#opened < count; this.#opened++) void this.#read();
  }

  /** A stream that ended early would make the figures too good. */
  check(): void {
    if (this.#failure !== undefined) throw this.#failure;
  }

  end(): void {
    this.#ending.abort();
    void this.#agent.destroy();
  }

  async #read(): Promise<void> {
    try {
      const answer = await this.#agent.request({
        origin: this.#url,
        ...createBenchRequest({ stream: true, tokens: 4_096 }),
        signal: this.#ending.signal,
      });
      let last = "";
      for await (const bytes of answer.body) {
        last = (bytes as Buffer).toString("latin1");
        this.tokens += last.split(TOKEN_MARK).length - 1;
      }
      const { statusCode } = answer;
      throw new Error(`A stream ended with status ${statusCode}: ${last}`);
    } catch (error) {
      if (!this.#ending.signal.aborted) this.#failure ??= error;
    }
  }
}

async function processorTicks(pid: number): Promise<number> {
  const text = await readFile(`/proc/${pid}/stat`, "utf8");
  const fields = text.slice(text.lastIndexOf(")") + 2).split(" ");
  const [user, system] = [fields[11], fields[12]];
  return Number(user) + Number(system);
}
