/**
 * Revisions of the store as one number that never decreases.
 *
 * A store that comes back from a copy gives revisions out again, in a new era.
 * Hosts order what they know by the era first, so that a list of the new era
 * replaces one of the former era, whichever revision is higher.
 */

/** Exceeds the number of revisions in an era; leaves room for 8,191 eras. */
const REVISIONS_PER_ERA = 2 ** 40;

/** Highest revision that a store may be at. */
export const MAXIMUM_REVISION = REVISIONS_PER_ERA - 1;
/** Highest era whose revisions are exact numbers. */
export const MAXIMUM_ERA = 8_190;

/** A revision of the store, and the era in which it was given out. */
export interface StorePosition {
  /** Increases each time the store comes back from a copy; 0 if unknown. */
  readonly era: number;
  readonly revision: number;
}

/** Joins era and revision; ordered by era, then by revision. */
export function joinRevision({ era, revision }: StorePosition): number {
  return era * REVISIONS_PER_ERA + revision;
}

/** Splits what {@link joinRevision} has joined. */
export function splitRevision(joined: number): StorePosition {
  return {
    era: eraOf(joined),
    revision: joined % REVISIONS_PER_ERA,
  };
}

/** Returns the era of a joined revision; 0 if unknown. */
export function eraOf(joined: number): number {
  return Math.floor(joined / REVISIONS_PER_ERA);
}
