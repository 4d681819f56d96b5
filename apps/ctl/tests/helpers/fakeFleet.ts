import { Buffer } from "node:buffer";
import type { EntryStatus } from "@wasabivane/bundle";
import {
  type EntryFetch,
  type OperatorToolOptions,
  runOperatorTool,
} from "@wasabivane/ctl";

/** Configures the responses of one fake entry host. */
export interface FakeEntryOptions {
  readonly status?: Partial<EntryStatus>;
  readonly isReady?: boolean;
  readonly isDraining?: boolean;
  /** Accepts requests and never responds. */
  readonly isUnresponsive?: boolean;
  /** Response body of `/status` in place of a valid one. */
  readonly statusText?: string;
}

/** One request that reached a fake entry host. */
export interface ReceivedRequest {
  readonly host: string;
  readonly method: string;
  readonly path: string;
  readonly body?: string;
}

/** In-process fake entry hosts. */
export class FakeFleet {
  readonly received: ReceivedRequest[] = [];
  readonly #entries: Readonly<Record<string, FakeEntryOptions>>;

  constructor(entries: Readonly<Record<string, FakeEntryOptions>>) {
    this.#entries = entries;
  }

  /** Value of `--entries`. */
  get entryUrls(): string {
    return Object.keys(this.#entries).map((host) => `http://${host}.test`)
      .join(",");
  }

  readonly fetch: EntryFetch = (url, { method, body, signal }) => {
    const host = url.hostname.replace(/\.test$/, "");
    const entry = this.#entries[host]!;
    this.received.push({ host, method, path: url.pathname, body });
    if (entry.isUnresponsive) return rejectOnAbort(signal);
    return Promise.resolve(createResponse(host, { entry, path: url.pathname }));
  };

  /** Runs the tool against the fleet. */
  async run(
    args: readonly string[],
    options: Partial<OperatorToolOptions> = {},
  ): Promise<{ exitCode: number; stdout: string; stderr: string }> {
    let stdout = "";
    let stderr = "";
    const exitCode = await runOperatorTool({
      argv: ["node", "wasabivane-ctl", ...args, "--entries", this.entryUrls],
      version: "0.0.0",
      fetch: this.fetch,
      output: {
        write: (text) => void (stdout += text),
        writeError: (text) => void (stderr += text),
      },
      ...options,
    });
    return { exitCode, stdout, stderr };
  }
}

/** Creates a valid status with some values replaced. */
export function createStatus(
  host: string,
  values: Partial<EntryStatus> = {},
): EntryStatus {
  return {
    host,
    incarnation: "1",
    failureDomain: "hakata",
    bundle: { version: 3, root: "a".repeat(64) },
    hostListVersion: 1,
    members: [{ host, state: "alive" }],
    phase: "serving",
    waiting: [],
    upstreams: [],
    counters: {},
    ...values,
  };
}

function createResponse(
  host: string,
  { entry, path }: { entry: FakeEntryOptions; path: string },
): ReturnType<EntryFetch> extends Promise<infer Response> ? Response : never {
  const { isReady = true, isDraining = false } = entry;
  const responses: Record<string, { statusCode: number; text: string }> = {
    "/health": { statusCode: 200, text: '{"status":"ok"}' },
    "/ready": { statusCode: isReady ? 200 : 503, text: "{}" },
    "/drain": { statusCode: isDraining ? 409 : 202, text: "{}" },
    "/status": {
      statusCode: 200,
      text: entry.statusText ??
        JSON.stringify(createStatus(host, entry.status)),
    },
  };
  const { statusCode, text } = responses[path]!;
  return { statusCode, body: singleChunk(text) };
}

function rejectOnAbort(signal: AbortSignal): Promise<never> {
  return new Promise((_resolve, reject) =>
    signal.addEventListener("abort", () => reject(signal.reason))
  );
}

async function* singleChunk(text: string): AsyncGenerator<Uint8Array> {
  yield await Promise.resolve(Buffer.from(text));
}
