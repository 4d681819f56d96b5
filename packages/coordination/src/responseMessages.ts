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

/** Most parts in one message. */
const MAX_PARTS = 1_024;
const MAX_HEADERS = 32;

const isHeader = objectOf({ name: textOf<string>(), value: textOf<string>() });

/** Asks the owner of a request for its answer from a position on. */
export interface ResponseReadRequest {
  readonly request: RequestId;
  /** Numbers the reads of one host; the piece repeats it. */
  readonly read: number;
  /** Steps that the reader has: the head counts as one, each part as one. */
  readonly position: number;
}

/** A piece of an answer, in reply to {@link ResponseReadRequest}. */
export interface ResponseChunk {
  readonly request: RequestId;
  readonly read: number;
  readonly position: number;
  /** False when the owner no longer has the answer from its first byte. */
  readonly isKept: boolean;
  readonly status?: number | undefined;
  readonly headers?:
    | readonly { readonly name: string; readonly value: string }[]
    | undefined;
  readonly parts: readonly Uint8Array[];
  /** How the answer ended, as JSON of the owner's release. */
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

const isPiece: Shape<ResponseChunk> = objectOf({
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
>("answer-piece", isPiece);
