import process from "node:process";

const MICROSECONDS = 1_000;

/** Bytes on the heap after a forced collection; needs `--expose-gc`. */
export function heapBytes(): number {
  if (globalThis.gc === undefined) {
    throw new Error("Start node with --expose-gc");
  }
  for (let pass = 0; pass < 3; pass++) globalThis.gc();
  const { heapUsed, arrayBuffers } = process.memoryUsage();
  return heapUsed + arrayBuffers;
}

/** Heap that stays as long as what `build` returns lives. */
export function retainedBytes(build: () => unknown): number {
  const before = heapBytes();
  const kept = [build()];
  const after = heapBytes();
  kept.pop();
  return after - before;
}

/** Milliseconds of processor time of this process since a reading. */
export function processorMsSince(start: NodeJS.CpuUsage): number {
  const { user, system } = process.cpuUsage(start);
  return (user + system) / MICROSECONDS;
}

/** Processor time of one call in milliseconds: the least of several, which other load disturbs least. */
export function minimumProcessorMs(
  call: () => void,
  { rounds = 5 }: { rounds?: number } = {},
): number {
  let least = Infinity;
  for (let round = 0; round < rounds; round++) {
    const start = process.cpuUsage();
    call();
    least = Math.min(least, processorMsSince(start));
  }
  return least;
}
