import {
  type ClientAccountId,
  Controller,
  type Digest,
  type EpochMilliseconds,
  type HostId,
  type IdempotencyKey,
  type Milliseconds,
  type Random,
  type RequestId,
  type TimerSubscription,
} from "@wasabivane/common";
import {
  canonicalKey,
  KEY_LIFETIME_MS,
  MAX_CALLER_CLOCK_SKEW_MS,
  MAX_HOST_CLOCK_SKEW_MS,
  mintTicket,
  type ParsedKey,
  parseKey,
} from "./idempotencyKeys.ts";
import type { Claim, ClaimReply, Dispatch } from "./keyClaims.ts";
import {
  type KeyControllerOptions,
  KeyHomeController,
} from "./keyHomeController.ts";
import {
  KEY_CLAIM,
  KEY_CLAIM_REPLY,
  KEY_UPDATE,
  KEY_UPDATE_ACK,
  type KeyUpdate,
} from "./keyMessages.ts";
import { ClaimTable, expiryOf, type OwnClaim } from "./claimTable.ts";
import { sendMessage, subscribeMessage } from "./peerMessages.ts";
import { homeOf } from "./views.ts";

/** How long a claim is tried for; a home that lost its leases has them again within this, or something is wrong. */
export const CLAIM_TIMEOUT_MS: Milliseconds = 3_000;
const CLAIM_RETRY_MS: Milliseconds = 200;
/** How long an owner waits for its home before it says "unknown" in place of "not run". */
const CONFIRM_TIMEOUT_MS: Milliseconds = 1_000;
const UPDATE_RETRY_MS: Milliseconds = 300;
/** Tries of an update; an owner that cannot reach the home for so long leaves the key unknown there. */
const UPDATE_TRIES = 40;
const PURGE_PERIOD_MS: Milliseconds = 10_000;
const CLAIM_ID_BYTES = 12;

/** A request that wants to own its key. */
export interface ClaimRequest {
  readonly account: ClientAccountId;
  readonly key: IdempotencyKey;
  readonly request: RequestId;
  readonly bodyDigest: Digest;
  readonly isIdempotent: boolean;
  /** How long ago the request can have come in at most; a paused process reads old ones. */
  readonly ageMs?: Milliseconds;
  /** How long resends are known; {@link KEY_LIFETIME_MS} unless it is a job. */
  readonly lifetimeMs?: Milliseconds;
  readonly timeoutMs?: Milliseconds;
}

/** A key that this process owns: it may dispatch once. */
export interface OwnedKey {
  readonly account: ClientAccountId;
  readonly key: IdempotencyKey;
  readonly claimId: string;
  readonly home: HostId;
  /** Above 1 when a caller sent an idempotent request again after "unknown". */
  readonly attempt: number;
  readonly expiresAt: EpochMilliseconds;
}

/** What a claim ended with. */
export type ClaimOutcome =
  | { readonly kind: "granted"; readonly owned: OwnedKey }
  | Exclude<ClaimReply, { kind: "granted" }>;

interface Waiter {
  readonly resolve: (outcome: ClaimOutcome) => void;
  /** What to say when time runs out. */
  fallback: ClaimOutcome;
  timers: TimerSubscription[];
}

/** An update that its home has not acknowledged. */
interface PendingUpdate {
  readonly repeating: TimerSubscription;
  readonly onTaken: (isReleased: boolean) => void;
}

/** What a {@link KeyService} needs from its process. */
export interface KeyServiceOptions extends KeyControllerOptions {
  readonly random: Random;
  readonly homeController?: KeyHomeController;
}

/**
 * The owner's side of idempotency keys: claims a key at its home before the
 * request queues, and tells the home what became of it.
 */
export class KeyService extends Controller {
  readonly #options: KeyServiceOptions;
  readonly #home: KeyHomeController;
  readonly #owner = new ClaimTable();
  readonly #waiters = new Map<string, Waiter>();
  readonly #updates = new Map<string, PendingUpdate>();
  readonly #subscriptions: (() => void)[] = [];
  #purging: TimerSubscription | undefined;

  constructor(options: KeyServiceOptions) {
    super();
    this.#options = options;
    this.#home = options.homeController ?? new KeyHomeController(options);
  }

