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

/**
 * Time limit for a claim; longer than a home usually needs to renew its leases.
 */
export const CLAIM_TIMEOUT_MS: Milliseconds = 3_000;
const CLAIM_RETRY_MS: Milliseconds = 200;
/** Time limit for the confirmation of a release. */
const CONFIRM_TIMEOUT_MS: Milliseconds = 1_000;
const UPDATE_RETRY_MS: Milliseconds = 300;
/**
 * Maximum number of sends per update; the home then keeps the key's last known
 * state.
 */
const MAX_UPDATE_SENDS = 40;
const EXPIRY_PERIOD_MS: Milliseconds = 10_000;
const CLAIM_ID_BYTES = 12;

/** Request that claims its key. */
export interface ClaimRequest {
  readonly account: ClientAccountId;
  readonly key: IdempotencyKey;
  readonly request: RequestId;
  readonly bodyDigest: Digest;
  readonly isIdempotent: boolean;
  /**
   * Upper bound on the time since the request arrived, for a process that reads
   * it after a pause.
   */
  readonly ageMs?: Milliseconds;
  /** How long resends are recognized; defaults to {@link KEY_LIFETIME_MS}. */
  readonly lifetimeMs?: Milliseconds;
  readonly timeoutMs?: Milliseconds;
}

/** Key owned by this process, which allows one dispatch. */
export interface OwnedKey {
  readonly account: ClientAccountId;
  readonly key: IdempotencyKey;
  readonly claimId: string;
  readonly home: HostId;
  /** Greater than 1 if an idempotent request was sent again after "unknown". */
  readonly attempt: number;
  readonly expiresAt: EpochMilliseconds;
}

/** Outcome of a claim. */
export type ClaimOutcome =
  | { readonly kind: "granted"; readonly owned: OwnedKey }
  | Exclude<ClaimReply, { kind: "granted" }>;

interface PendingClaim {
  readonly resolve: (outcome: ClaimOutcome) => void;
  /** Outcome if the claim times out. */
  fallback: ClaimOutcome;
  timers: TimerSubscription[];
}

/** Update not yet acknowledged by its home. */
interface PendingUpdate {
  readonly repeating: TimerSubscription;
  readonly onAck: (isReleased: boolean) => void;
}

/** Dependencies of a {@link KeyService}. */
export interface KeyServiceOptions extends KeyControllerOptions {
  readonly random: Random;
  readonly homeController?: KeyHomeController;
}

/**
 * Claims idempotency keys at their homes before requests are queued, and
 * reports the state of the owned ones.
 */
