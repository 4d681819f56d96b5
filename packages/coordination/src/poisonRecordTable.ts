import type {
  Digest,
  Milliseconds,
  ServiceId,
  UpstreamId,
} from "@wasabivane/common";

/**
 * Maximum number of entries in a {@link PoisonRecordTable}; those that expire
 * first are dropped.
 */
export const MAX_POISON_RECORDS = 4_096;
/**
 * Minimum extension that counts as an update. Each hop adds transit time to the
 * remaining time, so entries forwarded in a cycle would otherwise never expire.
 */
const MIN_EXTENSION_MS: Milliseconds = 2_000;

/**
 * Precedence of the kinds; a higher one replaces a lower one until it expires.
 */
const PRECEDENCE = {
  suspect: 0,
  cleared: 1,
  convicted: 2,
  ejected: 3,
} as const;

/**
 * Records that a request's content is suspected of crashing upstreams, or that
 * an upstream of a service is ejected.
 */
export interface SharedPoisonRecord {
  readonly service: ServiceId;
  /** Fingerprint of the request, or the ejected upstream. */
  readonly subject: Digest | UpstreamId;
  readonly kind: keyof typeof PRECEDENCE;
  /**
   * Time until it expires; sent as a duration because clocks of hosts differ.
   */
  readonly remainingMs: Milliseconds;
}

interface Entry extends Omit<SharedPoisonRecord, "remainingMs"> {
  readonly expiresAt: Milliseconds;
}

/**
 * Stores the merged records of all hosts until they expire. Merging is
 * idempotent and independent of order.
 */
export class PoisonRecordTable {
  readonly #maximum: number;
  readonly #entries = new Map<string, Entry>();

  constructor({ maximum = MAX_POISON_RECORDS }: { maximum?: number } = {}) {
    this.#maximum = maximum;
  }

  get size(): number {
    return this.#entries.size;
  }

  /** Merges records and returns those that changed the table. */
  merge(
    records: readonly SharedPoisonRecord[],
    now: Milliseconds,
  ): SharedPoisonRecord[] {
    const updates = records.filter((record) => this.#add(record, now));
    this.#enforceLimit();
    return updates;
  }

  /** Returns the unexpired entries. */
  entries(now: Milliseconds): SharedPoisonRecord[] {
    this.#removeExpired(now);
    return [...this.#entries.values()].map(({ expiresAt, ...entry }) => ({
      ...entry,
      remainingMs: expiresAt - now,
    }));
  }

  /** Returns a checksum that does not depend on the order of insertion. */
  checksum(now: Milliseconds): number {
    this.#removeExpired(now);
    let sum = 0;
    for (const [key, { kind }] of this.#entries) {
      sum = (sum + hashOf(`${key} ${kind}`)) >>> 0;
    }
    return sum;
  }

  #add(record: SharedPoisonRecord, now: Milliseconds): boolean {
    const { remainingMs, ...rest } = record;
    if (!(remainingMs > 0)) return false;
    const entry = { ...rest, expiresAt: now + remainingMs };
    const key = keyOf(entry);
    const known = this.#entries.get(key);
    const isKnown = known !== undefined && known.expiresAt > now;
    if (isKnown && !isUpdate(entry, known)) return false;
    this.#entries.set(key, entry);
    return true;
  }

  #removeExpired(now: Milliseconds): void {
    for (const [key, { expiresAt }] of this.#entries) {
      if (expiresAt <= now) this.#entries.delete(key);
    }
  }

  #enforceLimit(): void {
    const excess = this.#entries.size - this.#maximum;
    if (excess <= 0) return;
    const byExpiry = [...this.#entries].sort(([, left], [, right]) =>
      left.expiresAt - right.expiresAt
    );
    for (const [key] of byExpiry.slice(0, excess)) this.#entries.delete(key);
  }
}

function isUpdate(entry: Entry, known: Entry): boolean {
  const difference = PRECEDENCE[entry.kind] - PRECEDENCE[known.kind];
  if (difference !== 0) return difference > 0;
  return entry.expiresAt > known.expiresAt + MIN_EXTENSION_MS;
}

function keyOf({ service, subject, kind }: Entry): string {
  return `${kind === "ejected" ? "upstream" : "request"} ${service} ${subject}`;
}

function hashOf(text: string): number {
  let hash = 0x811c9dc5;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193);
  }
  return hash >>> 0;
}
