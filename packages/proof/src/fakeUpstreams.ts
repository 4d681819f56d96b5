import { Buffer } from "node:buffer";
import {
  type UpstreamBody,
  UpstreamClient,
  type UpstreamError,
  type UpstreamRequest,
  type UpstreamResponse,
} from "@wasabivane/entry";
import type { Milliseconds, Nonce, Timer } from "@wasabivane/common";
import { err, ok, type Result } from "neverthrow";
import type { ScenarioJournal } from "./scenarioJournal.ts";
import type { ScenarioProcess } from "./scenarioProcess.ts";

const LATENCY_MS = 1;
const FIRST_TOKEN_MS = 40;
const TOKEN_INTERVAL_MS = 20;
const PLAIN_RESPONSE_MS = 60;
const POISON_CRASH_DELAY_MS = 30;
const POISON_DOWNTIME_MS = 2_000;
/** Time that an engine keeps a finished request for a resume. */
const RESUME_WINDOW_MS = 30_000;
const NONCE_HEADER = "x-request-nonce";
const MARKER_PATTERN = /\[\[(\{.*?\})\]\]/;

/** Test metadata that a request carries in its prompt, path or body. */
export interface RequestMarker {
  readonly request: string;
  readonly tokens: number;
  readonly isPoison?: boolean;
}

/** Formats a marker for embedding in text. */
export function formatMarker(marker: RequestMarker): string {
  return `[[${JSON.stringify(marker)}]]`;
}

/** Returns the completion that is unique to a request of a model engine. */
export function expectedCompletion({ request, tokens }: RequestMarker): string {
  return Array.from({ length: tokens }, (_, index) => tokenOf(request, index))
    .join("");
}

function tokenOf(request: string, index: number): string {
  return `${request}.${index} `;
}

/** Connection of an upstream call, which delivers the response. */
class Connection {
  readonly call: UpstreamRequest;
  readonly process: ScenarioProcess;
  readonly #timer: Timer;
  readonly #settle: (result: Result<UpstreamResponse, UpstreamError>) => void;
  readonly #chunks: Buffer[] = [];
  #end: Error | "whole" | undefined;
  #isDestroyed = false;
  #wake: (() => void) | undefined;

  constructor(
    { call, process, timer, settle }: {
      call: UpstreamRequest;
      process: ScenarioProcess;
      timer: Timer;
      settle: (result: Result<UpstreamResponse, UpstreamError>) => void;
    },
  ) {
    this.call = call;
    this.process = process;
    this.#timer = timer;
    this.#settle = settle;
    call.signal.addEventListener("abort", () => {
      this.#settle(err({ kind: "aborted" }));
      this.#close(new Error("Aborted"));
    });
  }

