import {
  applyBundleDifference,
  type BundleDifference,
  bundleDifferenceSchema,
  createBundleDifference,
  type HostList,
  type SignedBundle,
  signedBundleSchema,
} from "@wasabivane/bundle";
import type { Digest } from "@wasabivane/common";
import { err, ok, type Result } from "neverthrow";
import {
  CHUNK_CHARACTERS,
  type DocumentChunk,
  type DocumentRequest,
} from "./configurationMessages.ts";
import { isHostList } from "./hostListShape.ts";

/**
 * Number of former bundles kept as a base for differences; hosts with an older
 * one receive the whole bundle.
 */
const MAX_FORMER_BUNDLES = 8;
const MAX_CACHED_TEXTS = 4;

/** Why a fetched document was rejected. */
export type DocumentError =
  | { readonly kind: "malformed" }
  | { readonly kind: "not-applicable" };

/**
 * Holds the documents that this host can send to peers, as chunks of limited
 * size.
 */
export class ConfigurationDocuments {
  readonly #bundles = new Map<Digest, SignedBundle>();
  readonly #texts = new Map<string, string>();
  #newest: SignedBundle | undefined;
  #hostList: HostList | undefined;

  setBundle(signed: SignedBundle): void {
    this.#newest = signed;
    this.#bundles.delete(signed.root);
    this.#bundles.set(signed.root, signed);
    dropOldest(this.#bundles, MAX_FORMER_BUNDLES + 1);
  }

  setHostList(hostList: HostList): void {
    this.#hostList = hostList;
  }

  /**
   * Returns the requested chunk; empty if this host does not have the document.
   */
  chunk(request: DocumentRequest): DocumentChunk {
    const text = this.#textOf(request);
    if (text === undefined) return { ...request, count: 0, text: "" };
    const start = request.index * CHUNK_CHARACTERS;
    return {
      ...request,
      count: Math.ceil(text.length / CHUNK_CHARACTERS),
      text: text.slice(start, start + CHUNK_CHARACTERS),
    };
  }

  /**
   * Parses a fetched bundle; a difference is applied to the newest bundle held
   * here.
   */
  parseBundle(
    request: Pick<DocumentRequest, "document">,
    text: string,
  ): Result<SignedBundle, DocumentError> {
    const value = parseJson(text);
    if (request.document === "bundle") {
      const parsed = signedBundleSchema.safeParse(value);
      return parsed.success ? ok(parsed.data) : err({ kind: "malformed" });
    }
    const parsed = bundleDifferenceSchema.safeParse(value);
    if (!parsed.success) return err({ kind: "malformed" });
    return this.#apply(parsed.data);
  }

  parseHostList(text: string): Result<HostList, DocumentError> {
    const value = parseJson(text);
    return isHostList(value) ? ok(value) : err({ kind: "malformed" });
  }

  #apply(difference: BundleDifference): Result<SignedBundle, DocumentError> {
    if (this.#newest === undefined) return err({ kind: "not-applicable" });
    return applyBundleDifference(this.#newest, difference)
      .mapErr((): DocumentError => ({ kind: "not-applicable" }));
  }

  #textOf(request: DocumentRequest): string | undefined {
    const key =
      `${request.document} ${request.version} ${request.root} ${request.fromRoot}`;
    const known = this.#texts.get(key);
    if (known !== undefined) return known;
    const document = this.#find(request);
    if (document === undefined) return undefined;
    const text = JSON.stringify(document);
    this.#texts.set(key, text);
    dropOldest(this.#texts, MAX_CACHED_TEXTS);
    return text;
  }

  #find(request: DocumentRequest): unknown {
    if (request.document === "host-list") {
      return this.#hostList?.version === request.version
        ? this.#hostList
        : undefined;
    }
    const to = this.#bundles.get(request.root as Digest);
    if (request.document === "bundle" || to === undefined) return to;
    const from = this.#bundles.get(request.fromRoot as Digest);
    if (from === undefined) return undefined;
    return createBundleDifference(from, to).unwrapOr(undefined);
  }
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

function dropOldest<Key>(map: Map<Key, unknown>, maximum: number): void {
  for (const key of map.keys()) {
    if (map.size <= maximum) return;
    map.delete(key);
  }
}
