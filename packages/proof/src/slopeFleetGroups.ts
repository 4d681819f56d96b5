import {
  BYTES_PER_SECOND,
  defineSlopeGroup,
  HEAP_BYTES,
  PER_HOST,
  PROCESSOR_MS,
  type SlopeGroup,
} from "./slopeGroup.ts";
import type { SlopePoint } from "./slope.ts";
import { measureConfiguration } from "./slopeConfiguration.ts";
import {
  createSettledFleet,
  measureMemberChanges,
  measureMembership,
} from "./slopeFleet.ts";
import { retainedBytes } from "./resourceMeasurement.ts";
import { CHANGES_PER_SECOND, TARGET } from "./slopeTarget.ts";
import { measureViews } from "./slopeViews.ts";

const HOST_COUNTS = [2, 4, 8, 16, 32, 64, 128, 350];
const VIEW_HOST_COUNTS = [4, 8, 16, 32, 64, 128, 350];
const STATE_HOST_COUNTS = [32, 64, 128];
const CHANGE_HOST_COUNTS = [32, 64, 128];

/** Slopes of the traffic between entry hosts by fleet size. */
export const FLEET_GROUPS: readonly SlopeGroup[] = [
  defineSlopeGroup({
    "membership-messages": {
      ...PER_HOST,
      unit: "messages sent per host and second",
      isExact: true,
    },
    "membership-bytes": { ...PER_HOST, ...BYTES_PER_SECOND },
    "membership-processor": { ...PER_HOST, ...PROCESSOR_MS },
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
  defineSlopeGroup({
    "membership-death-bytes": {
      ...PER_HOST,
      unit: "bytes that the fleet sends when a host dies",
      isExact: true,
    },
    "membership-start-bytes": {
      ...PER_HOST,
      unit: "bytes that the fleet sends when an unknown host starts",
      isExact: true,
    },
  }, () => {
    const costs = CHANGE_HOST_COUNTS.map((size) => ({
      size,
      ...measureMemberChanges(size),
    }));
    return {
      "membership-death-bytes": costs.map((
        { size, deathBytes },
      ) => [size, deathBytes]),
      "membership-start-bytes": costs.map((
        { size, startBytes },
      ) => [size, startBytes]),
    };
  }),
  defineSlopeGroup({
    "membership-state": { ...HEAP_BYTES, ...PER_HOST },
  }, () => ({
    "membership-state": STATE_HOST_COUNTS.map((size): SlopePoint => [
      size,
      retainedBytes(() => createSettledFleet(size)) / size,
    ]),
  })),
  defineSlopeGroup({
    "views-messages": {
      ...PER_HOST,
      unit: "messages sent per holder of a lease and second",
      isExact: true,
    },
    "views-bytes": {
      ...PER_HOST,
      ...BYTES_PER_SECOND,
      unit: "bytes sent per holder of a lease and second",
    },
    "views-processor": { ...PER_HOST, ...PROCESSOR_MS },
  }, () => {
    const costs = VIEW_HOST_COUNTS.map((size) => ({
      size,
      ...measureViews(size),
    }));
    return {
      "views-messages": costs.map(({ size, messages }) => [size, messages]),
      "views-bytes": costs.map(({ size, bytes }) => [size, bytes]),
      "views-processor": costs.map((
        { size, processorMs },
      ) => [size, processorMs]),
    };
  }),
  defineSlopeGroup({
    "configuration-idle-bytes": { ...PER_HOST, ...BYTES_PER_SECOND },
    "configuration-idle-processor": { ...PER_HOST, ...PROCESSOR_MS },
    "configuration-change-bytes": {
      ...PER_HOST,
      unit: "bytes sent per host and change",
      budget: TARGET.controlBytesPerSecond / CHANGES_PER_SECOND,
      isExact: true,
    },
    "configuration-in-force": {
      ...PER_HOST,
      unit: "ms until a change is in force everywhere",
      budget: TARGET.inForceMs,
      isExact: true,
    },
    "platform-start-reads": {
      ...PER_HOST,
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
];
