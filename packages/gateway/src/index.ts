/**
 * An entry host that forwards requests unchanged and shares load information
 * with its peers.
 */
export * from "./dialect.ts";
export * from "./headers.ts";
export { accountUseValues } from "./accountUseValues.ts";
export {
  DecisionLog,
  LOG_EVENTS,
  type LogEvent,
  type LogOutput,
  type LogValues,
} from "./decisionLog.ts";
export { CrashGossip } from "./crashGossip.ts";
export { CrashChecks } from "./crashChecks.ts";
export { EventStreamSplitter } from "./eventStreamSplitter.ts";
export { createHostMemory, type HostMemory } from "./hostMemory.ts";
export {
  type MemoryUse,
  type MonitoredProcess,
  monitorProcess,
} from "./processMonitor.ts";
export { UncaughtErrors } from "./uncaughtErrors.ts";
export { FleetSize, type FleetSizeOptions } from "./fleetSize.ts";
export {
  type Announcement,
  FetchSchedule,
  type FetchScheduleOptions,
} from "./fetchSchedule.ts";
export { Gateway } from "./gateway.ts";
export type { GatewayAddresses, GatewayOptions } from "./gatewayOptions.ts";
export { GossipProtocol } from "./gossipProtocol.ts";
export type { GatewayContext } from "./gatewayContext.ts";
export { GatewayMetrics } from "./gatewayMetrics.ts";
export { type ListCheck, ListDigest } from "./listDigest.ts";
export {
  changeBetween,
  type DifferenceOptions,
  type ListDifference,
  ListHistory,
  type Replacement,
} from "./listHistory.ts";
export {
  ListConfirmation,
  type ListConfirmationOptions,
  type StoreCheck,
} from "./listConfirmation.ts";
export { PeerDirectory } from "./peerDirectory.ts";
export { splitAddress } from "./peerChannel.ts";
export {
  decodeMessage,
  encodeMessage,
  type PeerMessage,
} from "./peerMessage.ts";
export type {
  GossipMessage,
  PeerRecord,
  UpstreamListChange,
} from "./gossipMessage.ts";
export { StreamOrigins, type StreamOriginsOptions } from "./streamOrigins.ts";
export type { StreamOrigin } from "./streamOriginTable.ts";
export { type Adoption, type PolicyProof, PolicyState } from "./policyState.ts";
export type {
  FetchError,
  SnapshotVersions,
  StoreSnapshot,
} from "./operatorEndpoints.ts";
export { fetchSnapshot } from "./operatorEndpoints.ts";
export { TransitEstimator } from "./transitEstimator.ts";
export {
  expectUpstream,
  selectUpstreams,
  type UpstreamFields,
} from "./upstreamFields.ts";
export { UpstreamProbe, type UpstreamState } from "./upstreamProbe.ts";
export { type PolicyReading, StorePolicy } from "./storePolicy.ts";
export { StoreSharing, type StoreSharingOptions } from "./storeSharing.ts";
export type { UpstreamList } from "./sharedList.ts";
export {
  eraOf,
  joinRevision,
  MAXIMUM_ERA,
  MAXIMUM_REVISION,
  splitRevision,
  type StorePosition,
} from "./storeRevision.ts";
export { StandardOutput } from "./standardOutput.ts";
