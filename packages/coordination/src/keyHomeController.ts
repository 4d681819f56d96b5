import {
  type Blackboard,
  Controller,
  type EpochMilliseconds,
  type HostId,
  type Incarnation,
  type Metrics,
  type Milliseconds,
  type PeerLink,
  type Timer,
  type TimerSubscription,
} from "@wasabivane/common";
import type { Claim, ClaimReply } from "./keyClaims.ts";
import { type ClaimContext, KeyTable } from "./keyTable.ts";
import { type BareKey, parseKey, type Ticket } from "./idempotencyKeys.ts";
import {
  KEY_CLAIM,
  KEY_CLAIM_REPLY,
  KEY_UPDATE,
  KEY_UPDATE_ACK,
  type KeyUpdate,
} from "./keyMessages.ts";
import { MEMBERS } from "./membershipController.ts";
import { sendMessage, subscribeMessage } from "./peerMessages.ts";
import type { ViewController } from "./viewController.ts";
import { type ActiveView, homeOf, tenureStartOf } from "./views.ts";

const EXPIRY_PERIOD_MS: Milliseconds = 10_000;
/**
 * Maximum number of cached tenure starts; exceeds the number of tenures at one
 * time.
 */
const MAX_CACHED_STARTS = 64;

/** Dependencies of the key controllers. */
export interface KeyControllerOptions {
  readonly host: HostId;
  readonly incarnation: Incarnation;
  readonly blackboard: Blackboard;
  readonly link: PeerLink;
  readonly timer: Timer;
  readonly metrics: Metrics;
  readonly views: ViewController;
  /** Secrets that authenticate tickets; the first one signs new tickets. */
  readonly secrets: () => readonly string[];
}

/**
 * Decides claims of keys whose home is this host, and of tickets issued by this
 * process.
 */
export class KeyHomeController extends Controller {
  readonly #options: KeyControllerOptions;
  readonly #table: KeyTable;
  readonly #subscriptions: (() => void)[] = [];
  /**
   * Maps the monotonic start of a tenure to its wall-clock start. Recalculating
   * it could shift the result by a millisecond between claims.
   */
  readonly #wallStarts = new Map<Milliseconds, EpochMilliseconds>();
  #expiry: TimerSubscription | undefined;

  constructor(options: KeyControllerOptions, table: KeyTable = new KeyTable()) {
    super();
    this.#options = options;
    this.#table = table;
  }

  override start(): void {
    const { link, timer } = this.#options;
    this.#subscriptions.push(
      subscribeMessage(link, KEY_CLAIM, (from, claim) => {
        this.#onClaim(from, claim);
      }),
      subscribeMessage(link, KEY_UPDATE, (from, update) => {
        const isReleased = this.applyUpdate(update);
        const { claimId, sequence } = update;
        const body = { claimId, sequence, isReleased };
        sendMessage(link, KEY_UPDATE_ACK, { to: from, body });
      }),
    );
    this.#expiry = timer.every(EXPIRY_PERIOD_MS, () => {
      this.#table.expire(timer.wallNow());
    });
  }

  override stop(): void {
    for (const unsubscribe of this.#subscriptions.splice(0)) unsubscribe();
    this.#expiry?.cancel();
  }

  /** Decides a claim. Requests of the home itself call it directly. */
  claim(claim: Claim): ClaimReply {
    const { account, key } = claim;
    const parsed = parseKey(key, { account, secrets: this.#options.secrets() });
    if (parsed.isErr()) return { kind: "unknown", reason: "unauthenticated" };
    const reply = parsed.value.kind === "ticket"
      ? this.#claimTicket(claim, parsed.value)
      : this.#claimBareKey(claim, parsed.value);
    this.#options.metrics.count("key_claims", 1, {
      key: parsed.value.kind,
      answer: reply.kind,
    });
    return reply;
  }

  /**
   * Applies an update of a granted claim; true if the key is released and not
   * granted to anyone else. An inactive home returns false, since another home
   * may have granted the key.
   */
  applyUpdate(update: KeyUpdate): boolean {
    if (this.#table.advanceSequence(update)) this.#updateTable(update);
    return this.#table.isReleasedBy(update) && this.#isHomeOf(update);
  }

  #updateTable(update: KeyUpdate): void {
    const { state, dispatch } = update;
    if (state === "released") {
      this.#table.release(update, this.#options.timer.wallNow());
    }
    if (state === "refused") this.#table.markConnectionRefused(update);
    if (dispatch === undefined) return;
    if (state === "dispatched") this.#table.markDispatched(update, dispatch);
    if (state === "finished") this.#table.markFinished(update, dispatch);
  }

  #isHomeOf({ account, key }: KeyUpdate): boolean {
    const { host, secrets, views } = this.#options;
    const parsed = parseKey(key, { account, secrets: secrets() });
    if (parsed.isErr()) return false;
    if (parsed.value.kind === "ticket") return true;
    const activity = views.activeView();
    return activity !== undefined && homeOf(key, activity.view) === host;
  }

  #onClaim(from: HostId, claim: Claim): void {
    if (claim.claimant.host !== from) return;
    const body = { claimId: claim.claimId, answer: this.claim(claim) };
    sendMessage(this.#options.link, KEY_CLAIM_REPLY, { to: from, body });
  }

  #claimTicket(claim: Claim, ticket: Ticket): ClaimReply {
    const { host, incarnation } = this.#options;
    const isOwn = ticket.host === host && ticket.incarnation === incarnation;
    if (!isOwn) return { kind: "unknown", reason: "home-restarted" };
    const validated = { ...claim, issuedAt: ticket.issuedAt };
    return this.#table.claim(validated, this.#context(-Infinity));
  }

  #claimBareKey(claim: Claim, key: BareKey): ClaimReply {
    const activity = this.#options.views.activeView();
    const isHome = activity !== undefined &&
      homeOf(claim.key, activity.view) === this.#options.host;
    if (!isHome) return { kind: "unknown", reason: "home-inactive" };
    const validated = { ...claim, issuedAt: key.issuedAt };
    const tenureStartedAt = this.#tenureStart(claim.key, activity);
    return this.#table.claim(validated, this.#context(tenureStartedAt));
  }

  #tenureStart(key: string, { tenures }: ActiveView): EpochMilliseconds {
    const { host, views, timer } = this.#options;
    const startedAt = tenureStartOf(key, { host, tenures });
    const known = this.#wallStarts.get(startedAt);
    if (known !== undefined) return known;
    const wallStart = timer.wallNow() - views.elapsedSince(startedAt);
    if (this.#wallStarts.size >= MAX_CACHED_STARTS) this.#wallStarts.clear();
    this.#wallStarts.set(startedAt, wallStart);
    return wallStart;
  }

  #context(tenureStartedAt: EpochMilliseconds): ClaimContext {
    return {
      wallNow: this.#options.timer.wallNow(),
      tenureStartedAt,
      isTerminated: (host, incarnation) =>
        this.#isTerminated(host, incarnation),
    };
  }

  #isTerminated(host: HostId, incarnation: Incarnation): boolean {
    const members = this.#options.blackboard.read(MEMBERS);
    const member = members.find((candidate) => candidate.host === host);
    if (member === undefined || member.state === "dead") return true;
    return member.incarnation !== "" && member.incarnation !== incarnation;
  }
}
