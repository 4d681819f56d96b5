import process from "node:process";
import { asId } from "@wasabivane/common";
import type { ExecutionContext } from "ava";
import {
  type GatewayStartOptions,
  type RawUpstream,
  type RunningGateway,
  startGateway,
  waitUntil,
} from "./fleet.ts";
import { freePorts } from "./freePorts.ts";

/** No other test listens there, so a port that was free stays so. */
export const UNUSED_IP = "127.0.0.9";
/** A host that reaches no upstream, and one that reaches all of them. */
export interface CutPair {
  readonly cutOff: RunningGateway;
  readonly inTouch: RunningGateway;
}

let nameCount = 0;

/** Keeps hosts of other tests, which may reuse a port, apart. */
export function nameSuffix(): string {
  nameCount++;
  return `${process.pid}-${nameCount}`;
}

/** An upstream at whose address nothing listens. */
export async function unreachable(): Promise<RawUpstream> {
  const [port] = await freePorts(1);
  return {
    address: asId(`${UNUSED_IP}:${port}`),
    received: [],
    close: () => {},
  };
}

/** Starts a {@link CutPair} that knows the same upstreams. */
export async function startCutPair(
  t: ExecutionContext,
  upstreams: readonly RawUpstream[],
  options: Partial<GatewayStartOptions> = {},
): Promise<CutPair> {
  const inTouch = await startGateway({
    ...options,
    upstreams,
    host: `in-touch-${nameSuffix()}`,
  });
  const cutOff = await startGateway({
    ...options,
    upstreams: await Promise.all(upstreams.map(unreachable)),
    host: `cut-off-${nameSuffix()}`,
    seeds: [inTouch.peerAddress],
  });
  t.teardown(async () => {
    await cutOff.close();
    await inTouch.close();
  });
  await waitUntil(() =>
    [cutOff, inTouch].every(({ gateway }) => gateway.context.hostCount() === 2)
  );
  return { cutOff, inTouch };
}
