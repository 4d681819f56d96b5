import type { HostId, Random } from "@wasabivane/common";

/** What the index of a {@link PeerIndex} goes by. */
export interface IndexedPeer {
  readonly isLost: boolean;
  readonly isLeaving: boolean;
  readonly isStoreReachable: boolean;
  /** Sort key in the order of store readers. */
  readonly readerWeight: string;
}

/** The peers by state; valid until one of them changes its state. */
export interface PeerIndex<Peer> {
  readonly alive: readonly (readonly [HostId, Peer])[];
  readonly lost: readonly Peer[];
  /** Number of live peers that can read the store. */
  readonly storeReaders: number;
  /** Those of them that do not stop, the first to read first. */
  readonly orderedReaders: readonly HostId[];
  /** Number of those that precede this host and do not stop. */
  readonly precedingReaders: number;
}

/** Indexes the peers of a host with a sort key. */
export function createPeerIndex<Peer extends IndexedPeer>(
  peers: ReadonlyMap<HostId, Peer>,
  readerWeight: string,
): PeerIndex<Peer> {
  const entries = [...peers];
  const alive = entries.filter(([, { isLost }]) => !isLost);
  const readers = alive.filter(([, { isStoreReachable }]) => isStoreReachable);
  const staying = readers.filter(([, { isLeaving }]) => !isLeaving);
  const preceding = staying.filter(([, peer]) =>
    peer.readerWeight > readerWeight
  );
  const ordered = staying.toSorted(([, left], [, right]) =>
    left.readerWeight < right.readerWeight ? 1 : -1
  );
  return {
    alive,
    lost: entries.flatMap(([, peer]) => peer.isLost ? [peer] : []),
    storeReaders: readers.length,
    orderedReaders: ordered.map(([host]) => host),
    precedingReaders: preceding.length,
  };
}

/** Draws up to `count` random items without copying all of them. */
export function drawDistinct<Item>(
  items: readonly Item[],
  { count, random }: { count: number; random: Random },
): Item[] {
  /** Items that stand at other places than their own, as in a shuffle. */
  const moved = new Map<number, Item>();
  const drawn: Item[] = [];
  for (let left = items.length; left > 0 && drawn.length < count; left--) {
    const at = Math.floor(random.float() * left);
    drawn.push(moved.get(at) ?? items[at]!);
    moved.set(at, moved.get(left - 1) ?? items[left - 1]!);
  }
  return drawn;
}
