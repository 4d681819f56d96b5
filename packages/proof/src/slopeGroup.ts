import type { SlopeDefinition, SlopePoint } from "./slope.ts";
import { TARGET } from "./slopeTarget.ts";

type Points<Name extends string> = Record<Name, readonly SlopePoint[]>;

/** Slopes that are measured in one run. */
export interface SlopeGroup {
  readonly definitions: readonly SlopeDefinition[];
  measure(): Promise<Points<string>>;
}

/** Creates a group from slope definitions by name and their measurement. */
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

/** Fleet size from which heartbeats go to a subset of hosts. */
const PARTIAL_MESH_HOSTS = 32;

/** Scaling by fleet size. */
export const PER_HOST = {
  per: "hosts of the fleet",
  targetX: TARGET.hosts,
  fromX: PARTIAL_MESH_HOSTS,
} as const;
/** Scaling by the number of upstreams. */
export const PER_UPSTREAM = {
  per: "upstreams",
  targetX: TARGET.upstreams,
} as const;
/** Traffic with the control plane's budget. */
export const BYTES_PER_SECOND = {
  unit: "bytes sent per host and second",
  budget: TARGET.controlBytesPerSecond,
  isExact: true,
} as const;
/** Processor time with the control plane's budget. */
export const PROCESSOR_MS = {
  unit: "ms of processor time per host and second",
  budget: TARGET.controlMsPerSecond,
  isExact: false,
} as const;
/** Memory with the control plane's budget. */
export const HEAP_BYTES = {
  unit: "bytes of heap",
  budget: TARGET.controlMemoryBytes,
  isExact: false,
} as const;
