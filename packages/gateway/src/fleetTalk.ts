import type {
  Digest,
  HostId,
  Incarnation,
  Milliseconds,
  UpstreamId,
} from "@wasabivane/common";
import type { Crash } from "@wasabivane/admission";
import type { GatewayContext } from "./gatewayContext.ts";
import type { PeerBook, PeerChange } from "./peerBook.ts";
import type { PeerMention, PeerWord, UpstreamListChange } from "./peerWord.ts";

/** Peers that one word goes to: news that each passes on once reaches 98 in 100 hosts. */
const FANOUT = 4;
/** News goes out so soon; what comes meanwhile goes with it. */
const NEWS_GAP_MS: Milliseconds = 25;
/** Words without news show that a host lives and carry news that was missed. */
const QUIET_MS: Milliseconds = 250;
/** With more hosts than this, such words become rarer, so that a host's share stays bounded. */
const HOSTS_AT_FULL_RATE = 32;
/** A host that has just started has yet to find the others and does not slow down. */
const STARTING_MS: Milliseconds = 5_000;
/** News that everybody has heard by then is told no longer. */
const NEWS_MS: Milliseconds = 3_000;
/** Rows of one kind in a word; a datagram must stay below a packet. */
const MAXIMUM_ROWS = 24;
/** Upstreams whose changes a word carries; with more, hosts fetch the list. */
const MAXIMUM_CHANGED = 6;
const MENTIONS = 8;
/** A host that knows fewer than this share of the peers that this one knows, */
const POOR_SHARE = 0.8;
/** as one that has just started, is told at once of so many. */
const GREETING_MENTIONS = 12;
/** A newer proof is passed on at once when it is newer by so much. */
const PROOF_STEP_MS: Milliseconds = 400;
/** Time that a word takes at most on its way; proofs of freshness age by it. */
const TRANSIT_MS: Milliseconds = 20;

interface News<Value> {
  readonly value: Value;
  readonly until: Milliseconds;
}

/** What a {@link FleetTalk} needs besides the shared parts. */
export interface FleetTalkOptions {
  readonly parts: GatewayContext;
  readonly book: PeerBook;
  readonly incarnation: Incarnation;
  /** `ip:port` of this host's datagram port. */
  readonly address: string;
  readonly startedAt: Milliseconds;
  /** Processor cores that this host may use. */
  readonly cores: number;
  readonly send: (word: PeerWord, targets: readonly string[]) => void;
  /** A peer has a newer policy. */
  readonly onNewerPolicy: (peer: HostId) => void;
  /** A peer tells up to which revision of the store it knows all upstreams. */
  readonly onListRevision: (peer: HostId, listRevision: number) => void;
  /** A peer tells of a change of the list that begins where this host's list stands. */
  readonly onChange: (change: UpstreamListChange) => void;
  readonly onLeft: (upstream: UpstreamId) => void;
  /** A peer tells of one that was asked in vain. */
  readonly onSilent: (host: HostId, until: Milliseconds) => void;
  /** Revision of the store up to which this host knows all upstreams. */
  readonly listRevision: () => number;
  /** Whether this host can read the store. */
  readonly canRead: () => boolean;
}

/**
 * Tells some peers what this host believes, and takes in what they tell.
 *
 * Each word goes to a few peers drawn at random, and who hears something new passes
 * it on once: news reaches all in a few steps, at a cost for each host that does not
 * grow with their number. Words without news follow at a slow pace and mend what was
 * lost.
 */
export class FleetTalk {
  readonly #options: FleetTalkOptions;
  #sequence = 0;
  #sentAt: Milliseconds = -Infinity;
  #quietAt: Milliseconds = -Infinity;
  #hasNews = false;
  #isPlanned = false;
  #isClosed = false;
  #left: News<UpstreamId>[] = [];
  #crashes: News<Crash>[] = [];
  #changes: News<UpstreamListChange>[] = [];
  readonly #silent = new Map<HostId, Milliseconds>();
  #provenAt: Milliseconds = -Infinity;

