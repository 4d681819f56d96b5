import type {
  UpstreamCall,
  UpstreamListener,
} from "../../src/upstreamConnections.ts";
import type { RawUpstream } from "./fleet.ts";

/** Returns a request without a body to an upstream. */
export function callTo(
  { address }: Pick<RawUpstream, "address">,
): UpstreamCall {
  return { address, method: "GET", path: "/", headers: [], body: undefined };
}

/** Creates a listener that does nothing but what is given. */
export function createListener(
  changes: Partial<UpstreamListener>,
): UpstreamListener {
  return {
    shouldSend: () => true,
    sent: () => {},
    head: () => {},
    data: () => {},
    ended: () => {},
    failed: () => {},
    ...changes,
  };
}
