import type { IncomingMessage, ServerResponse } from "node:http";
import { RESPONSE_ALREADY_SENT } from "@hono/node-server/utils/response";
import { SystemRandom } from "@wasabivane/common";
import type { EngineCounters } from "@wasabivane/engine-model";
import { type ResponseInterruption, streamResponse } from "./responseStream.ts";
import { FaultInjector, numberOrDefault } from "./faultInjector.ts";
import { parseChatRequest } from "./chatRequest.ts";
import type { SentResponse } from "./chatCompletionFormat.ts";
import type { EngineResponse } from "./engineResponse.ts";
import { EngineRuntime, type EngineRuntimeOptions } from "./engineRuntime.ts";
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
import { type AcceptedOrder, FencedOrders } from "./fencedOrders.ts";
import type { LoggedRun } from "./runLog.ts";
import { sendNonStreamedResponse } from "./nonStreamedResponse.ts";

const NONCE = /^[A-Za-z0-9_-]{1,128}$/;
const NONCE_BYTES = 16;

/**
 * Faults of the next answers; they take `{"count", "afterTokens"}`. An empty
 * body makes `break-streams` break the open connections instead.
 */
export const RESPONSE_FAULTS = [
  "break-streams",
  "truncate",
  "wrong-nonce",
  "second-answer",
  "refuse",
] as const;
/** See {@link RESPONSE_FAULTS}. */
export type ResponseFault = typeof RESPONSE_FAULTS[number];

/** Options of an {@link EngineStandIn}. */
export interface EngineStandInOptions
  extends HttpStandInOptions, Omit<EngineRuntimeOptions, "onCrash"> {
  /** Whether orders with an old fencing number are refused. */
  fencing?: "checked" | "ignored";
}

/** What `GET /control/state` tells. */
export interface EngineStandInState {
  readonly isUp: boolean;
  readonly isPaused: boolean;
  readonly counters: EngineCounters;
  readonly runs: Readonly<Record<string, LoggedRun>>;
  readonly orders: readonly AcceptedOrder[];
}

type ControlBody = Record<string, unknown>;
type ControlAction = (body: ControlBody) => void;

/** A model engine over HTTP, as `docs/ARCHITECTURE.md` describes the upstream protocol. */
export class EngineStandIn extends HttpStandIn {
  readonly #host: EngineRuntime;
  readonly #orders: FencedOrders;
  readonly #faults = new FaultInjector<ResponseFault>();
  readonly #random = new SystemRandom();
  readonly #actions: ReadonlyMap<string, ControlAction>;
  /** The control request that causes a crash keeps its connection. */
  #spared: IncomingMessage | undefined;

