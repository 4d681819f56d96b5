import type { Random } from "@wasabivane/common";
import type { UpstreamState } from "./upstreamState.ts";

/** Maximum size of a sample, unless there are more groups. */
const MAXIMUM_SAMPLE = 9;
/** Number of bits in the group mask; additional groups share bits. */
const GROUP_MASK_BITS = 30;

/**
 * Holds the upstreams with a free slot, grouped by generation and pace tier. A
 * decision considers a sample with upstreams of each group, so that its cost
 * does not grow with the pool and a small group of fast upstreams is not
 * missed.
 */
export class FreeUpstreams {
  readonly #groups = new Map<string, UpstreamState[]>();
  readonly #groupBits = new Map<string, number>();
  readonly #positions = new Map<
    UpstreamState,
    { group: string; index: number }
  >();
  #groupMask = 0;

  get size(): number {
    return this.#positions.size;
  }

  /** Returns a bit mask of the groups that have a free upstream. */
  get groupMask(): number {
    return this.#groupMask;
  }

  has(state: UpstreamState): boolean {
    return this.#positions.has(state);
  }

  add(state: UpstreamState): void {
    const group = groupOf(state);
    const position = this.#positions.get(state);
    if (position?.group === group) return;
    if (position !== undefined) this.remove(state);
    const states = this.#groups.get(group) ?? [];
    this.#groups.set(group, states);
    this.#positions.set(state, { group, index: states.length });
    states.push(state);
    this.#groupMask |= this.#groupBitOf(group);
  }

  remove(state: UpstreamState): void {
    const position = this.#positions.get(state);
    if (position === undefined) return;
    this.#positions.delete(state);
    const { group, index } = position;
    const states = this.#groups.get(group)!;
    const last = states.pop()!;
    if (states.length === 0) this.#groupMask &= ~this.#groupBitOf(group);
    if (last === state) return;
    states[index] = last;
    this.#positions.get(last)!.index = index;
  }

  #groupBitOf(group: string): number {
    const existing = this.#groupBits.get(group);
    if (existing !== undefined) return existing;
    const bit = 1 << (this.#groupBits.size % GROUP_MASK_BITS);
    this.#groupBits.set(group, bit);
    return bit;
  }

  /**
   * Returns all free upstreams, or a random sample with some of each group; a
   * sample may contain an upstream more than once.
   */
  sample(random: Random): UpstreamState[] {
    if (this.size <= MAXIMUM_SAMPLE) return [...this.#positions.keys()];
    const groups = [...this.#groups.values()]
      .filter(({ length }) => length > 0);
    const perGroup = Math.max(1, Math.floor(MAXIMUM_SAMPLE / groups.length));
    return groups.flatMap((states) =>
      states.length <= perGroup
        ? states
        : Array.from({ length: perGroup }, () => random.pick(states))
    );
  }
}

function groupOf({ description, paceTier }: UpstreamState): string {
  return `${description.generation}/${paceTier ?? ""}`;
}
