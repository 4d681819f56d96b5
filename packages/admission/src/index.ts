/**
 * Decisions of a host that decides alone on what it sees and what its peers tell:
 * placement, waiting, refusal, quotas, retries, health. No module reads a clock,
 * a network or a random source of its own.
 */
export * from "./types.ts";
export { PolicyIndex } from "./policyIndex.ts";
export { Freshness, type FreshnessOptions } from "./freshness.ts";
export { type KeptUpstream, UpstreamDirectory } from "./upstreamDirectory.ts";
export { upstreamLife } from "./upstreamLife.ts";
export { FleetLoad, type HostLoad, type UpstreamLoad } from "./fleetLoad.ts";
export {
  KeeperStartLimit,
  LoneStartLimit,
  StartLimit,
  type StartLimitOptions,
} from "./startLimit.ts";
export { ConnectionBacklog } from "./connectionBacklog.ts";
export { HostLag } from "./hostLag.ts";
export { LoadShedding, type LoadSheddingOptions } from "./loadShedding.ts";
export { UpstreamWarmth } from "./upstreamWarmth.ts";
export { type LossNotice, UpstreamHealth } from "./upstreamHealth.ts";
export { type PauseSample, UpstreamPauses } from "./upstreamPauses.ts";
export { type SpeedSample, UpstreamSpeed } from "./upstreamSpeed.ts";
export { AnswerTimeModel, type AnswerTimeSample } from "./answerTimeModel.ts";
export { FirstEventModel, type FirstEventSample } from "./firstEventModel.ts";
export { Placement, type PlacementOptions, type Wish } from "./placement.ts";
export { type Outlook, type Waiter, WaitingLine } from "./waitingLine.ts";
export { type OverQuota, QuotaBook, type UsageReport } from "./quotaBook.ts";
export { UsageLedger } from "./usageLedger.ts";
export { type QuotaTolerance } from "./quotaBucket.ts";
export { RetryBudget, type RetryBudgetOptions } from "./retryBudget.ts";
export { type Crash, CrashBook } from "./crashBook.ts";
export {
  callerPatience,
  returnAfter,
  type StartBounds,
  startBounds,
} from "./patience.ts";
export { SignsOfLife } from "./signsOfLife.ts";
export { bearablePause, bearableWait, type SilentUpstream } from "./silence.ts";
export {
  type Candidate,
  type PlaceCounts,
  type PlaceRefusal,
  PlaceScheduler,
  type PlaceSchedulerOptions,
  type UpstreamSource,
  type Verdict,
} from "./placeScheduler.ts";
export { candidateOf, type PlaceWish } from "./placeWish.ts";
export {
  type AnswerTimes,
  type AttemptObservation,
  UpstreamKnowledge,
} from "./upstreamKnowledge.ts";
export { CellMap } from "./cellMap.ts";
export { PromptMemory } from "./promptMemory.ts";
export {
  type Cell,
  type CellKey,
  cellKeyOf,
  dealCells,
  isInCell,
} from "./cells.ts";
export type {
  CellSnapshot,
  PlaceAnswer,
  PlaceAsk,
  PlaceDecision,
  PlaceVerdict,
} from "./cellMessages.ts";
export { CellKeeper, type CellKeeperOptions } from "./cellKeeper.ts";
export { KeeperChoice } from "./keeperChoice.ts";
export { type KeeperCandidate, keeperOrder } from "./keeperOrder.ts";
export {
  type KeeperChange,
  PlaceSeeker,
  type PlaceSeekerOptions,
} from "./placeSeeker.ts";
export { type WatchSituation, watchWait } from "./watchWait.ts";
