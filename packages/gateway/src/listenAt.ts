import type { Server } from "node:net";
import { err, ok, type Result } from "neverthrow";
import type { ListenError } from "./listenError.ts";
import { splitAddress } from "./peerChannel.ts";

/** Connections that the system holds until they are accepted, where nothing else is said. */
const USUAL_BACKLOG = 511;

/**
 * Listens at `ip:port`. Errors may come later too, as when descriptors run out or a
 * caller is gone before it is accepted; they cost that connection and must not end the
 * host.
 */
export function listenAt<Listening extends Server>(
  server: Listening,
  address: string,
  { backlog = USUAL_BACKLOG }: { backlog?: number } = {},
): Promise<Result<Listening, ListenError>> {
  const { ip, port } = splitAddress(address);
  return new Promise((resolve) => {
    server.on("error", (error) => {
      resolve(err({ kind: "cannot-listen", detail: error.message }));
    });
    server.listen(port, ip, backlog, () => resolve(ok(server)));
  });
}
