import {
  fitSlope,
  type Slope,
  type SlopeDefinition,
  type SlopePoint,
} from "./slope.ts";
import { measureBundles } from "./slopeBundle.ts";
import {
  measureConfiguration,
  measureMembership,
  settledMembership,
} from "./slopeFleet.ts";
import { retainedBytes } from "./slopeMeasure.ts";
import { poolProtocol, poolSync } from "./slopePool.ts";
import {
  accountState,
  decisionTime,
  policyTime,
  runningState,
  upstreamState,
  waitingState,
} from "./slopeScheduler.ts";
import { measureStreams } from "./slopeStream.ts";
import {
  CHANGES_PER_SECOND,
  REQUESTS_PER_HOST,
  STREAMS_PER_HOST,
  TARGET,
  TOKENS_PER_HOST,
} from "./slopeTarget.ts";

const HOST_COUNTS = [2, 4, 8, 16, 32, 64, 128, 350];
const STATE_HOST_COUNTS = [32, 64, 128];
/** From so many hosts on, heartbeats go to a subset. */
const SUBSET_HOSTS = 32;
const MILLISECONDS = 1_000;
/** What one process can relay at most: a core less a third for bursts. */
const RELAY_BUDGET_MS = 667;

type Points<Name extends string> = Record<Name, readonly SlopePoint[]>;

/** Slopes that one run measures together. */
interface SlopeGroup {
  readonly definitions: readonly SlopeDefinition[];
  measure(): Promise<Points<string>>;
}

function group<Name extends string>(
  definitions: Readonly<Record<Name, Omit<SlopeDefinition, "name">>>,
  measure: () => Promise<Points<Name>> | Points<Name>,
): SlopeGroup {
  return {
    definitions: Object.entries<Omit<SlopeDefinition, "name">>(definitions)
      .map(([name, definition]) => ({ name, ...definition })),
    measure: async () => await measure(),
  };
}

const perHost = {
  per: "hosts of the fleet",
  targetX: TARGET.hosts,
  fromX: SUBSET_HOSTS,
} as const;
const perUpstream = {
  per: "upstreams",
  targetX: TARGET.upstreams,
} as const;
const bytesPerSecond = {
  unit: "bytes sent per host and second",
  budget: TARGET.controlBytesPerSecond,
  isExact: true,
} as const;
const processor = {
  unit: "ms of processor time per host and second",
  budget: TARGET.controlMsPerSecond,
  isExact: false,
} as const;
const heap = {
  unit: "bytes of heap",
  budget: TARGET.controlMemoryBytes,
  isExact: false,
} as const;

