import { type RawUpstream, responseHead, startUpstream } from "./fleet.ts";

/** Starts an upstream that serves all requests, with additional headers. */
export function startServing(
  headers: Readonly<Record<string, string>> = {},
  { delay = 0 }: { delay?: number } = {},
): Promise<RawUpstream> {
  return startUpstream((received) => {
    const head = responseHead(received, { "content-length": 2, ...headers });
    setTimeout(() => received.socket.write(`${head}ok`), delay);
  });
}

/** Starts an upstream that turns all requests away, with additional headers. */
export function startRejecting(
  headers: Readonly<Record<string, string>>,
): Promise<RawUpstream> {
  return startUpstream((received) => {
    const lines = Object.entries({
      id: received.header("id") ?? "",
      "not-run": "1",
      "content-length": "0",
      ...headers,
    }).map(([name, value]) => `${name}: ${value}\r\n`);
    received.socket.write(
      `HTTP/1.1 503 Service Unavailable\r\n${lines.join("")}\r\n`,
    );
  });
}
