import type { RequestId } from "@wasabivane/common";
import {
  isBoolean,
  isBytes,
  listOf,
  numberOf,
  objectOf,
  optional,
  type Shape,
  textOf,
} from "./messageShapes.ts";
import { defineMessage, type MessageKind } from "./peerMessages.ts";

/** Maximum number of parts in one message. */
const MAX_PARTS = 1_024;
const MAX_HEADERS = 32;

const isHeader = objectOf({ name: textOf<string>(), value: textOf<string>() });

/**
 * Requests a response from the owner of its request, starting at a position.
 */
export interface ResponseReadRequest {
  readonly request: RequestId;
  /** Number of the read; the reply repeats it. */
  readonly read: number;
  /** Steps already received; the response head and each part count as one. */
  readonly position: number;
}

/** Part of a response, sent in reply to a {@link ResponseReadRequest}. */
export interface ResponseChunk {
  readonly request: RequestId;
  readonly read: number;
  readonly position: number;
  /** False if the owner no longer holds the start of the response. */
  readonly isKept: boolean;
  readonly status?: number | undefined;
  readonly headers?:
    | readonly { readonly name: string; readonly value: string }[]
    | undefined;
  readonly parts: readonly Uint8Array[];
  /** How the response ended, as JSON. */
  readonly end?: string | undefined;
}

/** See {@link ResponseReadRequest}. */
export const RESPONSE_READ_REQUEST: MessageKind<ResponseReadRequest> =
  defineMessage<ResponseReadRequest>(
    "answer-read",
    objectOf({
      request: textOf<RequestId>(),
      read: numberOf<number>(),
      position: numberOf<number>(),
    }),
  );

const isResponseChunk: Shape<ResponseChunk> = objectOf({
  request: textOf<RequestId>(),
  read: numberOf<number>(),
  position: numberOf<number>(),
  isKept: isBoolean,
  status: optional(numberOf<number>()),
  headers: optional(listOf(isHeader, MAX_HEADERS)),
  parts: listOf(isBytes, MAX_PARTS),
  end: optional(textOf<string>(65_536)),
});

/** See {@link ResponseChunk}. */
export const RESPONSE_CHUNK: MessageKind<ResponseChunk> = defineMessage<
  ResponseChunk
>("answer-piece", isResponseChunk);
