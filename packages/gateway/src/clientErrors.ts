import type { Duplex } from "node:stream";

/** Errors of connections by code; all others are those of the parser. */
const STATUSES: ReadonlyMap<string | undefined, string> = new Map([
  ["HPE_HEADER_OVERFLOW", "431 Request Header Fields Too Large"],
  ["HPE_CHUNK_EXTENSIONS_OVERFLOW", "413 Payload Too Large"],
  ["ERR_HTTP_REQUEST_TIMEOUT", "408 Request Timeout"],
]);
const OTHER_STATUS = "400 Bad Request";

/**
 * Closes a connection that sent no sound request. Its caller is told so unless it
 * would take that for the response to an earlier request.
 */
export function closeAfterClientError(
  socket: Duplex,
  { error, isTold }: { error: NodeJS.ErrnoException; isTold: boolean },
): void {
  if (isTold && socket.writable) {
    const status = STATUSES.get(error.code) ?? OTHER_STATUS;
    socket.write(`HTTP/1.1 ${status}\r\nConnection: close\r\n\r\n`);
  }
  socket.destroy();
}
