import { Worker } from "node:worker_threads";

/**
 * Time from the callers' last step until the event loop goes on, for the kernel
 * to have all that they sent.
 */
const SETTLING_MS = 100;

/** Runs in a thread of its own; its sockets work while the test's thread stands still. */
const PROGRAM = `
const { connect } = require("node:net");
const { parentPort } = require("node:worker_threads");
const LEAVE = {
  "close": (socket) => socket.destroy(),
  "reset": (socket) => socket.resetAndDestroy(),
  "half-close": (socket) => socket.end(),
};
let sockets = [];
const open = (port) => new Promise((resolve) => {
  const socket = connect({ port, host: "127.0.0.1", noDelay: true });
  socket.on("error", () => {});
  socket.once("connect", () => resolve(socket));
});
const STEPS = {
  open: async ({ port, count }) => {
    for (let index = 0; index < count; index++) sockets.push(await open(port));
  },
  send: async ({ texts, awaited }) => {
    await Promise.all(sockets.map((socket, index) => new Promise((resolve) => {
      if (awaited) socket.once("data", resolve);
      socket.write(texts[index], "latin1", () => awaited || resolve());
    })));
  },
  leave: async ({ departure }) => {
    const leaving = sockets;
    sockets = [];
    await new Promise((resolve) => setTimeout(resolve, 5));
    for (const socket of leaving) LEAVE[departure](socket);
  },
};
let served = 0;
const press = async (port, text) => {
  for (;;) {
    const socket = connect({ port, host: "127.0.0.1", noDelay: true });
    socket.on("error", () => {});
    socket.once("connect", () => socket.write(text));
    socket.on("data", (chunk) => {
      if (String(chunk).startsWith("HTTP/1.1 200")) served++;
      socket.destroy();
    });
    await new Promise((resolve) => socket.once("close", resolve));
  }
};
STEPS.press = ({ port, texts }) => {
  for (const text of texts) press(port, text);
};
let pending = Promise.resolve();
parentPort.on("message", ({ steps, signal }) => {
  pending = pending.then(async () => {
    for (const step of steps) await STEPS[step.kind](step);
    Atomics.store(signal, 0, 1);
    Atomics.notify(signal, 0);
    parentPort.postMessage(served);
  });
});
`;

/** How a caller leaves. */
export const DEPARTURES = ["close", "reset", "half-close"] as const;

/** See {@link DEPARTURES}. */
export type Departure = typeof DEPARTURES[number];

/** One thing that all callers do. */
export type CallerStep =
  | { readonly kind: "open"; readonly port: number; readonly count: number }
  /** With `awaited`, each also waits for the first bytes of its response. */
  | {
    readonly kind: "send";
    readonly texts: readonly string[];
    readonly awaited?: boolean;
  }
  | { readonly kind: "leave"; readonly departure: Departure }
  /** Sends one request after the other, each on a new connection, until the end. */
  | {
    readonly kind: "press";
    readonly port: number;
    readonly texts: readonly string[];
  };

/** Callers in a thread of their own. */
export class CallersApart {
  readonly #worker = new Worker(PROGRAM, { eval: true });

  /**
   * Runs steps while the event loop goes on; returns the number of responses to
   * callers that press so far.
   */
  run(steps: readonly CallerStep[]): Promise<number> {
    const done = new Promise<number>((resolve) =>
      this.#worker.once("message", resolve)
    );
    this.#post(steps);
    return done;
  }

  /** Runs steps while the event loop of the caller of this method stands still. */
  runDuringStall(steps: readonly CallerStep[]): void {
    const signal = this.#post(steps);
    Atomics.wait(signal, 0, 0);
    Atomics.wait(signal, 0, 1, SETTLING_MS);
  }

  async close(): Promise<void> {
    await this.#worker.terminate();
  }

  #post(steps: readonly CallerStep[]): Int32Array {
    const signal = new Int32Array(new SharedArrayBuffer(4));
    this.#worker.postMessage({ steps, signal });
    return signal;
  }
}

/** Returns the bytes of a request for the route of the tests. */
export function requestText(
  id: string,
  headers: Readonly<Record<string, string | number>> = {},
): string {
  return [
    "POST /a/1 HTTP/1.1",
    "host: plans.example",
    `id: ${id}`,
    "key: k",
    ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`),
    "content-length: 5",
    "",
    "hello",
  ].join("\r\n");
}
