import type { ServerResponse } from "node:http";
import { Buffer } from "node:buffer";
import { err, ok, type Result } from "neverthrow";
import type {
  ClientAccountId,
  IdempotencyKey,
  JobId,
  Milliseconds,
  Nonce,
  Timer,
  UpstreamId,
} from "@wasabivane/common";
import { sleep } from "@wasabivane/common";
import {
  JOB_KEY_LIFETIME_MS,
  type JobRefusal,
  type JobResponse,
  type JobService,
  type KeyService,
  type OwnedKey,
} from "@wasabivane/coordination";
import { problemOfClaim } from "./claimProblem.ts";
import type { AcceptedRequest } from "./acceptedRequest.ts";
import { writeProblem } from "./responseWriter.ts";
import { JOBS_PATH, RESPONSE_RETENTION_MS } from "./constants.ts";
import { type Problem, type ProblemName, problemOf } from "./problem.ts";

const MAX_WAIT_TIME_MS = 30_000;
const POLL_PERIOD_MS = 250;
/**
 * Status of a job that ended without a response because its copies were lost.
 */
const NO_RESPONSE_STATUS = 0;
const RETRY_AFTER_MS = 5_000;
const WAIT_QUERY = /[?&]waitMs=([0-9]{1,6})(?:&|$)/;

/** Options of a {@link JobApi}. */
export interface JobApiOptions {
  readonly timer: Timer;
  readonly jobs: JobService;
  readonly keyService: KeyService;
}

/**
 * Replaces the upstream in the dispatch that a key's home stores for a job. The
 * nonce is the job's id, so that a resend finds the same job.
 */
const JOB_UPSTREAM = "~job" as UpstreamId;

/** Handles the HTTP requests that submit jobs and fetch their responses. */
export class JobApi {
  readonly #options: JobApiOptions;

  constructor(options: JobApiOptions) {
    this.#options = options;
  }

  /** Whether a path is below {@link JOBS_PATH}. */
  handlesPath(path: string): boolean {
    return path.startsWith(`${JOBS_PATH}/`);
  }

  /**
   * Accepts a job; sends 202 once hosts in other failure domains hold copies.
   */
  async submit(
    request: AcceptedRequest,
    outgoing: ServerResponse,
  ): Promise<void> {
    const accepted = request.idempotencyKey === undefined
      ? await this.#accept(request)
      : await this.#acceptKeyed(request, request.idempotencyKey);
    if (accepted.isErr()) writeProblem(outgoing, accepted.error);
    else writeAccepted(outgoing, accepted.value);
  }

