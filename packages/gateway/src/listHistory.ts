import type {
  LapsedUpstream,
  Upstream,
  UpstreamDirectory,
} from "@wasabivane/admission";
import type { Milliseconds } from "@wasabivane/common";
import type { UpstreamListChange } from "./gossipMessage.ts";
import { eraOf } from "./storeRevision.ts";

/** Bounds the memory of the history and the length of a difference. */
const MAXIMUM_CHANGED_UPSTREAMS = 1_024;

/** The last change of the upstreams with one name. */
interface LatestChange {
  readonly revision: number;
  /** `undefined` if the store no longer lists the name. */
  readonly upstream: Upstream | undefined;
}

/** What changed since an earlier revision of the upstream list. */
export interface ListDifference {
  readonly change: UpstreamListChange;
  /** Changed upstreams whose entries lapsed, and which are still used. */
  readonly kept: readonly LapsedUpstream[];
}

/** Options of {@link ListHistory.difference}. */
export interface DifferenceOptions {
  /** Revision that the requesting host has; 0 for no list. */
  readonly from: number;
  /** Revision of this host's list. */
  readonly to: number;
  readonly directory: UpstreamDirectory;
  readonly now: Milliseconds;
}

/**
 * Remembers which upstreams changed at which revision, so that a peer with an
 * older list can be sent the difference. Only the last change of each name is
 * kept, and the oldest ones are dropped.
 */
export class ListHistory {
  /** Lowest revision that the history reaches back to. */
  #floor = Infinity;
  /** The last change of each name; ordered by revision. */
  readonly #changes = new Map<string, LatestChange>();

  /** Forgets all changes up to a revision, where the whole list was replaced. */
  restart(revision: number): void {
    this.#changes.clear();
    this.#floor = revision;
  }

  /** Adds a change of a list that is at revision `known`; 0 for no list. */
  record(
    { from, to, upstreams, removed }: UpstreamListChange,
    known: number,
  ): void {
    const isContinuous = known > 0 && from <= known &&
      eraOf(to) === eraOf(known);
    if (!isContinuous) return this.restart(to);
    for (const name of removed) this.#add(name, { revision: to });
    for (const upstream of upstreams) {
      this.#add(upstream.name, { revision: to, upstream });
    }
    this.#dropOldest(to);
  }

  /**
   * Adds upstreams to all differences; used where peers that know the current
   * revision may not use them yet.
   */
  addToAll(upstreams: readonly Upstream[]): void {
    for (const upstream of upstreams) {
      this.#add(upstream.name, { revision: Infinity, upstream });
    }
  }

  /**
   * Returns what changed between two revisions, with the entries as in the
   * directory; `undefined` if the history does not reach back far enough.
   */
  difference(
    { from, to, directory, now }: DifferenceOptions,
  ): ListDifference | undefined {
    const isCovered = from > 0 && from >= this.#floor &&
      eraOf(from) === eraOf(to);
    if (!isCovered) return undefined;
    const upstreams: Upstream[] = [];
    const removed: string[] = [];
    const names = new Set<string>();
    for (const [name, { revision, upstream }] of this.#changes) {
      // A peer may use what this host holds back; its expiry is another change.
      if (revision <= from || directory.isHeldBack(name)) continue;
      names.add(name);
      const current = directory.findByName(name) ?? leavingOnly(upstream);
      if (current === undefined) removed.push(name);
      else upstreams.push(current);
    }
    const evacuated = [...directory.listedEvacuations];
    return {
      change: { from, to, upstreams, removed, evacuated },
      kept: directory.lapsed(now).filter(({ name }) => names.has(name)),
    };
  }

  #add(
    name: string,
    { revision, upstream }: { revision: number; upstream?: Upstream },
  ): void {
    this.#changes.delete(name);
    this.#changes.set(name, { revision, upstream });
  }

  #dropOldest(latest: number): void {
    for (const [name, { revision }] of this.#changes) {
      if (this.#changes.size <= MAXIMUM_CHANGED_UPSTREAMS) return;
      this.#changes.delete(name);
      this.#floor = Math.max(this.#floor, Math.min(revision, latest));
    }
  }
}

/** An upstream that leaves is not in the directory, but its entry tells so. */
function leavingOnly(upstream: Upstream | undefined): Upstream | undefined {
  return upstream?.isLeaving ? upstream : undefined;
}

/** A whole list that replaces the upstreams of a former one. */
export interface Replacement {
  readonly from: number;
  readonly to: number;
  readonly upstreams: readonly Upstream[];
  /** Upstreams of the list whose entries lapsed. */
  readonly kept: readonly LapsedUpstream[];
}

/**
 * Returns the change that a whole list makes; its `removed` has lapsed upstreams,
 * too.
 */
export function changeBetween(
  former: readonly Upstream[],
  { from, to, upstreams, kept }: Replacement,
): UpstreamListChange {
  const removed = new Map(former.map((upstream) => [upstream.name, upstream]));
  const changed = upstreams.filter((upstream) => {
    const known = removed.get(upstream.name);
    removed.delete(upstream.name);
    return known === undefined || !isSame(known, upstream);
  });
  const lapsed = kept.map(({ name }) => name);
  return {
    from,
    to,
    upstreams: changed,
    removed: [...removed.keys(), ...lapsed],
  };
}

function isSame(left: Upstream, right: Upstream): boolean {
  const keys = Object.keys(left) as (keyof Upstream)[];
  return keys.every((key) => left[key] === right[key]);
}
