import { createHash } from "node:crypto";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import type { Digest, Milliseconds } from "@wasabivane/common";
import {
  type CallerLimits,
  ConnectionBacklog,
  type Route,
} from "@wasabivane/admission";
import { ok, type Result } from "neverthrow";
import { CallerAnswer } from "./callerAnswer.ts";
import type { LogValues } from "./decisionLog.ts";
import { Exchange } from "./exchange.ts";
import { fieldLines } from "./headers.ts";
import type { GatewayContext } from "./gatewayContext.ts";
import {
  accountName,
  admit,
  type Admitted,
  type Refusal,
  unitsOf,
} from "./intake.ts";
import { listenAt } from "./listenAt.ts";
import type { ListenError } from "./listenError.ts";
import { type BodyError, readBody } from "./requestBody.ts";

/** Hard bound of the parser; the policy's own bound is checked by request. */
const MAXIMUM_FIELD_BYTES = 64 * 1_024;
/** How often connections are checked for heads that take too long. */
const HEAD_CHECK_MS: Milliseconds = 500;
/** Bounds until the first policy is read. */
const FIRST_HEADER_TIMEOUT_MS: Milliseconds = 3_000;
const FIRST_IDLE_TIMEOUT_MS: Milliseconds = 15_000;
const BACKLOG = 1_024;
/** One in so many requests that are refused unread has a line of its own. */
const SHED_BY_LINE = 10;
/** A new connection is taken, its bytes are read and parsed in a turn of the loop each. */
const TURNS_TO_READ = 3;
/** Most answers are whole within this time; a host that ends sooner takes none. */
const LEAST_SERVING_MS: Milliseconds = 1_500;

/** Takes requests of callers and gives each its one answer. */
export class CallerFront {
  readonly #parts: GatewayContext;
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  readonly #busy = new Set<Socket>();
  /** Connections that this side has closed; nothing can be answered on them. */
  readonly #closed = new WeakSet<Socket>();
  /** Connections that waited to be taken, by nobody knows how long; nothing came on them yet. */
  readonly #waited = new WeakSet<Socket>();
  readonly #backlog = new ConnectionBacklog();
  #isWatchingTurns = false;
  #shedCount = 0;

  constructor(parts: GatewayContext) {
    this.#parts = parts;
    this.#server = createServer({
      maxHeaderSize: MAXIMUM_FIELD_BYTES,
      headersTimeout: FIRST_HEADER_TIMEOUT_MS,
      requestTimeout: 0,
      keepAliveTimeout: FIRST_IDLE_TIMEOUT_MS,
      connectionsCheckingInterval: HEAD_CHECK_MS,
      noDelay: true,
    }, (request, response) => void this.#serve(request, response));
    this.#server.on("connection", (socket) => this.#track(socket));
    parts.policies.watch(({ policy }) => this.#applyLimits(policy.limits));
  }

  /** Requests that have no whole answer yet. */
  get openRequests(): number {
    return this.#busy.size;
  }

  async listen(address: string): Promise<Result<void, ListenError>> {
    const server = this.#server;
    const listening = await listenAt(server, address, { backlog: BACKLOG });
    return listening.map(() => undefined);
  }

  /** Takes no new connections; those that stand are served on. */
  stopListening(): void {
    this.#server.close();
  }

  /** Closes the connections on which nothing is asked. */
  closeIdle(): void {
    for (const socket of this.#sockets) {
      if (!this.#busy.has(socket)) this.#close(socket);
    }
  }

  /** Closes every connection. */
  closeAll(): void {
    for (const socket of this.#sockets) socket.destroy();
  }

  #close(socket: Socket): void {
    this.#closed.add(socket);
    socket.end();
  }

  #track(socket: Socket): void {
    this.#sockets.add(socket);
    this.#noteTaken(socket);
    socket.on("close", () => {
      this.#sockets.delete(socket);
      this.#busy.delete(socket);
    });
  }

