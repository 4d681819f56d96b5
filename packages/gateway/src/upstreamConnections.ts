import type { Buffer } from "node:buffer";
import type { Milliseconds } from "@wasabivane/common";
import { type Dispatcher, Pool } from "undici";
import type { HeaderLine, HeaderValues } from "./headers.ts";
import { SocketResets } from "./socketResets.ts";

/** Idle connections are kept for so long where the upstream names no time. */
const IDLE_MS: Milliseconds = 8_000;
/** The upstream may close so much earlier than it names. */
const IDLE_MARGIN_MS: Milliseconds = 1_000;
const MAXIMUM_FIELD_BYTES = 32 * 1_024;
const LEAST_CONNECTIONS = 4;

/** One request to an upstream. */
export interface UpstreamCall {
  /** `ip:port`. */
  readonly address: string;
  readonly method: string;
  /** Path and query as the caller wrote them. */
  readonly path: string;
  readonly fields: readonly HeaderLine[];
  readonly body: Buffer | undefined;
}

/** What happens to an {@link UpstreamCall}; `failed` or `ended` comes last, once. */
export interface UpstreamListener {
  /** Asked right before the first byte leaves; when false, nothing is sent. */
  isWanted(): boolean;
  /** Bytes of the request may have left from now on. */
  sent(): void;
  head(status: number, fields: HeaderValues): void;
  data(chunk: Buffer): void;
  ended(): void;
  failed(detail: string): void;
}

/** Handle of a call that runs. */
export interface RunningCall {
  /** Ends the call and its connection; the upstream then drops the request. */
  abort(): void;
  pause(): void;
  resume(): void;
}

/**
 * Connections to upstreams, one request at a time on each. Nothing is ever sent
 * twice here, and no time-out of the library's ends an answer: whoever sends
 * knows how long it is worth waiting.
 */
export class UpstreamConnections {
  readonly #pools = new Map<string, Pool>();
  readonly #resets = new SocketResets();
  readonly #maximumConnections: () => number;

  /** `maximumConnections`: connections that this host may have to one upstream. */
  constructor(maximumConnections: () => number) {
    this.#maximumConnections = maximumConnections;
  }

  send(call: UpstreamCall, listener: UpstreamListener): RunningCall {
    const run = new CallRun(listener, this.#resets);
    this.#poolOf(call.address).dispatch({
      method: call.method as Dispatcher.HttpMethod,
      path: call.path,
      headers: call.fields.flat(),
      body: call.body ?? null,
    }, run);
    return run;
  }

  /** Ends the connections to an address when its last answer is over. */
  forget(address: string): void {
    const pool = this.#pools.get(address);
    this.#pools.delete(address);
    void pool?.close();
  }

  async close(): Promise<void> {
    const pools = [...this.#pools.values()];
    this.#pools.clear();
    await Promise.all(pools.map((pool) => pool.destroy()));
  }

  #poolOf(address: string): Pool {
    let pool = this.#pools.get(address);
    if (pool === undefined) {
      pool = new Pool(`http://${address}`, {
        connections: Math.max(LEAST_CONNECTIONS, this.#maximumConnections()),
        pipelining: 1,
        connect: this.#resets.connector,
        keepAliveTimeout: IDLE_MS,
        keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
        headersTimeout: 0,
        bodyTimeout: 0,
        maxHeaderSize: MAXIMUM_FIELD_BYTES,
      });
      this.#pools.set(address, pool);
    }
    return pool;
  }
}

/** Translates the library's callbacks, and abandons a call that never started. */
class CallRun implements Dispatcher.DispatchHandler, RunningCall {
  readonly #listener: UpstreamListener;
  readonly #resets: SocketResets;
  #controller: Dispatcher.DispatchController | undefined;
  #isAborted = false;

  constructor(listener: UpstreamListener, resets: SocketResets) {
    this.#listener = listener;
    this.#resets = resets;
  }

  abort(): void {
    this.#isAborted = true;
    this.#controller?.abort(new Error("The host ended the call"));
  }

  pause(): void {
    this.#controller?.pause();
  }

  resume(): void {
    this.#controller?.resume();
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
    const isSent = !this.#isAborted && this.#listener.isWanted();
    if (isSent) this.#listener.sent();
    else controller.abort(new Error("The host ended the call"));
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    fields: HeaderValues,
  ): void {
    if (status < 200 || this.#isAborted) return;
    this.#listener.head(status, fields);
  }

  onResponseData(
    _controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    if (!this.#isAborted) this.#listener.data(chunk);
  }

  onResponseEnd(): void {
    if (this.#isAborted) return;
    if (this.#resets.isFailing) this.#listener.failed("connection reset");
    else this.#listener.ended();
  }

  onResponseError(
    _controller: Dispatcher.DispatchController,
    error: Error,
  ): void {
    if (!this.#isAborted) this.#listener.failed(error.message);
  }
}
