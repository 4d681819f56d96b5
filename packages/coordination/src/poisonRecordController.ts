import {
  type Blackboard,
  Controller,
  createTopic,
  type Digest,
  type HostId,
  type Metrics,
  type Milliseconds,
  type PeerLink,
  type Random,
  type ServiceId,
  type Timer,
  type TimerSubscription,
  type Topic,
  type UpstreamId,
} from "@wasabivane/common";
import type { PoisonRecord } from "@wasabivane/decisions";
import {
  isBoolean,
  listOf,
  numberOf,
  objectOf,
  oneOf,
  textOf,
} from "./messageShapes.ts";
import {
  defineMessage,
  type MessageKind,
  sendMessage,
  subscribeMessage,
} from "./peerMessages.ts";
import {
  PoisonRecordTable,
  type SharedPoisonRecord,
} from "./poisonRecordTable.ts";

const TICK_MS: Milliseconds = 200;
/** Peers told at once; each passes news on, so that it reaches all in a few steps. */
const FANOUT = 4;
/**
 * Ticks in which news is told. One telling to four peers misses about one host
 * in fifty; three leave one in a hundred thousand to the comparison of books.
 */
const TELLINGS = 3;
/** Books are compared with one peer so often, which repairs lost news. */
const COMPARE_PERIOD_MS: Milliseconds = 1_000;
const MAX_PER_MESSAGE = 64;

/** Suspicions that hold now, for keepers that start later. */
export const POISON_RECORDS: Topic<readonly SharedPoisonRecord[]> = createTopic<
  readonly SharedPoisonRecord[]
>("suspicions", []);

/** Tells suspicions that are news to the sender. */
export const POISON_RECORD_UPDATE: MessageKind<
  { readonly suspicions: readonly SharedPoisonRecord[] }
> = defineMessage(
  "suspicion-news",
  objectOf({
    suspicions: listOf<SharedPoisonRecord>(
      objectOf({
        service: textOf<ServiceId>(64),
        subject: textOf<Digest | UpstreamId>(128),
        kind: oneOf("suspect", "cleared", "convicted", "ejected"),
        remainingMs: numberOf<Milliseconds>(),
      }),
      MAX_PER_MESSAGE,
    ),
  }),
);

/** Compares two books. */
export interface PoisonRecordDigest {
  readonly count: number;
  readonly checksum: number;
  /** Set on the way back, which gets no digest in return. */
  readonly isAnswer: boolean;
}
/** See {@link PoisonRecordDigest}. */
export const POISON_RECORD_DIGEST: MessageKind<PoisonRecordDigest> =
  defineMessage<
    PoisonRecordDigest
  >(
    "suspicion-digest",
    objectOf({
      count: numberOf<number>(),
      checksum: numberOf<number>(),
      isAnswer: isBoolean,
    }),
  );

/** What suspicions need to know of an entry host. */
export interface PoisonRecordMember {
  readonly host: HostId;
  readonly state: "alive" | "suspect" | "dead";
}

/** Suspicions of one service, as its scheduler gives and takes them. */
export interface ServicePoisonRecords {
  readonly service: ServiceId;
  readonly records: readonly PoisonRecord[];
}

/** What a {@link PoisonRecordController} needs from its process. */
export interface PoisonRecordControllerOptions {
  readonly blackboard: Blackboard;
  readonly link: PeerLink;
  readonly timer: Timer;
  readonly random: Random;
  readonly metrics: Metrics;
  readonly members: Topic<readonly PoisonRecordMember[]>;
  /** What the schedulers of this host learned since the last call. */
  readonly drain: () => readonly ServicePoisonRecords[];
  /** Gives a scheduler of this host what others learned. */
  readonly importPoisonRecords: (suspicions: ServicePoisonRecords) => void;
  /** Upstreams that schedulers of this host hold ejected now. */
  readonly ejections?: () => readonly SharedPoisonRecord[];
}

/**
 * Tells suspicions, convictions and ejections among the entry hosts: at once to
 * a few peers that pass them on, and by comparing books each second.
 */
export class PoisonRecordController extends Controller {
  readonly #options: PoisonRecordControllerOptions;
  readonly #book = new PoisonRecordTable();
  readonly #endings: (() => void)[] = [];
  #ticking: TimerSubscription[] = [];
  #recent: { news: readonly SharedPoisonRecord[]; tellings: number }[] = [];

  constructor(options: PoisonRecordControllerOptions) {
    super();
    this.#options = options;
  }

