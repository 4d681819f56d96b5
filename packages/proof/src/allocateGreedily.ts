/** Work to be done between two time steps, both inclusive. */
export interface WindowedJob {
  readonly work: number;
  readonly release: number;
  readonly due: number;
}

/**
 * Allocates capacity to each job in order and returns the share of its work
 * that fits beside the earlier jobs. Jobs fit if every interval of time steps
 * has capacity for the jobs within it. The feasible work of a preemptive machine
 * forms a polymatroid, so the greedy allocation is optimal for the given order.
 */
export function allocateGreedily(
  jobs: readonly WindowedJob[],
  capacity: Float64Array,
): number[] {
  const steps = capacity.length;
  const slack = intervalCapacities(capacity);
  return jobs.map(({ work, release, due }) => {
    let allocated = work;
    for (let start = 0; start <= release; start++) {
      for (let end = due; end < steps; end++) {
        const available = slack[start * steps + end]!;
        if (available < allocated) allocated = available;
      }
    }
    if (allocated <= 0) return 0;
    for (let start = 0; start <= release; start++) {
      for (let end = due; end < steps; end++) {
        slack[start * steps + end]! -= allocated;
      }
    }
    return allocated / work;
  });
}

function intervalCapacities(capacity: Float64Array): Float64Array {
  const steps = capacity.length;
  const intervals = new Float64Array(steps * steps);
  for (let start = 0; start < steps; start++) {
    let sum = 0;
    for (let end = start; end < steps; end++) {
      sum += capacity[end]!;
      intervals[start * steps + end] = sum;
    }
  }
  return intervals;
}
