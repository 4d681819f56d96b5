import { Buffer } from "node:buffer";
import {
  type Blackboard,
  Controller,
  type JobId,
  type Metrics,
  type Milliseconds,
  type Random,
  type RequestId,
  type Timer,
  type TimerSubscription,
  type Topic,
} from "@wasabivane/common";
import type { SignedBundle } from "@wasabivane/bundle";
import type {
  Job,
  JobDispatch,
  JobResponse,
  JobService,
  JobTakeover,
  ReadyJob,
} from "@wasabivane/coordination";
import type { AcceptedRequest } from "./acceptedRequest.ts";
import type {
  ResponseEnd,
  ResponseHead,
  ResponseReader,
} from "./bufferedResponse.ts";
import { RESPONSE_RETENTION_MS } from "./constants.ts";
import type { DispatchTarget } from "./dispatch.ts";
import { Exchange, type ExchangeServices } from "./exchange.ts";
import {
  type JobContext,
  requestOfJob,
  resumedRequestOfJob,
} from "./jobRequest.ts";
import {
  problemDocument,
  problemHeaders,
  problemOf,
  PROBLEMS,
} from "./problem.ts";

const POLL_PERIOD_MS = 500;
const REQUEST_ID_BYTES = 9;
/** Minimum delay before a refused job is retried. */
const MIN_RETRY_DELAY_MS = 1_000;

/** Options of a {@link JobRunner}. */
export interface JobRunnerOptions {
  readonly blackboard: Blackboard;
  readonly timer: Timer;
  readonly random: Random;
  readonly metrics: Metrics;
  readonly bundleInForce: Topic<SignedBundle | undefined>;
  readonly jobs: JobService;
  readonly services: ExchangeServices;
}

/**
 * Runs the jobs that this host holds, through the same scheduler as other
 * requests. Records each dispatch on the job's replicas before the first byte
 * is sent, so that no other host repeats it.
 */
export class JobRunner extends Controller {
  readonly #options: JobRunnerOptions;
  readonly #exchanges = new Map<JobId, Exchange>();
  readonly #retryNotBefore = new Map<JobId, Milliseconds>();
  #pollTimer: TimerSubscription | undefined;
  #unsubscribeTakeovers: (() => void) | undefined;

  constructor(options: JobRunnerOptions) {
    super();
    this.#options = options;
  }

