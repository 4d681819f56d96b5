/** Number of distinct weights. */
export const HASH_WEIGHT_COUNT = 2 ** 32;

/**
 * Returns the rendezvous-hashing weight of a candidate for a key (FNV-1a with a
 * final mix); equal on every host.
 */
export function hashWeight(key: string, candidate: string): number {
  let hash = 0x811c9dc5;
  for (const text of [key, candidate]) {
    for (let index = 0; index < text.length; index++) {
      hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193);
    }
  }
  hash = Math.imul(hash ^ (hash >>> 15), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}
