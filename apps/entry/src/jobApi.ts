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

const MAX_WAIT_MS = 30_000;
const POLL_MS = 250;
/** Status of a job that ended without an answer, because its copies were lost. */
const NO_ANSWER = 0;
const RETRY_AFTER_MS = 5_000;
const WAIT_QUERY = /[?&]waitMs=([0-9]{1,6})(?:&|$)/;

/** What the desk needs from its process. */
export interface JobApiOptions {
  readonly timer: Timer;
  readonly jobs: JobService;
  readonly keys: KeyService;
}

/**
 * Stands for the upstream in what a key's home remembers of a job: the nonce
 * beside it is then the job's id, so that a resend finds the same job.
 */
const JOB_UPSTREAM = "~job" as UpstreamId;

/** The job form of a request: taken now, run later, fetched once. */
export class JobApi {
  readonly #options: JobApiOptions;

  constructor(options: JobApiOptions) {
    this.#options = options;
  }

  /** Whether a path belongs to jobs. */
  handlesPath(path: string): boolean {
    return path.startsWith(`${JOBS_PATH}/`);
  }

  /** Takes a job; 202 only once copies in other failure domains hold it. */
  async submit(
    request: AcceptedRequest,
    outgoing: ServerResponse,
  ): Promise<void> {
    const taken = request.idempotencyKey === undefined
      ? await this.#accept(request)
      : await this.#acceptOnce(request, request.idempotencyKey);
    if (taken.isErr()) writeProblem(outgoing, taken.error);
    else writeTaken(outgoing, taken.value);
  }

  /** A resend of a keyed job gets the job that the first sending made. */
  async #acceptOnce(
    request: AcceptedRequest,
    key: IdempotencyKey,
  ): Promise<Result<JobId, Problem>> {
    const { keys } = this.#options;
    const outcome = await keys.claim({
      account: request.account.account,
      key,
      request: request.request,
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
    const { keys } = this.#options;
    const accepted = await this.#accept(request);
    if (accepted.isOk()) {
      keys.markDispatched(owned, {
        upstream: JOB_UPSTREAM,
        nonce: accepted.value as string as Nonce,
      });
    } else if (accepted.error.ending === "not-run") {
      const isReleased = await keys.release(owned);
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

  /** Answers a question about a job; waits a bounded time where the caller wants to. */
  async fetch(
    { path, account, outgoing }: {
      path: string;
      account: ClientAccountId;
      outgoing: ServerResponse;
    },
  ): Promise<void> {
    const id = path.slice(JOBS_PATH.length + 1).split("?", 1)[0] as JobId;
    const end = this.#options.timer.now() + waitOf(path);
    while (true) {
      const found = await this.#options.jobs.lookUp(id, account);
      if (found.isErr()) {
        writeProblem(
          outgoing,
          problemOf(
            found.error.kind === "not-found"
              ? "unknown-job"
              : "key-home-unreachable",
          ),
        );
        return;
      }
      if (found.value.kind === "ended") {
        this.#deliver(id, { account, outgoing, answer: found.value.answer });
        return;
      }
      if (this.#options.timer.now() >= end || outgoing.destroyed) {
        writeStatus(outgoing, { id, state: found.value.kind });
        return;
      }
      await sleep(this.#options.timer, POLL_MS);
    }
  }

  /**
   * The job is forgotten only after the caller has taken the whole answer; a
   * connection that breaks before leaves it to be fetched again.
   */
  #deliver(
    id: JobId,
    { account, outgoing, answer }: {
      account: ClientAccountId;
      outgoing: ServerResponse;
      answer: JobResponse;
    },
  ): void {
    outgoing.once(
      "finish",
      () => this.#options.jobs.recordFetched(id, account),
    );
    outgoing.setHeader("x-job-ending", answer.ending);
    if (answer.status === NO_ANSWER) {
      const { ending } = answer;
      return writeProblem(outgoing, { ...problemOf("job-stranded"), ending });
    }
    outgoing.writeHead(answer.status, answer.headers);
    outgoing.end(Buffer.from(answer.body));
  }
}

const REFUSALS: Record<JobRefusal["kind"], ProblemName> = {
  "full": "job-refused",
  "too-large": "body-too-large",
  "too-long": "malformed-request",
  "no-copies": "job-refused",
  "stopping": "stopping",
  "unconfirmed": "job-unconfirmed",
};

function problemOfJobRefusal(refusal: JobRefusal): Problem {
  return problemOf(REFUSALS[refusal.kind], {
    retryAfter: "retryAfterMs" in refusal
      ? refusal.retryAfterMs
      : RETRY_AFTER_MS,
  });
}

function waitOf(path: string): Milliseconds {
  return Math.min(MAX_WAIT_MS, Number(WAIT_QUERY.exec(path)?.[1] ?? 0));
}

function writeTaken(outgoing: ServerResponse, id: JobId): void {
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
