import { Buffer } from "node:buffer";
import { Agent, buildConnector, type Dispatcher } from "undici";
import { err, ok, type Result } from "neverthrow";
import { type Nonce, ResetDetector } from "@wasabivane/common";
import { NONCE_HEADER } from "./constants.ts";
import { failResets } from "./resetGuard.ts";
import {
  UpstreamClient,
  type UpstreamRequest,
  type UpstreamResponse,
} from "./upstreamClient.ts";
import { type UpstreamError, upstreamErrorOf } from "./upstreamError.ts";

const CONNECT_TIMEOUT_MS = 1_000;
const CONNECTIONS_PER_UPSTREAM = 512;
const MAX_HEADER_BYTES = 16 * 1024;
/** Fits a full list of cache events. */
const MAX_REPORT_BYTES = 8 * 1024 * 1024;

/** Options of an {@link HttpUpstreamClient}. */
export interface HttpUpstreamClientOptions {
  /** Authority of the upstreams' certificates; the system's by default. */
  readonly ca?: Buffer;
}

/**
 * Sends requests to upstreams over HTTP, one at a time per connection. The
 * nonce detects responses that an upstream sends to the wrong request. Requests
 * are never retried here.
 */
export class HttpUpstreamClient extends UpstreamClient {
  readonly #agent: Dispatcher;
  /** Closes each connection after its first response. */
  readonly #singleUseAgent: Dispatcher;
  readonly #resetDetector = new ResetDetector();
  readonly #connectErrors = new WeakSet<object>();

  constructor(options: HttpUpstreamClientOptions = {}) {
    super();
    const connect = this.#createConnector(options);
    const guard = failResets(this.#resetDetector);
    this.#agent = createAgent({ pipelining: 1, connect }).compose(guard);
    this.#singleUseAgent = createAgent({ pipelining: 0, connect })
      .compose(guard);
  }

  override async send(
    call: UpstreamRequest,
  ): Promise<Result<UpstreamResponse, UpstreamError>> {
    try {
      const agent = call.shouldUseNewConnection
        ? this.#singleUseAgent
        : this.#agent;
      const response = await agent.request({
        origin: call.url,
        method: call.method as Dispatcher.HttpMethod,
        path: call.path,
        headers: { ...call.headers, [NONCE_HEADER]: call.nonce },
        body: call.body ?? null,
        signal: call.signal,
      });
      return checkNonce(call.nonce, response);
    } catch (thrown) {
      return err(this.#toUpstreamError(thrown, call.signal));
    }
  }

  override async readJson(
    url: string,
    path: string,
  ): Promise<Result<unknown, UpstreamError>> {
    const signal = AbortSignal.timeout(CONNECT_TIMEOUT_MS);
    try {
      const response = await this.#agent.request({
        origin: url,
        path,
        method: "GET",
        signal,
      });
      return ok(JSON.parse(await readText(response.body)));
    } catch (thrown) {
      return err(this.#toUpstreamError(thrown, signal));
    }
  }

  override async cancel(url: string, nonce: Nonce): Promise<void> {
    try {
      const response = await this.#agent.request({
        origin: url,
        path: `/v1/requests/${nonce}`,
        method: "DELETE",
        signal: AbortSignal.timeout(CONNECT_TIMEOUT_MS),
      });
      await response.body.dump();
    } catch {
      return;
    }
  }

  #toUpstreamError(thrown: unknown, signal: AbortSignal): UpstreamError {
    const isConnectError = this.#connectErrors.has(thrown as object);
    return upstreamErrorOf(thrown, { signal, isConnectError });
  }

  /**
   * Creates a connector that records connect errors, after which no byte was
   * sent.
   */
  #createConnector(
    { ca }: HttpUpstreamClientOptions,
  ): buildConnector.connector {
    const connect = buildConnector({
      timeout: CONNECT_TIMEOUT_MS,
      ...(ca === undefined ? {} : { ca }),
    });
    return (options, callback) =>
      connect(options, (...result) => {
        const [error, socket] = result;
        if (error !== null) this.#connectErrors.add(error);
        if (socket) this.#resetDetector.watch(socket);
        callback(...result);
      });
  }

  override async close(): Promise<void> {
    await Promise.all([
      this.#agent.destroy(),
      this.#singleUseAgent.destroy(),
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
  // A destroyed body emits an error, which would end the process if it were
  // unhandled. Readers receive the error regardless.
  body.on("error", ignore);
  if (headers[NONCE_HEADER] !== nonce) {
    body.destroy();
    return err({
      kind: "not-own",
      detail: "The response carries another dispatch's nonce",
    });
  }
  return ok({ status: statusCode, headers: joinHeaderValues(headers), body });
}

async function readText(
  body: Dispatcher.ResponseData["body"],
): Promise<string> {
  body.on("error", ignore);
  const parts: Buffer[] = [];
  let bytes = 0;
  for await (const part of body) {
    bytes += part.byteLength;
    if (bytes > MAX_REPORT_BYTES) {
      throw new Error("The document exceeds the size limit");
    }
    parts.push(part);
  }
  return Buffer.concat(parts).toString("utf8");
}

function ignore(): void {}

function joinHeaderValues(
  headers: Dispatcher.ResponseData["headers"],
): Record<string, string> {
  const joined: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value !== undefined) {
      joined[name] = Array.isArray(value) ? value.join(", ") : value;
    }
  }
  return joined;
}
