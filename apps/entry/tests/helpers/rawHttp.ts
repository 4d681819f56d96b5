import { Buffer } from "node:buffer";
import { once } from "node:events";
import { connect, type Socket } from "node:net";

/** An answer as it stood on the connection. */
export interface RawResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
}

/** Options of {@link sendRawRequest}. */
export interface RawRequestOptions {
  readonly port: number;
  /** Whether this side closes its half after what it sent. */
  readonly shouldHalfClose?: boolean;
}

/** Opens a connection to a port of this machine. */
export async function openSocket(port: number): Promise<Socket> {
  const socket = connect({ port, host: "127.0.0.1" });
  socket.on("error", () => {});
  await once(socket, "connect");
  return socket;
}

/** Sends bytes as they are and reads until the other side closes. */
export async function sendRawRequest(
  bytes: string | Buffer,
  { port, shouldHalfClose: endsAfter = false }: RawRequestOptions,
): Promise<RawResponse | undefined> {
  const socket = await openSocket(port);
  const answer = readRawResponse(socket);
  if (endsAfter) socket.end(bytes);
  else socket.write(bytes);
  return await answer;
}

/** What a connection gives until it closes; `undefined` when that is nothing. */
export async function readRawResponse(
  socket: Socket,
): Promise<RawResponse | undefined> {
  const parts: Buffer[] = [];
  socket.on("data", (part: Buffer) => parts.push(part));
  await once(socket, "close");
  const text = Buffer.concat(parts).toString("utf8");
  return text === "" ? undefined : parseAnswer(text);
}

function parseAnswer(text: string): RawResponse {
  const split = text.indexOf("\r\n\r\n");
  const [statusLine, ...lines] = text.slice(0, split).split("\r\n");
  const headers = Object.fromEntries(lines.map((line) => {
    const colon = line.indexOf(":");
    return [
      line.slice(0, colon).toLowerCase(),
      line.slice(colon + 1).trim(),
    ];
  }));
  const status = Number(statusLine!.split(" ")[1]);
  return { status, headers, body: text.slice(split + 4) };
}
