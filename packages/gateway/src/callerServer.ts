import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import type { Milliseconds } from "@wasabivane/common";
import { type CallerLimits, ConnectionBacklog } from "@wasabivane/admission";
import { ok, type Result } from "neverthrow";
import { CallerListener } from "./callerListener.ts";
import { CallerResponse } from "./callerResponse.ts";
import type { LogValues } from "./decisionLog.ts";
import { Exchange } from "./exchange.ts";
import { hasCallerLeft, onCallerLeave } from "./callerDeparture.ts";
import { pairHeaders } from "./headers.ts";
import type { GatewayContext } from "./gatewayContext.ts";
import {
  accountName,
  admitRequest,
  type AdmittedRequest,
  quotaUnits,
  type Refusal,
} from "./requestAdmission.ts";
import { quarantineOfNew } from "./quarantine.ts";
import { traitsOf } from "./requestTraits.ts";
import { bindToOrigin } from "./streamTakeUp.ts";
import type { ListenError } from "./listenError.ts";
import { type BodyError, readBody } from "./requestBody.ts";

/** Parser limit; the policy's own limit is checked for each request. */
const MAXIMUM_HEADER_BYTES = 64 * 1_024;
/** Interval of the check for header timeouts. */
const HEADER_CHECK_MS: Milliseconds = 500;
/** Timeouts until the first policy is read. */
const INITIAL_HEADER_TIMEOUT_MS: Milliseconds = 3_000;
const INITIAL_IDLE_TIMEOUT_MS: Milliseconds = 15_000;
/** Only one in this many shed requests is logged on its own. */
const SHED_LOG_SAMPLE = 10;
/**
 * Event-loop iterations from a new connection to its parsed request: accept,
 * read, parse.
 */
const ITERATIONS_TO_READ = 3;
/** A host that ends sooner than this refuses new requests. */
const MINIMUM_SERVING_MS: Milliseconds = 1_500;

/** Work that a host was spared, or that it could not do. */
export interface UnservedCounts {
  /** How often all connections that waited to be accepted were reset. */
  readonly queueDrops: number;
  /** Requests whose callers had left before anything was sent. */
  readonly leftUnsent: number;
}

/** Accepts callers' connections and answers each request exactly once. */
export class CallerServer {
  readonly #context: GatewayContext;
  readonly #server: Server;
  readonly #listener: CallerListener;
  readonly #sockets = new Set<Socket>();
  readonly #busySockets = new Set<Socket>();
  /** Connections closed by this host; requests on them cannot be answered. */
  readonly #closedSockets = new WeakSet<Socket>();
  /**
   * How long connections that have not had a request yet may have waited in the
   * accept queue.
   */
  readonly #waits = new WeakMap<Socket, Milliseconds>();
  readonly #acceptBacklog = new ConnectionBacklog();
  #isCountingIterations = false;
  #shedCount = 0;
  #queueDrops = 0;
  #leftUnsent = 0;

