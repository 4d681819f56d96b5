import { isIPv4 } from "node:net";
import type { Branded } from "./ids.ts";

/** An `ip:port` that can be connected to: IPv4, and a port from 1 to 65,535. */
export type Address = Branded<string, "Address">;

const MAXIMUM_PORT = 65_535;
const PORT_PATTERN = /^[1-9]\d{0,4}$/;

/** Parses an `ip:port` without leading zeros; `undefined` for any other text. */
export function parseAddress(text: string): Address | undefined {
  const colon = text.lastIndexOf(":");
  const port = text.slice(colon + 1);
  const isValid = colon > 0 && isIPv4(text.slice(0, colon)) &&
    PORT_PATTERN.test(port) && Number(port) <= MAXIMUM_PORT;
  return isValid ? text as Address : undefined;
}
