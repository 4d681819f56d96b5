import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { Milliseconds, Timer } from "@wasabivane/common";
import type { GatewayMetrics } from "./gatewayMetrics.ts";
import type { ParsingBudget } from "./parsingBudget.ts";
import { ReadHold } from "./readHold.ts";

/** Requests of one connection that may be without a complete response. */
const MAXIMUM_UNANSWERED = 16;
/** Requests of all connections that may be kept without being answered. */
const MAXIMUM_IGNORED = 8_192;
/** Requests of one connection that may be refused by their head in a period. */
const MAXIMUM_REFUSALS = 32;
const REFUSAL_PERIOD_MS: Milliseconds = 100;
/** Estimated processor time for a request that is ignored. */
const REQUEST_COST_MS: Milliseconds = 0.02;
/** Time that a connection stays open for each request that is ignored. */
const IGNORED_DELAY_MS: Milliseconds = 5;
const MAXIMUM_DELAY_MS: Milliseconds = 5_000;
/** Time for a caller to read its last responses. */
const LINGER_MS: Milliseconds = 1_000;

/** Options of {@link PipelineLimits}. */
export interface PipelineLimitsOptions {
  readonly timer: Timer;
  readonly metrics: GatewayMetrics;
  readonly parsing: ParsingBudget;
}

/** What one connection has sent. */
class Pipeline {
  readonly hold: ReadHold;
  readonly refusalHold: ReadHold;
  unanswered = 0;
  /** Requests that get a response. */
  due = 0;
  isOverrun = false;
  /** Requests behind those, which the HTTP server keeps until the end. */
  ignored = 0;
  refusals = 0;
  refusalsSince: Milliseconds = -Infinity;

  constructor(readonly socket: Socket) {
    this.hold = new ReadHold(socket);
    this.refusalHold = new ReadHold(socket);
  }
}

/**
 * Bounds the requests that a connection sends before earlier ones are answered.
 * Beyond it nothing more is read, and the connection ends behind the responses
 * that are due.
 */
export class PipelineLimits {
  readonly #options: PipelineLimitsOptions;
  readonly #pipelines = new WeakMap<Socket, Pipeline>();
  readonly #overrun = new Set<Pipeline>();
  #ignored = 0;

  constructor(options: PipelineLimitsOptions) {
    this.#options = options;
  }

  /** Counts a request; returns false if it is not to be handled. */
  receive(socket: Socket): boolean {
    const pipeline = this.#pipelineOf(socket);
    if (!pipeline.isOverrun) {
      pipeline.unanswered++;
      if (pipeline.unanswered <= MAXIMUM_UNANSWERED) return true;
      this.#options.metrics.count("pipelines_overrun");
      this.#stopReading(pipeline);
    }
    this.#ignore(pipeline);
    return false;
  }

  /** Number of responses that a connection still gets. */
  dueOf(socket: Socket): number {
    return this.#pipelines.get(socket)?.due ?? 0;
  }

  /** Whether nothing more is read from a connection. */
  isOverrun(socket: Socket): boolean {
    return this.#pipelines.get(socket)?.isOverrun === true;
  }

  /** Reads nothing more, and ends a connection behind the responses that are due. */
  endBehindResponses(socket: Socket): void {
    const pipeline = this.#pipelineOf(socket);
    if (!pipeline.isOverrun) this.#stopReading(pipeline);
  }

  /** Waits for the response to a request that was counted. */
  watch(socket: Socket, response: ServerResponse): void {
    const pipeline = this.#pipelineOf(socket);
    pipeline.due++;
    response.once("close", () => {
      pipeline.due--;
      pipeline.unanswered--;
      if (pipeline.isOverrun && pipeline.due === 0) this.#end(pipeline);
    });
  }

  /** Slows down a connection whose requests are refused one after another. */
  recordRefusal(socket: Socket): void {
    const { timer, metrics } = this.#options;
    const pipeline = this.#pipelineOf(socket);
    const now = timer.now();
    if (now - pipeline.refusalsSince >= REFUSAL_PERIOD_MS) {
      pipeline.refusalsSince = now;
      pipeline.refusals = 0;
    }
    pipeline.refusals++;
    if (pipeline.refusals <= MAXIMUM_REFUSALS) return;
    if (pipeline.refusalHold.isHeld) return;
    metrics.count("refused_callers_held");
    pipeline.refusalHold.hold();
    const left = pipeline.refusalsSince + REFUSAL_PERIOD_MS - now;
    timer.after(left, () => pipeline.refusalHold.release());
  }

  #pipelineOf(socket: Socket): Pipeline {
    let pipeline = this.#pipelines.get(socket);
    if (pipeline === undefined) {
      pipeline = new Pipeline(socket);
      this.#pipelines.set(socket, pipeline);
    }
    return pipeline;
  }

  #stopReading(pipeline: Pipeline): void {
    pipeline.isOverrun = true;
    pipeline.hold.hold();
    this.#overrun.add(pipeline);
    pipeline.socket.once("close", () => {
      this.#overrun.delete(pipeline);
      this.#ignored -= pipeline.ignored;
    });
    if (pipeline.due === 0) this.#end(pipeline);
  }

  #ignore(pipeline: Pipeline): void {
    this.#options.parsing.spend(REQUEST_COST_MS);
    pipeline.ignored++;
    this.#ignored++;
    if (this.#ignored <= MAXIMUM_IGNORED) return;
    if (pipeline.socket.destroyed) return;
    const largest = this.#findLargest();
    if (largest === undefined) return;
    if (largest.due > 0) this.#options.metrics.count("pipelines_cut");
    largest.socket.destroy();
  }

  /** Of those without a due response, if there are any. */
  #findLargest(): Pipeline | undefined {
    const open = [...this.#overrun].filter(({ socket }) => !socket.destroyed);
    const unneeded = open.filter(({ due }) => due === 0);
    return (unneeded.length > 0 ? unneeded : open)
      .reduce<Pipeline | undefined>(
        (largest, pipeline) =>
          largest === undefined || pipeline.ignored > largest.ignored
            ? pipeline
            : largest,
        undefined,
      );
  }

  /** The longer the more was sent, as the caller may come back with as much. */
  #end(pipeline: Pipeline): void {
    const { timer } = this.#options;
    const { socket } = pipeline;
    // What was read already is counted by then.
    const counted = timer.after(0, () => {
      const delay = IGNORED_DELAY_MS * pipeline.ignored;
      const waiting = timer.after(
        Math.min(MAXIMUM_DELAY_MS, delay),
        () => this.#close(socket),
      );
      socket.once("close", () => waiting.cancel());
    });
    socket.once("close", () => counted.cancel());
  }

  #close(socket: Socket): void {
    const { timer, parsing } = this.#options;
    const close = (): void => {
      socket.end();
      const deadline = timer.after(LINGER_MS, () => void socket.destroy());
      socket.once("close", () => deadline.cancel());
    };
    if (!parsing.isOverdrawn) return close();
    socket.once("close", parsing.wait(close));
  }
}
