import type {
  ClientAccountId,
  JobId,
  Nonce,
  RequestOutcome,
  ServiceId,
  Tier,
  UpstreamId,
} from "@wasabivane/common";
import type { Job, JobResponse, JobStatus } from "./job.ts";
import type {
  Ballot,
  Epoch,
  MemberId,
  Proposal,
  RegisterReply,
  RegisterRequest,
  RegisterValue,
} from "./jobRegister.ts";
import type { JobOutcome } from "./jobStore.ts";
import {
  anyOf,
  isBoolean,
  isBytes,
  listOf,
  numberOf,
  objectOf,
  oneOf,
  optional,
  type Shape,
  textOf,
} from "./messageShapes.ts";
import { defineMessage, type MessageKind } from "./peerMessages.ts";

/** Maximum number of members of an epoch. */
export const MAX_EPOCH_MEMBERS = 8;
const MAX_HEADER_LENGTH = 8_192;

const isMember = textOf<MemberId>(256);
const isJobId = textOf<JobId>(512);
const isMembers = listOf(isMember, MAX_EPOCH_MEMBERS);

function isHeaders(value: unknown): value is Readonly<Record<string, string>> {
  if (typeof value !== "object" || value === null) return false;
  const isText = textOf<string>(MAX_HEADER_LENGTH);
  return Object.values(value).every(isText);
}

const isJob: Shape<Job> = objectOf({
  id: isJobId,
  account: textOf<ClientAccountId>(),
  service: textOf<ServiceId>(),
  tier: numberOf<Tier>(),
  method: textOf<string>(16),
  path: textOf<string>(8_192),
  headers: isHeaders,
  body: isBytes,
  expiresAt: numberOf<number>(),
  acceptedAt: numberOf<number>(),
});

const isResponse: Shape<JobResponse> = objectOf({
  ending: oneOf<RequestOutcome>("whole", "not-run", "unknown"),
  status: numberOf<number>(),
  headers: isHeaders,
  body: isBytes,
});

const isEpoch: Shape<Epoch> = objectOf({
  number: numberOf<number>(),
  members: isMembers,
  holder: isMember,
});

const isDispatch = objectOf({
  kind: oneOf("dispatch"),
  upstream: textOf<UpstreamId>(),
  nonce: textOf<Nonce>(),
  by: isMember,
});
const isWithdraw = objectOf({ kind: oneOf("withdraw") });
const isMove = objectOf({ kind: oneOf("move"), epoch: isEpoch });
const isOutcome: Shape<JobOutcome> = anyOf<JobOutcome>(isDispatch, isWithdraw);
const isValue: Shape<RegisterValue> = anyOf<RegisterValue>(
  isDispatch,
  isWithdraw,
  isMove,
);
const isBallot: Shape<Ballot> = objectOf({
  round: numberOf<number>(),
  proposer: isMember,
});
const isProposal: Shape<Proposal> = objectOf({
  ballot: isBallot,
  value: isValue,
});

const isRequest: Shape<RegisterRequest> = anyOf<RegisterRequest>(
  objectOf({ kind: oneOf("prepare"), ballot: isBallot }),
  objectOf({ kind: oneOf("accept"), ballot: isBallot, value: isValue }),
);
const isReply: Shape<RegisterReply> = anyOf<RegisterReply>(
  objectOf({
    kind: oneOf("promised"),
    ballot: isBallot,
    accepted: optional(isProposal),
  }),
  objectOf({ kind: oneOf("accepted"), ballot: isBallot }),
  objectOf({
    kind: oneOf("refused"),
    ballot: isBallot,
    promisedRound: numberOf<number>(),
  }),
);

/** Update about a job; each one supersedes the earlier ones. */
export type JobUpdate =
  | { readonly kind: "moved"; readonly epoch: Epoch }
  | {
    readonly kind: "settled";
    /** Job without its body. */
    readonly job: Job;
    readonly outcome: JobOutcome;
    /** Number of the epoch that chose the outcome. */
    readonly epochNumber: number;
    readonly keepers: readonly MemberId[];
    readonly runner?: MemberId;
    readonly answer?: JobResponse;
  }
  /** Fetched, expired or never accepted. */
  | { readonly kind: "gone" };

const isUpdate: Shape<JobUpdate> = anyOf<JobUpdate>(
  objectOf({ kind: oneOf("moved"), epoch: isEpoch }),
  objectOf({
    kind: oneOf("settled"),
    job: isJob,
    outcome: isOutcome,
    epochNumber: numberOf<number>(),
    keepers: isMembers,
    runner: optional(isMember),
    answer: optional(isResponse),
  }),
  objectOf({ kind: oneOf("gone") }),
);