  #noteTaken(socket: Socket): void {
    const { lag, timer } = this.#parts;
    this.#backlog.recordAccept();
    const hasWaited = this.#backlog.hasBacklog &&
      lag.hasRecentLongIteration(timer.now());
    if (hasWaited) this.#waited.add(socket);
    if (this.#isWatchingTurns) return;
    this.#isWatchingTurns = true;
    const endTurn = (): void => {
      this.#isWatchingTurns = this.#backlog.endIteration();
      if (this.#isWatchingTurns) setImmediate(endTurn);
    };
    setImmediate(endTurn);
  }

  #applyLimits({ headerTimeout, idleTimeout }: CallerLimits): void {
    this.#server.headersTimeout = headerTimeout;
    this.#server.keepAliveTimeout = idleTimeout;
  }

  async #serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const { socket } = request;
    // A request that crosses the close of its connection must not run: its caller
    // sees a close, takes it for unread and sends it again elsewhere.
    if (this.#closed.has(socket)) return void socket.destroy();
    this.#busy.add(socket);
    response.once("close", () => this.#busy.delete(socket));
    // The head of this answer may have left before the stop, without advice to close.
    response.once("finish", () => {
      if (this.#parts.isStopping()) this.#close(socket);
    });
    const answer = new CallerAnswer(response, this.#parts.isStopping);
    if (this.#stopsTooSoon()) {
      const refusal = {
        status: 503,
        reason: "stopping",
        retryAfter: 0,
      } as const;
      return this.#refuse(request, answer, refusal);
    }
    // Its caller's time may be over by now, and nothing here can tell.
    if (this.#waited.delete(socket)) return this.#shed(request, answer);
    if (this.#shouldShed(request)) return this.#shed(request, answer);
    const admitted = this.#admit(request);
    if (admitted.isErr()) return this.#refuse(request, answer, admitted.error);
    const limits = this.#parts.policies.index!.policy.limits;
    const body = await readBody(request, {
      maximumBytes: limits.maximumBodyBytes,
      idleTimeout: limits.idleTimeout,
      timer: this.#parts.timer,
    });
    if (body.isErr()) {
      if (body.error === "caller-left") return;
      return this.#refuse(request, answer, bodyRefusal(body.error));
    }
    const charged = this.#charge(admitted.value);
    if (charged.isErr()) {
      const { service, account, says } = admitted.value;
      return this.#refuse(request, answer, charged.error, {
        account: accountName(account),
        units: unitsOf(account!, says),
        perSecond: account?.quota?.perSecond,
        burst: account?.quota?.burst,
        isIdle: this.#parts.places.isIdle(service, this.#parts.timer.now()),
      });
    }
    this.#exchange({
      admitted: admitted.value,
      request,
      response,
      answer,
      body: body.value,
    });
  }

  /** What is taken now would be cut by the end of the process. */
  #stopsTooSoon(): boolean {
    const { stopsAt, timer } = this.#parts;
    return stopsAt() - timer.now() < LEAST_SERVING_MS;
  }

