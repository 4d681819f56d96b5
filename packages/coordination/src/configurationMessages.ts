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

/** Characters of a document that one message carries. */
export const CHUNK_CHARACTERS = 32 * 1024;
/** Chunks of the largest document; a bundle is at most a megabyte. */
export const MAX_CHUNKS = 64;

/** What peers fetch from each other, as JSON text in chunks. */
export type DocumentKind = "bundle" | "difference" | "host-list";

/** Asks for one chunk of a document. */
export interface DocumentRequest {
  readonly document: DocumentKind;
  readonly version: number;
  /** Root of the wanted bundle; empty for a host list. */
  readonly root: string;
  /** Root of the bundle that a difference starts from. */
  readonly fromRoot?: string;
  readonly index: number;
}

/** One chunk of a document; no text when the sender does not have it. */
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

/** Tells a peer which version is in force here. */
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