  constructor(context: GatewayContext) {
    this.#context = context;
    this.#server = createServer({
      maxHeaderSize: MAXIMUM_HEADER_BYTES,
      headersTimeout: INITIAL_HEADER_TIMEOUT_MS,
      requestTimeout: 0,
      keepAliveTimeout: INITIAL_IDLE_TIMEOUT_MS,
      connectionsCheckingInterval: HEADER_CHECK_MS,
      noDelay: true,
    }, (request, response) => void this.#serve(request, response));
    this.#listener = new CallerListener(this.#server, context.timer);
    this.#server.on("connection", (socket) => this.#track(socket));
    context.policies.addListener(({ policy }) =>
      this.#applyLimits(policy.limits)
    );
  }

  /** Number of requests without a complete response. */
  get openRequests(): number {
    return this.#busySockets.size;
  }

  /** Returns what was not served since the last call. */
  takeCounts(): UnservedCounts {
    const counts = {
      queueDrops: this.#queueDrops,
      leftUnsent: this.#leftUnsent,
    };
    this.#queueDrops = 0;
    this.#leftUnsent = 0;
    return counts;
  }

  listen(address: string): Promise<Result<void, ListenError>> {
    return this.#listener.listen(address);
  }

  /** Stops accepting connections; open ones are still served. */
  stopListening(): void {
    this.#listener.stop();
  }

  /** Closes connections without a request in progress. */
  closeIdle(): void {
    for (const socket of this.#sockets) {
      if (!this.#busySockets.has(socket)) this.#close(socket);
    }
  }

  closeAll(): void {
    for (const socket of this.#sockets) socket.destroy();
  }

  #close(socket: Socket): void {
    this.#closedSockets.add(socket);
    socket.end();
  }

  #track(socket: Socket): void {
    this.#recordAccept(socket);
    if (this.#acceptBacklog.isOverrun(this.#context.timer.now())) {
      this.#dropWaiting();
    }
    this.#sockets.add(socket);
    socket.on("close", () => {
      this.#sockets.delete(socket);
      this.#busySockets.delete(socket);
    });
  }

  /**
   * The callers see that nothing was read, and turn to other hosts. Those that
   * come next have not waited.
   */
  #dropWaiting(): void {
    this.#context.metrics.count("accept_queue_drops");
    this.#queueDrops++;
    this.#listener.dropWaiting();
    this.#acceptBacklog.reset();
  }

  #recordAccept(socket: Socket): void {
    const now = this.#context.timer.now();
    this.#acceptBacklog.recordAccept(now);
    this.#waits.set(socket, this.#acceptBacklog.longestWait(now));
    if (this.#isCountingIterations) return;
    this.#isCountingIterations = true;
    const endIteration = (): void => {
      this.#isCountingIterations = this.#acceptBacklog.endIteration();
      if (this.#isCountingIterations) setImmediate(endIteration);
    };
    setImmediate(endIteration);
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
    const wait = this.#takeWait(socket);
    // The caller sees the close and resends the request to another host.
    if (this.#closedSockets.has(socket)) return void socket.destroy();
    this.#busySockets.add(socket);
    response.once("close", () => this.#busySockets.delete(socket));
    // The headers may have been sent without `connection: close`.
    response.once("finish", () => {
      if (this.#context.isStopping()) this.#close(socket);
    });
    const callerResponse = new CallerResponse(
      response,
      this.#context.isStopping,
    );
    if (this.#isStoppingSoon()) {
      const refusal = {
        status: 503,
        reason: "stopping",
        retryAfter: 0,
      } as const;
      return this.#refuse(request, callerResponse, refusal);
    }
    if (this.#shouldShed(request)) return this.#shed(request, callerResponse);
    const admitted = this.#admit(request, wait);
    if (admitted.isErr()) {
      return this.#refuse(request, callerResponse, admitted.error);
    }
    const limits = this.#context.policies.index!.policy.limits;
    const body = await readBody(request, {
      maximumBytes: limits.maximumBodyBytes,
      idleTimeout: limits.idleTimeout,
      timer: this.#context.timer,
    });
    if (body.isErr()) {
      if (body.error === "caller-left") return;
      return this.#refuse(
        request,
        callerResponse,
        createBodyRefusal(body.error),
      );
    }
    const charged = this.#chargeQuota(admitted.value);
    if (charged.isErr()) {
      const { service, account, metadata } = admitted.value;
      return this.#refuse(request, callerResponse, charged.error, {
        account: accountName(account),
        units: quotaUnits(account!, metadata),
        perSecond: account?.quota?.perSecond,
        burst: account?.quota?.burst,
        isIdle: this.#context.placementClient.isIdle(
          service,
          this.#context.timer.now(),
        ),
      });
    }
    const bound = await bindToOrigin(admitted.value, this.#context);
    if (hasCallerLeft(request, response)) {
      this.#countLeftUnsent();
      return this.#refundQuota(admitted.value);
    }
    if (bound.isErr()) {
      this.#refundQuota(admitted.value);
      return this.#refuse(request, callerResponse, bound.error);
    }
    this.#exchange({
      admitted: bound.value,
      request,
      response,
      callerResponse,
      body: body.value,
    });
  }

  #isStoppingSoon(): boolean {
    const { stopsAt, timer } = this.#context;
    return stopsAt() - timer.now() < MINIMUM_SERVING_MS;
  }

  /** Runs before any other check, so that shedding stays cheap. */
  #shouldShed({ headers, url }: IncomingMessage): boolean {
    const { policies, shedding, timer } = this.#context;
    const route = policies.index?.route(headers.host ?? "", pathOf(url ?? ""));
    return route !== undefined && shedding.shouldShed(route.tier, timer.now());
  }

  /**
   * Refuses without reading the body; logs a sample only, since logging adds
   * load.
   */
  #shed(request: IncomingMessage, callerResponse: CallerResponse): void {
    const { metrics, shedding, timer } = this.#context;
    const refusal = {
      status: 503,
      reason: "host-behind",
      retryAfter: shedding.computeRetryDelay(timer.now()),
    } as const;
    if (this.#shedCount++ % SHED_LOG_SAMPLE === 0) {
      return this.#refuse(request, callerResponse, refusal);
    }
    metrics.count("refused_host-behind");
    callerResponse.refuse(refusal);
    request.resume();
  }

  /** Admits a request that may have waited for so long to be accepted. */
  #admit(
    request: IncomingMessage,
    wait: Milliseconds,
  ): Result<AdmittedRequest, Refusal> {
    const { policies, dialect, random, timer, elapsed, lag } = this.#context;
    return admitRequest({
      path: pathOf(request.url ?? ""),
      headers: request.headers,
      headerLines: pairHeaders(request.rawHeaders),
    }, {
      policies,
      dialect,
      random,
      // The request arrived while the event loop was busy.
      now: timer.now() - lag.sustained,
      elapsedNow: elapsed.now(),
      readingDelay: Math.max(
        wait,
        ITERATIONS_TO_READ * lag.peak(timer.now()),
      ),
    });
  }

  /** Only the first request of a connection waited with it. */
  #takeWait(socket: Socket): Milliseconds {
    const wait = this.#waits.get(socket) ?? 0;
    this.#waits.delete(socket);
    return wait;
  }

  #chargeQuota(
    { account, metadata, service }: AdmittedRequest,
  ): Result<void, Refusal> {
    if (account?.quota === undefined) return ok(undefined);
    const { quotas, placementClient, timer } = this.#context;
    return quotas.take({
      account: account.account,
      quota: account.quota,
      units: quotaUnits(account, metadata),
      isIdle: placementClient.isIdle(service, timer.now()),
    }, timer.now()).mapErr(({ retryAfter }) => ({
      status: 429,
      reason: "over-quota" as const,
      retryAfter,
    }));
  }

  #exchange(
    { admitted, request, response, callerResponse, body }: {
      admitted: AdmittedRequest;
      request: IncomingMessage;
      response: ServerResponse;
      callerResponse: CallerResponse;
      body: Buffer;
    },
  ): void {
    const method = request.method ?? "GET";
    const path = request.url ?? "/";
    const traits = traitsOf(admitted, { method, path, body });
    const retryAfter = quarantineOfNew(traits, this.#context);
    if (retryAfter > 0) {
      this.#refundQuota(admitted);
      const refusal = {
        status: 503,
        reason: "convicted",
        retryAfter,
      } as const;
      return this.#refuse(request, callerResponse, refusal, {
        fingerprint: traits.fingerprint,
        parts: traits.parts.join(","),
      });
    }
    const { partCrashes, timer } = this.#context;
    partCrashes.recordAdmission(traits, timer.now());
    const exchange = new Exchange({
      context: this.#context,
      admitted,
      request: {
        method,
        path,
        headerLines: pairHeaders(request.rawHeaders),
        body,
        traits,
      },
      response: callerResponse,
      onEnd: ({ hasRun }) => {
        if (!hasRun) this.#refundQuota(admitted);
        if (!hasRun && hasCallerLeft(request, response)) {
          this.#countLeftUnsent();
        }
      },
    });
    onCallerLeave(request, response, () => exchange.handleCallerClose());
    exchange.start();
  }

  #countLeftUnsent(): void {
    this.#context.metrics.count("callers_left_unsent");
    this.#leftUnsent++;
  }

  #refundQuota({ account, metadata }: AdmittedRequest): void {
    if (account?.quota === undefined) return;
    this.#context.quotas.refund(account.account, quotaUnits(account, metadata));
  }

  #refuse(
    request: IncomingMessage,
    callerResponse: CallerResponse,
    refusal: Refusal,
    inputs: LogValues = {},
  ): void {
    const { log, metrics, policies, elapsed, dialect } = this.#context;
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
    callerResponse.refuse(refusal);
    request.resume();
  }
}

function createBodyRefusal(error: Exclude<BodyError, "caller-left">): Refusal {
  return error === "body-too-large"
    ? { status: 413, reason: error }
    : { status: 408, reason: error };
}

function pathOf(url: string): string {
  const query = url.indexOf("?");
  return query < 0 ? url : url.slice(0, query);
}