  /** Looked at before anything else of a request is, as refusing must cost next to nothing. */
  #shouldShed({ headers, url }: IncomingMessage): boolean {
    const { policies, shedding, timer } = this.#parts;
    const route = policies.index?.route(headers.host ?? "", pathOf(url ?? ""));
    return route !== undefined && shedding.shouldShed(route.tier, timer.now());
  }

  /** Refuses without reading on. A line for each would keep the host behind; all are counted. */
  #shed(request: IncomingMessage, answer: CallerAnswer): void {
    const { metrics, shedding, timer } = this.#parts;
    const refusal = {
      status: 503,
      reason: "host-behind",
      retryAfter: shedding.computeRetryDelay(timer.now()),
    } as const;
    if (this.#shedCount++ % SHED_BY_LINE === 0) {
      return this.#refuse(request, answer, refusal);
    }
    metrics.count("refused_host-behind");
    answer.refuse(refusal);
    request.resume();
  }

  #admit(request: IncomingMessage): Result<Admitted, Refusal> {
    const { policies, dialect, random, timer, elapsed, lag } = this.#parts;
    return admit({
      path: pathOf(request.url ?? ""),
      fields: request.headers,
      lines: fieldLines(request.rawHeaders),
    }, {
      policies,
      dialect,
      random,
      // It came while this host was busy with others; its caller's time runs since then.
      now: timer.now() - lag.sustained,
      elapsedNow: elapsed.now(),
      readingDelay: TURNS_TO_READ * lag.peak(timer.now()),
    });
  }

  #charge({ account, says, service }: Admitted): Result<void, Refusal> {
    if (account?.quota === undefined) return ok(undefined);
    const { quotas, places, timer } = this.#parts;
    return quotas.take({
      account: account.account,
      quota: account.quota,
      units: unitsOf(account, says),
      isIdle: places.isIdle(service, timer.now()),
    }, timer.now()).mapErr(({ retryAfter }) => ({
      status: 429,
      reason: "over-quota" as const,
      retryAfter,
    }));
  }

  #exchange(
    { admitted, request, response, answer, body }: {
      admitted: Admitted;
      request: IncomingMessage;
      response: ServerResponse;
      answer: CallerAnswer;
      body: Buffer;
    },
  ): void {
    const method = request.method ?? "GET";
    const path = request.url ?? "/";
    const fingerprint = fingerprintOf(admitted, { method, path, body });
    if (
      this.#parts.crashes.isQuarantined(fingerprint, this.#parts.timer.now())
    ) {
      this.#giveBack(admitted);
      const refusal = { status: 503, reason: "convicted" } as const;
      return this.#refuse(request, answer, refusal);
    }
    const exchange = new Exchange({
      parts: this.#parts,
      admitted,
      request: {
        method,
        path,
        lines: fieldLines(request.rawHeaders),
        body,
        fingerprint,
      },
      answer,
      done: ({ hasRun }) => {
        if (!hasRun) this.#giveBack(admitted);
      },
    });
    response.once("close", () => {
      if (!response.writableFinished) exchange.callerLeft();
    });
    exchange.start();
  }

  #giveBack({ account, says }: Admitted): void {
    if (account?.quota === undefined) return;
    this.#parts.quotas.refund(account.account, unitsOf(account, says));
  }

  #refuse(
    request: IncomingMessage,
    answer: CallerAnswer,
    refusal: Refusal,
    inputs: LogValues = {},
  ): void {
    const { log, metrics, policies, elapsed, dialect } = this.#parts;
    metrics.count(`refused_${refusal.reason}`);
    log.write("request_refused", {
      id: dialect.parseRequest(request.headers)?.requestId,
      path: pathOf(request.url ?? ""),
      status: refusal.status,
      reason: refusal.reason,
      retryAfter: refusal.retryAfter,
      policy: policies.version,
      proofAge: Math.round(policies.freshness.age(elapsed.now())),
      ...inputs,
    });
    answer.refuse(refusal);
    request.resume();
  }
}

function bodyRefusal(error: Exclude<BodyError, "caller-left">): Refusal {
  return error === "body-too-large"
    ? { status: 413, reason: error }
    : { status: 408, reason: error };
}

function pathOf(url: string): string {
  const query = url.indexOf("?");
  return query < 0 ? url : url.slice(0, query);
}

/** Same for every sending of a request by one caller. */
function fingerprintOf(
  { account, route }: { account: Admitted["account"]; route: Route },
  { method, path, body }: { method: string; path: string; body: Buffer },
): Digest {
  return createHash("sha1")
    .update(`${accountName(account)}\n${route.route}\n${method} ${path}\n`)
    .update(body)
    .digest("base64")
    .slice(0, 16) as Digest;
}