/** Every slope, in groups that are measured one after the other. */
const GROUPS: readonly SlopeGroup[] = [
  group({
    "membership-messages": {
      ...perHost,
      unit: "messages sent per host and second",
      isExact: true,
    },
    "membership-bytes": { ...perHost, ...bytesPerSecond },
    "membership-processor": { ...perHost, ...processor },
  }, () => {
    const costs = HOST_COUNTS.map((size) => ({
      size,
      ...measureMembership(size),
    }));
    return {
      "membership-messages": costs.map((
        { size, messages },
      ) => [size, messages]),
      "membership-bytes": costs.map(({ size, bytes }) => [size, bytes]),
      "membership-processor": costs.map((
        { size, processorMs },
      ) => [size, processorMs]),
    };
  }),
  group({
    "membership-state": { ...heap, ...perHost },
  }, () => ({
    "membership-state": STATE_HOST_COUNTS.map((size): SlopePoint => [
      size,
      retainedBytes(() => settledMembership(size)) / size,
    ]),
  })),
  group({
    "configuration-idle-bytes": { ...perHost, ...bytesPerSecond },
    "configuration-idle-processor": { ...perHost, ...processor },
    "configuration-change-bytes": {
      ...perHost,
      unit: "bytes sent per host and change",
      budget: TARGET.controlBytesPerSecond / CHANGES_PER_SECOND,
      isExact: true,
    },
    "configuration-in-force": {
      ...perHost,
      unit: "ms until a change is in force everywhere",
      budget: TARGET.inForceMs,
      isExact: true,
    },
    "platform-start-reads": {
      ...perHost,
      unit: "platform reads in 8 s when all hosts start at once",
      isExact: true,
    },
  }, async () => {
    const costs = [];
    for (const size of HOST_COUNTS) {
      costs.push({ size, ...await measureConfiguration(size) });
    }
    return {
      "configuration-idle-bytes": costs.map((
        { size, idle },
      ) => [size, idle.bytes]),
      "configuration-idle-processor": costs.map((
        { size, idle },
      ) => [size, idle.processorMs]),
      "configuration-change-bytes": costs.map((
        { size, change },
      ) => [size, change.bytesPerHost]),
      "configuration-in-force": costs.map((
        { size, change },
      ) => [size, change.inForceMs]),
      "platform-start-reads": costs.map((
        { size, start },
      ) => [size, start.reads]),
    };
  }),
  group({
    "bundle-bytes": {
      ...perUpstream,
      unit: "bytes of the signed bundle",
      budget: TARGET.platformValueBytes,
      isExact: true,
    },
    "bundle-compressed-bytes": {
      ...perUpstream,
      unit: "bytes of the signed bundle after gzip",
      budget: TARGET.platformValueBytes,
      isExact: true,
    },
    "bundle-state": { ...heap, ...perUpstream },
    "bundle-verify": {
      ...perUpstream,
      unit: "ms of processor time to parse and verify a whole bundle",
      isExact: false,
    },
    "bundle-difference-bytes": {
      ...perUpstream,
      unit: "bytes of the difference of one change",
      isExact: true,
    },
    "bundle-change": {
      ...perUpstream,
      unit: "ms of processor time to take a change",
      budget: TARGET.controlMsPerSecond / CHANGES_PER_SECOND,
      isExact: false,
    },
  }, () => {
    const costs = measureBundles();
    return {
      "bundle-bytes": costs.bytes,
      "bundle-compressed-bytes": costs.compressedBytes,
      "bundle-state": costs.heapBytes,
      "bundle-verify": costs.verifyMs,
      "bundle-difference-bytes": costs.differenceBytes,
      "bundle-change": costs.changeMs,
    };
  }),
  group({
    "scheduler-upstream-state": { ...heap, ...perUpstream },
    "scheduler-account-state": {
      ...heap,
      per: "client accounts",
      targetX: TARGET.accounts,
    },
    "scheduler-waiting-state": {
      ...heap,
      per: "requests that wait",
      targetX: TARGET.requestsPerSecond,
    },
    "scheduler-running-state": {
      ...heap,
      per: "requests that run",
      targetX: Math.round(STREAMS_PER_HOST),
    },
    "scheduler-decision": {
      ...perUpstream,
      unit: "µs of processor time per request",
      budget: TARGET.controlMsPerSecond * MILLISECONDS / REQUESTS_PER_HOST,
      isExact: false,
    },
    "scheduler-policy": {
      ...perUpstream,
      unit: "ms of processor time per new policy",
      budget: TARGET.controlMsPerSecond / CHANGES_PER_SECOND,
      isExact: false,
    },
  }, () => ({
    "scheduler-upstream-state": upstreamState(),
    "scheduler-account-state": accountState(),
    "scheduler-waiting-state": waitingState(),
    "scheduler-running-state": runningState(),
    "scheduler-decision": decisionTime(),
    "scheduler-policy": policyTime(),
  })),
  group({
    "pool-bytes": {
      ...bytesPerSecond,
      unit: "bytes between a host and a keeper per second",
      per: "requests of the host per second",
      targetX: REQUESTS_PER_HOST,
    },
    "pool-processor": {
      ...processor,
      unit: "ms of processor time of host and keeper per second",
      per: "requests of the host per second",
      targetX: REQUESTS_PER_HOST,
    },
    "pool-sync-bytes": {
      ...bytesPerSecond,
      per: "pools in use",
      targetX: TARGET.models,
    },
  }, () => {
    const { bytes, processorMs } = poolProtocol();
    return {
      "pool-bytes": bytes,
      "pool-processor": processorMs,
      "pool-sync-bytes": poolSync(),
    };
  }),
  group({
    "relay-processor": {
      unit: "ms of processor time of one entry process per second",
      per: "tokens relayed per second",
      targetX: TOKENS_PER_HOST,
      budget: RELAY_BUDGET_MS,
      isExact: false,
    },
    "relay-state": {
      unit: "resident bytes of one entry process",
      per: "open streams",
      targetX: STREAMS_PER_HOST,
      isExact: false,
    },
  }, async () => {
    const { residentBytes, processorMs } = await measureStreams();
    return { "relay-processor": processorMs, "relay-state": residentBytes };
  }),
];

/** Every slope that the tool measures. */
export const SLOPES: readonly SlopeDefinition[] = GROUPS.flatMap((
  { definitions },
) => definitions);

/** Options of {@link measureSlopes}. */
export interface SlopesOptions {
  /** Measures only groups with a slope whose name starts so. */
  readonly prefix?: string;
  readonly onGroup?: (names: readonly string[], seconds: number) => void;
}

/** Measures the slopes, one group after the other. */
export async function measureSlopes(
  { prefix = "", onGroup }: SlopesOptions = {},
): Promise<Slope[]> {
  const slopes: Slope[] = [];
  for (const { definitions, measure } of GROUPS) {
    const names = definitions.map(({ name }) => name);
    if (!names.some((name) => name.startsWith(prefix))) continue;
    const startedAt = performance.now();
    const points = await measure();
    onGroup?.(names, (performance.now() - startedAt) / MILLISECONDS);
    slopes.push(
      ...definitions.map((definition) =>
        fitSlope(definition, points[definition.name]!)
      ),
    );
  }
  return slopes;
}
