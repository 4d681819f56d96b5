import type { PortError } from "./openPort.ts";

/** The error for an address that a server cannot listen at. */
export interface ListenError extends PortError {
  readonly kind: "cannot-listen";
  readonly detail: string;
}
