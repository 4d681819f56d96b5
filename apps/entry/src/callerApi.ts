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

/** An answer that is on its way. */
export interface ServedResponse {
  readonly response: BufferedResponse;
  /** The caller is gone; work that nobody will fetch should end. */
  handleDisconnect(): void;
}

/** Serves accepted requests; the rim knows no more of them. */
export interface RequestService {
  serve(request: AcceptedRequest): ServedResponse;
}

/** What the caller interface needs from its process. */
export interface CallerApiOptions {
  readonly blackboard: Blackboard;
  readonly timer: Timer;
  readonly random: Random;
  readonly metrics: Metrics;
  readonly bundleInForce: Topic<SignedBundle | undefined>;
  readonly maximumBodyBytes: number;
  readonly isStopping: () => boolean;
  /** The earliest moment at which a request that is read now can have arrived. */
  readonly earliestArrival: () => Milliseconds;
  /** Serves requests without an idempotency key. */
  readonly unkeyedService: RequestService;
  readonly keyedService: RequestService;
  readonly mintTicket: (account: ClientAccountId) => IdempotencyKey;
  readonly jobApi: JobApi;
}

/** The HTTP interface for callers. */
export class CallerApi {
  readonly #options: CallerApiOptions;
  #authenticator: { bundle: Bundle; authenticator: Authenticator } | undefined;

  constructor(options: CallerApiOptions) {
    this.#options = options;
  }

  /** Serves one request from its first byte to its ending. */
  async handle(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
  ): Promise<void> {
    try {
      const problem = await this.#accept(incoming, outgoing);
      if (problem !== undefined) this.#refuse(problem, { incoming, outgoing });
    } catch {
      // A broken invariant; what ran of the request is not known here.
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
      problem: hasKey(incoming) ? aboutKey(problem) : problem,
      maximumBytes: maximumBodyBytes,
    });
  }

  async #accept(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
  ): Promise<Problem | undefined> {
    const { blackboard, bundleInForce, isStopping, jobApi: jobDesk } =
      this.#options;
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
    if (jobDesk.handlesPath(path)) {
      await jobDesk.fetch({ path, account: account.account, outgoing });
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
    if (wantsJob(incoming)) await jobDesk.submit(accepted.value, outgoing);
    else {await this.#relay(
        this.#serviceFor(accepted.value).serve(accepted.value),
        outgoing,
      );}
    return undefined;
  }

  #serviceFor({ idempotencyKey: key }: AcceptedRequest): RequestService {
    const { unkeyedService: service, keyedService } = this.#options;
    return key === undefined ? service : keyedService;
  }

  async #relay(
    answer: ServedResponse,
    outgoing: ServerResponse,
  ): Promise<void> {
    outgoing.on("close", () => {
      if (!outgoing.writableFinished) answer.handleDisconnect();
    });
    await writeResponse(answer.response, outgoing);
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

/** Refusals that these bytes get from every host under every bundle. */
const SAME_EVERYWHERE = new Set<ProblemName>([
  "malformed-request",
  "body-too-large",
]);

function hasKey({ headers }: IncomingMessage): boolean {
  return headers[IDEMPOTENCY_KEY_HEADER] !== undefined;
}

/**
 * A host that refuses before it has asked for the key knows only that it did
 * nothing itself: the key's first sending may run through another host. Without
 * this a caller would be told "not run" of a request that has run.
 */
function aboutKey(problem: Problem): Problem {
  if (SAME_EVERYWHERE.has(problem.name)) return problem;
  return { ...problem, ending: "unknown" };
}

const RESPOND_ASYNC = /(?:^|,)\s*respond-async\s*(?:,|;|$)/;

/** RFC 7240: the caller prefers a 202 and a location to waiting. */
function wantsJob({ headers }: IncomingMessage): boolean {
  return RESPOND_ASYNC.test(String(headers.prefer ?? ""));
}

/** A ticket is an idempotency key that this process alone decides about. */
function writeTicket(outgoing: ServerResponse, key: IdempotencyKey): void {
  outgoing.writeHead(201, {
    "content-type": "application/json",
    "cache-control": "no-store",
  });
  outgoing.end(JSON.stringify({ key }));
}
