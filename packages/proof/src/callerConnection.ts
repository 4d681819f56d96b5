import { Buffer } from "node:buffer";
import type { IncomingMessage, ServerResponse } from "node:http";
import { Readable, Writable } from "node:stream";

const LOWEST_STATUS = 100;

/** One call of a caller, as its bytes are. */
export interface ScenarioCall {
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body?: string;
}

/**
 * The caller's end of a connection without a socket. The caller interface of an
 * entry host writes to it as to Node's own answer, so that scenarios judge the
 * very bytes that a caller would see.
 */
export class CallerConnection extends Writable {
  readonly incoming: IncomingMessage;
  status = 0;
  headers: Readonly<Record<string, unknown>> = {};
  shouldKeepAlive = true;
  readonly #parts: Buffer[] = [];
  #onEnd: (() => void) | undefined;

  constructor(
    { method, path, headers, body = "" }: ScenarioCall,
    options: { onEnd: () => void },
  ) {
    super();
    this.#onEnd = options.onEnd;
    const parts = body === "" ? [] : [Buffer.from(body)];
    const allHeaders = {
      ...headers,
      "host": "entry",
      "content-length": String(body.length),
    };
    this.incoming = Object.assign(Readable.from(parts), {
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

  /** As the caller interface takes it. */
  get outgoing(): ServerResponse {
    return this as unknown as ServerResponse;
  }

  get text(): string {
    return Buffer.concat(this.#parts).toString("utf8");
  }

  /** Read by the caller interface when it fails half-way. */
  get headersSent(): boolean {
    return this.status > 0;
  }

  /** Whether the host ended the answer itself; a part is not the whole. */
  get isFinished(): boolean {
    return this.writableFinished;
  }

  setHeader(name: string, value: unknown): void {
    this.headers = { ...this.headers, [name]: value };
  }

  writeHead(status: number, headers: Record<string, unknown> = {}): this {
    // Node refuses such a status, too.
    if (status < LOWEST_STATUS) throw new RangeError(`Status ${status}`);
    this.status = status;
    this.headers = { ...this.headers, ...headers };
    return this;
  }

  override _write(
    part: Buffer,
    _encoding: string,
    callback: () => void,
  ): void {
    this.#parts.push(part);
    callback();
  }

  /** The host died; nothing more comes. */
  disconnect(): void {
    this.#end();
  }

  #end(): void {
    const onEnd = this.#onEnd;
    this.#onEnd = undefined;
    onEnd?.();
  }
}
