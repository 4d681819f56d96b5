import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import type { ExecutionContext } from "ava";
import {
  type GatewayStartOptions,
  type RawUpstream,
  responseHead,
  type RunningGateway,
  sendRequest,
  startGateway,
  startUpstream,
  waitUntil,
} from "./fleet.ts";

/** Body of a request that crashes each upstream that runs it. */
export const POISON = "poison";
/** Body of a request whose response breaks off at each upstream. */
export const BROKEN = "broken";

/** Pause between two copies of a request; callers wait before they repeat one. */
export const PAUSE_MS = 400;

/** An upstream that crashes under some requests. */
export interface FragileUpstream extends RawUpstream {
  readonly hasCrashed: boolean;
}

/** Options of {@link startFragile}. */
export interface FragileOptions {
  /** Time for which a request runs. */
  readonly runTime?: number;
  /** Time from the broken response until connections are refused. */
  readonly lingersFor?: number;
  /**
   * Called when the upstream has crashed and the next one serves at its address;
   * without it nothing does.
   */
  readonly onReplaced?: (address: string) => void;
}

/**
 * Starts an upstream that serves all requests but two: it crashes under
 * {@link POISON}, and only breaks off the response to {@link BROKEN}.
 */
export async function startFragile(
  { runTime = 50, lingersFor = 0, onReplaced }: FragileOptions = {},
): Promise<FragileUpstream> {
  let hasCrashed = false;
  const upstream = await startUpstream((received) => {
    const { socket, body } = received;
    if (hasCrashed) return void socket.resetAndDestroy();
    socket.write(`${responseHead(received, { "content-length": 4 })}ha`);
    setTimeout(() => {
      if (body !== POISON && body !== BROKEN) return void socket.write("lf");
      socket.resetAndDestroy();
      if (body === BROKEN) return;
      if (onReplaced !== undefined) return onReplaced(upstream.address);
      hasCrashed = true;
      if (lingersFor === 0) upstream.close();
      else setTimeout(() => upstream.close(), lingersFor);
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

/** Returns how often a poison request has run. */
export function countPoisonRuns(upstreams: readonly RawUpstream[]): number {
  return upstreams.flatMap(({ received }) => received)
    .filter(({ body }) => body === POISON).length;
}

/** Returns how many upstreams have crashed. */
export function countCrashed(upstreams: readonly FragileUpstream[]): number {
  return upstreams.filter(({ hasCrashed }) => hasCrashed).length;
}

/** Options of {@link sendCopies}. */
export interface CopyOptions {
  readonly body?: string;
  readonly count?: number;
  /** When the caller leaves, since it has sent a copy. */
  readonly leavesAfter?: number;
}

/** Sends copies of a request, one after the other, to the hosts in turn. */
export async function sendCopies(
  fleet: readonly RunningGateway[],
  { body = POISON, count = 12, ...options }: CopyOptions = {},
): Promise<(number | undefined)[]> {
  const statuses: (number | undefined)[] = [];
  for (let copy = 0; copy < count; copy++) {
    const { url } = fleet[copy % fleet.length]!;
    const headers = { id: `copy-${copy}` };
    const { status } = await sendRequest(url, { ...options, body, headers });
    statuses.push(status);
    await sleep(PAUSE_MS);
  }
  return statuses;
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
