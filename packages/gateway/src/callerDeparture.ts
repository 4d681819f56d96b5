import type { IncomingMessage, ServerResponse } from "node:http";

/**
 * Whether the caller of a request has closed its connection, or its sending side.
 * The response is told of that only some iterations of the event loop later.
 */
export function hasCallerLeft(
  { socket }: IncomingMessage,
  response: ServerResponse,
): boolean {
  return response.destroyed || socket.readableEnded;
}

/** Calls back if the caller of a request leaves before its response is complete. */
export function onCallerLeave(
  { socket }: IncomingMessage,
  response: ServerResponse,
  callback: () => void,
): void {
  const leave = (): void => {
    if (!response.writableFinished) callback();
  };
  socket.once("end", leave);
  response.once("close", () => {
    socket.off("end", leave);
    leave();
  });
}
