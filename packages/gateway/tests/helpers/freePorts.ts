import { randomInt } from "node:crypto";
import { createServer, type Server } from "node:net";

/** Below the ports of outgoing connections and those of fleets of whole programs. */
const FIRST_PORT = 10_000;
/** Ports of one process of tests; the first of them is held to mark the others as taken. */
const BLOCK_PORTS = 100;
const BLOCKS = 50;

let block: { readonly first: number; used: number } | undefined;

/**
 * Ports that were free a moment ago, for TCP and datagrams alike. Test files run at the
 * same time, each in its process, and a port that two of them choose leaves a test
 * waiting for a host that never started; so each process has a block of its own.
 */
export async function freePorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  while (ports.length < count) {
    if (block === undefined || block.used >= BLOCK_PORTS - 1) {
      block = await takeBlock();
    }
    const port = block.first + ++block.used;
    if (await isFree(port)) ports.push(port);
  }
  return ports;
}

async function takeBlock(): Promise<{ first: number; used: number }> {
  for (;;) {
    const first = FIRST_PORT + BLOCK_PORTS * randomInt(BLOCKS);
    const holder = await listenAt(first);
    if (holder === undefined) continue;
    // Held until the process ends, which it need not wait for.
    holder.unref();
    return { first, used: 0 };
  }
}

async function isFree(port: number): Promise<boolean> {
  const server = await listenAt(port);
  if (server === undefined) return false;
  await new Promise((resolve) => server.close(resolve));
  return true;
}

function listenAt(port: number): Promise<Server | undefined> {
  const server = createServer();
  return new Promise((resolve) => {
    server.once("error", () => resolve(undefined));
    server.listen(port, "127.0.0.1", () => resolve(server));
  });
}
