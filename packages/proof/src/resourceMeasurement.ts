import process from "node:process";

const MICROSECONDS_PER_MS = 1_000;

/** Returns the heap size after a forced collection; requires `--expose-gc`. */
export function heapBytes(): number {
  if (globalThis.gc === undefined) {
    throw new Error(
      "Garbage collection is not exposed: run node with --expose-gc",
    );
  }
  for (let pass = 0; pass < 3; pass++) globalThis.gc();
  const { heapUsed, arrayBuffers } = process.memoryUsage();
  return heapUsed + arrayBuffers;
}

/** Returns the heap bytes retained by the value that `build` returns. */
export function retainedBytes(build: () => unknown): number {
  const before = heapBytes();
  const retained = [build()];
  const after = heapBytes();
  retained.pop();
  return after - before;
}

/** Returns the processor time of this process since `start`. */
export function processorMsSince(start: NodeJS.CpuUsage): number {
  const { user, system } = process.cpuUsage(start);
  return (user + system) / MICROSECONDS_PER_MS;
}

/** Returns the minimum processor time of a call over several rounds. */
export function minimumProcessorMs(
  call: () => void,
  { rounds = 5 }: { rounds?: number } = {},
): number {
  let minimum = Infinity;
  for (let round = 0; round < rounds; round++) {
    const start = process.cpuUsage();
    call();
    minimum = Math.min(minimum, processorMsSince(start));
  }
  return minimum;
}
