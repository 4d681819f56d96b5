import { connect, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { VirtualTimer } from "@wasabivane/common";
import type { ExecutionContext } from "ava";
import {
  type GatewayStartOptions,
  type RunningGateway,
  startGateway,
} from "./fleet.ts";

/** Step in which virtual time passes. */
const STEP_MS = 20;
/** Real time for bytes to arrive. */
const SETTLE_MS = 40;

/** A caller's connection that leaves it to the test when bytes are sent. */
export interface RawCaller {
  readonly socket: Socket;
  /** All that came. */
  readonly text: () => string;
}

/** A host in virtual time that is told to stop. */
export interface StoppingHost {
  readonly host: RunningGateway;
  readonly timer: VirtualTimer;
  /** Sends a request with a body of 5 bytes, of which the last one is left out. */
  open(id: string, headers?: Readonly<Record<string, string>>): RawCaller;
  /** Sends a whole request. */
  send(id: string, headers?: Readonly<Record<string, string>>): RawCaller;
  /** Starts the shutdown; resolves once it has begun. */
  stop(): Promise<void>;
  /** Lets time pass until so long after the start of the shutdown. */
  until(span: number): Promise<void>;
}

/** Starts a host whose grace is 8 s, of which the last 0.6 s are for its end. */
export async function startStoppingHost(
  t: ExecutionContext,
  options: Omit<GatewayStartOptions, "timer">,
): Promise<StoppingHost> {
  const timer = new VirtualTimer();
  const host = await startGateway({ shutdownGrace: 8_000, ...options, timer });
  t.teardown(() => host.close());
  let stoppedAt = 0;
  const pass = async (end: number): Promise<void> => {
    await sleep(SETTLE_MS);
    while (timer.now() < end) {
      timer.advance(Math.min(STEP_MS, end - timer.now()));
      for (let turn = 0; turn < 4; turn++) {
        await new Promise((resolve) => setImmediate(resolve));
      }
    }
    await sleep(SETTLE_MS);
  };
  await pass(200);
  const write = (
    id: string,
    { headers = {}, body }: {
      headers?: Readonly<Record<string, string>>;
      body: string;
    },
  ): RawCaller => {
    const { hostname, port } = new URL(host.url);
    const socket = connect({ host: hostname, port: Number(port) });
    let text = "";
    socket.on("error", () => {});
    socket.on("data", (chunk) => (text += chunk.toString("latin1")));
    const lines = Object.entries({
      host: "plans.example",
      id,
      key: "k",
      "content-length": "5",
      ...headers,
    }).map(([name, value]) => `${name}: ${value}\r\n`);
    socket.write(`POST /a/1 HTTP/1.1\r\n${lines.join("")}\r\n${body}`);
    return { socket, text: () => text };
  };
  return {
    host,
    timer,
    open: (id, headers) =>
      write(id, { ...headers && { headers }, body: "hell" }),
    send: (id, headers) =>
      write(id, { ...headers && { headers }, body: "hello" }),
    stop: async () => {
      await sleep(SETTLE_MS);
      stoppedAt = timer.now();
      void host.gateway.stop();
      await sleep(SETTLE_MS);
    },
    until: (span) => pass(stoppedAt + span),
  };
}
