import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import type { Milliseconds } from "@wasabivane/common";
import {
  type CallerLimits,
  ConnectionBacklog,
  type OverQuota,
  type QuotaRequest,
} from "@wasabivane/admission";
import { err, ok, type Result } from "neverthrow";
import { CallerListener } from "./callerListener.ts";
import { CallerResponse } from "./callerResponse.ts";
import { Exchange } from "./exchange.ts";
import { ConnectionLimits } from "./connectionLimits.ts";
import { closeAfterClientError } from "./clientErrors.ts";
import { hasCallerLeft, onCallerLeave } from "./callerDeparture.ts";
import { pairHeaders } from "./headers.ts";
import type { GatewayContext } from "./gatewayContext.ts";
import {
  accountName,
  admitRequest,
  type AdmittedRequest,
  headerBytes,
  quotaUnits,
  readHead,
  type Refusal,
  type RequestHead,
} from "./requestAdmission.ts";
import { quarantineOfNew } from "./quarantine.ts";
import { type Call, RefusalWriter } from "./refusalWriter.ts";
import { STOPPING_REFUSAL } from "./servingWindow.ts";
import { traitsOf } from "./requestTraits.ts";
import { bindToOrigin } from "./streamTakeUp.ts";
import type { ListenError } from "./listenError.ts";
import { BodyLeases } from "./bodyLeases.ts";
import { PipelineLimits } from "./pipelineLimits.ts";
import { ParsingBudget } from "./parsingBudget.ts";
import { type BodyError, readBody, type RequestBody } from "./requestBody.ts";
import { UnreadResponses } from "./unreadResponses.ts";

/** Parser limit; the policy's own limit is checked for each request. */
const MAXIMUM_HEADER_BYTES = 64 * 1_024;
/** Interval of the check for header timeouts. */
const HEADER_CHECK_MS: Milliseconds = 500;
/** Timeouts until the first policy is read. */
const INITIAL_HEADER_TIMEOUT_MS: Milliseconds = 3_000;
const INITIAL_IDLE_TIMEOUT_MS: Milliseconds = 15_000;
/**
 * Event-loop iterations from a new connection to its parsed request: accept,
 * read, parse.
 */
const ITERATIONS_TO_READ = 3;
/** A host that ends sooner than this refuses new requests. */
const MINIMUM_SERVING_MS: Milliseconds = 1_700;

/** Shortest time after which there may be memory for a large body. */
const MEMORY_RETRY_MS: Milliseconds = 250;

