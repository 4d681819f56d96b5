import type { IncomingMessage, ServerResponse } from "node:http";
import type {
  Blackboard,
  ClientAccountId,
  IdempotencyKey,
  Metrics,
  Milliseconds,
  Random,
  RequestId,
  Timer,
  Topic,
} from "@wasabivane/common";
import type { Bundle, SignedBundle } from "@wasabivane/bundle";
import type { AcceptedRequest } from "./acceptedRequest.ts";
import type { BufferedResponse } from "./bufferedResponse.ts";
import {
  refuseUnreadRequest,
  writeProblem,
  writeResponse,
} from "./responseWriter.ts";
import { Authenticator } from "./authenticator.ts";
import { IDEMPOTENCY_KEY_HEADER, TICKETS_PATH } from "./constants.ts";
import { acceptRequest } from "./acceptRequest.ts";
import type { JobApi } from "./jobApi.ts";
import { type Problem, type ProblemName, problemOf } from "./problem.ts";
import { readBody } from "./requestBody.ts";
import { checkRequestHead } from "./requestHead.ts";

const REQUEST_ID_BYTES = 9;
const RETRY_AFTER_MS = 2_000;

/** A response in progress. */
export interface ServedResponse {
  readonly response: BufferedResponse;
  /**
   * Handles a caller's disconnect: work that nobody waits for may be cancelled.
   */
  handleDisconnect(): void;
}

/** Serves accepted requests. */
export interface RequestService {
  serve(request: AcceptedRequest): ServedResponse;
}

/** Options of a {@link CallerApi}. */
export interface CallerApiOptions {
  readonly blackboard: Blackboard;
  readonly timer: Timer;
  readonly random: Random;
  readonly metrics: Metrics;
  readonly bundleInForce: Topic<SignedBundle | undefined>;
  readonly maximumBodyBytes: number;
  readonly isStopping: () => boolean;
  /** The earliest time at which a request that is read now can have arrived. */
  readonly earliestArrival: () => Milliseconds;
  /** Serves requests without an idempotency key. */
  readonly unkeyedService: RequestService;
  readonly keyedService: RequestService;
  readonly mintTicket: (account: ClientAccountId) => IdempotencyKey;
  readonly jobApi: JobApi;
}

/** Handles the HTTP requests of callers. */
export class CallerApi {
  readonly #options: CallerApiOptions;
  #authenticator: { bundle: Bundle; authenticator: Authenticator } | undefined;

  constructor(options: CallerApiOptions) {
    this.#options = options;
  }

  /** Handles one request until its response has been sent. */
  async handle(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
  ): Promise<void> {
    try {
      const problem = await this.#handleRequest(incoming, outgoing);
      if (problem !== undefined) this.#refuse(problem, { incoming, outgoing });
    } catch {
      // An unexpected error: it is unknown whether the request has run.
      this.#options.metrics.count("request.internal_error");
      if (outgoing.headersSent) outgoing.destroy();
      else writeProblem(outgoing, problemOf("internal"));
    }
  }

  #refuse(
    problem: Problem,
    { incoming, outgoing }: {
      incoming: IncomingMessage;
      outgoing: ServerResponse;
    },
  ): void {
    const { metrics, maximumBodyBytes } = this.#options;
    metrics.count("request.refused_at_intake", 1, { problem: problem.name });
    refuseUnreadRequest(incoming, {
      outgoing,
      problem: hasIdempotencyKey(incoming)
        ? problemForKeyedRequest(problem)
        : problem,
      maximumBytes: maximumBodyBytes,
    });
  }

  async #handleRequest(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
  ): Promise<Problem | undefined> {
    const { blackboard, bundleInForce, isStopping, jobApi } = this.#options;
    const arrivedAt = this.#options.earliestArrival();
    if (isStopping()) {
      return problemOf("stopping", { retryAfter: RETRY_AFTER_MS });
    }
    const bundle = blackboard.read(bundleInForce)?.bundle;
    if (bundle === undefined) {
      return problemOf("not-ready", { retryAfter: RETRY_AFTER_MS });
    }
    const target = checkRequestHead(incoming);
    if (target.isErr()) return target.error;
    const path = target.value;
    const account = this.#authenticatorFor(bundle).authenticate(
      incoming.headers.authorization,
    );
    if (account === undefined) return problemOf("unauthenticated");
    if (jobApi.handlesPath(path)) {
      await jobApi.fetch({ path, account: account.account, outgoing });
      return undefined;
    }
    if (path === TICKETS_PATH && incoming.method === "POST") {
      writeTicket(outgoing, this.#options.mintTicket(account.account));
      return undefined;
    }
    const body = await readBody(incoming, this.#options.maximumBodyBytes);
    if (body.isErr()) return body.error;
    const accepted = acceptRequest({
      request: this.#options.random.hex(REQUEST_ID_BYTES) as RequestId,
      bundle,
      account,
      now: this.#options.timer.now(),
      arrivedAt,
      method: incoming.method ?? "GET",
      path,
      headers: incoming.headers,
      body: body.value,
    });
    if (accepted.isErr()) return accepted.error;
    if (isAsyncPreferred(incoming)) {
      await jobApi.submit(accepted.value, outgoing);
    } else {await this.#sendResponse(
        this.#serviceFor(accepted.value).serve(accepted.value),
        outgoing,
      );}
    return undefined;
  }

  #serviceFor({ idempotencyKey }: AcceptedRequest): RequestService {
    const { unkeyedService, keyedService } = this.#options;
    return idempotencyKey === undefined ? unkeyedService : keyedService;
  }

  async #sendResponse(
    served: ServedResponse,
    outgoing: ServerResponse,
  ): Promise<void> {
    outgoing.on("close", () => {
      if (!outgoing.writableFinished) served.handleDisconnect();
    });
    await writeResponse(served.response, outgoing);
  }

  #authenticatorFor(bundle: Bundle): Authenticator {
    if (this.#authenticator?.bundle !== bundle) {
      this.#authenticator = {
        bundle,
        authenticator: new Authenticator(bundle),
      };
    }
    return this.#authenticator.authenticator;
  }
}

/** Problems that depend on the request alone, not on the host or its bundle. */
const HOST_INDEPENDENT_PROBLEMS = new Set<ProblemName>([
  "malformed-request",
  "body-too-large",
]);

function hasIdempotencyKey({ headers }: IncomingMessage): boolean {
  return headers[IDEMPOTENCY_KEY_HEADER] !== undefined;
}

/**
 * Changes the ending of a problem to "unknown" for a request with an
 * idempotency key. The key has not been claimed yet, so the same request may be
 * running on another host, and "not run" could be wrong.
 */
function problemForKeyedRequest(problem: Problem): Problem {
  if (HOST_INDEPENDENT_PROBLEMS.has(problem.name)) return problem;
  return { ...problem, ending: "unknown" };
}

const RESPOND_ASYNC = /(?:^|,)\s*respond-async\s*(?:,|;|$)/;

/** Whether the caller prefers an asynchronous response (RFC 7240). */
function isAsyncPreferred({ headers }: IncomingMessage): boolean {
  return RESPOND_ASYNC.test(String(headers.prefer ?? ""));
}

/** Sends a ticket: an idempotency key whose home is this process. */
function writeTicket(outgoing: ServerResponse, key: IdempotencyKey): void {
  outgoing.writeHead(201, {
    "content-type": "application/json",
    "cache-control": "no-store",
  });
  outgoing.end(JSON.stringify({ key }));
}
