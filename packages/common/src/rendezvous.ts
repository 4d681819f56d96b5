import { createHash } from "node:crypto";

/**
 * Returns the candidates by rendezvous hash for a key, the highest weight
 * first. Removing a candidate moves only the keys for which it was first.
 */
export function rendezvousOrder<Candidate extends string>(
  key: string,
  candidates: readonly Candidate[],
): Candidate[] {
  const weighted = candidates.map((candidate) => ({
    candidate,
    weight: rendezvousWeight(key, candidate),
  }));
  weighted.sort((left, right) =>
    left.weight < right.weight ? 1 : left.weight > right.weight ? -1 : 0
  );
  return weighted.map(({ candidate }) => candidate);
}

/** Returns the weight of a candidate for a key, equal on every host. */
export function rendezvousWeight(key: string, candidate: string): string {
  return createHash("sha256").update(key).update("\0").update(candidate).digest(
    "hex",
  );
}
