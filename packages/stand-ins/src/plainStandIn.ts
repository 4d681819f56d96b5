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

const KEY_HEADER = "idempotency-key";
const NONCE_BYTES = 16;

/** Faults of the next calls; they take `{"count", "delayMs"}`. */
export const REQUEST_FAULTS = [
  /** Answers only after `delayMs`. */
  "slow",
  /** Runs the call, then breaks the connection. */
  "reset-after-run",
  /** Answers 503 without a run. */
  "refuse",
  /** Runs the call and answers with another nonce. */
  "wrong-nonce",
] as const;
/** See {@link REQUEST_FAULTS}. */
export type RequestFault = typeof REQUEST_FAULTS[number];

/** Options of a {@link PlainStandIn}. */
export interface PlainStandInOptions extends HttpStandInOptions {
  timer?: Timer;
  /** Time that each run takes. */
  runMs?: Milliseconds;
}

/** How often calls ran; `GET /control/runs` tells it. */
export interface PlainRunCounts {
  readonly total: number;
  readonly byKey: Readonly<Record<string, number>>;
  readonly byNonce: Readonly<Record<string, number>>;
}

/** What the service echoes of a call. */
export interface PlainEcho {
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  readonly body: string;
}

/** A plain service that echoes each call and counts its runs. */
export class PlainStandIn extends HttpStandIn {
  readonly #timer: Timer;
  readonly #runMs: Milliseconds;
  readonly #faults = new FaultInjector<RequestFault>();
  readonly #random = new SystemRandom();
  readonly #byKey = new Map<string, number>();
  readonly #byNonce = new Map<string, number>();
  #total = 0;
  #running = 0;

  constructor(options: PlainStandInOptions = {}) {
    super(options);
    this.#timer = options.timer ?? new SystemTimer();
    this.#runMs = options.runMs ?? 0;
    this.app.get("/v1/load", (context) => context.json(this.#load()));
    this.app.get("/control/runs", (context) => context.json(this.runs));
    this.app.post("/control/:action", (context) => this.#control(context));
    this.app.all("*", (context) => this.#call(context));
  }

  get runs(): PlainRunCounts {
    return {
      total: this.#total,
      byKey: Object.fromEntries(this.#byKey),
      byNonce: Object.fromEntries(this.#byNonce),
    };
  }

  /** Does what `POST /control/ACTION` does; false when there is no such action. */
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

  /** Plain services report load as engines do; a report is no run. */
  #load(): Record<string, number> {
    const takenAt = this.#timer.wallNow();
    return { takenAt, running: this.#running, waiting: 0, memoryShare: 0 };
  }

  async #control(context: StandInContext): Promise<Response> {
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

  async #call(context: StandInContext): Promise<Response> {
    const body = await context.req.text();
    if (this.#faults.consume("refuse") !== undefined) {
      return createErrorResponse(context, {
        status: 503,
        message: "Service refuses",
      });
    }
    this.#countRun(context);
    const delay = this.#faults.consume("slow")?.delayMs ?? this.#runMs;
    this.#running++;
    if (delay > 0) await this.#delay(context, delay);
    this.#running--;
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
    this.#total++;
    increment(this.#byKey, context.req.header(KEY_HEADER));
    increment(this.#byNonce, context.req.header(NONCE_HEADER));
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
