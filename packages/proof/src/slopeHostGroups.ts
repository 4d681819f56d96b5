import { KEY_LIFETIME_MS, MAX_VIEW_HOSTS } from "@wasabivane/coordination";
import { measureBundles } from "./slopeBundle.ts";
import {
  bytesPerSecond,
  heap,
  perUpstream,
  processor,
  type SlopeGroup,
  slopeGroup,
} from "./slopeGroup.ts";
import { keyBytes, keyState } from "./slopeKeys.ts";
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

const MILLISECONDS = 1_000;
/** Were every request to carry a bare key, as long as keys are remembered. */
const KEYS_PER_HOME = TARGET.requestsPerSecond * KEY_LIFETIME_MS /
  MILLISECONDS / MAX_VIEW_HOSTS;
/** What one process can relay at most: a core less a third for bursts. */
const RELAY_BUDGET_MS = 667;

/** What one host holds and does, by what it is given. */
export const HOST_GROUPS: readonly SlopeGroup[] = [
  slopeGroup({
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
  slopeGroup({
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
  slopeGroup({
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
  slopeGroup({
    "key-bytes": {
      ...bytesPerSecond,
      unit: "bytes between a host and the homes of keys per second",
      per: "requests with a bare key of the host per second",
      targetX: REQUESTS_PER_HOST,
    },
    "key-state": {
      ...heap,
      per: "bare keys that one home holds",
      targetX: KEYS_PER_HOME,
    },
  }, async () => ({
    "key-bytes": await keyBytes(),
    "key-state": await keyState(),
  })),
  slopeGroup({
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
