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

const ONE_WAY_MS = 1;
const FIRST_TOKEN_MS = 40;
const TOKEN_MS = 20;
const PLAIN_WORK_MS = 60;
const POISON_MS = 30;
const POISON_DOWN_MS = 2_000;
/** How long an engine keeps a request whose connection broke. */
const RESUME_WINDOW_MS = 30_000;
const NONCE_HEADER = "x-request-nonce";
const MARK = /\[\[(\{.*?\})\]\]/;

/** What a request tells the fakes of itself, in its prompt or its body. */
export interface RequestMarker {
  readonly request: string;
  readonly tokens: number;
  readonly isPoison?: boolean;
}

/** Writes a mark into a text. */
export function formatMarker(mark: RequestMarker): string {
  return `[[${JSON.stringify(mark)}]]`;
}

/** The answer that belongs to a request of a model engine, and to no other. */
export function expectedCompletion({ request, tokens }: RequestMarker): string {
  return Array.from({ length: tokens }, (_, index) => tokenOf(request, index))
    .join("");
}

function tokenOf(request: string, index: number): string {
  return `${request}.${index} `;
}

/** One upstream's answer on its way to one process. */
class Connection {
  readonly call: UpstreamRequest;
  readonly process: ScenarioProcess;
  readonly #timer: Timer;
  readonly #settle: (result: Result<UpstreamResponse, UpstreamError>) => void;
  readonly #parts: Buffer[] = [];
  #end: Error | "whole" | undefined;
  #isLeft = false;
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
    this.#carry(() =>
      this.#settle(err({ kind: "refused", detail: "ECONNREFUSED" }))
    );
  }

  answer(
    { nonce, status = 200, type, checksNonce }: {
      nonce: string;
      status?: number;
      type: string;
      checksNonce: boolean;
    },
  ): void {
    const headers = { "content-type": type, [NONCE_HEADER]: nonce };
    const isOwn = nonce === this.call.nonce || !checksNonce;
    this.#carry(() =>
      this.#settle(
        isOwn
          ? ok({ status, headers, body: this.#body() })
          : err({ kind: "not-own", detail: "The nonce is another's" }),
      )
    );
  }

  push(text: string): void {
    this.#carry(() => {
      this.#parts.push(Buffer.from(text));
      this.#wake?.();
    });
  }

  finish(): void {
    this.#carry(() => this.#close("whole"));
  }

  /** Bytes of the call had left already. */
  break(): void {
    this.#carry(() => {
      this.#settle(err({ kind: "broken", detail: "ECONNRESET" }));
      this.#close(new Error("ECONNRESET"));
    });
  }

  #carry(arrive: () => void): void {
    this.#timer.after(ONE_WAY_MS, () => this.process.run(arrive));
  }

  #close(end: Error | "whole"): void {
    this.#end ??= end;
    this.#wake?.();
  }

  #body(): UpstreamBody {
    return {
      destroy: (): void => {
        this.#isLeft = true;
        this.#close("whole");
      },
      [Symbol.asyncIterator]: () => ({ next: () => this.#next() }),
    };
  }

  async #next(): Promise<IteratorResult<Buffer, undefined>> {
    while (true) {
      const part = this.#isLeft ? undefined : this.#parts.shift();
      if (part !== undefined) return { done: false, value: part };
      if (this.#end === "whole") return { done: true, value: undefined };
      if (this.#end !== undefined) throw this.#end;
      await new Promise<void>((resolve) => (this.#wake = resolve));
    }
  }
}

interface Run {
  readonly nonce: string;
  readonly mark: RequestMarker;
  readonly isStream: boolean;
  produced: number;
  connection: Connection | undefined;
  /** Tokens that the connection has had; whole answers come at once. */
  sent: number;
  /** What the answer claims to be; another run's after a mix-up. */
  readonly reply: Reply;
}

interface Reply {
  readonly headNonce: string;
  readonly nonce: string;
  readonly mark: RequestMarker;
}

/** One upstream: a model engine or a plain service; it forgets all in a crash. */
export class FakeUpstream {
  readonly name: string;
  readonly #world: UpstreamEnvironment;
  readonly #runs = new Map<string, Run>();
  #isUp = true;
  #slowness = 1;
  #crossing: "answer" | "body" | undefined;
  #last: Reply = {
    headNonce: "stranger",
    nonce: "stranger",
    mark: { request: "stranger", tokens: 3 },
  };

  constructor(name: string, world: UpstreamEnvironment) {
    this.name = name;
    this.#world = world;
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
    this.#world.timer.after(forMs, () => (this.#isUp = true));
  }

  slowDown(factor: number): void {
    this.#slowness = factor;
  }

  /** Ends all connections; an engine keeps the requests for a while. */
  breakStreams(): void {
    for (const run of this.#runs.values()) {
      run.connection?.break();
      run.connection = undefined;
    }
  }

  /** Gives the next answer to the wrong request, or under the right nonce with a wrong body. */
  misrouteNext(what: "answer" | "body"): void {
    this.#crossing = what;
  }

  receive(connection: Connection, host: string): void {
    if (!this.#isUp) return connection.refuse();
    const { path } = connection.call;
    if (path.endsWith("/resume")) return this.#resume(connection);
    const mark = JSON.parse(
      MARK.exec(
        String(connection.call.body ?? "").replaceAll('\\"', '"') +
          decodeURIComponent(path),
      )![1]!,
    ) as RequestMarker;
    const { nonce } = connection.call;
    this.#world.journal.add({
      kind: "dispatched",
      request: mark.request,
      nonce,
      upstream: this.name,
      host,
    });
    if (mark.isPoison) {
      this.#world.timer.after(POISON_MS, () => {
        if (this.#runs.has(nonce)) this.crash(POISON_DOWN_MS);
      });
    }
    const isModel = path === "/v1/chat/completions";
    const run = this.#start(connection, mark);
    if (isModel) this.#generate(run, FIRST_TOKEN_MS);
    else this.#workOn(run);
  }

  cancel(nonce: string): void {
    this.#runs.delete(nonce);
  }

  #start(connection: Connection, mark: RequestMarker): Run {
    const { nonce, body } = connection.call;
    const own: Reply = { headNonce: nonce, nonce, mark };
    const run: Run = {
      nonce,
      mark,
      isStream: String(body ?? "").includes('"stream":true'),
      produced: 0,
      connection,
      sent: 0,
      reply: this.#replyOf(own),
    };
    this.#last = own;
    this.#runs.set(nonce, run);
    if (run.isStream) this.#head(connection, run.reply.headNonce);
    return run;
  }

  #replyOf(own: Reply): Reply {
    const crossing = this.#crossing;
    this.#crossing = undefined;
    if (crossing === undefined) return own;
    return crossing === "answer"
      ? this.#last
      : { ...this.#last, headNonce: own.headNonce };
  }

  #head(connection: Connection, nonce: string, status = 200): void {
    const { shouldCheckNonce: checksNonce } = this.#world;
    const type = connection.call.path.startsWith("/v1/")
      ? "text/event-stream"
      : "application/json";
    connection.answer({ nonce, status, type, checksNonce });
  }

  #generate(run: Run, delay: Milliseconds): void {
    this.#world.timer.after(delay * this.#slowness, () => {
      if (this.#runs.get(run.nonce) !== run) return;
      run.produced++;
      this.#flush(run);
      if (run.produced < run.mark.tokens) this.#generate(run, TOKEN_MS);
      else this.#forgetLater(run);
    });
  }

  #forgetLater(run: Run): void {
    this.#world.timer.after(RESUME_WINDOW_MS, () => {
      if (this.#runs.get(run.nonce) === run) this.#runs.delete(run.nonce);
    });
  }

  #flush(run: Run): void {
    const { connection } = run;
    if (connection === undefined) return;
    const { headNonce, nonce, mark } = run.reply;
    const isWhole = run.produced === run.mark.tokens;
    if (!run.isStream) {
      if (!isWhole) return;
      this.#head(connection, headNonce);
      connection.push(wholeCompletion(nonce, mark));
      connection.finish();
      run.connection = undefined;
      return;
    }
    while (run.sent < run.produced) {
      connection.push(
        chunk(nonce, { content: tokenOf(mark.request, run.sent) }),
      );
      run.sent++;
    }
    if (!isWhole) return;
    connection.push(chunk(nonce, { isLast: true, tokens: run.mark.tokens }));
    connection.push("data: [DONE]\n\n");
    connection.finish();
    run.connection = undefined;
  }

  #resume(connection: Connection): void {
    const nonce = connection.call.path.split("/")[3]!;
    const run = this.#runs.get(nonce);
    if (run === undefined) {
      this.#head(connection, nonce, 404);
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
    this.#head(connection, nonce);
    this.#flush(resumed);
    if (resumed.produced < run.mark.tokens) this.#generate(resumed, TOKEN_MS);
    else this.#forgetLater(resumed);
  }

  #workOn(run: Run): void {
    this.#world.timer.after(PLAIN_WORK_MS * this.#slowness, () => {
      if (!this.#runs.delete(run.nonce) || run.connection === undefined) return;
      const { headNonce, mark } = run.reply;
      this.#head(run.connection, headNonce);
      run.connection.push(JSON.stringify({ request: mark.request }));
      run.connection.finish();
    });
  }
}

