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
/** Peers that an update is sent to; each recipient forwards it. */
const GOSSIP_FANOUT = 4;
/** Number of ticks in which an update is sent, so that few hosts miss it. */
const SENDS_PER_UPDATE = 3;
/**
 * Interval at which the table is compared with a random peer's to recover lost
 * updates.
 */
const COMPARE_PERIOD_MS: Milliseconds = 1_000;
const MAX_RECORDS_PER_MESSAGE = 64;

/** Current records, for pool schedulers that start later. */
export const POISON_RECORDS: Topic<readonly SharedPoisonRecord[]> = createTopic<
  readonly SharedPoisonRecord[]
>("suspicions", []);

/** Sends records that changed the sender's table. */
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
      MAX_RECORDS_PER_MESSAGE,
    ),
  }),
);

/** Digest of a table of poison records, for comparison with a peer's. */
export interface PoisonRecordDigest {
  readonly count: number;
  readonly checksum: number;
  /**
   * Whether this replies to a digest; a reply is not answered with another one.
   */
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

/** Fields of a member that the controller uses. */
export interface PoisonRecordMember {
  readonly host: HostId;
  readonly state: "alive" | "suspect" | "dead";
}

/** Poison records of one service, as exchanged with its scheduler. */
export interface ServicePoisonRecords {
  readonly service: ServiceId;
  readonly records: readonly PoisonRecord[];
}

/** Dependencies of a {@link PoisonRecordController}. */
export interface PoisonRecordControllerOptions {
  readonly blackboard: Blackboard;
  readonly link: PeerLink;
  readonly timer: Timer;
  readonly random: Random;
  readonly metrics: Metrics;
  readonly members: Topic<readonly PoisonRecordMember[]>;
  /**
   * Returns the records created by this host's schedulers since the last call.
   */
  readonly drain: () => readonly ServicePoisonRecords[];
  /** Passes records received from peers to this host's scheduler. */
  readonly importPoisonRecords: (records: ServicePoisonRecords) => void;
  /** Returns the upstreams currently ejected by this host's schedulers. */
  readonly ejections?: () => readonly SharedPoisonRecord[];
}

/**
 * Spreads poison records and ejections among the entry hosts by gossip and by
 * periodic comparison of tables.
 */
export class PoisonRecordController extends Controller {
  readonly #options: PoisonRecordControllerOptions;
  readonly #table = new PoisonRecordTable();
  readonly #subscriptions: (() => void)[] = [];
  #timers: TimerSubscription[] = [];
  #recentUpdates: {
    records: readonly SharedPoisonRecord[];
    sends: number;
  }[] = [];

  constructor(options: PoisonRecordControllerOptions) {
    super();
    this.#options = options;
  }

  override start(): void {
    const { link, timer } = this.#options;
    this.#subscriptions.push(
      subscribeMessage(
        link,
        POISON_RECORD_UPDATE,
        (_from, { suspicions }) => this.#onUpdate(suspicions),
      ),
      subscribeMessage(
        link,
        POISON_RECORD_DIGEST,
        (from, digest) => this.#onDigest(from, digest),
      ),
    );
    this.#timers = [
      timer.every(TICK_MS, () => this.#tick()),
      timer.every(COMPARE_PERIOD_MS, () => this.#sendComparison()),
    ];
  }

  override stop(): void {
    for (const end of this.#subscriptions.splice(0)) end();
    for (const subscription of this.#timers.splice(0)) subscription.cancel();
  }

  /**
   * Sends the records created by this host's schedulers. Call it right after an
   * upstream failed, so that peers are informed before the caller retries.
   */
  flush(): void {
    const { drain, ejections } = this.#options;
    const drained = drain().flatMap(({ service, records }) =>
      records.map(({ fingerprint, kind, remainingMs }) => ({
        service,
        subject: fingerprint,
        kind,
        remainingMs,
      }))
    );
    const local = [...drained, ...ejections?.() ?? []];
    if (local.length > 0) this.#merge(local);
  }

  #tick(): void {
    for (const recent of this.#recentUpdates) {
      recent.sends++;
      this.#gossip(recent.records);
    }
    this.#recentUpdates = this.#recentUpdates.filter(({ sends }) =>
      sends < SENDS_PER_UPDATE
    );
    this.flush();
  }

  #onUpdate(records: readonly SharedPoisonRecord[]): void {
    for (const update of groupByService(this.#merge(records))) {
      this.#options.importPoisonRecords(update);
    }
  }

  #merge(records: readonly SharedPoisonRecord[]): SharedPoisonRecord[] {
    const { blackboard, metrics, timer } = this.#options;
    const now = timer.now();
    const updates = this.#table.merge(records, now);
    if (updates.length === 0) return updates;
    metrics.count("suspicions_learned", updates.length);
    blackboard.write(POISON_RECORDS, this.#table.entries(now));
    this.#recentUpdates.push({ records: updates, sends: 1 });
    this.#gossip(updates);
    return updates;
  }

  #gossip(records: readonly SharedPoisonRecord[]): void {
    for (const peer of this.#pickPeers(GOSSIP_FANOUT)) {
      this.#send(peer, records);
    }
  }

  #sendComparison(): void {
    this.#options.blackboard.write(
      POISON_RECORDS,
      this.#table.entries(this.#options.timer.now()),
    );
    for (const peer of this.#pickPeers(1)) {
      this.#sendDigest(peer, { isAnswer: false });
    }
  }

  #onDigest(from: HostId, digest: PoisonRecordDigest): void {
    const now = this.#options.timer.now();
    const entries = this.#table.entries(now);
    const isSame = digest.count === entries.length &&
      digest.checksum === this.#table.checksum(now);
    if (isSame) return;
    this.#send(from, entries);
    if (!digest.isAnswer) this.#sendDigest(from, { isAnswer: true });
  }

  #send(to: HostId, records: readonly SharedPoisonRecord[]): void {
    for (
      let start = 0;
      start < records.length;
      start += MAX_RECORDS_PER_MESSAGE
    ) {
      const part = records.slice(start, start + MAX_RECORDS_PER_MESSAGE);
      sendMessage(this.#options.link, POISON_RECORD_UPDATE, {
        to,
        body: { suspicions: part },
      });
    }
  }

  #sendDigest(to: HostId, { isAnswer }: { isAnswer: boolean }): void {
    const now = this.#options.timer.now();
    const checksum = this.#table.checksum(now);
    const body = { count: this.#table.size, checksum, isAnswer };
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

/** Groups poison records by service and omits ejected upstreams. */
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
