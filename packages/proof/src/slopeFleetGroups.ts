import {
  bytesPerSecond,
  heap,
  perHost,
  processor,
  type SlopeGroup,
  slopeGroup,
} from "./slopeGroup.ts";
import type { SlopePoint } from "./slope.ts";
import { measureConfiguration } from "./slopeConfiguration.ts";
import {
  measureMemberChanges,
  measureMembership,
  settledMembership,
} from "./slopeFleet.ts";
import { retainedBytes } from "./slopeMeasure.ts";
import { CHANGES_PER_SECOND, TARGET } from "./slopeTarget.ts";
import { measureViews } from "./slopeViews.ts";

const HOST_COUNTS = [2, 4, 8, 16, 32, 64, 128, 350];
const VIEW_HOST_COUNTS = [4, 8, 16, 32, 64, 128, 350];
const STATE_HOST_COUNTS = [32, 64, 128];
const CHANGE_HOST_COUNTS = [32, 64, 128];

/** What entry hosts tell each other, by the size of the fleet. */
export const FLEET_GROUPS: readonly SlopeGroup[] = [
  slopeGroup({
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
  slopeGroup({
    "membership-death-bytes": {
      ...perHost,
      unit: "bytes that the fleet sends when a host dies",
      isExact: true,
    },
    "membership-start-bytes": {
      ...perHost,
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
  slopeGroup({
    "membership-state": { ...heap, ...perHost },
  }, () => ({
    "membership-state": STATE_HOST_COUNTS.map((size): SlopePoint => [
      size,
      retainedBytes(() => settledMembership(size)) / size,
    ]),
  })),
  slopeGroup({
    "views-messages": {
      ...perHost,
      unit: "messages sent per holder of a lease and second",
      isExact: true,
    },
    "views-bytes": {
      ...perHost,
      ...bytesPerSecond,
      unit: "bytes sent per holder of a lease and second",
    },
    "views-processor": { ...perHost, ...processor },
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
  slopeGroup({
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
];