  override start(): void {
    const { timer, jobs } = this.#options;
    this.#pollTimer = timer.every(POLL_PERIOD_MS, () => this.#poll());
    this.#unsubscribeTakeovers = jobs.onTakeover((takeover) =>
      this.#takeOver(takeover)
    );
  }

  override stop(): void {
    this.#pollTimer?.cancel();
    this.#unsubscribeTakeovers?.();
  }

  /** Number of jobs that wait at the scheduler or run at an upstream. */
  get activeCount(): number {
    return this.#exchanges.size;
  }

  /** Number of jobs that run at an upstream. */
  get dispatchedCount(): number {
    return [...this.#exchanges.values()]
      .filter(({ phase }) => phase === "dispatched").length;
  }

  /** Withdraws the placement requests of all waiting jobs before a handover. */
  withdrawWaiting(): void {
    this.#pollTimer?.cancel();
    for (const exchange of this.#exchanges.values()) {
      if (exchange.phase === "waiting") exchange.cancel(problemOf("stopping"));
    }
  }

  #poll(): void {
    const now = this.#options.timer.now();
    for (const ready of this.#options.jobs.readyJobs()) {
      const { id } = ready.job;
      if (
        this.#exchanges.has(id) || (this.#retryNotBefore.get(id) ?? 0) > now
      ) {
        continue;
      }
      this.#run(ready);
    }
  }

  #run({ job, recordedDispatch }: ReadyJob): void {
    const request = this.#requestOf(job);
    if (request === undefined) {
      this.#postpone(job.id, MIN_RETRY_DELAY_MS);
      return;
    }
    const exchange = this.#createExchange(job, request);
    if (recordedDispatch === undefined) {
      exchange.start();
      return;
    }
    const target = targetOf(request, recordedDispatch);
    if (target !== undefined) exchange.dispatchTo(target);
    else {this.#finish(job.id, {
        kind: "failed",
        problem: problemOf("answer-broken"),
      });}
  }

  /** Resumes a job that its former holder has dispatched. */
  #takeOver({ job, dispatchToResume }: JobTakeover): void {
    if (dispatchToResume === undefined || this.#exchanges.has(job.id)) return;
    const context = this.#createContext(job);
    const request = context && resumedRequestOfJob(job, context);
    const target = request && targetOf(request, dispatchToResume);
    if (request === undefined || target === undefined) {
      this.#finish(job.id, {
        kind: "failed",
        problem: problemOf("answer-broken"),
      });
      return;
    }
    this.#options.metrics.count("jobs_resumed");
    void this.#createExchange(job, request).resumeDispatch(target);
  }

  #createExchange(job: Job, request: AcceptedRequest): Exchange {
    const { jobs, services } = this.#options;
    const exchange = new Exchange(request, {
      services,
      hooks: {
        beforeDispatch: async ({ upstream, nonce }) => {
          const recorded = await jobs.recordDispatch(job.id, {
            upstream,
            nonce,
          });
          return recorded.isOk() ? undefined : problemOf("job-refused");
        },
        // The recorded dispatch names the upstream and cannot be changed.
        isUpstreamPinned: true,
      },
    });
    this.#exchanges.set(job.id, exchange);
    void this.#awaitResponse(job.id, exchange);
    return exchange;
  }

  async #awaitResponse(id: JobId, exchange: Exchange): Promise<void> {
    const { head, parts, end } = await collectResponse(
      exchange.response.openReader()!,
    );
    this.#exchanges.delete(id);
    if (end.kind === "whole") {
      this.#finish(id, end, { head, body: Buffer.concat(parts) });
    } else if (end.problem.ending === "unknown") {
      this.#finish(id, end);
    } else {
      await this.#onNotRun(id, { end, request: exchange.request });
    }
  }

  async #onNotRun(
    id: JobId,
    { end, request }: {
      end: ResponseEnd & { kind: "failed" };
      request: AcceptedRequest;
    },
  ): Promise<void> {
    const { timer, jobs } = this.#options;
    // No byte was sent, so a dispatch recorded on the replicas is void.
    await jobs.recordUnsent(id);
    // A quarantined poison request is not retried.
    const isFinal = timer.now() >= request.deadline ||
      end.problem.name === "convicted";
    if (!isFinal) {
      this.#postpone(id, end.problem.retryAfter ?? MIN_RETRY_DELAY_MS);
      return;
    }
    const withdrawn = await jobs.withdraw(id);
    if (withdrawn.isOk()) this.#finish(id, end);
  }

  #finish(
    id: JobId,
    end: ResponseEnd,
    response?: { head: ResponseHead | undefined; body: Buffer },
  ): void {
    this.#retryNotBefore.delete(id);
    this.#options.jobs.recordFinished(id, jobResponseOf(end, response));
  }

  #postpone(id: JobId, delay: Milliseconds): void {
    this.#retryNotBefore.set(
      id,
      this.#options.timer.now() + Math.max(MIN_RETRY_DELAY_MS, delay),
    );
  }

  #requestOf(job: Job): AcceptedRequest | undefined {
    const context = this.#createContext(job);
    return context && requestOfJob(job, context);
  }

  #createContext(job: Job): JobContext | undefined {
    const { blackboard, bundleInForce, timer, random } = this.#options;
    const bundle = blackboard.read(bundleInForce)?.bundle;
    if (bundle === undefined) return undefined;
    return {
      bundle,
      request: random.hex(REQUEST_ID_BYTES) as RequestId,
      now: timer.now(),
      timeLeft: job.expiresAt - RESPONSE_RETENTION_MS - timer.wallNow(),
    };
  }
}

function targetOf(
  { bundle }: AcceptedRequest,
  { upstream, nonce }: JobDispatch,
): DispatchTarget | undefined {
  const found = bundle.upstreams.find((candidate) =>
    candidate.upstream === upstream
  );
  return found && { upstream, nonce, url: found.url };
}

async function collectResponse(
  reader: ResponseReader,
): Promise<
  { head: ResponseHead | undefined; parts: Uint8Array[]; end: ResponseEnd }
> {
  let head: ResponseHead | undefined;
  const parts: Uint8Array[] = [];
  while (true) {
    const item = await reader.next();
    if (item.kind === "head") head = item.head;
    else if (item.kind === "part") parts.push(item.part);
    else return { head, parts, end: item.end };
  }
}

function jobResponseOf(
  end: ResponseEnd,
  response?: { head: ResponseHead | undefined; body: Buffer },
): JobResponse {
  if (end.kind === "whole") {
    const { status = 200, headers = {} } = response?.head ?? {};
    return {
      ending: "whole",
      status,
      headers,
      body: response?.body ?? Buffer.alloc(0),
    };
  }
  const { problem } = end;
  return {
    ending: problem.ending,
    status: PROBLEMS[problem.name].status,
    headers: problemHeaders(problem),
    body: Buffer.from(JSON.stringify(problemDocument(problem))),
  };
}