  refuse(): void {
    this.#deliver(() =>
      this.#settle(err({ kind: "refused", detail: "ECONNREFUSED" }))
    );
  }

  respond(
    { nonce, status = 200, type, shouldCheckNonce }: {
      nonce: string;
      status?: number;
      type: string;
      shouldCheckNonce: boolean;
    },
  ): void {
    const headers = { "content-type": type, [NONCE_HEADER]: nonce };
    const isExpected = nonce === this.call.nonce || !shouldCheckNonce;
    this.#deliver(() =>
      this.#settle(
        isExpected
          ? ok({ status, headers, body: this.#body() })
          : err({ kind: "not-own", detail: "Nonce of another request" }),
      )
    );
  }

  push(text: string): void {
    this.#deliver(() => {
      this.#chunks.push(Buffer.from(text));
      this.#wake?.();
    });
  }

  finish(): void {
    this.#deliver(() => this.#close("whole"));
  }

  /** Breaks the connection after the request was sent. */
  break(): void {
    this.#deliver(() => {
      this.#settle(err({ kind: "broken", detail: "ECONNRESET" }));
      this.#close(new Error("ECONNRESET"));
    });
  }

  #deliver(callback: () => void): void {
    this.#timer.after(LATENCY_MS, () => this.process.run(callback));
  }

  #close(end: Error | "whole"): void {
    this.#end ??= end;
    this.#wake?.();
  }

  #body(): UpstreamBody {
    return {
      destroy: (): void => {
        this.#isDestroyed = true;
        this.#close("whole");
      },
      [Symbol.asyncIterator]: () => ({ next: () => this.#next() }),
    };
  }

  async #next(): Promise<IteratorResult<Buffer, undefined>> {
    while (true) {
      const chunk = this.#isDestroyed ? undefined : this.#chunks.shift();
      if (chunk !== undefined) return { done: false, value: chunk };
      if (this.#end === "whole") return { done: true, value: undefined };
      if (this.#end !== undefined) throw this.#end;
      await new Promise<void>((resolve) => (this.#wake = resolve));
    }
  }
}

interface Run {
  readonly nonce: string;
  readonly marker: RequestMarker;
  readonly isStream: boolean;
  produced: number;
  connection: Connection | undefined;
  /** Tokens sent on the current connection of a stream. */
  sent: number;
  /** Response identity; that of another run if misrouted. */
  readonly identity: ResponseIdentity;
}

interface ResponseIdentity {
  readonly headNonce: string;
  readonly nonce: string;
  readonly marker: RequestMarker;
}

/** Simulated model engine or plain service that loses all state in a crash. */
export class FakeUpstream {
  readonly name: string;
  readonly #environment: UpstreamEnvironment;
  readonly #runs = new Map<string, Run>();
  #isUp = true;
  #slowness = 1;
  #misrouting: "answer" | "body" | undefined;
  #lastIdentity: ResponseIdentity = {
    headNonce: "stranger",
    nonce: "stranger",
    marker: { request: "stranger", tokens: 3 },
  };

  constructor(name: string, environment: UpstreamEnvironment) {
    this.name = name;
    this.#environment = environment;
  }

  get isUp(): boolean {
    return this.#isUp;
  }

  get running(): number {
    return this.#runs.size;
  }

  crash(forMs: Milliseconds): void {
    this.#isUp = false;
    const runs = [...this.#runs.values()];
    this.#runs.clear();
    for (const { connection } of runs) connection?.break();
    this.#environment.timer.after(forMs, () => (this.#isUp = true));
  }

  slowDown(factor: number): void {
    this.#slowness = factor;
  }

  /** Breaks all connections while the requests keep running. */
  breakStreams(): void {
    for (const run of this.#runs.values()) {
      run.connection?.break();
      run.connection = undefined;
    }
  }

  /** Gives the next request a wrong response, or only a wrong body. */
  misrouteNext(what: "answer" | "body"): void {
    this.#misrouting = what;
  }

  receive(connection: Connection, host: string): void {
    if (!this.#isUp) return connection.refuse();
    const { path } = connection.call;
    if (path.endsWith("/resume")) return this.#resume(connection);
    const marker = JSON.parse(
      MARKER_PATTERN.exec(
        String(connection.call.body ?? "").replaceAll('\\"', '"') +
          decodeURIComponent(path),
      )![1]!,
    ) as RequestMarker;
    const { nonce } = connection.call;
    this.#environment.journal.add({
      kind: "dispatched",
      request: marker.request,
      nonce,
      upstream: this.name,
      host,
    });
    if (marker.isPoison) {
      this.#environment.timer.after(POISON_CRASH_DELAY_MS, () => {
        if (this.#runs.has(nonce)) this.crash(POISON_DOWNTIME_MS);
      });
    }
    const isModel = path === "/v1/chat/completions";
    const run = this.#start(connection, marker);
    if (isModel) this.#scheduleToken(run, FIRST_TOKEN_MS);
    else this.#schedulePlainResponse(run);
  }

  cancel(nonce: string): void {
    this.#runs.delete(nonce);
  }

  #start(connection: Connection, marker: RequestMarker): Run {
    const { nonce, body } = connection.call;
    const own: ResponseIdentity = { headNonce: nonce, nonce, marker };
    const run: Run = {
      nonce,
      marker,
      isStream: String(body ?? "").includes('"stream":true'),
      produced: 0,
      connection,
      sent: 0,
      identity: this.#selectIdentity(own),
    };
    this.#lastIdentity = own;
    this.#runs.set(nonce, run);
    if (run.isStream) this.#sendHead(connection, run.identity.headNonce);
    return run;
  }

  #selectIdentity(own: ResponseIdentity): ResponseIdentity {
    const misrouting = this.#misrouting;
    this.#misrouting = undefined;
    if (misrouting === undefined) return own;
    return misrouting === "answer"
      ? this.#lastIdentity
      : { ...this.#lastIdentity, headNonce: own.headNonce };
  }

  #sendHead(connection: Connection, nonce: string, status = 200): void {
    const { shouldCheckNonce } = this.#environment;
    const type = connection.call.path.startsWith("/v1/")
      ? "text/event-stream"
      : "application/json";
    connection.respond({ nonce, status, type, shouldCheckNonce });
  }

  #scheduleToken(run: Run, delay: Milliseconds): void {
    this.#environment.timer.after(delay * this.#slowness, () => {
      if (this.#runs.get(run.nonce) !== run) return;
      run.produced++;
      this.#sendTokens(run);
      if (run.produced < run.marker.tokens) {
        this.#scheduleToken(run, TOKEN_INTERVAL_MS);
      } else this.#scheduleRemoval(run);
    });
  }

  #scheduleRemoval(run: Run): void {
    this.#environment.timer.after(RESUME_WINDOW_MS, () => {
      if (this.#runs.get(run.nonce) === run) this.#runs.delete(run.nonce);
    });
  }

  #sendTokens(run: Run): void {
    const { connection } = run;
    if (connection === undefined) return;
    const { headNonce, nonce, marker } = run.identity;
    const isComplete = run.produced === run.marker.tokens;
    if (!run.isStream) {
      if (!isComplete) return;
      this.#sendHead(connection, headNonce);
      connection.push(formatCompletion(nonce, marker));
      connection.finish();
      run.connection = undefined;
      return;
    }
    while (run.sent < run.produced) {
      connection.push(
        formatChunk(nonce, { content: tokenOf(marker.request, run.sent) }),
      );
      run.sent++;
    }
    if (!isComplete) return;
    connection.push(
      formatChunk(nonce, { isLast: true, tokens: run.marker.tokens }),
    );
    connection.push("data: [DONE]\n\n");
    connection.finish();
    run.connection = undefined;
  }

  #resume(connection: Connection): void {
    const nonce = connection.call.path.split("/")[3]!;
    const run = this.#runs.get(nonce);
    if (run === undefined) {
      this.#sendHead(connection, nonce, 404);
      connection.push("{}");
      connection.finish();
      return;
    }
    const { offset } = JSON.parse(String(connection.call.body)) as {
      offset: number;
    };
    run.connection?.break();
    const resumed = { ...run, isStream: true, connection, sent: offset };
    this.#runs.set(nonce, resumed);
    this.#sendHead(connection, nonce);
    this.#sendTokens(resumed);
    if (resumed.produced < run.marker.tokens) {
      this.#scheduleToken(resumed, TOKEN_INTERVAL_MS);
    } else this.#scheduleRemoval(resumed);
  }

  #schedulePlainResponse(run: Run): void {
    this.#environment.timer.after(PLAIN_RESPONSE_MS * this.#slowness, () => {
      if (!this.#runs.delete(run.nonce) || run.connection === undefined) return;
      const { headNonce, marker } = run.identity;
      this.#sendHead(run.connection, headNonce);
      run.connection.push(JSON.stringify({ request: marker.request }));
      run.connection.finish();
    });
  }
}

