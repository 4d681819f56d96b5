import type { FaultScenario } from "@wasabivane/proof";
import { BUNDLE_ROLLED_WHILE_REQUESTS_RUN } from "./bundleRolledWhileRequestsRun.ts";
import { CONFIGURATION_SERVICE_DOWN_AT_START } from "./configurationServiceDownAtStart.ts";
import { MISROUTED_RESPONSES } from "./misroutedResponses.ts";
import { DOMAIN_LOST } from "./domainLost.ts";
import { HOST_RESTARTS_WITH_STALE_SERVICE } from "./hostRestartsWithStaleService.ts";
import { HOST_RESUMES_WITH_STALE_VIEW } from "./hostResumesWithStaleView.ts";
import { JOB_HOLDER_RESUMES_AFTER_TAKEOVER } from "./jobHolderResumesAfterTakeover.ts";
import { JOB_HOLDER_CUT_FROM_COPIES } from "./jobHolderCutFromCopies.ts";
import { JOB_HOLDER_KILLED_AFTER_DISPATCH } from "./jobHolderKilledAfterDispatch.ts";
import { JOB_HOLDER_KILLED_BEFORE_DISPATCH } from "./jobHolderKilledBeforeDispatch.ts";
import { COORDINATOR_DIES } from "./coordinatorDies.ts";
import { LATE_RESPONSE_AFTER_CANCEL } from "./lateResponseAfterCancel.ts";
import { OWNER_KILLED_AFTER_DISPATCH } from "./ownerKilledAfterDispatch.ts";
import { OWNER_KILLED_MID_STREAM_RESPONSE_RESUMED } from "./ownerKilledMidStreamResponseResumed.ts";
import { PARTITION_SPLITS_FLEET } from "./partitionSplitsFleet.ts";
import { GRACEFUL_STOP_COMPLETES_WORK } from "./gracefulStopCompletesWork.ts";
import { POISON_RESENT_THROUGH_ALL_HOSTS } from "./poisonResentThroughAllHosts.ts";
import { RESEND_TO_ANOTHER_HOST_WHILE_FIRST_RUNS } from "./resendToAnotherHostWhileFirstRuns.ts";
import { RESEND_TO_FRESH_HOST_WHILE_FIRST_RUNS } from "./resendToFreshHostWhileFirstRuns.ts";
import { STALE_HOST_LIST } from "./staleHostList.ts";
import { STRANDED_JOB_REPORTED_UNKNOWN } from "./strandedJobReportedUnknown.ts";
import { TWO_HOSTS_STOP_AT_ONCE } from "./twoHostsStopAtOnce.ts";
import { UPSTREAM_BREAKS_STREAM_AND_RESUMES } from "./upstreamBreaksStreamAndResumes.ts";
import { UPSTREAM_CRASHES_MID_STREAM } from "./upstreamCrashesMidStream.ts";
import { UPSTREAM_LEAVING } from "./upstreamLeaving.ts";

/** All scenarios of this directory. */
export const SCENARIOS: readonly FaultScenario[] = [
  BUNDLE_ROLLED_WHILE_REQUESTS_RUN,
  CONFIGURATION_SERVICE_DOWN_AT_START,
  MISROUTED_RESPONSES,
  DOMAIN_LOST,
  HOST_RESTARTS_WITH_STALE_SERVICE,
  HOST_RESUMES_WITH_STALE_VIEW,
  JOB_HOLDER_RESUMES_AFTER_TAKEOVER,
  JOB_HOLDER_CUT_FROM_COPIES,
  JOB_HOLDER_KILLED_AFTER_DISPATCH,
  JOB_HOLDER_KILLED_BEFORE_DISPATCH,
  COORDINATOR_DIES,
  LATE_RESPONSE_AFTER_CANCEL,
  OWNER_KILLED_AFTER_DISPATCH,
  OWNER_KILLED_MID_STREAM_RESPONSE_RESUMED,
  PARTITION_SPLITS_FLEET,
  GRACEFUL_STOP_COMPLETES_WORK,
  POISON_RESENT_THROUGH_ALL_HOSTS,
  RESEND_TO_ANOTHER_HOST_WHILE_FIRST_RUNS,
  RESEND_TO_FRESH_HOST_WHILE_FIRST_RUNS,
  STALE_HOST_LIST,
  STRANDED_JOB_REPORTED_UNKNOWN,
  TWO_HOSTS_STOP_AT_ONCE,
  UPSTREAM_BREAKS_STREAM_AND_RESUMES,
  UPSTREAM_CRASHES_MID_STREAM,
  UPSTREAM_LEAVING,
];
