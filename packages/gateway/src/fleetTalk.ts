import {
  type Digest,
  type HostId,
  type Incarnation,
  type Milliseconds,
  type TimerSubscription,
  type UpstreamId,
} from "@wasabivane/common";
import type { Crash } from "@wasabivane/admission";
import type { GatewayParts } from "./gatewayParts.ts";
import { type PeerBook, type PeerChange } from "./peerBook.ts";
import type { PeerWord } from "./peerWord.ts";

/** Hosts are told of changed work so often while there are few of them. */
const WORD_MS: Milliseconds = 25;
/** With more hosts words become rarer, so that what a host hears stays bounded. */
const HOSTS_AT_FULL_RATE = 8;
/** Words without news still show that the host lives. */
const QUIET_WORD_MS: Milliseconds = 250;
const MENTION_MS: Milliseconds = 500;
/** Speeds change slowly; a host that starts knows them within this time. */
const SPEEDS_MS: Milliseconds = 250;
/** News that everybody has heard by then is told no longer. */
const NEWS_MS: Milliseconds = 3_000;
/** Rows of one kind in a word; a datagram must stay below a packet. */
const MAXIMUM_ROWS = 24;
/** Time that a word takes at most on its way; proofs of freshness age by it. */
const TRANSIT_MS: Milliseconds = 20;

interface News<Value> {
  readonly value: Value;
  readonly until: Milliseconds;
}

/** What a {@link FleetTalk} needs besides the shared parts. */
export interface FleetTalkOptions {
  readonly parts: GatewayParts;
  readonly book: PeerBook;
  readonly incarnation: Incarnation;
  /** `ip:port` of this host's datagram port. */
  readonly address: string;
  readonly send: (word: PeerWord, targets: readonly string[]) => void;
  /** A peer has a newer policy. */
  readonly onNewerPolicy: (peer: HostId) => void;
  /** A peer tells up to which revision of the store it knows all upstreams. */
  readonly onListRevision: (peer: HostId, listRevision: number) => void;
  /** Revision of the store up to which this host knows all upstreams. */
  readonly listRevision: () => number;
  /** Whether this host reads the store with success. */
  readonly isReading: () => boolean;
}

/** Tells peers what this host does and believes, and takes in what they tell. */
export class FleetTalk {
  readonly #options: FleetTalkOptions;
  #sequence = 0;
  #sentAt: Milliseconds = -Infinity;
  #mentionedAt: Milliseconds = -Infinity;
  #toldSpeedsAt: Milliseconds = -Infinity;
  #speedOffset = 0;
  #hasNews = false;
  #isClosed = false;
  #pending: TimerSubscription | undefined;
  #left: News<UpstreamId>[] = [];
  #crashes: News<Crash>[] = [];

  constructor(options: FleetTalkOptions) {
    this.#options = options;
  }

  /** This host's work or belief changed; peers hear of it soon. */
  touch(): void {
    this.#hasNews = true;
    this.#plan();
  }

  /** An upstream announced its leaving; hosts that cannot read the store hear it here. */
  tellLeft(upstream: UpstreamId): void {
    const until = this.#options.parts.timer.now() + NEWS_MS;
    this.#left.push({ value: upstream, until });
    this.touch();
  }

  tellCrash(crash: Crash): void {
    const until = this.#options.parts.timer.now() + NEWS_MS;
    this.#crashes.push({ value: crash, until });
    this.touch();
  }

  /** Says nothing any more. */
  close(): void {
    this.#isClosed = true;
    this.#pending?.cancel();
  }

  /** Speaks if it is time, and notices silent peers. */
  tick(): PeerChange[] {
    const { parts, book } = this.#options;
    const now = parts.timer.now();
    const wait = this.#hasNews ? this.#wordSpan() : QUIET_WORD_MS;
    if (now - this.#sentAt >= wait) this.#speak(now);
    return book.expire(now);
  }

  /** Takes in a word; gives back a change in the picture of the peer. */
  hear(word: PeerWord): PeerChange | undefined {
    const { parts, book } = this.#options;
    const now = parts.timer.now();
    const change = book.hear(word, now);
    if (change === undefined) return undefined;
    for (const mention of word.mentions) book.hearMention(mention);
    this.#hearWork(word, now);
    this.#hearSpeeds(word);
    this.#hearTrouble(word, now);
    this.#hearPolicy(word);
    return change === "known" ? undefined : change;
  }

  #hearWork(word: PeerWord, now: Milliseconds): void {
    const { scheduler, quotas } = this.#options.parts;
    scheduler.load.hear(word.host, {
      inFlight: new Map(
        word.inFlight.map(([upstream, requests, unreadTokens]) => [
          upstream,
          { requests, unreadTokens },
        ]),
      ),
      waiting: word.waiting.map(([service, urgency, count]) => ({
        service,
        urgency,
        count,
      })),
    }, now);
    quotas.hear({
      host: word.host,
      incarnation: word.incarnation,
      used: new Map(word.used),
    }, now);
  }