/** Environment shared by all upstreams of a scenario. */
export interface UpstreamEnvironment {
  readonly timer: Timer;
  readonly journal: ScenarioJournal;
  /** Whether the client verifies the nonce in the response head. */
  readonly shouldCheckNonce: boolean;
}

/** Simulated upstream client of one entry host process. */
export class FakeUpstreamClient extends UpstreamClient {
  readonly #host: string;
  readonly #process: ScenarioProcess;
  readonly #environment: UpstreamEnvironment;
  readonly #upstreams: ReadonlyMap<string, FakeUpstream>;

  constructor(
    { host, process, environment, upstreams }: {
      host: string;
      process: ScenarioProcess;
      environment: UpstreamEnvironment;
      /** Upstreams by URL. */
      upstreams: ReadonlyMap<string, FakeUpstream>;
    },
  ) {
    super();
    this.#host = host;
    this.#process = process;
    this.#environment = environment;
    this.#upstreams = upstreams;
  }

  override send(
    call: UpstreamRequest,
  ): Promise<Result<UpstreamResponse, UpstreamError>> {
    if (call.signal.aborted) return Promise.resolve(err({ kind: "aborted" }));
    return new Promise((settle) => {
      if (this.#process.isKilled) return;
      const { timer } = this.#environment;
      const connection = new Connection({
        call,
        process: this.#process,
        timer,
        settle,
      });
      timer.after(
        LATENCY_MS,
        () => this.#upstreams.get(call.url)!.receive(connection, this.#host),
      );
    });
  }

  override readJson(
    url: string,
    path: string,
  ): Promise<Result<unknown, UpstreamError>> {
    const { timer } = this.#environment;
    const upstream = this.#upstreams.get(url)!;
    return new Promise((resolve) => {
      timer.after(2 * LATENCY_MS, () =>
        this.#process.run(() => {
          if (!upstream.isUp) {
            resolve(err({ kind: "refused", detail: "ECONNREFUSED" }));
          } else resolve(ok(this.#readDocument(upstream, path)));
        }));
    });
  }

  override cancel(url: string, nonce: Nonce): Promise<void> {
    if (!this.#process.isKilled) {
      this.#environment.timer.after(
        LATENCY_MS,
        () => this.#upstreams.get(url)?.cancel(nonce),
      );
    }
    return Promise.resolve();
  }

  override close(): Promise<void> {
    return Promise.resolve();
  }

  #readDocument(upstream: FakeUpstream, path: string): unknown {
    if (path.startsWith("/v1/cache-events")) return { events: [] };
    return {
      takenAt: this.#environment.timer.wallNow(),
      running: upstream.running,
      waiting: 0,
      memoryShare: 0,
    };
  }
}

function formatChunk(
  nonce: string,
  { content, isLast = false, tokens = 0 }: {
    content?: string;
    isLast?: boolean;
    tokens?: number;
  },
): string {
  const usage = { "prompt_tokens": 8, "completion_tokens": tokens };
  return `data: ${
    JSON.stringify({
      id: `chatcmpl-${nonce}`,
      choices: [{
        index: 0,
        delta: content === undefined ? {} : { content },
        finish_reason: isLast ? "stop" : null,
      }],
      ...(isLast ? { usage } : {}),
    })
  }\n\n`;
}

function formatCompletion(nonce: string, marker: RequestMarker): string {
  return JSON.stringify({
    id: `chatcmpl-${nonce}`,
    choices: [{
      index: 0,
      message: { role: "assistant", content: expectedCompletion(marker) },
      finish_reason: "stop",
    }],
    usage: { "prompt_tokens": 8, "completion_tokens": marker.tokens },
  });
}
