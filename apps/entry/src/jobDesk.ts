import type { ServerResponse } from "node:http";
import { Buffer } from "node:buffer";
import type {
  ClientAccountId,
  JobId,
  Milliseconds,
  Timer,
} from "@wasabivane/common";
import { sleep } from "@wasabivane/common";
import type {
  JobAnswer,
  JobRefusal,
  JobService,
} from "@wasabivane/coordination";
import type { AcceptedRequest } from "./acceptedRequest.ts";
import { writeProblem } from "./answerWriter.ts";
import { ANSWER_KEPT_MS, JOBS_PATH } from "./constants.ts";
import { type Problem, type ProblemName, problemOf } from "./problem.ts";

const MAX_WAIT_MS = 30_000;
const POLL_MS = 250;
const RETRY_AFTER_MS = 5_000;
const WAIT_QUERY = /[?&]waitMs=([0-9]{1,6})(?:&|$)/;

/** What the desk needs from its process. */
export interface JobDeskOptions {
  readonly timer: Timer;
  readonly jobs: JobService;
}

/** The job form of a request: taken now, run later, fetched once. */
export class JobDesk {
  readonly #options: JobDeskOptions;

  constructor(options: JobDeskOptions) {
    this.#options = options;
  }

  /** Whether a path belongs to jobs. */
  serves(path: string): boolean {
    return path.startsWith(`${JOBS_PATH}/`);
  }

  /** Takes a job; 202 only once copies in other failure domains hold it. */
  async take(
    request: AcceptedRequest,
    outgoing: ServerResponse,
  ): Promise<void> {
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
        ANSWER_KEPT_MS,
    });
    if (accepted.isErr()) {
      writeProblem(outgoing, problemOfJobRefusal(accepted.error));
    } else writeTaken(outgoing, accepted.value.id);
  }

  /** Answers a question about a job; waits a bounded time where the caller wants to. */
  async tell(
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
      answer: JobAnswer;
    },
  ): void {
    outgoing.once(
      "finish",
      () => this.#options.jobs.recordFetched(id, account),
    );
    outgoing.writeHead(answer.status, {
      ...answer.headers,
      "x-job-ending": answer.ending,
    });
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
