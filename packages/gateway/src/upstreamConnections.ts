import type { Buffer } from "node:buffer";
import type { Socket } from "node:net";
import {
  type Address,
  type Milliseconds,
  ResetDetector,
  type Timer,
} from "@wasabivane/common";
import { type buildConnector, type Dispatcher, Pool } from "undici";
import { afterFreshPoll } from "./afterFreshPoll.ts";
import type { HeaderLine, HeaderValues } from "./headers.ts";
import { MAXIMUM_HEADER_BYTES, OverheadLimits } from "./overheadLimit.ts";
import { framingOf, type ResponseFraming } from "./responseFraming.ts";
import { createWatchedConnector } from "./watchedConnector.ts";

/** Keep-alive timeout if the upstream announces none. */
const KEEP_ALIVE_MS: Milliseconds = 8_000;
/** Deducted from an announced keep-alive timeout. */
const KEEP_ALIVE_MARGIN_MS: Milliseconds = 1_000;
const MINIMUM_CONNECTIONS = 4;
/** A code that the HTTP library does not take for the end of a response. */
const RESET_CODE = "ERR_CONNECTION_RESET";

/** One request to an upstream. */
export interface UpstreamCall {
  /** `ip:port`. */
  readonly address: Address;
  readonly method: string;
  /** Path and query as the caller wrote them. */
  readonly path: string;
  readonly headers: readonly HeaderLine[];
  readonly body: Buffer | undefined;
}

/**
 * Receives the progress of an {@link UpstreamCall}; ends with one `failed` or
 * `ended`.
 */
export interface UpstreamListener {
  /** Called just before sending; nothing is sent if it returns false. */
  shouldSend(): boolean;
  /** Called when bytes of the request may be sent from now on. */
  sent(): void;
  head(status: number, headers: HeaderValues): void;
  data(chunk: Buffer): void;
  ended(): void;
  failed(detail: string): void;
}

/** Controls a call in progress. */
export interface RunningCall {
  /** Closes the call's connection, so that the upstream drops the request. */
  abort(): void;
  pause(): void;
  resume(): void;
}

/** Options of {@link UpstreamConnections}. */
export interface UpstreamConnectionsOptions {
  /** Returns this host's limit for one upstream. */
  readonly maximumConnections: () => number;
  readonly timer: Timer;
  readonly connectTimeout?: Milliseconds | undefined;
}

/**
 * Pools connections to upstreams, without pipelining, retries or response
 * timeouts; the sender decides how long to wait.
 */
export class UpstreamConnections {
  readonly #pools = new Map<Address, Pool>();
  readonly #paused = new Set<DispatchedCall>();
  readonly #resetDetector = new ResetDetector();
  readonly #overheadLimits = new OverheadLimits();
  /** Connects from this host. */
  readonly directConnector: buildConnector.connector;
  readonly #maximumConnections: () => number;
  readonly #timer: Timer;
  #connector: buildConnector.connector;

