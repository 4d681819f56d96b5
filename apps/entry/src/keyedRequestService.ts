import {
  type RequestId,
  sleep,
  type TimerSubscription,
  type UpstreamId,
} from "@wasabivane/common";
import type {
  ClaimOutcome,
  Dispatch,
  KeyService,
  OwnedKey,
} from "@wasabivane/coordination";
import type { AcceptedRequest } from "./acceptedRequest.ts";
import { RESEND_GRACE_MS, type ResponseRelay } from "./responseRelay.ts";
import { BufferedResponse, type ResponseEnd } from "./bufferedResponse.ts";
import type { RequestService, ServedResponse } from "./callerApi.ts";
import { problemOfClaim } from "./claimProblem.ts";
import type { DispatchTarget } from "./dispatch.ts";
import { Exchange, type ExchangeServices } from "./exchange.ts";
import type { RetainedResponses } from "./retainedResponses.ts";
import { type Problem, problemOf } from "./problem.ts";

/**
 * Claims per request, since the owner may fail while its response is relayed.
 */
const MAX_CLAIMS = 3;
/** Time for an owner to learn of its grant if the first reply was lost. */
const GRANT_DELIVERY_WAIT_MS = 400;

/** Options of a {@link KeyedRequestService}. */
export interface KeyedRequestServiceOptions {
  readonly services: ExchangeServices;
  readonly keyService: KeyService;
  readonly relay: ResponseRelay;
  readonly retainedResponses: RetainedResponses;
}

/**
 * Serves requests with an idempotency key. Claims the key at its home before
 * the request is queued. The owner of the key runs the request; other hosts
 * copy the owner's response or, if the owner is gone, resume it at the
 * upstream.
 */
export class KeyedRequestService implements RequestService {
  readonly #options: KeyedRequestServiceOptions;
  readonly #openResponses = new Set<BufferedResponse>();

  constructor(options: KeyedRequestServiceOptions) {
    this.#options = options;
  }

  /** Number of responses that have not ended. */
  get openResponses(): number {
    return this.#openResponses.size;
  }