  #hearSpeeds({ speeds }: PeerWord): void {
    const { scheduler, directory } = this.#options.parts;
    for (const [upstream, duration] of speeds) {
      const service = directory.get(upstream)?.service;
      if (service === undefined) continue;
      scheduler.speed.hear({ service, upstream, duration });
    }
  }

  #hearTrouble(word: PeerWord, now: Milliseconds): void {
    const { scheduler, directory, crashes } = this.#options.parts;
    for (const [upstream, span] of word.ejected) {
      scheduler.health.hear({ upstream, until: now + span }, now);
    }
    for (const upstream of word.left) directory.leave(upstream);
    for (const [fingerprint, upstream, age] of word.crashes) {
      crashes.hear({ fingerprint, upstream, at: now - age });
    }
  }

  /**
   * A proof says that the peer's policy and list were the newest. It serves only a
   * host that holds both: with a policy of today and a list of yesterday, a host
   * would never notice that it goes on sending to an upstream that has left.
   */
  #hearPolicy(
    { host, policyVersion, listRevision, proofAge }: PeerWord,
  ): void {
    const { policies, elapsed } = this.#options.parts;
    const { onNewerPolicy, onListRevision, listRevision: known } =
      this.#options;
    if (policyVersion > policies.version) onNewerPolicy(host);
    onListRevision(host, listRevision);
    const isSame = policyVersion === policies.version &&
      listRevision === known();
    if (isSame && proofAge !== undefined) {
      policies.freshness.prove(elapsed.now() - proofAge - TRANSIT_MS);
    }
  }

  #plan(): void {
    if (this.#pending !== undefined || this.#isClosed) return;
    const { timer } = this.#options.parts;
    const now = timer.now();
    const wait = Math.max(0, this.#sentAt + this.#wordSpan() - now);
    this.#pending = timer.after(wait, () => {
      this.#pending = undefined;
      if (this.#hasNews) this.#speak(timer.now());
    });
  }

  #wordSpan(): Milliseconds {
    const hosts = this.#options.book.aliveCount + 1;
    return WORD_MS * Math.max(1, hosts / HOSTS_AT_FULL_RATE);
  }

  #speak(now: Milliseconds): void {
    const { book, send } = this.#options;
    this.#sentAt = now;
    this.#hasNews = false;
    const targets = book.takeTargets(now);
    if (targets.length > 0) send(this.#compose(now), targets);
  }

  #compose(now: Milliseconds): PeerWord {
    const { parts, book, incarnation, address, isReading } = this.#options;
    const { scheduler, quotas, policies, elapsed, host } = parts;
    const proofAge = policies.freshness.age(elapsed.now());
    this.#left = this.#left.filter(({ until }) => until > now);
    this.#crashes = this.#crashes.filter(({ until }) => until > now);
    const isMentioning = now - this.#mentionedAt >= MENTION_MS;
    if (isMentioning) this.#mentionedAt = now;
    return {
      host,
      incarnation,
      sequence: ++this.#sequence,
      address,
      isLeaving: parts.isStopping(),
      policyVersion: policies.version,
      proofAge: Number.isFinite(proofAge) ? proofAge : undefined,
      inFlight: [...scheduler.load.ownInFlight()].map((
        [upstream, { requests, unreadTokens }],
      ) => [upstream, requests, unreadTokens]),
      waiting: scheduler.waiting().map(({ service, urgency, count }) => [
        service,
        urgency,
        count,
      ]),
      used: [...quotas.used()].slice(0, MAXIMUM_ROWS),
      ejected: scheduler.health.notices(now).slice(0, MAXIMUM_ROWS)
        .map(({ upstream, until }) => [upstream, until - now]),
      left: this.#left.slice(-MAXIMUM_ROWS).map(({ value }) => value),
      crashes: this.#crashes.slice(-MAXIMUM_ROWS).map(({ value }) => [
        value.fingerprint as Digest,
        value.upstream,
        now - value.at,
      ]),
      mentions: isMentioning ? book.takeMentions() : [],
      isReading: isReading(),
      speeds: this.#takeSpeeds(now),
      listRevision: this.#options.listRevision(),
    };
  }

  /** Some of the speeds that this host saw, others each time. */
  #takeSpeeds(now: Milliseconds): PeerWord["speeds"] {
    if (now - this.#toldSpeedsAt < SPEEDS_MS) return [];
    this.#toldSpeedsAt = now;
    const seen = this.#options.parts.scheduler.speed.seen();
    const count = Math.min(MAXIMUM_ROWS, seen.length);
    const from = this.#speedOffset;
    this.#speedOffset = seen.length === 0 ? 0 : (from + count) % seen.length;
    return Array.from({ length: count }, (_, index) => {
      const { upstream, duration } = seen[(from + index) % seen.length]!;
      return [upstream, Math.round(duration * 10) / 10] as const;
    });
  }
}
