import { KEY_LIFETIME_MS, MAX_VIEW_HOSTS } from "@wasabivane/coordination";
import { measureBundles } from "./slopeBundle.ts";
import {
  BYTES_PER_SECOND,
  defineSlopeGroup,
  HEAP_BYTES,
  PER_UPSTREAM,
  PROCESSOR_MS,
  type SlopeGroup,
} from "./slopeGroup.ts";
import { measureKeyMemory, measureKeyTraffic } from "./slopeKeys.ts";
import { measurePoolProtocol, measurePoolSync } from "./slopePool.ts";
import {
  measureAccountMemory,
  measureDecisionTime,
  measurePolicyTime,
  measureQueueMemory,
  measureRunningMemory,
  measureUpstreamMemory,
} from "./slopeScheduler.ts";
import { measureStreams } from "./slopeStream.ts";
import {
  CHANGES_PER_SECOND,
  REQUESTS_PER_HOST,
  STREAMS_PER_HOST,
  TARGET,
  TOKENS_PER_HOST,
} from "./slopeTarget.ts";

const MILLISECONDS = 1_000;
/** Keys held by one home if every request carries a bare key. */
const KEYS_PER_HOME = TARGET.requestsPerSecond * KEY_LIFETIME_MS /
  MILLISECONDS / MAX_VIEW_HOSTS;
/** Two thirds of a core, which leaves headroom for bursts. */
const RELAY_BUDGET_MS = 667;

/** Slopes of the costs of a single host by its load. */
export const HOST_GROUPS: readonly SlopeGroup[] = [
  defineSlopeGroup({
    "bundle-bytes": {
      ...PER_UPSTREAM,
      unit: "bytes of the signed bundle",
      budget: TARGET.platformValueBytes,
      isExact: true,
    },
    "bundle-compressed-bytes": {
      ...PER_UPSTREAM,
      unit: "bytes of the signed bundle after gzip",
      budget: TARGET.platformValueBytes,
      isExact: true,
    },
    "bundle-state": { ...HEAP_BYTES, ...PER_UPSTREAM },
    "bundle-verify": {
      ...PER_UPSTREAM,
      unit: "ms of processor time to parse and verify a whole bundle",
      isExact: false,
    },
    "bundle-difference-bytes": {
      ...PER_UPSTREAM,
      unit: "bytes of the difference of one change",
      isExact: true,
    },
    "bundle-change": {
      ...PER_UPSTREAM,
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
  defineSlopeGroup({
    "scheduler-upstream-state": { ...HEAP_BYTES, ...PER_UPSTREAM },
    "scheduler-account-state": {
      ...HEAP_BYTES,
      per: "client accounts",
      targetX: TARGET.accounts,
    },
    "scheduler-waiting-state": {
      ...HEAP_BYTES,
      per: "requests that wait",
      targetX: TARGET.requestsPerSecond,
    },
    "scheduler-running-state": {
      ...HEAP_BYTES,
      per: "requests that run",
      targetX: Math.round(STREAMS_PER_HOST),
    },
    "scheduler-decision": {
      ...PER_UPSTREAM,
      unit: "µs of processor time per request",
      budget: TARGET.controlMsPerSecond * MILLISECONDS / REQUESTS_PER_HOST,
      isExact: false,
    },
    "scheduler-policy": {
      ...PER_UPSTREAM,
      unit: "ms of processor time per new policy",
      budget: TARGET.controlMsPerSecond / CHANGES_PER_SECOND,
      isExact: false,
    },
  }, () => ({
    "scheduler-upstream-state": measureUpstreamMemory(),
    "scheduler-account-state": measureAccountMemory(),
    "scheduler-waiting-state": measureQueueMemory(),
    "scheduler-running-state": measureRunningMemory(),
    "scheduler-decision": measureDecisionTime(),
    "scheduler-policy": measurePolicyTime(),
  })),
  defineSlopeGroup({
    "pool-bytes": {
      ...BYTES_PER_SECOND,
      unit: "bytes between a host and a keeper per second",
      per: "requests of the host per second",
      targetX: REQUESTS_PER_HOST,
    },
    "pool-processor": {
      ...PROCESSOR_MS,
      unit: "ms of processor time of host and keeper per second",
      per: "requests of the host per second",
      targetX: REQUESTS_PER_HOST,
    },
    "pool-sync-bytes": {
      ...BYTES_PER_SECOND,
      per: "pools in use",
      targetX: TARGET.models,
    },
  }, () => {
    const { bytes, processorMs } = measurePoolProtocol();
    return {
      "pool-bytes": bytes,
      "pool-processor": processorMs,
      "pool-sync-bytes": measurePoolSync(),
    };
  }),
  defineSlopeGroup({
    "key-bytes": {
      ...BYTES_PER_SECOND,
      unit: "bytes between a host and the homes of keys per second",
      per: "requests with a bare key of the host per second",
      targetX: REQUESTS_PER_HOST,
    },
    "key-state": {
      ...HEAP_BYTES,
      per: "bare keys that one home holds",
      targetX: KEYS_PER_HOME,
    },
  }, async () => ({
    "key-bytes": await measureKeyTraffic(),
    "key-state": await measureKeyMemory(),
  })),
  defineSlopeGroup({
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
