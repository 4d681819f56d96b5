import process from "node:process";
import type { ExecutionContext } from "ava";
import {
  type GatewayStartOptions,
  type RawUpstream,
  responseHead,
  type RunningGateway,
  startGateway,
  startUpstream,
  waitUntil,
} from "./fleet.ts";

/** Body of a request that crashes each upstream that runs it. */
export const POISON = "poison";
/** Body of a request whose response breaks off at each upstream. */
export const BROKEN = "broken";

/** An upstream that crashes under some requests. */
export interface FragileUpstream extends RawUpstream {
  readonly hasCrashed: boolean;
}

/** Options of {@link startFragile}. */
export interface FragileOptions {
  /** Time for which a request runs. */
  readonly runTime?: number;
}

/**
 * Starts an upstream that serves all requests but two: it crashes under
 * {@link POISON}, and only breaks off the response to {@link BROKEN}.
 */
export async function startFragile(
  { runTime = 50 }: FragileOptions = {},
): Promise<FragileUpstream> {
  let hasCrashed = false;
  const upstream = await startUpstream((received) => {
    const { socket, body } = received;
    socket.write(`${responseHead(received, { "content-length": 4 })}ha`);
    setTimeout(() => {
      if (body !== POISON && body !== BROKEN) return void socket.write("lf");
      socket.resetAndDestroy();
      if (body === BROKEN) return;
      hasCrashed = true;
      upstream.close();
    }, runTime);
  });
  return {
    ...upstream,
    get hasCrashed(): boolean {
      return hasCrashed;
    },
  };
}

/** Starts several fragile upstreams. */
export function startFragiles(
  count: number,
  options: FragileOptions = {},
): Promise<FragileUpstream[]> {
  return Promise.all(
    Array.from({ length: count }, () => startFragile(options)),
  );
}

/** Returns how many upstreams have crashed. */
export function countCrashed(upstreams: readonly FragileUpstream[]): number {
  return upstreams.filter(({ hasCrashed }) => hasCrashed).length;
}

let nameCount = 0;

/** Starts hosts that know each other, in front of the same upstreams. */
export async function startFleet(
  t: ExecutionContext,
  upstreams: readonly RawUpstream[],
  { hosts, ...options }: Partial<GatewayStartOptions> & { hosts: number },
): Promise<RunningGateway[]> {
  const fleet: RunningGateway[] = [];
  t.teardown(() => Promise.all(fleet.map((host) => host.close())));
  for (let index = 0; index < hosts; index++) {
    fleet.push(await joinFleet(fleet, upstreams, options));
  }
  return fleet;
}

/** Starts one more host, and waits until all hosts know each other. */
export async function joinFleet(
  fleet: readonly RunningGateway[],
  upstreams: readonly RawUpstream[],
  options: Partial<GatewayStartOptions> = {},
): Promise<RunningGateway> {
  const host = await startGateway({
    ...options,
    upstreams,
    // Keeps hosts of other tests, which may reuse a port, apart.
    host: `host-${process.pid}-${nameCount++}`,
    seeds: fleet.map(({ peerAddress }) => peerAddress),
  });
  const all = [...fleet, host];
  await waitUntil(() =>
    all.every(({ gateway }) => gateway.context.hostCount() === all.length)
  );
  return host;
}
