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

/** Claims of one request: the owner may die while its answer is relayed, more often is an outage. */
const MAX_CLAIMS = 3;
/** Time for a grant that was lost on its way to be asked for again. */
const GRANT_WAIT_MS = 400;

/** What a {@link KeyedRequestService} needs from its process. */
export interface KeyedRequestServiceOptions {
  readonly services: ExchangeServices;
  readonly keys: KeyService;
  readonly relay: ResponseRelay;
  readonly retainedResponses: RetainedResponses;
}

/**
 * Serves requests that carry an idempotency key. The key is claimed at its home
 * before the request queues; whoever owns it runs it, everybody else joins the
 * owner's answer or, when the owner is gone, resumes at its upstream.
 */
export class KeyedRequestService implements RequestService {
  readonly #options: KeyedRequestServiceOptions;
  readonly #open = new Set<BufferedResponse>();

  constructor(options: KeyedRequestServiceOptions) {
    this.#options = options;
  }

  /** Answers that have not ended. */
  get openResponses(): number {
    return this.#open.size;
  }

  serve(request: AcceptedRequest): ServedResponse {
    const served = new KeyedAnswer(request, this.#options);
    this.#open.add(served.response);
    void served.run().then(() => this.#open.delete(served.response));
    return served;
  }
}

/** One resend, or first sending, of a keyed request. */
class KeyedAnswer implements ServedResponse {
  readonly response = new BufferedResponse({ isReplayable: true });
  readonly #request: AcceptedRequest;
  readonly #options: KeyedRequestServiceOptions;
  #isHungUp = false;
  /** The owner's request whose answer this one has begun to copy. */
  #joined: RequestId | undefined;
  #onHangUp: (() => void) | undefined;

  constructor(request: AcceptedRequest, options: KeyedRequestServiceOptions) {
    this.#request = request;
    this.#options = options;
  }

  handleDisconnect(): void {
    this.#isHungUp = true;
    this.#onHangUp?.();
  }

  /** Claims and follows until the record has its end. */
  async run(): Promise<void> {
    for (
      let claim = 0;
      claim < MAX_CLAIMS && this.response.end === undefined;
      claim++
    ) {
      await this.#follow(await this.#claim());
    }
    this.#fail(problemOf("key-unknown"));
  }

  #claim(): Promise<ClaimOutcome> {
    const {
      account,
      idempotencyKey: key,
      request,
      fingerprint,
      isIdempotent,
      arrivedAt,
    } = this.#request;
    return this.#options.keys.claim({
      account: account.account,
      key: key!,
      request,
      bodyDigest: fingerprint,
      isIdempotent,
      ageMs: this.#options.services.timer.now() - arrivedAt,
    });
  }

  async #follow(outcome: ClaimOutcome): Promise<void> {
    if (this.response.head !== undefined && !this.#isJoined(outcome)) {
      // Another run's answer must not go on where the first one broke off.
      if (outcome.kind === "granted") {
        void this.#options.keys.release(outcome.owned);
      }
      this.#fail(problemOf("answer-broken"));
    } else if (outcome.kind === "granted") await this.#own(outcome.owned);
    else if (outcome.kind === "owned-by") await this.#join(outcome);
    else if (outcome.kind === "resume-at") await this.#resume(outcome.dispatch);
    else this.#fail(problemOfClaim(outcome));
  }

  #isJoined(outcome: ClaimOutcome): boolean {
    return outcome.kind === "owned-by" &&
      outcome.owner.request === this.#joined;
  }

  /** This host owns the key: only this exchange may dispatch it. */
  #own(owned: OwnedKey): Promise<void> {
    const { services, keys, retainedResponses: kept } = this.#options;
    return new Promise((resolve) => {
      const exchange: Exchange = new Exchange(this.#request, {
        services,
        response: this.response,
        hasEarlierAttempt: owned.attempt > 1,
        hooks: {
          beforeDispatch: ({ upstream, nonce }) => {
            const isAllowed = keys.markDispatched(owned, { upstream, nonce });
            return Promise.resolve(
              isAllowed ? undefined : problemOf("key-expired"),
            );
          },
          onConnectionRefused: () => keys.markRefused(owned),
          confirmNotRun: () => keys.release(owned),
        },
        onEnd: (end) => {
          this.#tellHome(owned, { end, target: exchange.target });
          kept.recordEnd(this.#request.request);
          resolve();
        },
      });
      kept.add(this.#request.request, this.response);
      this.#onHangUp = () => this.#cancelAfterGrace(exchange);
      exchange.start();
      if (this.#isHungUp) this.#cancelAfterGrace(exchange);
    });
  }

  #tellHome(
    owned: OwnedKey,
    { end, target }: { end: ResponseEnd; target: DispatchTarget | undefined },
  ): void {
    if (end.kind !== "whole" || target === undefined) return;
    this.#options.keys.markFinished(owned, dispatchOf(target));
  }

  /**
   * A caller that hung up may be about to ask again through another host, as
   * balancers make it do. Cancelling at once would waste the prefill and leave
   * the resend nothing to join, so the work goes on for a while.
   */
  #cancelAfterGrace(exchange: Exchange): void {
    const { timer } = this.#options.services;
    const check: TimerSubscription = timer.after(RESEND_GRACE_MS, () => {
      check.cancel();
      const isWanted = this.response.readerCount > 0 ||
        exchange.phase === "ended";
      // What may not be repeated runs to its end, so that its outcome is known.
      const isSacred = exchange.phase === "dispatched" &&
        !this.#request.isIdempotent;
      if (!isWanted && !isSacred) exchange.cancel(problemOf("answer-late"));
    });
  }

  async #join(outcome: ClaimOutcome & { kind: "owned-by" }): Promise<void> {
    const { services, relay, retainedResponses: kept } = this.#options;
    const { host, request } = outcome.owner;
    this.#joined = request;
    services.metrics.count("key.joined");
    if (host === services.host) {
      const source = kept.find(request);
      if (source === undefined) await this.#onNotKept(outcome);
      else await this.#copy(source);
      return;
    }
    const end = await relay.copyResponse({
      owner: host,
      request,
      record: this.response,
    });
    if (end === "not-kept") await this.#onNotKept(outcome);
  }

  /**
   * The owner forgot the answer, and the upstream may still hold it; or the
   * owner has not heard yet that it is the owner.
   */
  async #onNotKept(
    { dispatch, state }: ClaimOutcome & { kind: "owned-by" },
  ): Promise<void> {
    if (state === "waiting" && this.response.head === undefined) {
      await sleep(this.#options.services.timer, GRANT_WAIT_MS);
    } else if (this.response.head !== undefined || dispatch === undefined) {
      this.#fail(problemOf("answer-gone"));
    } else {
      await this.#resume(dispatch);
    }
  }

  async #copy(source: BufferedResponse): Promise<void> {
    const reader = source.openReaderAt(this.response.itemCount);
    if (reader === undefined) {
      this.#fail(problemOf("answer-gone"));
      return;
    }
    while (this.response.end === undefined) {
      const step = await reader.next();
      if (step.kind === "head") this.response.writeHead(step.head);
      else if (step.kind === "part") this.response.append(step.part);
      else this.response.finish(step.end);
      if (this.response.isFull) await this.response.whenWritable();
    }
    reader.close();
  }

  /** The owner is gone after its dispatch. A resume is no second dispatch. */
  #resume({ upstream, nonce }: Dispatch): Promise<void> {
    const target = this.#targetOf(upstream, nonce);
    if (target === undefined || this.response.head !== undefined) {
      this.#fail(problemOf("key-unknown"));
      return Promise.resolve();
    }
    const { services, retainedResponses: kept } = this.#options;
    services.metrics.count("key.resumed");
    const exchange = new Exchange(this.#request, {
      services,
      response: this.response,
      onEnd: () => kept.recordEnd(this.#request.request),
    });
    kept.add(this.#request.request, this.response);
    this.#onHangUp = () => this.#cancelAfterGrace(exchange);
    return exchange.resumeAt(target);
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