/** What all upstreams of a scenario share. */
export interface UpstreamEnvironment {
  readonly timer: Timer;
  readonly journal: ScenarioJournal;
  /** Whether the client compares the nonce of an answer's head, as the HTTP client does. */
  readonly shouldCheckNonce: boolean;
}

/** The client of one entry host's process. */
export class FakeUpstreamClient extends UpstreamClient {
  readonly #host: string;
  readonly #process: ScenarioProcess;
  readonly #world: UpstreamEnvironment;
  readonly #upstreams: ReadonlyMap<string, FakeUpstream>;

  constructor(
    { host, process, world, upstreams }: {
      host: string;
      process: ScenarioProcess;
      world: UpstreamEnvironment;
      /** By url. */
      upstreams: ReadonlyMap<string, FakeUpstream>;
    },
  ) {
    super();
    this.#host = host;
    this.#process = process;
    this.#world = world;
    this.#upstreams = upstreams;
  }

  override send(
    call: UpstreamRequest,
  ): Promise<Result<UpstreamResponse, UpstreamError>> {
    if (call.signal.aborted) return Promise.resolve(err({ kind: "aborted" }));
    return new Promise((settle) => {
      if (this.#process.isKilled) return;
      const { timer } = this.#world;
      const connection = new Connection({
        call,
        process: this.#process,
        timer,
        settle,
      });
      timer.after(
        ONE_WAY_MS,
        () => this.#upstreams.get(call.url)!.receive(connection, this.#host),
      );
    });
  }

  override readJson(
    url: string,
    path: string,
  ): Promise<Result<unknown, UpstreamError>> {
    const { timer } = this.#world;
    const upstream = this.#upstreams.get(url)!;
    return new Promise((resolve) => {
      timer.after(2 * ONE_WAY_MS, () =>
        this.#process.run(() => {
          if (!upstream.isUp) {
            resolve(err({ kind: "refused", detail: "ECONNREFUSED" }));
          } else resolve(ok(this.#document(upstream, path)));
        }));
    });
  }

  override cancel(url: string, nonce: Nonce): Promise<void> {
    if (!this.#process.isKilled) {
      this.#world.timer.after(
        ONE_WAY_MS,
        () => this.#upstreams.get(url)?.cancel(nonce),
      );
    }
    return Promise.resolve();
  }

  override close(): Promise<void> {
    return Promise.resolve();
  }

  #document(upstream: FakeUpstream, path: string): unknown {
    if (path.startsWith("/v1/cache-events")) return { events: [] };
    return {
      takenAt: this.#world.timer.wallNow(),
      running: upstream.running,
      waiting: 0,
      memoryShare: 0,
    };
  }
}

function chunk(
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

function wholeCompletion(nonce: string, mark: RequestMarker): string {
  return JSON.stringify({
    id: `chatcmpl-${nonce}`,
    choices: [{
      index: 0,
      message: { role: "assistant", content: expectedCompletion(mark) },
      finish_reason: "stop",
    }],
    usage: { "prompt_tokens": 8, "completion_tokens": mark.tokens },
  });
}
