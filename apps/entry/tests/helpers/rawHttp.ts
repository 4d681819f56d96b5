import { Buffer } from "node:buffer";
import { once } from "node:events";
import { connect, type Socket } from "node:net";

/** An HTTP response as received on the connection. */
export interface RawResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
}

/** Options of {@link sendRawRequest}. */
export interface RawRequestOptions {
  readonly port: number;
  /** Whether to close the sending half of the connection after the request. */
  readonly shouldHalfClose?: boolean;
}

/** Opens a connection to a port of the loopback address. */
export async function openSocket(port: number): Promise<Socket> {
  const socket = connect({ port, host: "127.0.0.1" });
  socket.on("error", () => {});
  await once(socket, "connect");
  return socket;
}

/** Sends raw bytes and reads until the other side closes the connection. */
export async function sendRawRequest(
  bytes: string | Buffer,
  { port, shouldHalfClose = false }: RawRequestOptions,
): Promise<RawResponse | undefined> {
  const socket = await openSocket(port);
  const response = readRawResponse(socket);
  if (shouldHalfClose) socket.end(bytes);
  else socket.write(bytes);
  return await response;
}

/** Reads a connection until it closes; `undefined` if it carried nothing. */
export async function readRawResponse(
  socket: Socket,
): Promise<RawResponse | undefined> {
  const parts: Buffer[] = [];
  socket.on("data", (part: Buffer) => parts.push(part));
  await once(socket, "close");
  const text = Buffer.concat(parts).toString("utf8");
  return text === "" ? undefined : parseResponse(text);
}

function parseResponse(text: string): RawResponse {
  const headEnd = text.indexOf("\r\n\r\n");
  const [statusLine, ...lines] = text.slice(0, headEnd).split("\r\n");
  const headers = Object.fromEntries(lines.map((line) => {
    const colon = line.indexOf(":");
    return [
      line.slice(0, colon).toLowerCase(),
      line.slice(colon + 1).trim(),
    ];
  }));
  const status = Number(statusLine!.split(" ")[1]);
  return { status, headers, body: text.slice(headEnd + 4) };
}
