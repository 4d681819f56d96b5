import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { CallerResponse } from "./callerResponse.ts";
import type { LogValues } from "./decisionLog.ts";
import type { GatewayContext } from "./gatewayContext.ts";
import { LingeringClose } from "./lingeringClose.ts";
import { RefusalSampler } from "./refusalSampler.ts";
import { pathOf, type Refusal } from "./requestAdmission.ts";
import { bodyLength } from "./requestBody.ts";

/** To discard a body of this length costs less than a new connection. */
const SHORT_BODY_BYTES = 64 * 1_024;

/** A caller's request and its response. */
export interface Call {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly callerResponse: CallerResponse;
}

/**
 * Refuses requests of which nothing was sent to an upstream. The connection stays
 * open if the rest of the request is short, and is closed otherwise.
 */
export class RefusalWriter {
  readonly #context: GatewayContext;
  readonly #onClose: (socket: Socket) => void;
  readonly #sampler = new RefusalSampler();
  readonly #lingering: LingeringClose;

  /** `onClose` is called with each connection that is being closed. */
  constructor(context: GatewayContext, onClose: (socket: Socket) => void) {
    this.#context = context;
    this.#onClose = onClose;
    this.#lingering = new LingeringClose(context.timer);
  }

  /**
   * Counts and sends a refusal, and logs it if it is in the sample, with what
   * `describe` returns.
   */
  refuse(call: Call, refusal: Refusal, describe?: () => LogValues): void {
    const { metrics, timer } = this.#context;
    metrics.count(`refused_${refusal.reason}`);
    const unlogged = this.#sampler.select(refusal.reason, timer.now());
    if (unlogged !== undefined) {
      this.#log(call, refusal, {
        ...unlogged > 0 && { unlogged },
        ...describe?.(),
      });
    }
    if (isShort(call.request)) return this.#send(call, refusal);
    // Each chunk that waits to be read is a buffer of its own.
    if (bodyLength(call.request) === undefined) {
      call.request.on("data", discard);
    }
    // What was received together with the head is parsed until then.
    setImmediate(() => this.#send(call, refusal));
  }

  #log({ request }: Call, refusal: Refusal, inputs: LogValues): void {
    const { log, policies, elapsed, dialect } = this.#context;
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
  }

  #send({ request, response, callerResponse }: Call, refusal: Refusal): void {
    const isClosing = callerResponse.isClosedBy(refusal);
    const isReadOn = isReceived(request) || !isClosing && isShort(request);
    // Earlier responses of the connection come first while there are any.
    const hasTurn = response.socket !== null;
    if (isReadOn || !hasTurn || this.#lingering.isFull) {
      callerResponse.refuse(refusal, { isLast: !isReadOn });
      return void request.resume();
    }
    callerResponse.refuseUnread(refusal);
    this.#onClose(request.socket);
    this.#lingering.close(request);
  }
}

function discard(): void {}

function isShort(request: IncomingMessage): boolean {
  return (bodyLength(request) ?? Infinity) <= SHORT_BODY_BYTES;
}

/** Whether nothing of a request is left to be received. */
function isReceived(request: IncomingMessage): boolean {
  return request.complete ||
    request.readableLength >= (bodyLength(request) ?? Infinity);
}
