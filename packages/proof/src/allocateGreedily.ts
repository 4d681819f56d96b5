/** Work that must be done between two slots of time, both included. */
export interface WindowedJob {
  readonly work: number;
  readonly release: number;
  readonly due: number;
}

/**
 * Gives each job in turn as much work as still fits beside those before it. The
 * sets of work that one preemptive machine can do between releases and due
 * times form a polymatroid, so that this greedy order is the optimum. A set of
 * jobs fits when each span of slots has room for the jobs that lie within it.
 */
export function allocateGreedily(
  jobs: readonly WindowedJob[],
  capacity: Float64Array,
): number[] {
  const slots = capacity.length;
  const slack = spanCapacities(capacity);
  return jobs.map(({ work, release, due }) => {
    let room = work;
    for (let start = 0; start <= release; start++) {
      for (let end = due; end < slots; end++) {
        const left = slack[start * slots + end]!;
        if (left < room) room = left;
      }
    }
    if (room <= 0) return 0;
    for (let start = 0; start <= release; start++) {
      for (let end = due; end < slots; end++) {
        slack[start * slots + end]! -= room;
      }
    }
    return room / work;
  });
}

function spanCapacities(capacity: Float64Array): Float64Array {
  const slots = capacity.length;
  const spans = new Float64Array(slots * slots);
  for (let start = 0; start < slots; start++) {
    let sum = 0;
    for (let end = start; end < slots; end++) {
      sum += capacity[end]!;
      spans[start * slots + end] = sum;
    }
  }
  return spans;
}
