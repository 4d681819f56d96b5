import { Buffer } from "node:buffer";
import { Agent, buildConnector, type Dispatcher } from "undici";
import { err, ok, type Result } from "neverthrow";
import type { Nonce } from "@wasabivane/common";
import { NONCE_HEADER } from "./constants.ts";
import {
  UpstreamClient,
  type UpstreamRequest,
  type UpstreamResponse,
} from "./upstreamClient.ts";
import { type UpstreamError, upstreamErrorOf } from "./upstreamError.ts";

const CONNECT_TIMEOUT_MS = 1_000;
const CONNECTIONS_PER_UPSTREAM = 512;
const MAX_HEADER_BYTES = 16 * 1024;
/** Room for a full list of cache events. */
const MAX_REPORT_BYTES = 8 * 1024 * 1024;

/** Options of an {@link HttpUpstreamClient}. */
export interface HttpUpstreamClientOptions {
  /** Authority of the upstreams' certificates; the system's when left out. */
  readonly ca?: Buffer;
}

/**
 * Calls upstreams over HTTP. One request at a time per connection, so that an answer on
 * a connection can only belong to the request sent on it; the nonce shows it
 * even when an upstream mixes its answers up. Nothing is ever sent twice here.
 */
export class HttpUpstreamClient extends UpstreamClient {
  readonly #agent: Agent;
  /** Without pipelining a connection ends with its first answer. */
  readonly #singleCallAgent: Agent;
  readonly #unconnected = new WeakSet<object>();

  constructor(options: HttpUpstreamClientOptions = {}) {
    super();
    const connect = this.#connector(options);
    this.#agent = createAgent({ pipelining: 1, connect });
    this.#singleCallAgent = createAgent({ pipelining: 0, connect });
  }

  override async send(
    call: UpstreamRequest,
  ): Promise<Result<UpstreamResponse, UpstreamError>> {
    try {
      const agent = call.shouldUseNewConnection
        ? this.#singleCallAgent
        : this.#agent;
      const answer = await agent.request({
        origin: call.url,
        method: call.method as Dispatcher.HttpMethod,
        path: call.path,
        headers: { ...call.headers, [NONCE_HEADER]: call.nonce },
        body: call.body ?? null,
        signal: call.signal,
      });
      return checkNonce(call.nonce, answer);
    } catch (thrown) {
      return err(this.#errorOf(thrown, call.signal));
    }
  }

  override async readJson(
    url: string,
    path: string,
  ): Promise<Result<unknown, UpstreamError>> {
    const signal = AbortSignal.timeout(CONNECT_TIMEOUT_MS);
    try {
      const answer = await this.#agent.request({
        origin: url,
        path,
        method: "GET",
        signal,
      });
      return ok(JSON.parse(await readText(answer.body)));
    } catch (thrown) {
      return err(this.#errorOf(thrown, signal));
    }
  }

  override async cancel(url: string, nonce: Nonce): Promise<void> {
    try {
      const answer = await this.#agent.request({
        origin: url,
        path: `/v1/requests/${nonce}`,
        method: "DELETE",
        signal: AbortSignal.timeout(CONNECT_TIMEOUT_MS),
      });
      await answer.body.dump();
    } catch {
      return;
    }
  }

  #errorOf(thrown: unknown, signal: AbortSignal): UpstreamError {
    const isUnconnected = this.#unconnected.has(thrown as object);
    return upstreamErrorOf(thrown, { signal, isUnconnected });
  }

  /** Remembers which errors came before any connection stood: with them no byte left. */
  #connector({ ca }: HttpUpstreamClientOptions): buildConnector.connector {
    const connect = buildConnector({
      timeout: CONNECT_TIMEOUT_MS,
      ...(ca === undefined ? {} : { ca }),
    });
    return (options, callback) =>
      connect(options, (...result) => {
        const [error] = result;
        if (error !== null) this.#unconnected.add(error);
        callback(...result);
      });
  }

  override async close(): Promise<void> {
    await Promise.all([
      this.#agent.destroy(),
      this.#singleCallAgent.destroy(),
    ]);
  }
}

function createAgent(
  { pipelining, connect }: {
    pipelining: number;
    connect: buildConnector.connector;
  },
): Agent {
  return new Agent({
    pipelining,
    connections: CONNECTIONS_PER_UPSTREAM,
    maxHeaderSize: MAX_HEADER_BYTES,
    connect,
    headersTimeout: 0,
    bodyTimeout: 0,
  });
}

function checkNonce(
  nonce: Nonce,
  { statusCode, headers, body }: Dispatcher.ResponseData,
): Result<UpstreamResponse, UpstreamError> {
  // A body that is destroyed before its end emits an error, which would end
  // the process where nobody reads the body any more. Readers get it anyway.
  body.on("error", ignore);
  if (headers[NONCE_HEADER] !== nonce) {
    body.destroy();
    return err({
      kind: "not-own",
      detail: "The answer's nonce is not this dispatch's",
    });
  }
  return ok({ status: statusCode, headers: singleHeaders(headers), body });
}

async function readText(
  body: Dispatcher.ResponseData["body"],
): Promise<string> {
  body.on("error", ignore);
  const parts: Buffer[] = [];
  let bytes = 0;
  for await (const part of body) {
    bytes += part.byteLength;
    if (bytes > MAX_REPORT_BYTES) throw new Error("The report is too large");
    parts.push(part);
  }
  return Buffer.concat(parts).toString("utf8");
}

function ignore(): void {}

function singleHeaders(
  headers: Dispatcher.ResponseData["headers"],
): Record<string, string> {
  const single: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value !== undefined) {
      single[name] = Array.isArray(value) ? value.join(", ") : value;
    }
  }
  return single;
}
