import type { IncomingMessage, ServerResponse } from "node:http";
import { RESPONSE_ALREADY_SENT } from "@hono/node-server/utils/response";
import { SystemRandom } from "@wasabivane/common";
import type { EngineCounters } from "@wasabivane/engine-model";
import type { SentResponse } from "./chatCompletionFormat.ts";
import { parseChatRequest } from "./chatRequest.ts";
import type { EngineResponse } from "./engineResponse.ts";
import { EngineRuntime, type EngineRuntimeOptions } from "./engineRuntime.ts";
import { FaultInjector, numberOrDefault } from "./faultInjector.ts";
import { type AcceptedOrder, FencedOrders } from "./fencedOrders.ts";
import {
  closeConnection,
  createErrorResponse,
  HttpStandIn,
  type HttpStandInOptions,
  NONCE_HEADER,
  readJsonObject,
  type StandInAddress,
  type StandInContext,
} from "./httpStandIn.ts";
import {
  exportBlocks,
  importBlocks,
  parseBlocks,
  parseDigests,
} from "./kvBlocks.ts";
import { sendNonStreamedResponse } from "./nonStreamedResponse.ts";
import { type ResponseInterruption, streamResponse } from "./responseStream.ts";
import type { LoggedRun } from "./runLog.ts";

const NONCE = /^[A-Za-z0-9_-]{1,128}$/;
const NONCE_BYTES = 16;

/**
 * Control actions that inject a fault into the next responses, with a body of
 * `{"count", "afterTokens"}`. Without a body, `break-streams` closes the open
 * connections instead.
 */
export const RESPONSE_FAULTS = [
  "break-streams",
  "truncate",
  "wrong-nonce",
  "second-answer",
  "refuse",
] as const;
/** One of {@link RESPONSE_FAULTS}. */
export type ResponseFault = typeof RESPONSE_FAULTS[number];

/** Options of an {@link EngineStandIn}. */
export interface EngineStandInOptions
  extends HttpStandInOptions, Omit<EngineRuntimeOptions, "onCrash"> {
  /** Whether orders with an outdated fencing token are rejected. */
  fencing?: "checked" | "ignored";
}

/** Engine state, as returned by `GET /control/state`. */
export interface EngineStandInState {
  readonly isUp: boolean;
  readonly isPaused: boolean;
  readonly counters: EngineCounters;
  readonly runs: Readonly<Record<string, LoggedRun>>;
  readonly orders: readonly AcceptedOrder[];
}

type ControlBody = Record<string, unknown>;
type ControlAction = (body: ControlBody) => void;

/** Inference engine with the upstream protocol of `docs/ARCHITECTURE.md`. */
export class EngineStandIn extends HttpStandIn {
  readonly #runtime: EngineRuntime;
  readonly #orders: FencedOrders;
  readonly #faults = new FaultInjector<ResponseFault>();
  readonly #random = new SystemRandom();
  readonly #actions: ReadonlyMap<string, ControlAction>;
  /** Control request whose connection stays open during a crash. */
  #activeControlRequest: IncomingMessage | undefined;