  constructor(options: EngineStandInOptions = {}) {
    super(options);
    this.#host = new EngineRuntime({
      ...options,
      onCrash: () => this.closeConnections(this.#spared),
    });
    this.#orders = new FencedOrders(options.fencing ?? "ignored");
    this.#actions = this.#createActions();
    this.#addControlRoutes();
    this.#addEngineRoutes();
  }

  get state(): EngineStandInState {
    return {
      isUp: this.#host.model.isUp,
      isPaused: this.#host.model.isPaused,
      counters: this.#host.model.counters,
      runs: this.#host.runs.runsByNonce(),
      orders: this.#orders.accepted,
    };
  }

  override start(): Promise<StandInAddress> {
    this.#host.restart();
    return super.start();
  }

  override stop(): Promise<void> {
    this.#host.stop();
    return super.stop();
  }

  /** Does what `POST /control/ACTION` does; false when there is no such action. */
  control(action: string, body: ControlBody = {}): boolean {
    const run = this.#actions.get(action);
    run?.(body);
    return run !== undefined;
  }

  #createActions(): Map<string, ControlAction> {
    const host = this.#host;
    const actions = new Map<string, ControlAction>([
      [
        "crash",
        (body) =>
          host.crash(numberOrDefault(body["restartAfterMs"], undefined)),
      ],
      ["restart", () => host.restart()],
      [
        "slow-down",
        (body) => host.model.slowDown(numberOrDefault(body["factor"], 1)),
      ],
      [
        "pause",
        (body) => host.pause(numberOrDefault(body["forMs"], undefined)),
      ],
      ["resume", () => host.resume()],
      ["clear", () => this.#faults.disarmAll()],
    ]);
    for (const fault of RESPONSE_FAULTS) {
      actions.set(fault, (body) => this.#faults.arm(fault, body));
    }
    actions.set("break-streams", (body) => this.#breakStreams(body));
    return actions;
  }

  #breakStreams(body: ControlBody): void {
    if (Object.keys(body).length === 0) this.closeConnections(this.#spared);
    else this.#faults.arm("break-streams", body);
  }

  #addControlRoutes(): void {
    this.app.get("/control/state", (context) => context.json(this.state));
    this.app.post("/control/:action", async (context) => {
      const body = await readJsonObject(context);
      if (body === undefined) return malformed(context);
      this.#spared = context.env.incoming;
      const isKnown = this.control(context.req.param("action"), body);
      this.#spared = undefined;
      return isKnown ? context.json({}) : unknown(context);
    });
  }

  #addEngineRoutes(): void {
    this.app.use("/v1/*", async (context, next) => {
      await this.#host.whenResumed();
      if (!this.#host.model.isUp) return closeConnection(context);
      await next();
    });
    this.app.post("/v1/chat/completions", (context) => this.#chat(context));
    this.app.post(
      "/v1/requests/:nonce/resume",
      (context) => this.#resume(context, context.req.param("nonce")),
    );
    this.app.delete("/v1/requests/:nonce", (context) => {
      const isKnown = this.#host.cancel(context.req.param("nonce"));
      return isKnown ? context.body(null, 204) : unknown(context);
    });
    this.app.get(
      "/v1/load",
      (context) => context.json(this.#host.loadReport()),
    );
    this.app.get("/v1/cache-events", (context) => {
      const after = Number(context.req.query("after") ?? 0);
      if (!Number.isSafeInteger(after)) return malformed(context);
      return context.json({ events: this.#host.model.cacheEvents(after) });
    });
    this.app.post("/v1/kv/export", (context) => this.#export(context));
    this.app.post("/v1/kv/import", (context) => this.#import(context));
    this.app.post("/v1/orders", (context) => this.#order(context));
  }

  async #chat(context: StandInContext): Promise<Response> {
    const nonce = context.req.header(NONCE_HEADER) ??
      this.#random.hex(NONCE_BYTES);
    const body = await readJsonObject(context);
    const request = NONCE.test(nonce) && body !== undefined
      ? parseChatRequest(body, nonce)
      : undefined;
    if (request === undefined) return malformed(context);
    if (this.#faults.consume("refuse") !== undefined) {
      return createErrorResponse(context, {
        status: 503,
        message: "Engine refuses",
      });
    }
    const answer = this.#host.submit(request);
    if (answer === undefined) return closeConnection(context);
    const shown = this.#show(answer);
    const { outgoing } = context.env;
    outgoing.on("close", () => this.#host.scheduleExpiry(answer));
    if (request.shouldStream) this.#stream(shown, { outgoing, offset: 0 });
    else {sendNonStreamedResponse({
        response: shown,
        outgoing,
        ...this.#takeFaults(shown),
      });}
    return RESPONSE_ALREADY_SENT;
  }

  async #resume(context: StandInContext, nonce: string): Promise<Response> {
    const body = await readJsonObject(context);
    const offset = body?.["offset"];
    if (!Number.isSafeInteger(offset) || Number(offset) < 0) {
      return malformed(context);
    }
    const answer = this.#host.findResponse(nonce);
    if (answer === undefined) return unknown(context);
    const { outgoing } = context.env;
    outgoing.on("close", () => this.#host.scheduleExpiry(answer));
    const shown = this.#show(answer);
    this.#stream(shown, { outgoing, offset: Number(offset) });
    return RESPONSE_ALREADY_SENT;
  }

  #stream(
    shown: SentResponse,
    { outgoing, offset }: { outgoing: ServerResponse; offset: number },
  ): void {
    streamResponse({
      response: shown,
      outgoing,
      offset,
      ...this.#takeFaults(shown),
    });
  }

  #takeFaults(
    shown: SentResponse,
  ): {
    interruption: ResponseInterruption | undefined;
    extraResponse: SentResponse | undefined;
  } {
    const cut = this.#takeCut();
    if (this.#faults.consume("second-answer") === undefined) {
      return { interruption: cut, extraResponse: undefined };
    }
    const nonce = this.#random.hex(NONCE_BYTES);
    return { interruption: cut, extraResponse: { ...shown, nonce } };
  }

  #show(answer: EngineResponse): SentResponse {
    const isWrong = this.#faults.consume("wrong-nonce") !== undefined;
    const nonce = isWrong
      ? this.#random.hex(NONCE_BYTES)
      : answer.request.nonce;
    return {
      response: answer,
      nonce,
      createdSeconds: this.#host.epochSeconds(),
    };
  }

  #takeCut(): ResponseInterruption | undefined {
    const broken = this.#faults.consume("break-streams");
    if (broken !== undefined) return { kind: "break", ...broken };
    const truncated = this.#faults.consume("truncate");
    return truncated && { kind: "truncate", ...truncated };
  }

  async #export(context: StandInContext): Promise<Response> {
    const digests = parseDigests((await readJsonObject(context))?.["digests"]);
    if (digests === undefined) return malformed(context);
    return context.json({ blocks: exportBlocks(this.#host.model, digests) });
  }

  async #import(context: StandInContext): Promise<Response> {
    const blocks = parseBlocks((await readJsonObject(context))?.["blocks"]);
    if (blocks === undefined || !importBlocks(this.#host.model, blocks)) {
      return malformed(context);
    }
    return context.json({ imported: blocks.length });
  }

  async #order(context: StandInContext): Promise<Response> {
    const body = await readJsonObject(context);
    const fencing = body?.["fencing"];
    if (typeof fencing !== "number") return malformed(context);
    const isTaken = this.#orders.accept({ order: body?.["order"], fencing });
    if (isTaken) return context.json({});
    return createErrorResponse(context, {
      status: 409,
      message: "Old fencing number",
    });
  }
}

function malformed(context: StandInContext): Response {
  return createErrorResponse(context, {
    status: 400,
    message: "Malformed request",
  });
}

function unknown(context: StandInContext): Response {
  return createErrorResponse(context, {
    status: 404,
    message: "Unknown request",
  });
}