  serve(request: AcceptedRequest): ServedResponse {
    const served = new KeyedResponse(request, this.#options);
    this.#openResponses.add(served.response);
    void served.run().then(() => this.#openResponses.delete(served.response));
    return served;
  }
}

/** Serves one keyed request, which may be a resend. */
class KeyedResponse implements ServedResponse {
  readonly response = new BufferedResponse({ isReplayable: true });
  readonly #request: AcceptedRequest;
  readonly #options: KeyedRequestServiceOptions;
  #isDisconnected = false;
  /** The owner's request whose response is being copied. */
  #joinedRequest: RequestId | undefined;
  #onDisconnect: (() => void) | undefined;

  constructor(request: AcceptedRequest, options: KeyedRequestServiceOptions) {
    this.#request = request;
    this.#options = options;
  }

  handleDisconnect(): void {
    this.#isDisconnected = true;
    this.#onDisconnect?.();
  }

  /** Claims the key and handles the outcome until the response has ended. */
  async run(): Promise<void> {
    for (
      let claim = 0;
      claim < MAX_CLAIMS && this.response.end === undefined;
      claim++
    ) {
      await this.#handleOutcome(await this.#claim());
    }
    this.#fail(problemOf("key-unknown"));
  }

  #claim(): Promise<ClaimOutcome> {
    const {
      account,
      idempotencyKey,
      requestId: request,
      fingerprint,
      isIdempotent,
      arrivedAt,
    } = this.#request;
    return this.#options.keyService.claim({
      account: account.account,
      key: idempotencyKey!,
      request,
      bodyDigest: fingerprint,
      isIdempotent,
      ageMs: this.#options.services.timer.now() - arrivedAt,
    });
  }

  async #handleOutcome(outcome: ClaimOutcome): Promise<void> {
    if (this.response.head !== undefined && !this.#isJoinedRequest(outcome)) {
      // A response must not be continued with that of another run.
      if (outcome.kind === "granted") {
        void this.#options.keyService.release(outcome.owned);
      }
      this.#fail(problemOf("answer-broken"));
    } else if (outcome.kind === "granted") await this.#runOwned(outcome.owned);
    else if (outcome.kind === "owned-by") await this.#join(outcome);
    else if (outcome.kind === "resume-at") await this.#resume(outcome.dispatch);
    else this.#fail(problemOfClaim(outcome));
  }

  #isJoinedRequest(outcome: ClaimOutcome): boolean {
    return outcome.kind === "owned-by" &&
      outcome.owner.request === this.#joinedRequest;
  }

  /** Runs the request; this host owns its key. */
  #runOwned(owned: OwnedKey): Promise<void> {
    const { services, keyService, retainedResponses } = this.#options;
    return new Promise((resolve) => {
      const exchange: Exchange = new Exchange(this.#request, {
        services,
        response: this.response,
        hasEarlierAttempt: owned.attempt > 1,
        hooks: {
          beforeDispatch: ({ upstream, nonce }) => {
            const isAllowed = keyService.markDispatched(owned, {
              upstream,
              nonce,
            });
            return Promise.resolve(
              isAllowed ? undefined : problemOf("key-expired"),
            );
          },
          onConnectionRefused: () => keyService.markConnectionRefused(owned),
          confirmNotRun: () => keyService.release(owned),
        },
        onEnd: (end) => {
          this.#reportFinished(owned, { end, target: exchange.target });
          retainedResponses.recordEnd(this.#request.requestId);
          resolve();
        },
      });
      retainedResponses.add(this.#request.requestId, this.response);
      this.#onDisconnect = () => this.#cancelAfterGrace(exchange);
      exchange.start();
      if (this.#isDisconnected) this.#cancelAfterGrace(exchange);
    });
  }

  #reportFinished(
    owned: OwnedKey,
    { end, target }: { end: ResponseEnd; target: DispatchTarget | undefined },
  ): void {
    if (end.kind !== "whole" || target === undefined) return;
    this.#options.keyService.markFinished(owned, dispatchOf(target));
  }

  /**
   * Cancels after a grace period, in which a resend, possibly through another
   * host, can join the response.
   */
  #cancelAfterGrace(exchange: Exchange): void {
    const { timer } = this.#options.services;
    const graceTimer: TimerSubscription = timer.after(RESEND_GRACE_MS, () => {
      graceTimer.cancel();
      const isNeeded = this.response.readerCount > 0 ||
        exchange.phase === "ended";
      // Runs a non-idempotent request to its end, so that its outcome is known.
      const shouldFinish = exchange.phase === "dispatched" &&
        !this.#request.isIdempotent;
      if (!isNeeded && !shouldFinish) exchange.cancel(problemOf("answer-late"));
    });
  }

  async #join(outcome: ClaimOutcome & { kind: "owned-by" }): Promise<void> {
    const { services, relay, retainedResponses } = this.#options;
    const { host, request } = outcome.owner;
    this.#joinedRequest = request;
    services.metrics.count("key.joined");
    if (host === services.host) {
      const source = retainedResponses.find(request);
      if (source === undefined) await this.#onNotRetained(outcome);
      else await this.#copyLocal(source);
      return;
    }
    const end = await relay.copyResponse({
      owner: host,
      request,
      response: this.response,
    });
    if (end === "not-kept") await this.#onNotRetained(outcome);
  }

  /**
   * Handles an owner that does not have the response: either it does not know
   * of its grant yet, or it has evicted the response, which the upstream may
   * hold.
   */
  async #onNotRetained(
    { dispatch, state }: ClaimOutcome & { kind: "owned-by" },
  ): Promise<void> {
    if (state === "waiting" && this.response.head === undefined) {
      await sleep(this.#options.services.timer, GRANT_DELIVERY_WAIT_MS);
    } else if (this.response.head !== undefined || dispatch === undefined) {
      this.#fail(problemOf("answer-gone"));
    } else {
      await this.#resume(dispatch);
    }
  }

  async #copyLocal(source: BufferedResponse): Promise<void> {
    const reader = source.openReaderAt(this.response.itemCount);
    if (reader === undefined) {
      this.#fail(problemOf("answer-gone"));
      return;
    }
    while (this.response.end === undefined) {
      const item = await reader.next();
      if (item.kind === "head") this.response.writeHead(item.head);
      else if (item.kind === "part") this.response.append(item.part);
      else this.response.finish(item.end);
      if (this.response.isFull) await this.response.whenWritable();
    }
    reader.close();
  }

  /**
   * Resumes at the upstream after the owner is gone; this is no second
   * dispatch.
   */
  #resume({ upstream, nonce }: Dispatch): Promise<void> {
    const target = this.#targetOf(upstream, nonce);
    if (target === undefined || this.response.head !== undefined) {
      this.#fail(problemOf("key-unknown"));
      return Promise.resolve();
    }
    const { services, retainedResponses } = this.#options;
    services.metrics.count("key.resumed");
    const exchange = new Exchange(this.#request, {
      services,
      response: this.response,
      onEnd: () => retainedResponses.recordEnd(this.#request.requestId),
    });
    retainedResponses.add(this.#request.requestId, this.response);
    this.#onDisconnect = () => this.#cancelAfterGrace(exchange);
    return exchange.resumeDispatch(target);
  }

  #targetOf(
    upstream: UpstreamId,
    nonce: Dispatch["nonce"],
  ): DispatchTarget | undefined {
    const found = this.#request.bundle.upstreams.find((candidate) =>
      candidate.upstream === upstream
    );
    return found && { upstream, nonce, url: found.url };
  }

  #fail(problem: Problem): void {
    this.response.finish({ kind: "failed", problem });
  }
}

function dispatchOf({ upstream, nonce }: DispatchTarget): Dispatch {
  return { upstream, nonce };
}