  override start(): void {
    const { link, timer } = this.#options;
    this.#home.start();
    this.#subscriptions.push(
      subscribeMessage(link, KEY_CLAIM_REPLY, (from, { claimId, answer }) => {
        this.#onAnswer(claimId, answer, { from });
      }),
      subscribeMessage(link, KEY_UPDATE_ACK, (_from, taken) => {
        this.#endUpdate(updateKey(taken), taken.isReleased === true);
      }),
    );
    this.#purging = timer.every(PURGE_PERIOD_MS, () => {
      this.#owner.removeExpired(timer.wallNow());
    });
  }

  override stop(): void {
    this.#home.stop();
    for (const unsubscribe of this.#subscriptions.splice(0)) unsubscribe();
    for (const { repeating } of this.#updates.values()) repeating.cancel();
    this.#purging?.cancel();
  }

  /** A key for a caller that sends its request again if it must; only this process decides about it. */
  mintTicket(account: ClientAccountId): IdempotencyKey {
    const { host, incarnation, random, timer, secrets } = this.#options;
    return mintTicket({
      host,
      incarnation,
      account,
      random,
      issuedAt: timer.wallNow(),
      secret: secrets()[0]!,
    });
  }

  /** Claims a key; resolves within the timeout. */
  claim(request: ClaimRequest): Promise<ClaimOutcome> {
    const { account } = request;
    const key = canonicalKey(request.key);
    const secrets = this.#options.secrets();
    const parsed = parseKey(key, { account, secrets });
    if (parsed.isErr()) {
      return Promise.resolve(
        parsed.error.kind === "malformed"
          ? { kind: "not-run", reason: "malformed" }
          : { kind: "unknown", reason: "unauthenticated" },
      );
    }
    if (this.#isTooEarly(parsed.value)) {
      return Promise.resolve({ kind: "not-run", reason: "issued-in-future" });
    }
    const home = this.#homeOf(key, parsed.value);
    if (home === undefined) {
      return Promise.resolve({ kind: "unknown", reason: "home-inactive" });
    }
    const claim = this.#createClaim({ ...request, key }, parsed.value);
    return this.#pursue(claim, { home, timeoutMs: request.timeoutMs });
  }

  /**
   * Call right before the first byte is written, and write only if it says so.
   * It says so once per grant, not after a release, and not after the key's
   * lifetime: a process that slept since the grant must not write.
   */
  markDispatched(owned: OwnedKey, dispatch: Dispatch): boolean {
    const now = this.#options.timer.wallNow();
    if (!this.#owner.consumeGrant(owned.claimId, now)) return false;
    void this.#update(owned, { state: "dispatched", dispatch });
    return true;
  }

  /** The upstream refused the connection: no byte has left, so the right to dispatch is back. */
  markRefused(owned: OwnedKey): void {
    if (!this.#owner.restoreGrant(owned.claimId)) return;
    void this.#update(owned, { state: "refused" });
  }

  /** The whole answer is here. */
  markFinished(owned: OwnedKey, dispatch: Dispatch): void {
    void this.#update(owned, { state: "finished", dispatch });
  }

  /**
   * Gives a key back of which no byte was written. Resolves with true when the
   * home has it and granted it to nobody else: only then "not run" is true. An
   * owner that was paused or cut off may have been taken for dead meanwhile, and
   * its key granted anew.
   */
  release(owned: OwnedKey): Promise<boolean> {
    if (!this.#owner.release(owned.claimId)) return Promise.resolve(false);
    return this.#update(owned, { state: "released" });
  }

  /** Every host refuses such a key, however its clock stands, so that it never ran. */
  #isTooEarly({ issuedAt }: ParsedKey): boolean {
    const bound = MAX_CALLER_CLOCK_SKEW_MS + 2 * MAX_HOST_CLOCK_SKEW_MS;
    return issuedAt > this.#options.timer.wallNow() + bound;
  }

  #homeOf(key: string, parsed: ParsedKey): HostId | undefined {
    if (parsed.kind === "ticket") return parsed.host;
    const view = this.#options.views.newestView();
    return view === undefined ? undefined : homeOf(key, view);
  }

  #createClaim(request: ClaimRequest, parsed: ParsedKey): Claim {
    const { host, incarnation, random } = this.#options;
    return {
      account: request.account,
      key: request.key,
      issuedAt: parsed.issuedAt,
      lifetimeMs: request.lifetimeMs ?? KEY_LIFETIME_MS,
      bodyDigest: request.bodyDigest,
      isIdempotent: request.isIdempotent,
      ageMs: request.ageMs,
      claimId: random.hex(CLAIM_ID_BYTES),
      claimant: { host, incarnation, request: request.request },
    };
  }

  #pursue(
    claim: Claim,
    { home, timeoutMs = CLAIM_TIMEOUT_MS }: {
      home: HostId;
      timeoutMs?: Milliseconds | undefined;
    },
  ): Promise<ClaimOutcome> {
    const { timer } = this.#options;
    const { claimId } = claim;
    this.#owner.add(claim, home);
    return new Promise((resolve) => {
      const fallback = { kind: "unknown", reason: "unreachable" } as const;
      const waiter: Waiter = { resolve, fallback, timers: [] };
      this.#waiters.set(claimId, waiter);
      waiter.timers.push(
        timer.every(CLAIM_RETRY_MS, () => this.#ask(claim, home)),
        timer.after(timeoutMs, () => {
          this.#owner.abandon(claimId);
          this.#settle(claimId, waiter.fallback);
        }),
      );
      this.#ask(claim, home);
    });
  }

  #ask(claim: Claim, home: HostId): void {
    const { host, link } = this.#options;
    if (home === host) {
      this.#onAnswer(claim.claimId, this.#home.claim(claim), { from: host });
    } else {
      sendMessage(link, KEY_CLAIM, { to: home, body: claim });
    }
  }

  #onAnswer(
    claimId: string,
    answer: ClaimReply,
    { from }: { from: HostId },
  ): void {
    const action = this.#owner.applyReply(claimId, answer, { from });
    const own = this.#owner.claims.get(claimId);
    if (action === "settle") {
      this.#settle(claimId, toOutcome(own!, answer));
    }
    if (action === "give-back" && answer.kind === "granted") {
      void this.#update(ownedKey(own!, answer.attempt), { state: "released" });
    }
    const waiter = this.#waiters.get(claimId);
    if (action === "retry" && answer.kind === "unknown") {
      waiter!.fallback = answer;
    }
  }

  #settle(claimId: string, outcome: ClaimOutcome): void {
    const waiter = this.#waiters.get(claimId);
    if (waiter === undefined) return;
    this.#waiters.delete(claimId);
    for (const timer of waiter.timers) timer.cancel();
    this.#options.metrics.count("key_outcomes", 1, { kind: outcome.kind });
    waiter.resolve(outcome);
  }

  /** Resolves with whether the home has the key back; false when it does not answer in time. */
  #update(
    owned: OwnedKey,
    change: Pick<KeyUpdate, "state" | "dispatch">,
  ): Promise<boolean> {
    const { host, timer } = this.#options;
    const { account, key, claimId, home } = owned;
    const sequence = this.#owner.nextSequence(claimId);
    const update: KeyUpdate = { account, key, claimId, sequence, ...change };
    if (home === host) return Promise.resolve(this.#home.update(update));
    return new Promise((resolve) => {
      timer.after(CONFIRM_TIMEOUT_MS, () => resolve(false));
      this.#sendUntilTaken(update, { home, onTaken: resolve });
    });
  }

  #sendUntilTaken(
    update: KeyUpdate,
    { home, onTaken }: {
      home: HostId;
      onTaken: (isReleased: boolean) => void;
    },
  ): void {
    const { timer, link } = this.#options;
    const name = updateKey(update);
    let tries = 0;
    const send = (): void => {
      sendMessage(link, KEY_UPDATE, { to: home, body: update });
      tries++;
      if (tries === UPDATE_TRIES) this.#endUpdate(name, false);
    };
    const repeating = timer.every(UPDATE_RETRY_MS, send);
    this.#updates.set(name, { repeating, onTaken });
    send();
  }

  #endUpdate(name: string, isReleased: boolean): void {
    const update = this.#updates.get(name);
    update?.repeating.cancel();
    update?.onTaken(isReleased);
    this.#updates.delete(name);
  }
}

function toOutcome(own: OwnClaim, answer: ClaimReply): ClaimOutcome {
  if (answer.kind !== "granted") return answer;
  return { kind: "granted", owned: ownedKey(own, answer.attempt) };
}

function ownedKey({ claim, home }: OwnClaim, attempt: number): OwnedKey {
  const { account, key, claimId } = claim;
  const expiresAt = expiryOf(claim);
  return { account, key, claimId, home, attempt, expiresAt };
}

function updateKey(
  { claimId, sequence }: Pick<KeyUpdate, "claimId" | "sequence">,
): string {
  return `${claimId} ${sequence}`;
}
