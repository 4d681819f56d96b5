import type { ServerResponse } from "node:http";
import type { MemoryBudget, Milliseconds } from "@wasabivane/common";
import { ResponseLease } from "./responseLease.ts";

/** Unread bytes of each connection's current response that are not reserved. */
const UNRESERVED_BYTES = 32 * 1_024;

/** Options of {@link UnreadResponses}. */
export interface UnreadResponsesOptions {
  readonly budget: MemoryBudget;
  /**
   * Returns the time for which the rest of a response may lie without being
   * read.
   */
  readonly idleTimeout: () => Milliseconds;
  /** Called when a response is cut since its caller does not read it. */
  readonly onCut: (reason: "idle" | "memory") => void;
}

/** Bounds what callers have not read of their responses. */
export class UnreadResponses {
  readonly #options: UnreadResponsesOptions;
  /** Responses with reserved bytes, the longest unread first. */
  readonly #held = new Set<UnreadResponse>();

  constructor(options: UnreadResponsesOptions) {
    this.#options = options;
  }

  /** Follows a response; `cut` closes its connection visibly. */
  track(response: ServerResponse, cut: () => void): UnreadResponse {
    const { budget, idleTimeout, onCut } = this.#options;
    const unread = new UnreadResponse(response, {
      lease: new ResponseLease(budget, { unreserved: UNRESERVED_BYTES }),
      idleTimeout,
      onChange: () => this.#update(unread),
      cut: (reason) => {
        onCut(reason);
        cut();
      },
    });
    return unread;
  }

  /** Cuts the longest unread responses until all others fit. */
  #update(unread: UnreadResponse): void {
    while (!unread.hold()) {
      const [oldest = unread] = this.#held;
      this.#held.delete(oldest);
      oldest.cut();
    }
    if (unread.isHolding) this.#held.add(unread);
    else this.#held.delete(unread);
  }
}

interface UnreadResponseOptions {
  readonly lease: ResponseLease;
  readonly idleTimeout: () => Milliseconds;
  /** Called when the unread bytes may have changed. */
  readonly onChange: () => void;
  readonly cut: (reason: "idle" | "memory") => void;
}

/** A response that its caller has not read whole. */
export class UnreadResponse {
  readonly #response: ServerResponse;
  readonly #options: UnreadResponseOptions;
  #isChecking = false;
  #isClosed = false;

  constructor(response: ServerResponse, options: UnreadResponseOptions) {
    this.#response = response;
    this.#options = options;
    response.on("drain", options.onChange);
    // A response that waits for its turn is not told of the connection's end.
    const { socket } = response.req;
    const close = (): void => {
      socket.off("close", close);
      this.#close();
    };
    socket.once("close", close);
    response.once("close", close);
    if (socket.destroyed) this.#isClosed = true;
  }

  /** Whether bytes are reserved. */
  get isHolding(): boolean {
    return this.#options.lease.isHolding;
  }

  /** Reserves the unread bytes; returns false if they do not fit. */
  hold(): boolean {
    const { writableLength, socket } = this.#response;
    if (this.#isClosed) return this.#options.lease.hold(0);
    // There may be many that wait for an earlier one of their connection.
    const allowance = socket === null ? UNRESERVED_BYTES : 0;
    return this.#options.lease.hold(writableLength + allowance);
  }

  /** Looks at what is unread once the system has taken what it can. */
  recordWrite(): void {
    if (this.#isChecking) return;
    this.#isChecking = true;
    setImmediate(() => {
      this.#isChecking = false;
      this.#options.onChange();
    });
  }

  /** Follows the rest of a response to which nothing is added. */
  recordEnd(): void {
    const { onChange, idleTimeout, cut } = this.#options;
    onChange();
    if (this.#isClosed) return;
    this.#response.setTimeout(idleTimeout(), () => cut("idle"));
    // The server sets the time for the next request behind this.
    this.#response.prependOnceListener("finish", () => {
      this.#response.socket?.setTimeout(0);
    });
  }

  /** Ends the connection for lack of memory. */
  cut(): void {
    this.#close();
    this.#options.cut("memory");
  }

  #close(): void {
    this.#isClosed = true;
    this.#options.lease.release();
    this.#options.onChange();
  }
}