export class KeyService extends Controller {
  readonly #options: KeyServiceOptions;
  readonly #home: KeyHomeController;
  readonly #claimTable = new ClaimTable();
  readonly #pendingClaims = new Map<string, PendingClaim>();
  readonly #updates = new Map<string, PendingUpdate>();
  readonly #subscriptions: (() => void)[] = [];
  #expiry: TimerSubscription | undefined;

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
        this.#onReply(claimId, answer, { from });
      }),
      subscribeMessage(link, KEY_UPDATE_ACK, (_from, ack) => {
        this.#endUpdate(updateKeyOf(ack), ack.isReleased === true);
      }),
    );
    this.#expiry = timer.every(EXPIRY_PERIOD_MS, () => {
      this.#claimTable.removeExpired(timer.wallNow());
    });
  }

  override stop(): void {
    this.#home.stop();
    for (const unsubscribe of this.#subscriptions.splice(0)) unsubscribe();
    for (const { repeating } of this.#updates.values()) repeating.cancel();
    this.#expiry?.cancel();
  }

  /**
   * Issues a ticket: a key that a caller can use to resend a request and that
   * only this process decides about.
   */
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

  /** Claims a key. Resolves within the timeout. */
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
    if (this.#isIssuedInFuture(parsed.value)) {
      return Promise.resolve({ kind: "not-run", reason: "issued-in-future" });
    }
    const home = this.#homeOf(key, parsed.value);
    if (home === undefined) {
      return Promise.resolve({ kind: "unknown", reason: "home-inactive" });
    }
    const claim = this.#createClaim({ ...request, key }, parsed.value);
    return this.#claimAt(claim, { home, timeoutMs: request.timeoutMs });
  }

  /**
   * Uses up the grant, right before the first byte is written; returns whether
   * writing is allowed. It is allowed once per grant, until the key is released
   * or expires.
   */
  markDispatched(owned: OwnedKey, dispatch: Dispatch): boolean {
    const now = this.#options.timer.wallNow();
    if (!this.#claimTable.consumeGrant(owned.claimId, now)) return false;
    void this.#update(owned, { state: "dispatched", dispatch });
    return true;
  }

  /** Restores the grant after the upstream refused the connection. */
  markConnectionRefused(owned: OwnedKey): void {
    if (!this.#claimTable.restoreGrant(owned.claimId)) return;
    void this.#update(owned, { state: "refused" });
  }

  /** Reports that the complete response has arrived. */
  markFinished(owned: OwnedKey, dispatch: Dispatch): void {
    void this.#update(owned, { state: "finished", dispatch });
  }

  /**
   * Releases a key of which no byte was written. Resolves with true if the home
   * confirms that the key was not granted to anyone else; only then may the
   * caller be told "not run".
   */
  release(owned: OwnedKey): Promise<boolean> {
    if (!this.#claimTable.release(owned.claimId)) return Promise.resolve(false);
    return this.#update(owned, { state: "released" });
  }

  /**
   * Tells whether the key's creation time is ahead of every host's clock, so
   * that no host accepts it.
   */
  #isIssuedInFuture({ issuedAt }: ParsedKey): boolean {
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

  #claimAt(
    claim: Claim,
    { home, timeoutMs = CLAIM_TIMEOUT_MS }: {
      home: HostId;
      timeoutMs?: Milliseconds | undefined;
    },
  ): Promise<ClaimOutcome> {
    const { timer } = this.#options;
    const { claimId } = claim;
    this.#claimTable.add(claim, home);
    return new Promise((resolve) => {
      const fallback = { kind: "unknown", reason: "unreachable" } as const;
      const pending: PendingClaim = { resolve, fallback, timers: [] };
      this.#pendingClaims.set(claimId, pending);
      pending.timers.push(
        timer.every(CLAIM_RETRY_MS, () => this.#sendClaim(claim, home)),
        timer.after(timeoutMs, () => {
          this.#claimTable.abandon(claimId);
          this.#resolveClaim(claimId, pending.fallback);
        }),
      );
      this.#sendClaim(claim, home);
    });
  }

  #sendClaim(claim: Claim, home: HostId): void {
    const { host, link } = this.#options;
    if (home === host) {
      this.#onReply(claim.claimId, this.#home.claim(claim), { from: host });
    } else {
      sendMessage(link, KEY_CLAIM, { to: home, body: claim });
    }
  }

  #onReply(
    claimId: string,
    reply: ClaimReply,
    { from }: { from: HostId },
  ): void {
    const action = this.#claimTable.applyReply(claimId, reply, { from });
    const own = this.#claimTable.claims.get(claimId);
    if (action === "settle") {
      this.#resolveClaim(claimId, outcomeOf(own!, reply));
    }
    if (action === "give-back" && reply.kind === "granted") {
      void this.#update(createOwnedKey(own!, reply.attempt), {
        state: "released",
      });
    }
    const pending = this.#pendingClaims.get(claimId);
    if (action === "retry" && reply.kind === "unknown") {
      pending!.fallback = reply;
    }
  }

  #resolveClaim(claimId: string, outcome: ClaimOutcome): void {
    const pending = this.#pendingClaims.get(claimId);
    if (pending === undefined) return;
    this.#pendingClaims.delete(claimId);
    for (const timer of pending.timers) timer.cancel();
    this.#options.metrics.count("key_outcomes", 1, { kind: outcome.kind });
    pending.resolve(outcome);
  }

  /**
   * Sends an update and resolves with whether the home confirmed a release;
   * false on timeout.
   */
  #update(
    owned: OwnedKey,
    change: Pick<KeyUpdate, "state" | "dispatch">,
  ): Promise<boolean> {
    const { host, timer } = this.#options;
    const { account, key, claimId, home } = owned;
    const sequence = this.#claimTable.nextSequence(claimId);
    const update: KeyUpdate = { account, key, claimId, sequence, ...change };
    if (home === host) return Promise.resolve(this.#home.applyUpdate(update));
    return new Promise((resolve) => {
      timer.after(CONFIRM_TIMEOUT_MS, () => resolve(false));
      this.#sendUntilAcked(update, { home, onAck: resolve });
    });
  }

  #sendUntilAcked(
    update: KeyUpdate,
    { home, onAck }: {
      home: HostId;
      onAck: (isReleased: boolean) => void;
    },
  ): void {
    const { timer, link } = this.#options;
    const updateKey = updateKeyOf(update);
    let sends = 0;
    const send = (): void => {
      sendMessage(link, KEY_UPDATE, { to: home, body: update });
      sends++;
      if (sends === MAX_UPDATE_SENDS) this.#endUpdate(updateKey, false);
    };
    const repeating = timer.every(UPDATE_RETRY_MS, send);
    this.#updates.set(updateKey, { repeating, onAck });
    send();
  }

  #endUpdate(updateKey: string, isReleased: boolean): void {
    const update = this.#updates.get(updateKey);
    update?.repeating.cancel();
    update?.onAck(isReleased);
    this.#updates.delete(updateKey);
  }
}

function outcomeOf(own: OwnClaim, reply: ClaimReply): ClaimOutcome {
  if (reply.kind !== "granted") return reply;
  return { kind: "granted", owned: createOwnedKey(own, reply.attempt) };
}

function createOwnedKey({ claim, home }: OwnClaim, attempt: number): OwnedKey {
  const { account, key, claimId } = claim;
  const expiresAt = expiryOf(claim);
  return { account, key, claimId, home, attempt, expiresAt };
}

function updateKeyOf(
  { claimId, sequence }: Pick<KeyUpdate, "claimId" | "sequence">,
): string {
  return `${claimId} ${sequence}`;
}
