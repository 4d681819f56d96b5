import { once } from "node:events";
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";

/** One request that a scripted upstream received. */
export interface ScriptedCall {
  readonly incoming: IncomingMessage;
  readonly outgoing: ServerResponse;
  readonly nonce: string;
  readonly body: string;
}

/** An upstream whose responses are written by the test. */
export interface ScriptedUpstream {
  readonly url: string;
  /** Methods and paths of its calls, except load reports and cache events. */
  readonly calls: readonly string[];
  stop(): Promise<void>;
}

/** Starts an upstream that handles each request with the script. */
export async function startScriptedUpstream(
  script: (call: ScriptedCall) => void,
): Promise<ScriptedUpstream> {
  const calls: string[] = [];
  const server = createServer((incoming, outgoing) => {
    const parts: string[] = [];
    incoming.setEncoding("utf8");
    incoming.on("data", (part: string) => parts.push(part));
    incoming.on("end", () => {
      if (/^\/v1\/(load|cache-events)/.test(incoming.url!)) {
        outgoing.writeHead(404).end();
        return;
      }
      calls.push(`${incoming.method} ${incoming.url}`);
      const nonce = String(incoming.headers["x-request-nonce"]);
      script({ incoming, outgoing, nonce, body: parts.join("") });
    });
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  return {
    url: `http://127.0.0.1:${port}`,
    calls,
    async stop(): Promise<void> {
      server.close();
      server.closeAllConnections();
      await once(server, "close");
    },
  };
}