  constructor(options: FleetTalkOptions) {
    this.#options = options;
  }

  /** This host's belief changed; peers hear of it soon. */
  touch(): void {
    this.#hasNews = true;
    this.#plan();
  }

  /** An upstream announced its leaving; hosts that cannot read the store hear it here. */
  tellLeft(upstream: UpstreamId): void {
    this.#left.push(this.#news(upstream));
    this.touch();
  }

  tellCrash(crash: Crash): void {
    this.#crashes.push(this.#news(crash));
    this.touch();
  }

  /** The list of upstreams changed. */
  tellChange(change: UpstreamListChange): void {
    if (change.upstreams.length + change.removed.length > MAXIMUM_CHANGED) {
      return this.touch();
    }
    this.#changes.push(this.#news(change));
    this.touch();
  }

  /**
   * A host did not answer, and is passed over until then. While peers have been told so
   * already it is no news: in a burst many hosts find the same keeper silent.
   */
  tellSilent(host: HostId, until: Milliseconds): void {
    if (this.#silent.has(host)) return;
    this.#silent.set(host, until);
    this.touch();
  }

  /** Says nothing any more. */
  close(): void {
    this.#isClosed = true;
  }

  /** Speaks if it is time; gives back which peers were found and lost. */
  tick(): PeerChange[] {
    const { parts, book } = this.#options;
    const now = parts.timer.now();
    this.#noteProof(now);
    if (now - this.#quietAt >= this.#quietSpan()) {
      this.#quietAt = now;
      this.#speak(now, MENTIONS);
    }
    return book.takeChanges(now);
  }

  /** Takes in a word. */
  hear(word: PeerWord): void {
    const { parts, book } = this.#options;
    const { self } = word;
    const now = parts.timer.now();
    if (!book.hear(self, word.sequence, now)) return;
    for (const mention of word.mentions) book.hearMention(mention, now);
    const isPoor = word.peers < POOR_SHARE * book.aliveCount;
    if (isPoor) this.#greet(self.address, now);
    this.#hearTrouble(word, now);
    this.#hearBelief(word);
  }

  #hearTrouble(
    { left, crashes: told, silent }: PeerWord,
    now: Milliseconds,
  ): void {
    const { parts: { directory, crashes }, onLeft, onSilent } = this.#options;
    for (const upstream of left) {
      if (directory.findListed(upstream) !== undefined) onLeft(upstream);
    }
    for (const [fingerprint, upstream, age] of told) {
      const crash = { fingerprint, upstream, at: now - age };
      if (crashes.recordCrash(crash)) this.tellCrash(crash);
    }
    for (const [host, span] of silent) {
      if (this.#silent.has(host)) continue;
      onSilent(host, now + span);
      this.tellSilent(host, now + span);
    }
  }

  /**
   * A proof says that the peer's policy and list were the newest. It serves only a
   * host that holds both: with a policy of today and a list of yesterday, a host
   * would never notice that it goes on sending to an upstream that has left.
   */
  #hearBelief({ self, policyVersion, proofAge, ...word }: PeerWord): void {
    const { parts, onNewerPolicy, onListRevision, onChange } = this.#options;
    const { policies, elapsed } = parts;
    for (const change of word.changes) {
      const known = this.#options.listRevision();
      if (change.from <= known && known < change.to) onChange(change);
    }
    if (policyVersion > policies.version) onNewerPolicy(self.host);
    onListRevision(self.host, word.listRevision);
    const isSame = policyVersion === policies.version &&
      word.listRevision === this.#options.listRevision();
    if (!isSame || proofAge === undefined) return;
    policies.freshness.confirm(elapsed.now() - proofAge - TRANSIT_MS);
    this.#noteProof(parts.timer.now());
  }

