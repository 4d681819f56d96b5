import type { Milliseconds } from "@wasabivane/common";
import { expectNumber } from "./rowValues.ts";

/** Path at which a host accepts relays; the query names the upstream. */
export const RELAY_PATH = "/relay";

/** Status of a peer that reaches the upstream no more than this host does. */
export const STATUS_UNREACHABLE = 502;

/** Bytes of a connection that are sent in one message. */
export const RELAY_PART_BYTES = 64 * 1_024;

/**
 * Limits of what the other host sends. A message may be a whole request with its
 * body; nobody sends pings or fragments.
 */
export const RELAY_LIMITS = {
  maxPayload: 5 * 1_024 * 1_024,
  maxBufferedChunks: 8 * 1_024,
  maxFragments: 16,
  autoPong: false,
} as const;

/** Message between the two hosts of a relay. */
export type RelayMessage =
  /** The upstream wants no requests from the host that it answered. */
  | { readonly kind: "backoff"; readonly span: Milliseconds }
  /** The relaying host stops soon and needs its relays closed. */
  | { readonly kind: "stopping" };

/** Encodes a message as text; bytes of the connection are sent as binary. */
export function encodeRelayMessage(message: RelayMessage): string {
  return JSON.stringify(message);
}

/** Decodes a message; `undefined` for one that is malformed or unknown. */
export function decodeRelayMessage(text: string): RelayMessage | undefined {
  try {
    const { kind, span } = JSON.parse(text) as Record<string, unknown>;
    if (kind === "stopping") return { kind };
    return kind === "backoff" ? { kind, span: expectNumber(span) } : undefined;
  } catch {
    return undefined;
  }
}

/** Returns the path at which a peer relays to an upstream. */
export function relayPathOf(upstream: string): string {
  return `${RELAY_PATH}?upstream=${encodeURIComponent(upstream)}`;
}
