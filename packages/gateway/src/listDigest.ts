import { createHash } from "node:crypto";
import type { Upstream } from "@wasabivane/admission";
import type { UpstreamId } from "@wasabivane/common";
import type { UpstreamListChange } from "./gossipMessage.ts";

/**
 * Tells whether two hosts know the same upstreams at a revision of the list. It
 * covers what the store lists as not leaving.
 */
export interface ListCheck {
  readonly count: number;
  /** Hashes of the upstream ids, combined by XOR; 32 bits, signed. */
  readonly hash: number;
}

/** Options of {@link ListDigest.replace}. */
export interface DigestReplacementOptions {
  /** Names among the upstreams whose entries lapsed. */
  readonly lapsed?: readonly string[];
  /**
   * The sender's check value of a whole list. It is adopted, as the list may lack
   * upstreams that the sender does not use.
   */
  readonly check?: ListCheck | undefined;
}

/** Changes to the upstreams with these names; `undefined` for removed ones. */
type IdChanges = ReadonlyMap<string, UpstreamId | undefined>;

/**
 * Follows the check value of the upstream list through its changes. It does not
 * depend on what hosts learn of upstreams other than by the list.
 */
export class ListDigest {
  readonly #ids = new Map<string, UpstreamId>();
  #check: ListCheck | undefined;

  /** The check value; `undefined` if it is not known. */
  get check(): ListCheck | undefined {
    return this.#check;
  }

  /** Forgets the list; used where it changes by other ways. */
  clear(): void {
    this.#ids.clear();
    this.#check = undefined;
  }

  /** Replaces the whole list. */
  replace(
    upstreams: readonly Upstream[],
    { lapsed = [], check }: DigestReplacementOptions = {},
  ): void {
    this.#ids.clear();
    this.#check = { count: 0, hash: 0 };
    this.#apply(idChanges({ upstreams, removed: lapsed }));
    this.#check = check ?? this.#check;
  }

  /** Applies a change of the list. */
  apply(
    change: Pick<UpstreamListChange, "upstreams" | "removed">,
  ): void {
    this.#apply(idChanges(change));
  }

  /** Whether a change leads to a check value, as far as this host can tell. */
  leadsTo(
    check: ListCheck,
    { change, lapsed }: {
      change: UpstreamListChange;
      lapsed: readonly string[];
    },
  ): boolean {
    const after = this.#checkAfter(idChanges(change, lapsed));
    if (after === undefined) return true;
    return after.count === check.count && after.hash === check.hash;
  }

  #apply(changes: IdChanges): void {
    this.#check = this.#checkAfter(changes);
    if (this.#check === undefined) return;
    for (const [name, id] of changes) {
      if (id === undefined) this.#ids.delete(name);
      else this.#ids.set(name, id);
    }
  }

  #checkAfter(changes: IdChanges): ListCheck | undefined {
    if (this.#check === undefined) return undefined;
    let { count, hash } = this.#check;
    for (const [name, id] of changes) {
      const former = this.#ids.get(name);
      if (former === id) continue;
      if (former !== undefined) {
        count--;
        hash ^= hashId(former);
      }
      if (id !== undefined) {
        count++;
        hash ^= hashId(id);
      }
    }
    return { count, hash };
  }
}

function idChanges(
  { upstreams, removed }: Pick<UpstreamListChange, "upstreams" | "removed">,
  lapsed: readonly string[] = [],
): IdChanges {
  const changes = new Map<string, UpstreamId | undefined>();
  for (const { name, upstream, isLeaving } of upstreams) {
    changes.set(name, isLeaving ? undefined : upstream);
  }
  for (const name of [...removed, ...lapsed]) changes.set(name, undefined);
  return changes;
}

function hashId(id: UpstreamId): number {
  return createHash("sha256").update(id).digest().readInt32BE();
}
