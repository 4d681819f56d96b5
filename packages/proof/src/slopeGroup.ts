import type { SlopeDefinition, SlopePoint } from "./slope.ts";
import { TARGET } from "./slopeTarget.ts";

type Points<Name extends string> = Record<Name, readonly SlopePoint[]>;

/** Slopes that one run measures together. */
export interface SlopeGroup {
  readonly definitions: readonly SlopeDefinition[];
  measure(): Promise<Points<string>>;
}

/** Joins definitions by name with the run that measures them. */
export function defineSlopeGroup<Name extends string>(
  definitions: Readonly<Record<Name, Omit<SlopeDefinition, "name">>>,
  measure: () => Promise<Points<Name>> | Points<Name>,
): SlopeGroup {
  return {
    definitions: Object.entries<Omit<SlopeDefinition, "name">>(definitions)
      .map(([name, definition]) => ({ name, ...definition })),
    measure: async () => await measure(),
  };
}

/** From so many hosts on, heartbeats go to a subset. */
const SUBSET_HOSTS = 32;

/** Measured over fleets of growing size. */
export const PER_HOST = {
  per: "hosts of the fleet",
  targetX: TARGET.hosts,
  fromX: SUBSET_HOSTS,
} as const;
/** Measured over growing numbers of upstreams. */
export const PER_UPSTREAM = {
  per: "upstreams",
  targetX: TARGET.upstreams,
} as const;
/** Counts against the bytes that control may send. */
export const BYTES_PER_SECOND = {
  unit: "bytes sent per host and second",
  budget: TARGET.controlBytesPerSecond,
  isExact: true,
} as const;
/** Counts against the processor time of control. */
export const PROCESSOR_MS = {
  unit: "ms of processor time per host and second",
  budget: TARGET.controlMsPerSecond,
  isExact: false,
} as const;
/** Counts against the memory of control. */
export const HEAP_BYTES = {
  unit: "bytes of heap",
  budget: TARGET.controlMemoryBytes,
  isExact: false,
} as const;
