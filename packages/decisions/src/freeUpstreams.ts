import type { Random } from "@wasabivane/common";
import type { UpstreamState } from "./upstreamState.ts";

/** Up to so many free upstreams are all looked at; of more, a sample. */
const MAXIMUM_CANDIDATES = 9;
/** More generations than these share bits, which only costs a few more looks. */
const KIND_BITS = 30;

/**
 * The upstreams that may take one more request, by generation. Answers the load
 * pattern of a pool of thousands: a decision looks at a sample that holds some
 * of each generation, so its cost does not grow with the pool. Without the split
 * by generation a few fast upstreams among many slow ones would be missed.
 */
export class FreeUpstreams {
  readonly #generations = new Map<string, UpstreamState[]>();
  readonly #bits = new Map<string, number>();
  #kinds = 0;
  readonly #places = new Map<UpstreamState, number>();

  get size(): number {
    return this.#places.size;
  }

  /** The generations that have a free upstream, one bit each. */
  get kinds(): number {
    return this.#kinds;
  }

  has(state: UpstreamState): boolean {
    return this.#places.has(state);
  }

  add(state: UpstreamState): void {
    if (this.#places.has(state)) return;
    const { generation } = state.description;
    const states = this.#generations.get(generation) ?? [];
    this.#generations.set(generation, states);
    this.#places.set(state, states.length);
    states.push(state);
    this.#kinds |= this.#bitOf(generation);
  }

  remove(state: UpstreamState): void {
    const place = this.#places.get(state);
    if (place === undefined) return;
    this.#places.delete(state);
    const { generation } = state.description;
    const states = this.#generations.get(generation)!;
    const last = states.pop()!;
    if (states.length === 0) this.#kinds &= ~this.#bitOf(generation);
    if (last === state) return;
    states[place] = last;
    this.#places.set(last, place);
  }

  #bitOf(generation: string): number {
    const known = this.#bits.get(generation);
    if (known !== undefined) return known;
    const added = 1 << (this.#bits.size % KIND_BITS);
    this.#bits.set(generation, added);
    return added;
  }

  /** All free upstreams, or a sample with some of each generation. */
  sample(random: Random): UpstreamState[] {
    if (this.size <= MAXIMUM_CANDIDATES) return [...this.#places.keys()];
    const lists = [...this.#generations.values()]
      .filter(({ length }) => length > 0);
    const share = Math.max(1, Math.floor(MAXIMUM_CANDIDATES / lists.length));
    return lists.flatMap((states) =>
      states.length <= share
        ? states
        : Array.from({ length: share }, () => random.pick(states))
    );
  }
}
