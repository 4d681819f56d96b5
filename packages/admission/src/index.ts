/**
 * Admission decisions of a host, based on what it observes and what its peers
 * report: placement, queueing, refusal, quotas, retries and upstream health. No
 * module accesses a clock, the network or a random source itself.
 */
export * from "./types.ts";
export { ServiceMixing } from "./serviceMixing.ts";
export {
  VersionHistory,
  type VersionHistoryOptions,
} from "./versionHistory.ts";
export { hashWeight } from "./hashWeight.ts";
export { type Eligibility, isEligible } from "./eligibility.ts";
export { PolicyIndex } from "./policyIndex.ts";
export {
  PolicyFreshness,
  type PolicyFreshnessOptions,
} from "./policyFreshness.ts";
export {
  type LapsedUpstream,
  type ReplacementOptions,
  UpstreamDirectory,
} from "./upstreamDirectory.ts";
export { createUpstreamId } from "./createUpstreamId.ts";
export { FleetLoad, type HostLoad, type UpstreamLoad } from "./fleetLoad.ts";
export {
  CoordinatorStartLimit,
  LocalStartLimit,
  StartLimit,
  type StartLimitOptions,
} from "./startLimit.ts";
export { UpstreamRateLimits } from "./upstreamRateLimits.ts";
export { type UpstreamBackoff, UpstreamBackoffs } from "./upstreamBackoffs.ts";
export { ConnectionBacklog } from "./connectionBacklog.ts";
export { EventLoopLag } from "./eventLoopLag.ts";
export { LoadShedder, type LoadShedderOptions } from "./loadShedder.ts";
export { type ArrivingRequest, RecentAdmissions } from "./recentAdmissions.ts";
export { UpstreamWarmup } from "./upstreamWarmup.ts";
export { type EjectionNotice, UpstreamHealth } from "./upstreamHealth.ts";
export { PauseRiskModel, type PauseSample } from "./pauseRiskModel.ts";
export {
  MomentarySlowdown,
  type ReportedSlowdown,
  type WorkSample,
} from "./momentarySlowdown.ts";
export { type SpeedSample, UpstreamSpeed } from "./upstreamSpeed.ts";
export {
  ResponseDurationModel,
  type ResponseDurationSample,
} from "./responseDurationModel.ts";
export { FirstEventModel, type FirstEventSample } from "./firstEventModel.ts";
export {
  Placement,
  type PlacementCriteria,
  type PlacementOptions,
} from "./placement.ts";
export type { AccountUse } from "./accountUse.ts";
export type { QueueEstimate } from "./queueEstimator.ts";
export { RequestQueue } from "./requestQueue.ts";
export type { QueuedRequest } from "./requestRanks.ts";
export {
  type OverQuota,
  type QuotaCounts,
  QuotaLimiter,
  type QuotaRequest,
} from "./quotaLimiter.ts";
export { QuotaLedger, type QuotaLedgerOptions } from "./quotaLedger.ts";
export {
  type AccountDemand,
  type QuotaGrants,
  type QuotaReport,
} from "./quotaReport.ts";
export { type QuotaTolerance } from "./quotaBucket.ts";
export { RetryBudget, type RetryBudgetOptions } from "./retryBudget.ts";
export { type CrashSuspicion, CrashSuspicions } from "./crashSuspicions.ts";
export {
  type Completion,
  type Crash,
  PoisonRequestDetector,
} from "./poisonRequestDetector.ts";
export {
  computeRetryDelay,
  computeStartBounds,
  firstByteTimeout,
  type StartBounds,
} from "./callerTimeouts.ts";
export { DirectLinks, type LinkEnd } from "./directLinks.ts";
export { RejectionTolerances } from "./rejectionTolerances.ts";
export { LinkFailures } from "./linkFailures.ts";
export { UpstreamActivity } from "./upstreamActivity.ts";
export {
  firstEventTimeout,
  type PauseContext,
  pauseTimeout,
} from "./upstreamTimeouts.ts";
export {
  type PendingRequest,
  type PlacementDecision,
  type PlacementRefusal,
  RequestScheduler,
  type RequestSchedulerOptions,
  type SlotCounts,
  type UpstreamSource,
} from "./requestScheduler.ts";
export {
  createPendingRequest,
  type PlacementRequest,
} from "./placementRequest.ts";
export {
  type AttemptObservation,
  type ResponseTimings,
  UpstreamStats,
} from "./upstreamStats.ts";
export { CellMap } from "./cellMap.ts";
export { PrefixCacheIndex } from "./prefixCacheIndex.ts";
export {
  type Cell,
  type CellKey,
  cellKeyOf,
  isInCell,
  partitionIntoCells,
} from "./cells.ts";
export type {
  CellDecision,
  CellReply,
  CellSnapshot,
  CellUpdate,
  NumberedDecision,
  UpstreamReport,
} from "./cellMessages.ts";
export {
  CellCoordinator,
  type CellCoordinatorOptions,
  type Ejection,
} from "./cellCoordinator.ts";
export { CoordinatorSelector } from "./coordinatorSelector.ts";
export {
  type CoordinatorCandidate,
  rankCoordinators,
} from "./rankCoordinators.ts";
export {
  type CoordinatorChange,
  PlacementClient,
  type PlacementClientOptions,
} from "./placementClient.ts";
export { drawWatchDuration, type WatchContext } from "./drawWatchDuration.ts";
export type { PartCompletion, PartConviction, PartCrash } from "./partCrash.ts";
export type { PartRequest } from "./partConvictions.ts";
export {
  PartCrashDetector,
  type PartCrashDetectorOptions,
} from "./partCrashDetector.ts";
