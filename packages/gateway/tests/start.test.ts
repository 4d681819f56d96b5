import process from "node:process";
import test from "ava";
import { request } from "undici";
import { startGateway } from "./helpers/fleet.ts";

/**
 * Globals on whose first access the runtime loads its `fetch` implementation.
 */
const FETCH_GLOBALS = ["fetch", "Headers", "Request", "Response"];

/**
 * Records each access to the given globals and returns the list of accesses.
 */
function recordAccesses(names: readonly string[]): string[] {
  const seen: string[] = [];
  for (const name of names) {
    const { get, value } = Object.getOwnPropertyDescriptor(globalThis, name)!;
    Object.defineProperty(globalThis, name, {
      configurable: true,
      get: () => {
        seen.push(name);
        return get === undefined ? value : get.call(globalThis);
      },
    });
  }
  return seen;
}

test("a host starts without loading the runtime's fetch API", async (t) => {
  // Guards against a slower start on small machines.
  const seen = recordAccesses(FETCH_GLOBALS);
  const host = await startGateway({ upstreams: [] });
  const response = await request(`http://${host.readinessAddress}/ready`);
  t.is(response.statusCode, 503);
  await response.body.dump();
  const notFound = await request(`http://${host.readinessAddress}/other`);
  t.is(notFound.statusCode, 404);
  await notFound.body.dump();
  await host.close();
  t.deepEqual(seen, [], `Node.js ${process.version}`);
});
