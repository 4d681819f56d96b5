import type { BundleVersion, Digest, HostId } from "@wasabivane/common";
import type {
  BundleIdentity,
  ConfigurationNotice,
  RecentRead,
} from "./configurationGossip.ts";
import {
  listOf,
  numberOf,
  objectOf,
  oneOf,
  optional,
  textOf,
} from "./messageShapes.ts";
import { defineMessage, type MessageKind } from "./peerMessages.ts";

/** Characters of a document per message. */
export const CHUNK_CHARACTERS = 32 * 1024;
/**
 * Maximum number of chunks of a document; a bundle has at most one megabyte.
 */
export const MAX_CHUNKS = 64;

/** Kind of a document that peers send as chunks of JSON text. */
export type DocumentKind = "bundle" | "difference" | "host-list";

/** Requests one chunk of a document. */
export interface DocumentRequest {
  readonly document: DocumentKind;
  readonly version: number;
  /** Root of the requested bundle; empty for a host list. */
  readonly root: string;
  /** Root of the bundle that a difference applies to. */
  readonly fromRoot?: string;
  readonly index: number;
}

/** One chunk of a document; `count` is 0 if the sender does not have it. */
export interface DocumentChunk extends DocumentRequest {
  readonly count: number;
  readonly text: string;
}

const isMark = objectOf({
  version: numberOf<BundleVersion>(),
  root: textOf<Digest>(64),
});
const isRead = objectOf({ host: textOf<HostId>(), ageMs: numberOf() });
const isDocument = oneOf<DocumentKind>("bundle", "difference", "host-list");

/** See {@link ConfigurationNotice}. */
export const CONFIGURATION_NOTICE: MessageKind<ConfigurationNotice> =
  defineMessage<ConfigurationNotice>(
    "configuration-notice",
    objectOf({
      inForce: optional<BundleIdentity>(isMark),
      hostListVersion: numberOf<number>(),
      reads: listOf<RecentRead>(isRead, 8),
    }),
  );

/** See {@link DocumentRequest}. */
export const DOCUMENT_REQUEST: MessageKind<DocumentRequest> = defineMessage<
  DocumentRequest
>(
  "document-request",
  objectOf({
    document: isDocument,
    version: numberOf<number>(),
    root: textOf<string>(64),
    fromRoot: optional(textOf<string>(64)),
    index: numberOf<number>(),
  }),
);

/** See {@link DocumentChunk}. */
export const DOCUMENT_CHUNK: MessageKind<DocumentChunk> = defineMessage<
  DocumentChunk
>(
  "document-chunk",
  objectOf({
    document: isDocument,
    version: numberOf<number>(),
    root: textOf<string>(64),
    fromRoot: optional(textOf<string>(64)),
    index: numberOf<number>(),
    count: numberOf<number>(),
    text: textOf<string>(CHUNK_CHARACTERS),
  }),
);
