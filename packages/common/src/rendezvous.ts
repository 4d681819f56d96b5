import { createHash } from "node:crypto";

/**
 * Orders the candidates by their rendezvous weight for a key, the winner first.
 * Removing a candidate moves only the keys that it had won.
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

/** Weight of a candidate for a key, equal on every host. */
export function rendezvousWeight(key: string, candidate: string): string {
  return createHash("sha256").update(key).update("\0").update(candidate).digest(
    "hex",
  );
}