/** Asks a host to hold a copy, which stays inactive until it is confirmed. */
export const JOB_COPY: MessageKind<{ readonly job: Job }> = defineMessage(
  "job-copy",
  objectOf({ job: isJob }),
);

/** Replies to {@link JOB_COPY}. */
export interface JobCopyReply {
  readonly id: JobId;
  readonly member: MemberId;
  readonly isHeld: boolean;
}
/** See {@link JobCopyReply}. */
export const JOB_COPY_REPLY: MessageKind<JobCopyReply> = defineMessage<
  JobCopyReply
>(
  "job-copied",
  objectOf({ id: isJobId, member: isMember, isHeld: isBoolean }),
);

/** Sends a register request to a member of an epoch. */
export interface JobRegisterRequest {
  readonly id: JobId;
  readonly epoch: Epoch;
  readonly request: RegisterRequest;
  readonly by: MemberId;
}
/** See {@link JobRegisterRequest}. */
export const JOB_REGISTER_REQUEST: MessageKind<JobRegisterRequest> =
  defineMessage<
    JobRegisterRequest
  >(
    "job-register",
    objectOf({ id: isJobId, epoch: isEpoch, request: isRequest, by: isMember }),
  );

/** Replies to {@link JOB_REGISTER_REQUEST}. */
export interface JobRegisterReply {
  readonly id: JobId;
  /** Key of the epoch; see `epochKey`. */
  readonly key: string;
  readonly member: MemberId;
  readonly reply: RegisterReply;
}
/** See {@link JobRegisterReply}. */
export const JOB_REGISTER_REPLY: MessageKind<JobRegisterReply> = defineMessage<
  JobRegisterReply
>(
  "job-reply",
  objectOf({
    id: isJobId,
    key: textOf<string>(4_096),
    member: isMember,
    reply: isReply,
  }),
);

/** Update of a job, resent until it is acknowledged. */
export interface JobUpdateMessage {
  readonly id: JobId;
  readonly sequence: number;
  readonly to: MemberId;
  readonly news: JobUpdate;
}
/** See {@link JobUpdateMessage}. */
export const JOB_UPDATE: MessageKind<JobUpdateMessage> = defineMessage<
  JobUpdateMessage
>(
  "job-news",
  objectOf({
    id: isJobId,
    sequence: numberOf<number>(),
    to: isMember,
    news: isUpdate,
  }),
);

/** Acknowledges {@link JOB_UPDATE}. */
export interface JobUpdateAck {
  readonly id: JobId;
  readonly sequence: number;
  readonly member: MemberId;
  /** False if the member holds no copy. */
  readonly isHeld: boolean;
}
/** See {@link JobUpdateAck}. */
export const JOB_UPDATE_ACK: MessageKind<JobUpdateAck> = defineMessage<
  JobUpdateAck
>(
  "job-noted",
  objectOf({
    id: isJobId,
    sequence: numberOf<number>(),
    member: isMember,
    isHeld: isBoolean,
  }),
);

/**
 * Asks whether a copy is still needed; a replica replies with an update if not.
 */
export interface JobCopyCheck {
  readonly id: JobId;
  readonly epochNumber: number;
  readonly by: MemberId;
}
/** See {@link JobCopyCheck}. */
export const JOB_COPY_CHECK: MessageKind<JobCopyCheck> = defineMessage<
  JobCopyCheck
>(
  "job-check",
  objectOf({ id: isJobId, epochNumber: numberOf<number>(), by: isMember }),
);

/** Requests the status of a job. */
export interface JobStatusRequest {
  readonly id: JobId;
  readonly account: ClientAccountId;
  readonly question: number;
  /**
   * Whether the caller has received the response, so that the job can be
   * deleted.
   */
  readonly isFetched: boolean;
}
/** See {@link JobStatusRequest}. */
export const JOB_STATUS_REQUEST: MessageKind<JobStatusRequest> = defineMessage<
  JobStatusRequest
>(
  "job-question",
  objectOf({
    id: isJobId,
    account: textOf<ClientAccountId>(),
    question: numberOf<number>(),
    isFetched: isBoolean,
  }),
);

/**
 * Replies to {@link JOB_STATUS_REQUEST}; without a status if the host does not
 * know the job.
 */
export interface JobStatusReply {
  readonly question: number;
  readonly status?: JobStatus;
}
/** See {@link JobStatusReply}. */
export const JOB_STATUS_REPLY: MessageKind<JobStatusReply> = defineMessage<
  JobStatusReply
>(
  "job-status",
  objectOf({
    question: numberOf<number>(),
    status: optional(anyOf<JobStatus>(
      objectOf({ kind: oneOf("waiting") }),
      objectOf({ kind: oneOf("running"), upstream: textOf<UpstreamId>() }),
      objectOf({ kind: oneOf("ended"), answer: isResponse }),
    )),
  }),
);
