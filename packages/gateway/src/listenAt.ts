import type { Server } from "node:net";
import { err, ok, type Result } from "neverthrow";
import type { ListenError } from "./listenError.ts";
import { splitAddress } from "./peerChannel.ts";

/** The default of Node.js. */
const DEFAULT_BACKLOG = 511;

/**
 * Listens at `ip:port`. Later errors, such as a failed accept, affect one
 * connection and are ignored.
 */
export function listenAt<Listening extends Server>(
  server: Listening,
  address: string,
  { backlog = DEFAULT_BACKLOG }: { backlog?: number } = {},
): Promise<Result<Listening, ListenError>> {
  const { ip, port } = splitAddress(address);
  return new Promise((resolve) => {
    server.on("error", (error) => {
      resolve(err({ kind: "cannot-listen", detail: error.message }));
    });
    server.listen(port, ip, backlog, () => resolve(ok(server)));
  });
}
