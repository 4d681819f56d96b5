import type { Server } from "node:net";
import { err, ok, type Result } from "neverthrow";
import type { ListenError } from "./listenError.ts";
import { PORT_TAKEN } from "./openPort.ts";
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
    const onError = ({ code, message: detail }: NodeJS.ErrnoException) => {
      server.off("listening", onListening);
      const isTaken = code === PORT_TAKEN;
      resolve(err({ kind: "cannot-listen", detail, isTaken }));
    };
    const onListening = (): void => {
      server.off("error", onError);
      server.on("error", ignoreError);
      resolve(ok(server));
    };
    server.once("error", onError);
    server.once("listening", onListening);
    server.listen(port, ip, backlog);
  });
}

function ignoreError(): void {}
