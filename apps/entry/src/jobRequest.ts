import { Buffer } from "node:buffer";
import type { Bundle } from "@wasabivane/bundle";
import type { Digest, Milliseconds, RequestId } from "@wasabivane/common";
import type { Job } from "@wasabivane/coordination";
import type { AcceptedRequest } from "./acceptedRequest.ts";
import { acceptRequest } from "./acceptRequest.ts";

/** Values that turn a job into a request. */
export interface JobContext {
  readonly bundle: Bundle;
  readonly request: RequestId;
  /** On the timer's monotonic clock. */
  readonly now: Milliseconds;
  readonly timeLeft: Milliseconds;
}

/**
 * Creates the request of a job; undefined if the bundle no longer allows it.
 */
export function requestOfJob(
  job: Job,
  { bundle, request, now, timeLeft }: JobContext,
): AcceptedRequest | undefined {
  const account = bundle.clientAccounts.find(({ account }) =>
    account === job.account
  );
  if (account === undefined) return undefined;
  const accepted = acceptRequest({
    request,
    bundle,
    account,
    now,
    method: job.method,
    path: job.path,
    headers: { ...job.headers, "x-tier": String(job.tier) },
    body: Buffer.from(job.body),
  });
  if (accepted.isErr()) return undefined;
  // A job's response is stored when complete, so it need not be streamed.
  return { ...accepted.value, shouldStream: false, deadline: now + timeLeft };
}

/**
 * Creates the request of a job that was dispatched already. It is not validated
 * again, since the copies have dropped the body by then.
 */
export function resumedRequestOfJob(
  job: Job,
  { bundle, request, now, timeLeft }: JobContext,
): AcceptedRequest | undefined {
  const account = bundle.clientAccounts.find(({ account }) =>
    account === job.account
  );
  const service = bundle.services.find(({ service }) =>
    service === job.service
  );
  if (account === undefined || service === undefined) return undefined;
  return {
    requestId: request,
    bundle,
    account,
    service,
    tier: job.tier,
    idempotencyKey: undefined,
    isIdempotent: false,
    acceptedAt: now,
    arrivedAt: now,
    deadline: now + timeLeft,
    method: job.method,
    path: job.path,
    headers: job.headers,
    body: Buffer.alloc(0),
    shouldStream: false,
    promptTokens: 0,
    maximumOutputTokens: 0,
    prefixDigests: [],
    fingerprint: "" as Digest,
  };
}