  /** A proof that is much newer than the one told last is news. */
  #noteProof(now: Milliseconds): void {
    const { policies, elapsed } = this.#options.parts;
    const provenAt = now - policies.freshness.age(elapsed.now());
    if (provenAt < this.#provenAt + PROOF_STEP_MS) return;
    this.#provenAt = provenAt;
    this.touch();
  }

  #news<Value>(value: Value): News<Value> {
    return { value, until: this.#options.parts.timer.now() + NEWS_MS };
  }

  #plan(): void {
    if (this.#isPlanned || this.#isClosed) return;
    this.#isPlanned = true;
    const { timer } = this.#options.parts;
    const wait = Math.max(0, this.#sentAt + NEWS_GAP_MS - timer.now());
    timer.after(wait, () => {
      this.#isPlanned = false;
      if (this.#hasNews) this.#speak(timer.now(), 0);
    });
  }

  #quietSpan(): Milliseconds {
    const { book, parts, startedAt } = this.#options;
    if (parts.timer.now() - startedAt < STARTING_MS) return QUIET_MS;
    const hosts = book.aliveCount + 1;
    return QUIET_MS * Math.max(1, hosts / HOSTS_AT_FULL_RATE);
  }

  #speak(now: Milliseconds, mentions: number): void {
    if (this.#isClosed) return;
    const { book, send, parts: { random } } = this.#options;
    this.#sentAt = now;
    this.#hasNews = false;
    const targets = book.takeTargets({ count: FANOUT, random, now });
    if (targets.length > 0) send(this.#compose(now, mentions), targets);
  }

  /** Tells a host that knows few who else is there. */
  #greet(address: string, now: Milliseconds): void {
    this.#options.send(this.#compose(now, GREETING_MENTIONS), [address]);
  }

  #compose(now: Milliseconds, mentions: number): PeerWord {
    const { parts, book, listRevision } = this.#options;
    const { policies, elapsed } = parts;
    const proofAge = policies.freshness.age(elapsed.now());
    this.#forgetOld(now);
    return {
      self: this.#self(now),
      sequence: ++this.#sequence,
      policyVersion: policies.version,
      listRevision: listRevision(),
      proofAge: Number.isFinite(proofAge) ? proofAge : undefined,
      left: this.#left.slice(-MAXIMUM_ROWS).map(({ value }) => value),
      crashes: this.#crashes.slice(-MAXIMUM_ROWS).map(({ value }) => [
        value.fingerprint as Digest,
        value.upstream,
        now - value.at,
      ]),
      changes: this.#newestChanges(),
      silent: [...this.#silent].slice(-MAXIMUM_ROWS)
        .map(([host, until]) => [host, until - now]),
      peers: book.aliveCount,
      mentions: book.takeMentions(mentions, now),
    };
  }

  #self(now: Milliseconds): PeerMention {
    const { parts, incarnation, address, startedAt, cores, canRead } =
      this.#options;
    return {
      host: parts.host,
      incarnation,
      address,
      failureDomain: parts.failureDomain,
      age: now - startedAt,
      silence: 0,
      isLeaving: parts.isStopping(),
      canRead: canRead(),
      cores,
    };
  }

  /** The last changes that fit, oldest first. */
  #newestChanges(): UpstreamListChange[] {
    const newest: UpstreamListChange[] = [];
    let count = 0;
    for (const { value } of this.#changes.toReversed()) {
      count += value.upstreams.length + value.removed.length;
      if (count > MAXIMUM_CHANGED) break;
      newest.unshift(value);
    }
    return newest;
  }

  #forgetOld(now: Milliseconds): void {
    const isNew = ({ until }: { until: Milliseconds }): boolean => until > now;
    this.#left = this.#left.filter(isNew);
    this.#crashes = this.#crashes.filter(isNew);
    this.#changes = this.#changes.filter(isNew);
    for (const [host, until] of this.#silent) {
      if (until <= now) this.#silent.delete(host);
    }
  }
}