  constructor(
    { maximumConnections, timer, connectTimeout }: UpstreamConnectionsOptions,
  ) {
    this.#maximumConnections = maximumConnections;
    this.#timer = timer;
    this.directConnector = createWatchedConnector(this.#resetDetector, {
      connectTimeout,
    });
    this.#connector = this.directConnector;
  }

  /** Replaces how connections are opened; open ones stay. */
  setConnector(connector: buildConnector.connector): void {
    this.#connector = connector;
  }

  send(call: UpstreamCall, listener: UpstreamListener): RunningCall {
    const dispatched = new DispatchedCall(call, listener, {
      resetDetector: this.#resetDetector,
      paused: this.#paused,
      overheadLimits: this.#overheadLimits,
    });
    this.#poolOf(call.address).dispatch({
      method: call.method as Dispatcher.HttpMethod,
      path: call.path,
      headers: call.headers.flat(),
      body: call.body ?? null,
    }, dispatched);
    return dispatched;
  }

  /** Closes the connections to an address once its responses are complete. */
  forget(address: Address): void {
    const pool = this.#pools.get(address);
    this.#pools.delete(address);
    void pool?.close();
  }

  async close(): Promise<void> {
    const pools = [...this.#pools.values()];
    this.#pools.clear();
    await Promise.all(pools.map((pool) => pool.destroy()));
  }

  /**
   * A connection may be established long after its request was placed, so callers
   * that left meanwhile are looked for before it is used.
   */
  #createConnector(address: Address): buildConnector.connector {
    const connector = this.#connector;
    return (options, callback) =>
      connector(options, (...result) => {
        const [error, socket] = result;
        if (error !== null) return callback(...result);
        this.#watchEnd(socket, address);
        this.#overheadLimits.watch(socket);
        afterFreshPoll(this.#timer, () => {
          if (!socket.destroyed && !socket.readableEnded) {
            return callback(null, socket);
          }
          socket.destroy();
          callback(new Error("The connection closed before its use"), null);
        });
      });
  }

  /**
   * The HTTP library ends the process if a connection without a length ends, or is
   * reset, while its response is paused. These listeners run before its own. The
   * library does not tell which call has the connection; others that have a length
   * stay paused, or they would grow while their callers read nothing.
   */
  #watchEnd(socket: Socket, address: Address): void {
    socket.prependListener("end", () => {
      for (const call of [...this.#paused]) {
        if (call.endsWithConnection(address)) call.resumeBriefly();
      }
    });
    socket.prependListener("error", (error: NodeJS.ErrnoException) => {
      if (error.code === "ECONNRESET") error.code = RESET_CODE;
    });
  }

  #poolOf(address: Address): Pool {
    let pool = this.#pools.get(address);
    if (pool === undefined) {
      pool = new Pool(`http://${address}`, {
        connections: Math.max(MINIMUM_CONNECTIONS, this.#maximumConnections()),
        pipelining: 1,
        connect: this.#createConnector(address),
        keepAliveTimeout: KEEP_ALIVE_MS,
        keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
        headersTimeout: 0,
        bodyTimeout: 0,
        maxHeaderSize: MAXIMUM_HEADER_BYTES,
      });
      this.#pools.set(address, pool);
    }
    return pool;
  }
}

/** What the calls of one host share. */
interface CallState {
  readonly resetDetector: ResetDetector;
  /** Calls whose responses are not read for the moment. */
  readonly paused: Set<DispatchedCall>;
  readonly overheadLimits: OverheadLimits;
}

/** Adapts the HTTP library's callbacks to an {@link UpstreamListener}. */
class DispatchedCall implements Dispatcher.DispatchHandler, RunningCall {
  readonly #call: UpstreamCall;
  readonly #listener: UpstreamListener;
  readonly #state: CallState;
  #controller: Dispatcher.DispatchController | undefined;
  #framing: ResponseFraming | undefined;
  #isAborted = false;

  constructor(
    call: UpstreamCall,
    listener: UpstreamListener,
    state: CallState,
  ) {
    this.#call = call;
    this.#listener = listener;
    this.#state = state;
  }

  abort(): void {
    this.#isAborted = true;
    this.#state.paused.delete(this);
    this.#controller?.abort(new Error("The call was aborted"));
  }

  pause(): void {
    this.#state.paused.add(this);
    this.#controller?.pause();
  }

  resume(): void {
    this.#state.paused.delete(this);
    this.#controller?.resume();
  }

  /** Whether the end of a connection to an address may be that of the response. */
  endsWithConnection(address: Address): boolean {
    return this.#call.address === address && this.#framing === "connection";
  }

  /** Reads on until the event that is being handled is over. */
  resumeBriefly(): void {
    this.#controller?.resume();
    queueMicrotask(() => {
      if (this.#state.paused.has(this)) this.#controller?.pause();
    });
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
    const isSent = !this.#isAborted && this.#listener.shouldSend();
    if (isSent) this.#listener.sent();
    else controller.abort(new Error("The call was aborted"));
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: HeaderValues,
  ): void {
    if (status < 200 || this.#isAborted) return;
    this.#state.overheadLimits.recordProgress();
    const { method } = this.#call;
    this.#framing = framingOf({ method, status, headers });
    this.#listener.head(status, headers);
  }

  onResponseData(
    _controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    if (this.#isAborted) return;
    this.#state.overheadLimits.recordProgress();
    this.#listener.data(chunk);
  }

  onResponseEnd(): void {
    this.#state.paused.delete(this);
    if (this.#isAborted) return;
    if (this.#state.resetDetector.isReset) {
      this.#listener.failed("connection reset");
    } else this.#listener.ended();
  }

  onResponseError(
    _controller: Dispatcher.DispatchController,
    error: Error,
  ): void {
    this.#state.paused.delete(this);
    if (!this.#isAborted) this.#listener.failed(error.message);
  }
}
