import { Buffer } from "node:buffer";
import type { Bundle } from "@wasabivane/bundle";
import type { Digest, Milliseconds, RequestId } from "@wasabivane/common";
import type { Job } from "@wasabivane/coordination";
import type { AcceptedRequest } from "./acceptedRequest.ts";
import { acceptRequest } from "./acceptRequest.ts";

/** What a job becomes a request with. */
export interface JobContext {
  readonly bundle: Bundle;
  readonly request: RequestId;
  /** On the timer's monotonic clock. */
  readonly now: Milliseconds;
  readonly timeLeft: Milliseconds;
}

/** A job as a request that can be dispatched; undefined when the bundle no longer allows it. */
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
  // A stream that nobody listens to would only be collected again.
  return { ...accepted.value, shouldStream: false, deadline: now + timeLeft };
}

/**
 * A job that was dispatched, as a request whose answer is fetched. The copies
 * have dropped its body by then, so nothing is read from it: checked again it
 * would seem malformed, and an answer that waits at its engine would be lost.
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
    request,
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
