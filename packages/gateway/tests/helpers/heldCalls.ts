import type { UpstreamConnections } from "../../src/upstreamConnections.ts";
import type { RunningGateway } from "./fleet.ts";

/** Holds a host's first call to an upstream until it is released. */
export function holdFirstCall(
  { gateway: { context } }: RunningGateway,
): { address: string | undefined; release: () => void } {
  const { connections } = context;
  const held = { address: undefined as string | undefined, release: () => {} };
  const send: UpstreamConnections["send"] = (call, listener) => {
    if (held.address !== undefined) return connections.send(call, listener);
    held.address = call.address;
    held.release = () => void connections.send(call, listener);
    return { abort: () => {}, pause: () => {}, resume: () => {} };
  };
  Object.assign(context, {
    connections: { send, close: () => connections.close() },
  });
  return held;
}

/** Holds all calls of a host, as upstreams do that accept no connections. */
export function holdAllCalls({ gateway: { context } }: RunningGateway): void {
  const { connections } = context;
  const send: UpstreamConnections["send"] = () => ({
    abort: () => {},
    pause: () => {},
    resume: () => {},
  });
  Object.assign(context, {
    connections: { send, close: () => connections.close() },
  });
}
