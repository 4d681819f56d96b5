import {
  type Milliseconds,
  SystemRandom,
  SystemTimer,
  type Timer,
} from "@wasabivane/common";
import { FaultInjector } from "./faultInjector.ts";
import {
  closeConnection,
  createCloseSignal,
  createErrorResponse,
  HttpStandIn,
  type HttpStandInOptions,
  NONCE_HEADER,
  readJsonObject,
  type StandInContext,
} from "./httpStandIn.ts";

const IDEMPOTENCY_KEY_HEADER = "idempotency-key";
const NONCE_BYTES = 16;

/** Control actions that inject a fault into the next requests. */
export const REQUEST_FAULTS = [
  /** Responds after `delayMs`. */
  "slow",
  /** Runs the request, then closes the connection. */
  "reset-after-run",
  /** Responds with 503 without running the request. */
  "refuse",
  /** Runs the request and responds with another nonce. */
  "wrong-nonce",
] as const;
/** One of {@link REQUEST_FAULTS}. */
export type RequestFault = typeof REQUEST_FAULTS[number];

/** Options of a {@link PlainStandIn}. */
export interface PlainStandInOptions extends HttpStandInOptions {
  timer?: Timer;
  /** Duration of each run. */
  runMs?: Milliseconds;
}

/** Run counts, as returned by `GET /control/runs`. */
export interface PlainRunCounts {
  readonly total: number;
  readonly byKey: Readonly<Record<string, number>>;
  readonly byNonce: Readonly<Record<string, number>>;
}

/** Request as echoed by the service. */
export interface PlainEcho {
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  readonly body: string;
}

/** Plain service that echoes each request and counts its runs. */
export class PlainStandIn extends HttpStandIn {
  readonly #timer: Timer;
  readonly #runMs: Milliseconds;
  readonly #faults = new FaultInjector<RequestFault>();
  readonly #random = new SystemRandom();
  readonly #runsByKey = new Map<string, number>();
  readonly #runsByNonce = new Map<string, number>();
  #totalRuns = 0;
  #runningCount = 0;

  constructor(options: PlainStandInOptions = {}) {
    super(options);
    this.#timer = options.timer ?? new SystemTimer();
    this.#runMs = options.runMs ?? 0;
    this.app.get(
      "/v1/load",
      (context) => context.json(this.#createLoadReport()),
    );
    this.app.get("/control/runs", (context) => context.json(this.runs));
    this.app.post(
      "/control/:action",
      (context) => this.#handleControl(context),
    );
    this.app.all("*", (context) => this.#handleRequest(context));
  }

  /** The counts that `GET /control/runs` returns. */
  get runs(): PlainRunCounts {
    return {
      total: this.#totalRuns,
      byKey: Object.fromEntries(this.#runsByKey),
      byNonce: Object.fromEntries(this.#runsByNonce),
    };
  }

  /** Runs the action of `POST /control/ACTION`; returns false if unknown. */
  control(action: string, body: Record<string, unknown> = {}): boolean {
    if (action === "clear") {
      this.#faults.disarmAll();
      return true;
    }
    const fault = REQUEST_FAULTS.find((name) => name === action);
    if (fault === undefined) return false;
    this.#faults.arm(fault, body);
    return true;
  }

  /** Creates a load report in the format of engines. */
  #createLoadReport(): Record<string, number> {
    const takenAt = this.#timer.wallNow();
    return { takenAt, running: this.#runningCount, waiting: 0, memoryShare: 0 };
  }

  async #handleControl(context: StandInContext): Promise<Response> {
    const body = await readJsonObject(context);
    if (body === undefined) {
      return createErrorResponse(context, {
        status: 400,
        message: "Malformed body",
      });
    }
    const isKnown = this.control(context.req.param("action") ?? "", body);
    if (isKnown) return context.json({});
    return createErrorResponse(context, {
      status: 404,
      message: "Unknown action",
    });
  }

  async #handleRequest(context: StandInContext): Promise<Response> {
    const body = await context.req.text();
    if (this.#faults.consume("refuse") !== undefined) {
      return createErrorResponse(context, {
        status: 503,
        message: "Service refuses",
      });
    }
    this.#countRun(context);
    const delay = this.#faults.consume("slow")?.delayMs ?? this.#runMs;
    this.#runningCount++;
    if (delay > 0) await this.#delay(context, delay);
    this.#runningCount--;
    if (this.#faults.consume("reset-after-run") !== undefined) {
      return closeConnection(context);
    }
    return this.#echo(context, body);
  }

  #delay(context: StandInContext, delay: Milliseconds): Promise<void> {
    return new Promise((resolve) => {
      const subscription = this.#timer.after(delay, resolve);
      createCloseSignal(context).addEventListener("abort", () => {
        subscription.cancel();
        resolve();
      });
    });
  }

  #countRun(context: StandInContext): void {
    this.#totalRuns++;
    increment(this.#runsByKey, context.req.header(IDEMPOTENCY_KEY_HEADER));
    increment(this.#runsByNonce, context.req.header(NONCE_HEADER));
  }

  #echo(context: StandInContext, body: string): Response {
    const isWrong = this.#faults.consume("wrong-nonce") !== undefined;
    const nonce = isWrong
      ? this.#random.hex(NONCE_BYTES)
      : context.req.header(NONCE_HEADER);
    if (nonce !== undefined) context.header(NONCE_HEADER, nonce);
    const { pathname, search } = new URL(context.req.url);
    const path = `${pathname}${search}`;
    const echo: PlainEcho = { method: context.req.method, path, body };
    return context.json(echo);
  }
}

function increment(
  counts: Map<string, number>,
  name: string | undefined,
): void {
  if (name === undefined) return;
  counts.set(name, (counts.get(name) ?? 0) + 1);
}
