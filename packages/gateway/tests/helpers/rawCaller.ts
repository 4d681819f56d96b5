import { once } from "node:events";
import { connect, type Socket } from "node:net";
import type { RunningGateway } from "./fleet.ts";

/** A caller whose bytes are written by the test. */
export interface RawCaller {
  readonly socket: Socket;
  /** Returns what it has received. */
  readonly seen: () => string;
  /** Whether the host has closed or reset the connection. */
  readonly isClosed: () => boolean;
}

/** Connects to a host; the caller's side stays open when the host closes its own. */
export async function connectCaller(
  { url }: RunningGateway,
): Promise<RawCaller> {
  const { port, hostname } = new URL(url);
  const socket = connect({
    port: Number(port),
    host: hostname,
    allowHalfOpen: true,
    noDelay: true,
  });
  let text = "";
  let isClosed = false;
  socket.on("data", (chunk) => text += String(chunk));
  socket.on("error", () => {});
  socket.on("end", () => isClosed = true);
  socket.on("close", () => isClosed = true);
  await once(socket, "connect");
  return { socket, seen: () => text, isClosed: () => isClosed };
}

/** Returns the head of a request with a body. */
export function postHead(length: number | "chunked"): string {
  const framing = length === "chunked"
    ? "transfer-encoding: chunked"
    : `content-length: ${length}`;
  return `POST /a/1 HTTP/1.1\r\nhost: plans.example\r\nid: q\r\nkey: k\r\n` +
    `${framing}\r\n\r\n`;
}
