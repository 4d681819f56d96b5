import type { Milliseconds, ResetDetector } from "@wasabivane/common";
import { buildConnector } from "undici";

/** Shorter than the retransmission of a lost SYN packet. */
export const DEFAULT_CONNECT_TIMEOUT_MS: Milliseconds = 250;

/** Creates a connector whose sockets a detector watches. */
export function createWatchedConnector(
  detector: ResetDetector,
  { connectTimeout = DEFAULT_CONNECT_TIMEOUT_MS }: {
    connectTimeout?: Milliseconds | undefined;
  } = {},
): buildConnector.connector {
  const connect = buildConnector({ timeout: connectTimeout });
  return (options, callback) =>
    connect(options, (...result) => {
      const [, socket] = result;
      if (socket) detector.watch(socket);
      callback(...result);
    });
}
