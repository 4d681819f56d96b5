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
import { MAXIMUM_HEADER_BYTES } from "./overheadLimit.ts";
import {
  type ResponseReceiver,
  type UpstreamSocket,
  UpstreamSockets,
} from "./upstreamSockets.ts";
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
  /** Called with what nobody handles; it ends one call at most. */
  readonly onError?: ((thrown: unknown) => void) | undefined;
  /** Called when a connection is closed for too many bytes that are no payload. */
  readonly onExcess?: (() => void) | undefined;
}

/**
 * Pools connections to upstreams, without pipelining, retries or response
 * timeouts; the sender decides how long to wait.
 */
export class UpstreamConnections {
  readonly #pools = new Map<Address, Pool>();
  readonly #resetDetector = new ResetDetector();
  readonly #sockets = new UpstreamSockets();
  /** Connects from this host. */
  readonly directConnector: buildConnector.connector;
  readonly #maximumConnections: () => number;
  readonly #timer: Timer;
  readonly #onError: (thrown: unknown) => void;
  readonly #onExcess: () => void;
  #connector: buildConnector.connector;

  constructor(
    {
      maximumConnections,
      timer,
      connectTimeout,
      onError = () => {},
      onExcess = () => {},
    }: UpstreamConnectionsOptions,
  ) {
    this.#maximumConnections = maximumConnections;
    this.#timer = timer;
    this.#onError = onError;
    this.#onExcess = onExcess;
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
    const dispatched = new DispatchedCall(listener, {
      resetDetector: this.#resetDetector,
      sockets: this.#sockets,
      onError: this.#onError,
    });
    dispatched.start((handler) =>
      this.#poolOf(call.address).dispatch({
        method: call.method as Dispatcher.HttpMethod,
        path: call.path,
        headers: call.headers.flat(),
        body: call.body ?? null,
      }, handler)
    );
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
        this.#watch(socket, address);
        afterFreshPoll(this.#timer, () => {
          if (!socket.destroyed && !socket.readableEnded) {
            return callback(null, socket);
          }
          socket.destroy();
          callback(new Error("The connection closed before its use"), null);
        });
      });
  }

  #watch(socket: Socket, address: Address): void {
    this.#sockets.watch(socket, {
      onError: (thrown) => {
        // The library's client may have lost track of its connection.
        this.forget(address);
        this.#onError(thrown);
      },
      onExcess: this.#onExcess,
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
  readonly sockets: UpstreamSockets;
  readonly onError: (thrown: unknown) => void;
}

/**
 * Adapts the HTTP library's callbacks to an {@link UpstreamListener}. What the
 * listener or the library throws fails the call: in the library's callbacks it
 * would end the process or leave the library's client unusable.
 */
class DispatchedCall
  implements Dispatcher.DispatchHandler, RunningCall, ResponseReceiver {
  readonly #listener: UpstreamListener;
  readonly #state: CallState;
  #controller: Dispatcher.DispatchController | undefined;
  #socket: UpstreamSocket | undefined;
  #isAborted = false;
  #isPaused = false;
  #hasConnectionEnded = false;

  constructor(listener: UpstreamListener, state: CallState) {
    this.#listener = listener;
    this.#state = state;
  }

  /** Hands the call to the HTTP library. */
  start(dispatch: (handler: Dispatcher.DispatchHandler) => void): void {
    this.#guard(() => dispatch(this));
  }

  abort(): void {
    this.#isAborted = true;
    this.#leaveSocket();
    this.#guard(() =>
      this.#controller?.abort(new Error("The call was aborted"))
    );
  }

  pause(): void {
    if (this.#hasConnectionEnded) return;
    this.#isPaused = true;
    this.#controller?.pause();
  }

  /** Goes on once no response is being parsed, as the HTTP library parses one only. */
  resume(): void {
    this.#isPaused = false;
    queueMicrotask(() => {
      if (!this.#isPaused) this.#resumeNow();
    });
  }

  /**
   * The HTTP library must not be paused when it handles the end of a connection.
   * Nothing is left to be read, so a slow caller is not sent more for that.
   */
  handleConnectionEnd(): void {
    this.#hasConnectionEnded = true;
    this.#isPaused = false;
    this.#resumeNow();
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
    this.#guard(() => {
      const isSent = !this.#isAborted && this.#listener.shouldSend();
      if (isSent) this.#listener.sent();
      else controller.abort(new Error("The call was aborted"));
    });
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: HeaderValues,
  ): void {
    if (status < 200 || this.#isAborted) return;
    this.#socket = this.#state.sockets.current;
    if (this.#socket !== undefined) this.#socket.receiver = this;
    this.#socket?.recordHead();
    this.#guard(() => this.#listener.head(status, headers));
  }

  onResponseData(
    _controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    // The library reports an empty chunk when a paused response goes on.
    if (this.#isAborted || chunk.length === 0) return;
    this.#socket?.recordPayload(chunk.length);
    this.#guard(() => this.#listener.data(chunk));
  }

  onResponseEnd(): void {
    this.#leaveSocket();
    if (this.#isAborted) return;
    const { isReset } = this.#state.resetDetector;
    this.#guard(() => {
      if (isReset) this.#listener.failed("connection reset");
      else this.#listener.ended();
    });
  }

  onResponseError(
    _controller: Dispatcher.DispatchController,
    error: Error,
  ): void {
    this.#leaveSocket();
    if (!this.#isAborted) this.#fail(error.message);
  }

  #resumeNow(): void {
    this.#guard(() => this.#controller?.resume());
  }

  #leaveSocket(): void {
    if (this.#socket?.receiver === this) this.#socket.receiver = undefined;
  }

  /** Fails the call if the action throws. */
  #guard(action: () => void): void {
    try {
      action();
    } catch (thrown) {
      this.#state.onError(thrown);
      if (this.#isAborted) return;
      this.abort();
      this.#fail(String(thrown));
    }
  }

  #fail(detail: string): void {
    try {
      this.#listener.failed(detail);
    } catch (thrown) {
      this.#state.onError(thrown);
    }
  }
}
