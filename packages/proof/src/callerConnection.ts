import { Buffer } from "node:buffer";
import type { IncomingMessage, ServerResponse } from "node:http";
import { Readable, Writable } from "node:stream";

const MIN_STATUS = 100;

/** A caller's HTTP request. */
export interface ScenarioCall {
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body?: string;
}

/**
 * Caller's end of an in-memory HTTP connection. It stands in for Node's
 * `ServerResponse`, so that scenarios check the bytes that a caller receives.
 */
export class CallerConnection extends Writable {
  readonly incoming: IncomingMessage;
  status = 0;
  headers: Readonly<Record<string, unknown>> = {};
  shouldKeepAlive = true;
  readonly #chunks: Buffer[] = [];
  #onEnd: (() => void) | undefined;

  constructor(
    { method, path, headers, body = "" }: ScenarioCall,
    options: { onEnd: () => void },
  ) {
    super();
    this.#onEnd = options.onEnd;
    const chunks = body === "" ? [] : [Buffer.from(body)];
    const allHeaders = {
      ...headers,
      "host": "entry",
      "content-length": String(body.length),
    };
    this.incoming = Object.assign(Readable.from(chunks), {
      method,
      url: path,
      httpVersion: "1.1",
      headers: allHeaders,
      rawHeaders: Object.entries(allHeaders).flat(),
      complete: true,
    }) as unknown as IncomingMessage;
    this.on("error", () => {});
    this.on("finish", () => this.#end());
    this.on("close", () => this.#end());
  }

  /** This connection as the response type of the caller API. */
  get outgoing(): ServerResponse {
    return this as unknown as ServerResponse;
  }

  get text(): string {
    return Buffer.concat(this.#chunks).toString("utf8");
  }

  /** Whether the status was sent; the caller API reads it after an error. */
  get headersSent(): boolean {
    return this.status > 0;
  }

  /** Whether the host completed the response. */
  get isFinished(): boolean {
    return this.writableFinished;
  }

  setHeader(name: string, value: unknown): void {
    this.headers = { ...this.headers, [name]: value };
  }

  writeHead(status: number, headers: Record<string, unknown> = {}): this {
    // Node's ServerResponse throws for such a status, too.
    if (status < MIN_STATUS) throw new RangeError(`Invalid status ${status}`);
    this.status = status;
    this.headers = { ...this.headers, ...headers };
    return this;
  }

  override _write(
    chunk: Buffer,
    _encoding: string,
    callback: () => void,
  ): void {
    this.#chunks.push(chunk);
    callback();
  }

  /** Ends the connection without completing the response. */
  disconnect(): void {
    this.#end();
  }

  #end(): void {
    const onEnd = this.#onEnd;
    this.#onEnd = undefined;
    onEnd?.();
  }
}