  override start(): void {
    const { link, timer } = this.#options;
    this.#endings.push(
      subscribeMessage(
        link,
        POISON_RECORD_UPDATE,
        (_from, { suspicions }) => this.#onNews(suspicions),
      ),
      subscribeMessage(
        link,
        POISON_RECORD_DIGEST,
        (from, digest) => this.#onDigest(from, digest),
      ),
    );
    this.#ticking = [
      timer.every(TICK_MS, () => this.#tick()),
      timer.every(COMPARE_PERIOD_MS, () => this.#compare()),
    ];
  }

  override stop(): void {
    for (const end of this.#endings.splice(0)) end();
    for (const subscription of this.#ticking.splice(0)) subscription.cancel();
  }

  /**
   * Tells what the schedulers learned. Call it right after an upstream was
   * lost, so that peers know before the caller can send the request again.
   */
  flush(): void {
    const { drain, ejections } = this.#options;
    const learned = drain().flatMap(({ service, records: suspicions }) =>
      suspicions.map(({ fingerprint, kind, remainingMs }) => ({
        service,
        subject: fingerprint,
        kind,
        remainingMs,
      }))
    );
    const own = [...learned, ...ejections?.() ?? []];
    if (own.length > 0) this.#merge(own);
  }

  #tick(): void {
    for (const recent of this.#recent) {
      recent.tellings++;
      this.#tell(recent.news);
    }
    this.#recent = this.#recent.filter(({ tellings }) => tellings < TELLINGS);
    this.flush();
  }

  #onNews(suspicions: readonly SharedPoisonRecord[]): void {
    for (const absorbed of groupByService(this.#merge(suspicions))) {
      this.#options.importPoisonRecords(absorbed);
    }
  }

  #merge(suspicions: readonly SharedPoisonRecord[]): SharedPoisonRecord[] {
    const { blackboard, metrics, timer } = this.#options;
    const now = timer.now();
    const news = this.#book.merge(suspicions, now);
    if (news.length === 0) return news;
    metrics.count("suspicions_learned", news.length);
    blackboard.write(POISON_RECORDS, this.#book.entries(now));
    this.#recent.push({ news, tellings: 1 });
    this.#tell(news);
    return news;
  }

  #tell(news: readonly SharedPoisonRecord[]): void {
    for (const peer of this.#pickPeers(FANOUT)) this.#send(peer, news);
  }

  #compare(): void {
    this.#options.blackboard.write(
      POISON_RECORDS,
      this.#book.entries(this.#options.timer.now()),
    );
    for (const peer of this.#pickPeers(1)) {
      this.#sendDigest(peer, { isAnswer: false });
    }
  }

  #onDigest(from: HostId, digest: PoisonRecordDigest): void {
    const now = this.#options.timer.now();
    const entries = this.#book.entries(now);
    const isSame = digest.count === entries.length &&
      digest.checksum === this.#book.checksum(now);
    if (isSame) return;
    this.#send(from, entries);
    if (!digest.isAnswer) this.#sendDigest(from, { isAnswer: true });
  }

  #send(to: HostId, suspicions: readonly SharedPoisonRecord[]): void {
    for (let start = 0; start < suspicions.length; start += MAX_PER_MESSAGE) {
      const part = suspicions.slice(start, start + MAX_PER_MESSAGE);
      sendMessage(this.#options.link, POISON_RECORD_UPDATE, {
        to,
        body: { suspicions: part },
      });
    }
  }

  #sendDigest(to: HostId, { isAnswer }: { isAnswer: boolean }): void {
    const now = this.#options.timer.now();
    const checksum = this.#book.checksum(now);
    const body = { count: this.#book.size, checksum, isAnswer };
    sendMessage(this.#options.link, POISON_RECORD_DIGEST, { to, body });
  }

  #pickPeers(maximum: number): HostId[] {
    const { blackboard, link, members, random } = this.#options;
    const peers = blackboard.read(members)
      .filter(({ host, state }) => host !== link.self && state !== "dead")
      .map(({ host }) => host);
    const picked: HostId[] = [];
    while (picked.length < maximum && peers.length > 0) {
      picked.push(...peers.splice(random.int(peers.length), 1));
    }
    return picked;
  }
}

/** The request suspicions among shared ones, grouped for the schedulers. */
export function groupByService(
  shared: readonly SharedPoisonRecord[],
): ServicePoisonRecords[] {
  const groups = new Map<ServiceId, PoisonRecord[]>();
  for (const { service, subject, kind, remainingMs } of shared) {
    if (kind === "ejected") continue;
    const group = groups.get(service) ?? [];
    group.push({ fingerprint: subject as Digest, kind, remainingMs });
    groups.set(service, group);
  }
  return [...groups].map(([service, records]) => ({ service, records }));
}
