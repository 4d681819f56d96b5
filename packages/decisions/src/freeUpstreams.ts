import type { Random } from "@wasabivane/common";
import type { UpstreamState } from "./upstreamState.ts";

/** Up to so many free upstreams are all looked at; of more, a sample. */
const MAXIMUM_CANDIDATES = 9;
/** More kinds than these share bits, which only costs a few more looks. */
const KIND_BITS = 30;

/**
 * The upstreams that may take one more request, by kind: generation and the tier
 * whose pace they keep. Answers the load pattern of a pool of thousands: a
 * decision looks at a sample that holds some of each kind, so its cost does not
 * grow with the pool. Without the kinds a few fast upstreams among many slow ones
 * would be missed, and a request that found no place at one kind would not be
 * looked at when another becomes free.
 */
export class FreeUpstreams {
  readonly #kindsHeld = new Map<string, UpstreamState[]>();
  readonly #bits = new Map<string, number>();
  readonly #places = new Map<UpstreamState, { kind: string; index: number }>();
  #kinds = 0;

  get size(): number {
    return this.#places.size;
  }

  /** The kinds that have a free upstream, one bit each. */
  get groupMask(): number {
    return this.#kinds;
  }

  has(state: UpstreamState): boolean {
    return this.#places.has(state);
  }

  add(state: UpstreamState): void {
    const kind = kindOf(state);
    const place = this.#places.get(state);
    if (place?.kind === kind) return;
    if (place !== undefined) this.remove(state);
    const states = this.#kindsHeld.get(kind) ?? [];
    this.#kindsHeld.set(kind, states);
    this.#places.set(state, { kind, index: states.length });
    states.push(state);
    this.#kinds |= this.#bitOf(kind);
  }

  remove(state: UpstreamState): void {
    const place = this.#places.get(state);
    if (place === undefined) return;
    this.#places.delete(state);
    const { kind, index } = place;
    const states = this.#kindsHeld.get(kind)!;
    const last = states.pop()!;
    if (states.length === 0) this.#kinds &= ~this.#bitOf(kind);
    if (last === state) return;
    states[index] = last;
    this.#places.get(last)!.index = index;
  }

  #bitOf(kind: string): number {
    const known = this.#bits.get(kind);
    if (known !== undefined) return known;
    const added = 1 << (this.#bits.size % KIND_BITS);
    this.#bits.set(kind, added);
    return added;
  }

  /** All free upstreams, or a sample with some of each kind. */
  sample(random: Random): UpstreamState[] {
    if (this.size <= MAXIMUM_CANDIDATES) return [...this.#places.keys()];
    const lists = [...this.#kindsHeld.values()]
      .filter(({ length }) => length > 0);
    const share = Math.max(1, Math.floor(MAXIMUM_CANDIDATES / lists.length));
    return lists.flatMap((states) =>
      states.length <= share
        ? states
        : Array.from({ length: share }, () => random.pick(states))
    );
  }
}

function kindOf({ description, paceTier }: UpstreamState): string {
  return `${description.generation}/${paceTier ?? ""}`;
}
