import type { FaultScenario } from "@wasabivane/proof";
import { BUNDLE_ROLLED_WHILE_REQUESTS_RUN } from "./bundleRolledWhileRequestsRun.ts";
import { CONFIGURATION_SERVICE_DOWN_AT_START } from "./configurationServiceDownAtStart.ts";
import { CROSSED_ANSWERS } from "./crossedAnswers.ts";
import { DOMAIN_LOST } from "./domainLost.ts";
import { FRESH_HOST_MEETS_STALE_SERVICE } from "./freshHostMeetsStaleService.ts";
import { HOST_PAUSED_AN_HOUR_WAKES_BELIEVING_ITS_OLD_VIEW } from "./hostPausedAnHourWakesBelievingItsOldView.ts";
import { HOST_PAUSED_AN_HOUR_WAKES_WITH_A_JOB } from "./hostPausedAnHourWakesWithAJob.ts";
import { JOB_HOLDER_CUT_FROM_COPIES } from "./jobHolderCutFromCopies.ts";
import { JOB_HOLDER_KILLED_AFTER_DISPATCH } from "./jobHolderKilledAfterDispatch.ts";
import { JOB_HOLDER_KILLED_BEFORE_DISPATCH } from "./jobHolderKilledBeforeDispatch.ts";
import { KEEPER_DIES } from "./keeperDies.ts";
import { LATE_ANSWER_AFTER_CANCEL } from "./lateAnswerAfterCancel.ts";
import { OWNER_KILLED_AFTER_DISPATCH } from "./ownerKilledAfterDispatch.ts";
import { OWNER_KILLED_MID_STREAM_ANSWER_RESUMED } from "./ownerKilledMidStreamAnswerResumed.ts";
import { PARTITION_SPLITS_FLEET } from "./partitionSplitsFleet.ts";
import { PLANNED_STOP_CUTS_NOTHING } from "./plannedStopCutsNothing.ts";
import { POISON_RESENT_THROUGH_ALL_HOSTS } from "./poisonResentThroughAllHosts.ts";
import { RESEND_TO_ANOTHER_HOST_WHILE_FIRST_RUNS } from "./resendToAnotherHostWhileFirstRuns.ts";
import { RESEND_TO_FRESH_HOST_WHILE_FIRST_RUNS } from "./resendToFreshHostWhileFirstRuns.ts";
import { STALE_HOST_LIST } from "./staleHostList.ts";
import { STRANDED_JOB_IS_TOLD_IN_WORDS } from "./strandedJobIsToldInWords.ts";
import { TWO_HOSTS_STOP_AT_ONCE } from "./twoHostsStopAtOnce.ts";
import { UPSTREAM_BREAKS_STREAM_AND_RESUMES } from "./upstreamBreaksStreamAndResumes.ts";
import { UPSTREAM_CRASHES_MID_STREAM } from "./upstreamCrashesMidStream.ts";
import { UPSTREAM_LEAVING } from "./upstreamLeaving.ts";

/** Every scenario of this folder. */
export const SCENARIOS: readonly FaultScenario[] = [
  BUNDLE_ROLLED_WHILE_REQUESTS_RUN,
  CONFIGURATION_SERVICE_DOWN_AT_START,
  CROSSED_ANSWERS,
  DOMAIN_LOST,
  FRESH_HOST_MEETS_STALE_SERVICE,
  HOST_PAUSED_AN_HOUR_WAKES_BELIEVING_ITS_OLD_VIEW,
  HOST_PAUSED_AN_HOUR_WAKES_WITH_A_JOB,
  JOB_HOLDER_CUT_FROM_COPIES,
  JOB_HOLDER_KILLED_AFTER_DISPATCH,
  JOB_HOLDER_KILLED_BEFORE_DISPATCH,
  KEEPER_DIES,
  LATE_ANSWER_AFTER_CANCEL,
  OWNER_KILLED_AFTER_DISPATCH,
  OWNER_KILLED_MID_STREAM_ANSWER_RESUMED,
  PARTITION_SPLITS_FLEET,
  PLANNED_STOP_CUTS_NOTHING,
  POISON_RESENT_THROUGH_ALL_HOSTS,
  RESEND_TO_ANOTHER_HOST_WHILE_FIRST_RUNS,
  RESEND_TO_FRESH_HOST_WHILE_FIRST_RUNS,
  STALE_HOST_LIST,
  STRANDED_JOB_IS_TOLD_IN_WORDS,
  TWO_HOSTS_STOP_AT_ONCE,
  UPSTREAM_BREAKS_STREAM_AND_RESUMES,
  UPSTREAM_CRASHES_MID_STREAM,
  UPSTREAM_LEAVING,
];
