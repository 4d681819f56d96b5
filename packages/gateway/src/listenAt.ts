import type { Server } from "node:net";
import { err, ok, type Result } from "neverthrow";
import type { ListenError } from "./listenError.ts";
import { openPort, type OpenPortOptions } from "./openPort.ts";
import { splitAddress } from "./peerChannel.ts";

/** The default of Node.js. */
const DEFAULT_BACKLOG = 511;

/** Options of {@link listenAt}. */
export interface ListenOptions extends OpenPortOptions {
  readonly backlog?: number;
}

/**
 * Listens at `ip:port`. Later errors, such as a failed accept, affect one
 * connection and are ignored.
 */
export async function listenAt<Listening extends Server>(
  server: Listening,
  address: string,
  { backlog = DEFAULT_BACKLOG, ...options }: ListenOptions,
): Promise<Result<Listening, ListenError>> {
  const { ip, port } = splitAddress(address);
  server.on("error", () => {});
  const error = await openPort(() =>
    new Promise((resolve) => {
      server.once("error", resolve);
      server.listen(port, ip, backlog, () => {
        server.off("error", resolve);
        resolve(undefined);
      });
    }), options);
  return error === undefined
    ? ok(server)
    : err({ kind: "cannot-listen", detail: error.message });
}
