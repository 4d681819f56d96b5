import { randomInt } from "node:crypto";
import { createServer } from "node:net";

/** Below the ports that the system gives to outgoing connections. */
const FIRST_PORT = 10_000;
const PORT_COUNT = 20_000;

/**
 * Ports that were free a moment ago, for TCP and datagrams alike. Test files run at
 * the same time; one that takes a port in between makes the start fail, and the
 * start is tried with others.
 */
export async function freePorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  while (ports.length < count) {
    const port = FIRST_PORT + randomInt(PORT_COUNT);
    if (await isFree(port)) ports.push(port);
  }
  return ports;
}

function isFree(port: number): Promise<boolean> {
  const server = createServer();
  return new Promise((resolve) => {
    server.once("error", () => resolve(false));
    server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
  });
}