  constructor(options: EngineStandInOptions = {}) {
    super(options);
    this.#runtime = new EngineRuntime({
      ...options,
      onCrash: () => this.closeConnections(this.#activeControlRequest),
    });
    this.#orders = new FencedOrders(options.fencing ?? "ignored");
    this.#actions = this.#createActions();
    this.#addControlRoutes();
    this.#addEngineRoutes();
  }

  /** The state that `GET /control/state` returns. */
  get state(): EngineStandInState {
    return {
      isUp: this.#runtime.model.isUp,
      isPaused: this.#runtime.model.isPaused,
      counters: this.#runtime.model.counters,
      runs: this.#runtime.runs.runsByNonce(),
      orders: this.#orders.accepted,
    };
  }

  override start(): Promise<StandInAddress> {
    this.#runtime.restart();
    return super.start();
  }

  override stop(): Promise<void> {
    this.#runtime.stop();
    return super.stop();
  }

  /** Runs the action of `POST /control/ACTION`; returns false if unknown. */
  control(action: string, body: ControlBody = {}): boolean {
    const runAction = this.#actions.get(action);
    runAction?.(body);
    return runAction !== undefined;
  }

  #createActions(): Map<string, ControlAction> {
    const runtime = this.#runtime;
    const actions = new Map<string, ControlAction>([
      [
        "crash",
        (body) =>
          runtime.crash(numberOrDefault(body["restartAfterMs"], undefined)),
      ],
      ["restart", () => runtime.restart()],
      [
        "slow-down",
        (body) => runtime.model.slowDown(numberOrDefault(body["factor"], 1)),
      ],
      [
        "pause",
        (body) => runtime.pause(numberOrDefault(body["forMs"], undefined)),
      ],
      ["resume", () => runtime.resume()],
      ["clear", () => this.#faults.disarmAll()],
    ]);
    for (const fault of RESPONSE_FAULTS) {
      actions.set(fault, (body) => this.#faults.arm(fault, body));
    }
    actions.set("break-streams", (body) => this.#breakStreams(body));
    return actions;
  }

  #breakStreams(body: ControlBody): void {
    if (Object.keys(body).length === 0) {
      this.closeConnections(this.#activeControlRequest);
    } else this.#faults.arm("break-streams", body);
  }

  #addControlRoutes(): void {
    this.app.get("/control/state", (context) => context.json(this.state));
    this.app.post("/control/:action", async (context) => {
      const body = await readJsonObject(context);
      if (body === undefined) return malformedRequestError(context);
      this.#activeControlRequest = context.env.incoming;
      const isKnown = this.control(context.req.param("action"), body);
      this.#activeControlRequest = undefined;
      return isKnown ? context.json({}) : unknownRequestError(context);
    });
  }

  #addEngineRoutes(): void {
    this.app.use("/v1/*", async (context, next) => {
      await this.#runtime.whenResumed();
      if (!this.#runtime.model.isUp) return closeConnection(context);
      await next();
    });
    this.app.post(
      "/v1/chat/completions",
      (context) => this.#handleChat(context),
    );
    this.app.post(
      "/v1/requests/:nonce/resume",
      (context) => this.#handleResume(context, context.req.param("nonce")),
    );
    this.app.delete("/v1/requests/:nonce", (context) => {
      const isKnown = this.#runtime.cancel(context.req.param("nonce"));
      return isKnown ? context.body(null, 204) : unknownRequestError(context);
    });
    this.app.get(
      "/v1/load",
      (context) => context.json(this.#runtime.loadReport()),
    );
    this.app.get("/v1/cache-events", (context) => {
      const after = Number(context.req.query("after") ?? 0);
      if (!Number.isSafeInteger(after)) return malformedRequestError(context);
      return context.json({ events: this.#runtime.model.cacheEvents(after) });
    });
    this.app.post("/v1/kv/export", (context) => this.#handleExport(context));
    this.app.post("/v1/kv/import", (context) => this.#handleImport(context));
    this.app.post("/v1/orders", (context) => this.#handleOrder(context));
  }

  async #handleChat(context: StandInContext): Promise<Response> {
    const nonce = context.req.header(NONCE_HEADER) ??
      this.#random.hex(NONCE_BYTES);
    const body = await readJsonObject(context);
    const request = NONCE.test(nonce) && body !== undefined
      ? parseChatRequest(body, nonce)
      : undefined;
    if (request === undefined) return malformedRequestError(context);
    if (this.#faults.consume("refuse") !== undefined) {
      return createErrorResponse(context, {
        status: 503,
        message: "Engine refuses",
      });
    }
    const engineResponse = this.#runtime.submit(request);
    if (engineResponse === undefined) return closeConnection(context);
    const response = this.#prepareResponse(engineResponse);
    const { outgoing } = context.env;
    outgoing.on("close", () => this.#runtime.scheduleExpiry(engineResponse));
    if (request.shouldStream) this.#stream(response, { outgoing, offset: 0 });
    else {
      sendNonStreamedResponse({
        response,
        outgoing,
        ...this.#consumeFaults(response),
      });
    }
    return RESPONSE_ALREADY_SENT;
  }

  async #handleResume(
    context: StandInContext,
    nonce: string,
  ): Promise<Response> {
    const body = await readJsonObject(context);
    const offset = body?.["offset"];
    if (!Number.isSafeInteger(offset) || Number(offset) < 0) {
      return malformedRequestError(context);
    }
    const engineResponse = this.#runtime.findResponse(nonce);
    if (engineResponse === undefined) return unknownRequestError(context);
    const { outgoing } = context.env;
    outgoing.on("close", () => this.#runtime.scheduleExpiry(engineResponse));
    const response = this.#prepareResponse(engineResponse);
    this.#stream(response, { outgoing, offset: Number(offset) });
    return RESPONSE_ALREADY_SENT;
  }

  #stream(
    response: SentResponse,
    { outgoing, offset }: { outgoing: ServerResponse; offset: number },
  ): void {
    streamResponse({
      response,
      outgoing,
      offset,
      ...this.#consumeFaults(response),
    });
  }

  #consumeFaults(
    response: SentResponse,
  ): {
    interruption: ResponseInterruption | undefined;
    extraResponse: SentResponse | undefined;
  } {
    const interruption = this.#consumeInterruption();
    if (this.#faults.consume("second-answer") === undefined) {
      return { interruption, extraResponse: undefined };
    }
    const nonce = this.#random.hex(NONCE_BYTES);
    return { interruption, extraResponse: { ...response, nonce } };
  }

  #prepareResponse(engineResponse: EngineResponse): SentResponse {
    const isWrong = this.#faults.consume("wrong-nonce") !== undefined;
    const nonce = isWrong
      ? this.#random.hex(NONCE_BYTES)
      : engineResponse.request.nonce;
    return {
      engineResponse,
      nonce,
      createdSeconds: this.#runtime.epochSeconds(),
    };
  }

  #consumeInterruption(): ResponseInterruption | undefined {
    const breakFault = this.#faults.consume("break-streams");
    if (breakFault !== undefined) return { kind: "break", ...breakFault };
    const truncateFault = this.#faults.consume("truncate");
    return truncateFault && { kind: "truncate", ...truncateFault };
  }

  async #handleExport(context: StandInContext): Promise<Response> {
    const digests = parseDigests((await readJsonObject(context))?.["digests"]);
    if (digests === undefined) return malformedRequestError(context);
    return context.json({ blocks: exportBlocks(this.#runtime.model, digests) });
  }

  async #handleImport(context: StandInContext): Promise<Response> {
    const blocks = parseBlocks((await readJsonObject(context))?.["blocks"]);
    if (blocks === undefined || !importBlocks(this.#runtime.model, blocks)) {
      return malformedRequestError(context);
    }
    return context.json({ imported: blocks.length });
  }

  async #handleOrder(context: StandInContext): Promise<Response> {
    const body = await readJsonObject(context);
    const fencing = body?.["fencing"];
    if (typeof fencing !== "number") return malformedRequestError(context);
    const isAccepted = this.#orders.accept({ order: body?.["order"], fencing });
    if (isAccepted) return context.json({});
    return createErrorResponse(context, {
      status: 409,
      message: "Outdated fencing token",
    });
  }
}

function malformedRequestError(context: StandInContext): Response {
  return createErrorResponse(context, {
    status: 400,
    message: "Malformed request",
  });
}

function unknownRequestError(context: StandInContext): Response {
  return createErrorResponse(context, {
    status: 404,
    message: "Unknown request",
  });
}
