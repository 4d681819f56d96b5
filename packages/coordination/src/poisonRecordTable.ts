import type {
  Digest,
  Milliseconds,
  ServiceId,
  UpstreamId,
} from "@wasabivane/common";

/**
 * What the hosts hold against request contents and upstreams, merged.
 *
 * Load pattern: a request that kills its upstream is sent again through another
 * host within a second, and a pool gets a new keeper that has seen nothing.
 * Without it each keeper learns at the price of its own upstreams. Entries are
 * merged so that order, repeats and paths do not matter: the graver or later
 * kind stands. The book is bounded by count; what ends soonest goes first.
 */
export const MAX_POISON_RECORDS = 4_096;
/**
 * Later ends count only by so much. Each hop adds its transit time to the span
 * that is left, and without this an entry passed in circles would never end.
 */
const SLACK_MS: Milliseconds = 2_000;

/** Kinds by rising weight; a conviction stands until it ends. */
const WEIGHT = { suspect: 0, cleared: 1, convicted: 2, ejected: 3 } as const;

/** One thing held against a request content or an upstream of a service. */
export interface SharedPoisonRecord {
  readonly service: ServiceId;
  /** The fingerprint of a request, or the upstream that is ejected. */
  readonly subject: Digest | UpstreamId;
  readonly kind: keyof typeof WEIGHT;
  /** How long it holds on; clocks of hosts differ, spans do not. */
  readonly remainingMs: Milliseconds;
}

interface Entry extends Omit<SharedPoisonRecord, "remainingMs"> {
  readonly endsAt: Milliseconds;
}

/** Keeps suspicions until they end; no timers and no messages. */
export class PoisonRecordTable {
  readonly #maximum: number;
  readonly #entries = new Map<string, Entry>();

  constructor({ maximum = MAX_POISON_RECORDS }: { maximum?: number } = {}) {
    this.#maximum = maximum;
  }

  get size(): number {
    return this.#entries.size;
  }

  /** Takes suspicions in; returns those that were news. */
  merge(
    suspicions: readonly SharedPoisonRecord[],
    now: Milliseconds,
  ): SharedPoisonRecord[] {
    const news = suspicions.filter((suspicion) => this.#take(suspicion, now));
    this.#dropSoonest();
    return news;
  }

  /** Everything that holds now. */
  entries(now: Milliseconds): SharedPoisonRecord[] {
    this.#dropEnded(now);
    return [...this.#entries.values()].map(({ endsAt, ...entry }) => ({
      ...entry,
      remainingMs: endsAt - now,
    }));
  }

  /** Equal for equal books, whatever order they were filled in. */
  checksum(now: Milliseconds): number {
    this.#dropEnded(now);
    let sum = 0;
    for (const [key, { kind }] of this.#entries) {
      sum = (sum + hashOf(`${key} ${kind}`)) >>> 0;
    }
    return sum;
  }

  #take(suspicion: SharedPoisonRecord, now: Milliseconds): boolean {
    const { remainingMs, ...rest } = suspicion;
    if (!(remainingMs > 0)) return false;
    const entry = { ...rest, endsAt: now + remainingMs };
    const key = keyOf(entry);
    const known = this.#entries.get(key);
    const isKnown = known !== undefined && known.endsAt > now;
    if (isKnown && !isNews(entry, known)) return false;
    this.#entries.set(key, entry);
    return true;
  }

  #dropEnded(now: Milliseconds): void {
    for (const [key, { endsAt }] of this.#entries) {
      if (endsAt <= now) this.#entries.delete(key);
    }
  }

  #dropSoonest(): void {
    const excess = this.#entries.size - this.#maximum;
    if (excess <= 0) return;
    const byEnd = [...this.#entries].sort(([, left], [, right]) =>
      left.endsAt - right.endsAt
    );
    for (const [key] of byEnd.slice(0, excess)) this.#entries.delete(key);
  }
}

function isNews(entry: Entry, known: Entry): boolean {
  const difference = WEIGHT[entry.kind] - WEIGHT[known.kind];
  if (difference !== 0) return difference > 0;
  return entry.endsAt > known.endsAt + SLACK_MS;
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