/** Each pipelined request adds some to its connection. */
const LISTENERS_PER_CONNECTION = 128;

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
  /** Numbers of requests in progress; refusals that may be unread count, too. */
  readonly #busySockets = new Map<Socket, number>();
  /** The response to the last request of each connection. */
  readonly #latest = new WeakMap<Socket, CallerResponse>();
  /** Connections closed by this host; requests on them cannot be answered. */
  readonly #closedSockets = new WeakSet<Socket>();
  /**
   * How long connections that have not had a request yet may have waited in the
   * accept queue.
   */
  readonly #waits = new WeakMap<Socket, Milliseconds>();
  readonly #acceptBacklog = new ConnectionBacklog();
  readonly #refusals: RefusalWriter;
  readonly #unreadResponses: UnreadResponses;
  readonly #bodyLeases: BodyLeases;
  readonly #parsing: ParsingBudget;
  readonly #pipelines: PipelineLimits;
  readonly #connectionLimits: ConnectionLimits;
  #isCountingIterations = false;
  #queueDrops = 0;
  #leftUnsent = 0;

  constructor(
    context: GatewayContext,
    { connectionLimit = Infinity }: { connectionLimit?: number | undefined } =
      {},
  ) {
    this.#context = context;
    this.#bodyLeases = new BodyLeases({
      budget: context.memory.bodies,
      timer: context.timer,
      metrics: context.metrics,
    });
    this.#parsing = new ParsingBudget(context.timer);
    this.#pipelines = new PipelineLimits({
      timer: context.timer,
      metrics: context.metrics,
      parsing: this.#parsing,
    });
    this.#connectionLimits = new ConnectionLimits({
      timer: context.timer,
      metrics: context.metrics,
      budget: context.memory.connections,
      connectionLimit,
      isBusy: (socket) =>
        this.#busySockets.has(socket) || this.#pipelines.dueOf(socket) > 0,
    });
    this.#refusals = new RefusalWriter(
      context,
      (socket) => {
        this.#closedSockets.add(socket);
        // A stop before the caller has read its refusal could destroy it.
        this.#addBusy(socket);
      },
    );
    this.#unreadResponses = new UnreadResponses({
      budget: context.memory.responses,
      idleTimeout: () => this.#server.keepAliveTimeout,
      onCut: (reason) =>
        context.metrics.count(`unread_responses_cut_${reason}`),
    });
    this.#server = createServer({
      maxHeaderSize: MAXIMUM_HEADER_BYTES,
      headersTimeout: INITIAL_HEADER_TIMEOUT_MS,
      requestTimeout: 0,
      keepAliveTimeout: INITIAL_IDLE_TIMEOUT_MS,
      connectionsCheckingInterval: HEADER_CHECK_MS,
      noDelay: true,
    });
    this.#listener = new CallerListener(this.#server, context.timer);
    this.#server.on("connection", (socket) => this.#track(socket));
    this.#server.on("request", this.#handleRequest);
    // The HTTP server would answer it without the bounds of other requests.
    this.#server.on("checkExpectation", this.#handleRequest);
    this.#server.on(
      "clientError",
      (error, socket) => this.#handleClientError(error, socket as Socket),
    );
    context.policies.addListener(({ policy }) =>
      this.#applyLimits(policy.limits)
    );
  }

  /**
   * Number of requests without a complete response, or whose refusal may not be
   * read yet.
   */
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

  #addBusy(socket: Socket): void {
    this.#busySockets.set(socket, (this.#busySockets.get(socket) ?? 0) + 1);
  }

  #removeBusy(socket: Socket): void {
    const left = (this.#busySockets.get(socket) ?? 0) - 1;
    if (left > 0) this.#busySockets.set(socket, left);
    else this.#busySockets.delete(socket);
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
    socket.setMaxListeners(LISTENERS_PER_CONNECTION);
    socket.on("close", () => {
      this.#sockets.delete(socket);
      this.#busySockets.delete(socket);
    });
    this.#connectionLimits.add(socket);
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

  #handleClientError(error: Error, socket: Socket): void {
    // What is incomplete was not read on, and responses are due before it.
    if (this.#pipelines.isOverrun(socket) && !socket.destroyed) return;
    const due = this.#pipelines.dueOf(socket);
    const latest = this.#latest.get(socket);
    const isWhole = latest?.isRequestComplete === true;
    // Requests that were received before the error may have been passed on.
    if (!socket.destroyed && due > (isWhole ? 0 : 1)) {
      return this.#pipelines.endBehindResponses(socket);
    }
    const isTold = due === 0 || latest?.hasStarted !== true;
    closeAfterClientError(socket, { error, isTold });
  }

  readonly #handleRequest = (
    request: IncomingMessage,
    response: ServerResponse,
  ): void => {
    try {
      this.#receive(request, response);
    } catch (thrown) {
      this.#abandon(response, thrown);
    }
  };

  /** Admits a request by its head alone, or refuses it. */
  #receive(request: IncomingMessage, response: ServerResponse): void {
    const { socket } = request;
    const wait = this.#takeWait(socket);
    // The caller sees the close and resends the request to another host.
    if (this.#closedSockets.has(socket)) return void socket.destroy();
    // It is left unread as well if it crosses the end of the connection.
    if (!this.#pipelines.receive(socket)) return;
    this.#connectionLimits.recordRequest(socket);
    if (this.#latest.get(socket)?.isLast === true) return;
    this.#pipelines.watch(socket, response);
    const { isStopping } = this.#context;
    const callerResponse = new CallerResponse(
      response,
      {
        shouldClose: () =>
          isStopping() && this.#latest.get(socket) === callerResponse,
        unreadResponses: this.#unreadResponses,
      },
    );
    this.#latest.set(socket, callerResponse);
    const call = { request, response, callerResponse };
    const head = readHead(request, this.#context);
    const admitted = this.#admit(head, wait);
    if (admitted.isErr()) {
      this.#pipelines.recordRefusal(socket);
      return this.#refusals.refuse(call, admitted.error);
    }
    const withinQuota = this.#checkQuota(admitted.value);
    if (withinQuota.isErr()) {
      return this.#refuseOverQuota(call, withinQuota.error, admitted.value);
    }
    const headLease = this.#connectionLimits.reserveHead(
      headerBytes(request.rawHeaders),
      { isPipelined: this.#pipelines.dueOf(socket) > 1 },
    );
    if (headLease === undefined) {
      return this.#refusals.refuse(call, this.#createMemoryRefusal());
    }
    releaseAtEnd(headLease, call);
    this.#addBusy(socket);
    response.once("close", () => {
      this.#removeBusy(socket);
      this.#connectionLimits.recordRequest(socket);
      // The headers may have been sent without `connection: close`.
      if (isStopping() && !this.#busySockets.has(socket)) this.#close(socket);
    });
    this.#serve(call, admitted.value)
      .catch((thrown) => this.#abandon(response, thrown));
  }

  /** A closed connection promises nothing, and the caller does not wait. */
  #abandon(response: ServerResponse, thrown: unknown): void {
    this.#context.errors.record(thrown, "request");
    response.destroy();
  }

  async #serve(call: Call, admitted: AdmittedRequest): Promise<void> {
    const { request, response } = call;
    const { servingWindow } = this.#context;
    const limits = this.#context.policies.index!.policy.limits;
    const body = await readBody(request, {
      maximumBytes: limits.maximumBodyBytes,
      idleTimeout: limits.idleTimeout,
      timer: this.#context.timer,
      leases: this.#bodyLeases,
      parsing: this.#parsing,
      watchTime: (onLatestStart) =>
        servingWindow.watch(admitted, { onLatestStart }),
    });
    if (body.isErr()) {
      if (body.error === "caller-left") return;
      return this.#refusals.refuse(call, this.#createBodyRefusal(body.error));
    }
    if (body.value.lease !== undefined) releaseAtEnd(body.value.lease, call);
    if (!servingWindow.hasTimeFor(admitted)) {
      return this.#refusals.refuse(call, STOPPING_REFUSAL);
    }
    const charged = await this.#chargeQuota(admitted);
    if (charged.isErr()) {
      return this.#refuseOverQuota(call, charged.error, admitted);
    }
    const bound = await servingWindow.whileTimeFor(admitted, {
      step: bindToOrigin(admitted, this.#context),
      onOver: () => err(STOPPING_REFUSAL),
    });
    if (hasCallerLeft(request, response)) {
      this.#countLeftUnsent();
      return this.#refundQuota(admitted);
    }
    if (bound.isErr()) {
      this.#refundQuota(admitted);
      return this.#refusals.refuse(call, bound.error);
    }
    this.#exchange(call, { admitted: bound.value, body: body.value });
  }

  #isStoppingSoon(): boolean {
    const { servingWindow, timer } = this.#context;
    return servingWindow.endsAt - timer.now() < MINIMUM_SERVING_MS;
  }

  /** Admits a request that may have waited for so long to be accepted. */
  #admit(
    head: RequestHead,
    wait: Milliseconds,
  ): Result<AdmittedRequest, Refusal> {
    const { policies, random, timer, elapsed, lag } = this.#context;
    if (this.#isStoppingSoon()) return err(STOPPING_REFUSAL);
    const now = timer.now();
    if (this.#shouldShed(head, now)) return err(this.#createShedRefusal(now));
    return admitRequest(head, {
      policies,
      random,
      // The request arrived while the event loop was busy.
      now: now - lag.sustained,
      elapsedNow: elapsed.now(),
      readingDelay: Math.max(wait, ITERATIONS_TO_READ * lag.peak(now)),
    }).andThen((admitted) => this.#checkTime(admitted));
  }

  /** Refuses a request that would not be served before the process ends. */
  #checkTime(admitted: AdmittedRequest): Result<AdmittedRequest, Refusal> {
    const { servingWindow } = this.#context;
    return servingWindow.hasTimeFor(admitted)
      ? ok(admitted)
      : err(STOPPING_REFUSAL);
  }

  #shouldShed({ route, account }: RequestHead, now: Milliseconds): boolean {
    if (route === undefined) return false;
    return this.#context.shedding.shouldShed(
      { tier: route.tier, account: account?.account },
      now,
    );
  }

  #createShedRefusal(now: Milliseconds): Refusal {
    const retryAfter = this.#context.shedding.computeRetryDelay(now);
    return { status: 503, reason: "host-behind", retryAfter };
  }

  #createBodyRefusal(error: Exclude<BodyError, "caller-left">): Refusal {
    if (error === "stopping") return STOPPING_REFUSAL;
    if (error === "memory") return this.#createMemoryRefusal();
    if (error === "host-behind") {
      return this.#createShedRefusal(this.#context.timer.now());
    }
    return { status: error === "body-too-slow" ? 408 : 413, reason: error };
  }

  #createMemoryRefusal(): Refusal {
    const retryAfter = MEMORY_RETRY_MS * (1 + this.#context.random.float());
    return { status: 503, reason: "memory", retryAfter };
  }

  /** Only the first request of a connection waited with it. */
  #takeWait(socket: Socket): Milliseconds {
    const wait = this.#waits.get(socket) ?? 0;
    this.#waits.delete(socket);
    return wait;
  }

  /** Refuses a request over its quota; takes nothing from it. */
  #checkQuota(admitted: AdmittedRequest): Result<void, Refusal> {
    const request = this.#createQuotaRequest(admitted);
    if (request === undefined) return ok(undefined);
    return this.#context.quotaGate.check(request).mapErr(createQuotaRefusal);
  }

  async #chargeQuota(
    admitted: AdmittedRequest,
  ): Promise<Result<void, Refusal>> {
    const request = this.#createQuotaRequest(admitted);
    if (request === undefined) return ok(undefined);
    const { quotaGate, servingWindow } = this.#context;
    const charged = await quotaGate.charge(request, {
      deadline: admitted.deadline,
      latestStart: servingWindow.latestStart(admitted),
    });
    return charged.mapErr((refusal) =>
      servingWindow.hasTimeFor(admitted)
        ? createQuotaRefusal(refusal)
        : STOPPING_REFUSAL
    );
  }

  #createQuotaRequest(
    { account, metadata, service }: AdmittedRequest,
  ): QuotaRequest | undefined {
    if (account?.quota === undefined) return undefined;
    const { placementClient, timer } = this.#context;
    return {
      account: account.account,
      quota: account.quota,
      units: quotaUnits(account, metadata),
      get isIdle() {
        return placementClient.isIdle(service, timer.now());
      },
    };
  }

  #refuseOverQuota(
    call: Call,
    refusal: Refusal,
    admitted: AdmittedRequest,
  ): void {
    this.#refusals.refuse(call, refusal, () => {
      const { account, metadata, service } = admitted;
      const { placementClient, timer } = this.#context;
      return {
        account: accountName(account),
        units: quotaUnits(account!, metadata),
        perSecond: account?.quota?.perSecond,
        burst: account?.quota?.burst,
        isIdle: placementClient.isIdle(service, timer.now()),
      };
    });
  }

  #exchange(
    call: Call,
    { admitted, body }: { admitted: AdmittedRequest; body: RequestBody },
  ): void {
    const { request, response, callerResponse } = call;
    const method = request.method ?? "GET";
    const path = request.url ?? "/";
    const traits = traitsOf(admitted, { method, path, body: body.bytes });
    const retryAfter = quarantineOfNew(traits, this.#context);
    if (retryAfter > 0) {
      this.#refundQuota(admitted);
      const refusal = {
        status: 503,
        reason: "convicted",
        retryAfter,
      } as const;
      return this.#refusals.refuse(call, refusal, () => ({
        fingerprint: traits.fingerprint,
        parts: traits.parts.join(","),
      }));
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
        body: body.bytes,
        traits,
      },
      response: callerResponse,
      onEnd: ({ hasRun }) => {
        body.lease?.release();
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
}

function createQuotaRefusal({ retryAfter }: OverQuota): Refusal {
  return { status: 429, reason: "over-quota", retryAfter };
}

/** Whatever becomes of a request, what it holds is not needed after it. */
function releaseAtEnd(
  lease: { release(): void },
  { request, response }: Call,
): void {
  const { socket } = request;
  const release = (): void => {
    socket.off("close", release);
    lease.release();
  };
  response.once("close", release);
  // A response that waits for earlier ones is not told of it.
  socket.once("close", release);
  if (socket.destroyed) release();
}