  /**
   * Accepts a keyed job, or returns the job that an earlier request created.
   */
  async #acceptKeyed(
    request: AcceptedRequest,
    key: IdempotencyKey,
  ): Promise<Result<JobId, Problem>> {
    const { keyService } = this.#options;
    const outcome = await keyService.claim({
      account: request.account.account,
      key,
      request: request.requestId,
      bodyDigest: request.fingerprint,
      isIdempotent: false,
      ageMs: this.#options.timer.now() - request.arrivedAt,
      lifetimeMs: JOB_KEY_LIFETIME_MS,
    });
    if (outcome.kind === "granted") {
      return await this.#acceptOwned(request, outcome.owned);
    }
    if (outcome.kind !== "owned-by" && outcome.kind !== "resume-at") {
      return err(problemOfClaim(outcome));
    }
    const { dispatch } = outcome;
    if (dispatch?.upstream === JOB_UPSTREAM) {
      return ok(dispatch.nonce as string as JobId);
    }
    return err(problemOf("key-unknown", { retryAfter: RETRY_AFTER_MS }));
  }

  async #acceptOwned(
    request: AcceptedRequest,
    owned: OwnedKey,
  ): Promise<Result<JobId, Problem>> {
    const { keyService } = this.#options;
    const accepted = await this.#accept(request);
    if (accepted.isOk()) {
      keyService.markDispatched(owned, {
        upstream: JOB_UPSTREAM,
        nonce: accepted.value as string as Nonce,
      });
    } else if (accepted.error.ending === "not-run") {
      const isReleased = await keyService.release(owned);
      if (!isReleased) return err({ ...accepted.error, ending: "unknown" });
    }
    return accepted;
  }

  async #accept(request: AcceptedRequest): Promise<Result<JobId, Problem>> {
    const { timer, jobs } = this.#options;
    const accepted = await jobs.accept({
      account: request.account.account,
      service: request.service.service,
      tier: request.tier,
      method: request.method,
      path: request.path,
      headers: request.headers,
      body: request.body,
      expiresAt: timer.wallNow() + request.deadline - timer.now() +
        RESPONSE_RETENTION_MS,
    });
    return accepted.map(({ id }) => id).mapErr(problemOfJobRefusal);
  }

  /** Sends a job's response, or its state when the wait time has passed. */
  async fetch(
    { path, account, outgoing }: {
      path: string;
      account: ClientAccountId;
      outgoing: ServerResponse;
    },
  ): Promise<void> {
    const id = path.slice(JOBS_PATH.length + 1).split("?", 1)[0] as JobId;
    const waitUntil = this.#options.timer.now() + waitTimeOf(path);
    while (true) {
      const status = await this.#options.jobs.lookUp(id, account);
      if (status.isErr()) {
        writeProblem(
          outgoing,
          problemOf(
            status.error.kind === "not-found"
              ? "unknown-job"
              : "key-home-unreachable",
          ),
        );
        return;
      }
      if (status.value.kind === "ended") {
        this.#writeResponse(id, {
          account,
          outgoing,
          response: status.value.answer,
        });
        return;
      }
      if (this.#options.timer.now() >= waitUntil || outgoing.destroyed) {
        writeStatus(outgoing, { id, state: status.value.kind });
        return;
      }
      await sleep(this.#options.timer, POLL_PERIOD_MS);
    }
  }

  /**
   * Sends the response of a job, which is removed only after the response was
   * sent completely; otherwise it can be fetched again.
   */
  #writeResponse(
    id: JobId,
    { account, outgoing, response }: {
      account: ClientAccountId;
      outgoing: ServerResponse;
      response: JobResponse;
    },
  ): void {
    outgoing.once(
      "finish",
      () => this.#options.jobs.recordFetched(id, account),
    );
    outgoing.setHeader("x-job-ending", response.ending);
    if (response.status === NO_RESPONSE_STATUS) {
      const { ending } = response;
      return writeProblem(outgoing, { ...problemOf("job-stranded"), ending });
    }
    outgoing.writeHead(response.status, response.headers);
    outgoing.end(Buffer.from(response.body));
  }
}

const REFUSAL_PROBLEMS: Record<JobRefusal["kind"], ProblemName> = {
  "full": "job-refused",
  "too-large": "body-too-large",
  "too-long": "malformed-request",
  "no-copies": "job-refused",
  "stopping": "stopping",
  "unconfirmed": "job-unconfirmed",
};

function problemOfJobRefusal(refusal: JobRefusal): Problem {
  return problemOf(REFUSAL_PROBLEMS[refusal.kind], {
    retryAfter: "retryAfterMs" in refusal
      ? refusal.retryAfterMs
      : RETRY_AFTER_MS,
  });
}

function waitTimeOf(path: string): Milliseconds {
  return Math.min(MAX_WAIT_TIME_MS, Number(WAIT_QUERY.exec(path)?.[1] ?? 0));
}

function writeAccepted(outgoing: ServerResponse, id: JobId): void {
  outgoing.writeHead(202, {
    "content-type": "application/json",
    "location": `${JOBS_PATH}/${id}`,
    "preference-applied": "respond-async",
  });
  outgoing.end(JSON.stringify({ id, status: "waiting" }));
}

function writeStatus(
  outgoing: ServerResponse,
  { id, state }: { id: JobId; state: string },
): void {
  outgoing.writeHead(202, {
    "content-type": "application/json",
    "retry-after": String(RETRY_AFTER_MS / 1_000),
  });
  outgoing.end(JSON.stringify({ id, status: state }));
}
