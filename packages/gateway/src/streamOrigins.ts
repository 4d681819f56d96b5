import type {
  HostId,
  Milliseconds,
  RequestId,
  ServiceId,
  Timer,
  TimerSubscription,
} from "@wasabivane/common";
import { hashWeight, type VersionHistory } from "@wasabivane/admission";
import type { PeerMessage } from "./peerMessage.ts";
import type {
  StreamOriginQuery,
  StreamOriginRecords,
  StreamOriginReply,
} from "./streamOriginMessage.ts";
import { type StreamOrigin, StreamOriginTable } from "./streamOriginTable.ts";

/** Hosts that keep the origin of a stream besides the one that has the stream. */
const KEEPERS = 3;
/** Hosts that are asked: more than keep it, as hosts may be lost or be new. */
const ASKED_HOSTS = 6;
/** Time after which hosts that have not replied are asked again. */
const REPLY_TIMEOUT_MS: Milliseconds = 60;
const MAXIMUM_ROUNDS = 3;
/** Further time for hosts that are confirming their list. */
const CONFIRMATION_WAIT_MS: Milliseconds = 1_000;
/** Records in one datagram. */
const MAXIMUM_RECORDS = 20;

/** Options of {@link StreamOrigins}. */
export interface StreamOriginsOptions {
  readonly host: HostId;
  readonly timer: Timer;
  readonly versions: VersionHistory;
  /**
   * Returns whether the list of upstreams was as in the store at some time after
   * the call.
   */
  readonly confirmList: () => Promise<boolean>;
  /** Whether hosts can show that at present. */
  readonly isConfirmable: () => boolean;
  /** Longest time for which a stream may go on. */
  readonly maximumStreamAge: () => Milliseconds;
  /** Returns the live hosts, with or without this one. */
  readonly hosts: () => readonly HostId[];
  readonly send: (to: HostId, message: PeerMessage) => void;
}

/** A query that waits for replies. */
interface PendingQuery {
  readonly query: StreamOriginQuery;
  /** Hosts that have not replied. */
  readonly waitingFor: Set<HostId>;
  /** Those of them that are confirming their list, and reply after that. */
  readonly confirming: Set<HostId>;
  readonly resolve: (origin: StreamOrigin | undefined) => void;
  rounds: number;
  timeout: TimerSubscription | undefined;
}

/**
 * Knows at which software version streams began, also those that other hosts had,
 * so that they go on at the same one.
 *
 * A host keeps the origins of its own streams. While a service may have streams of
 * several versions it also tells a few hosts, chosen by the request's id, before
 * the first event reaches the caller. A host that does not know asks; what nobody
 * knows stays unknown. That a service has one version counts only once the list
 * is confirmed after the stream was taken up: other hosts may have begun streams
 * at a version that this one has yet to hear of.
 */
export class StreamOrigins {
  readonly #options: StreamOriginsOptions;
  /** Streams of this host that are not complete, which no other host knows. */
  readonly #own = new StreamOriginTable();
  /** Streams that hosts were told of, this one included. */
  readonly #shared = new StreamOriginTable();
  readonly #pending = new Map<RequestId, PendingQuery>();

  constructor(options: StreamOriginsOptions) {
    this.#options = options;
  }

  /** Number of origins that are kept. */
  get size(): number {
    return this.#own.size + this.#shared.size;
  }

  /** Records the origin of a stream whose first event has come. */
  begin(request: RequestId, origin: StreamOrigin): void {
    const now = this.#options.timer.now();
    if (this.#mayHaveOthers(origin.service)) {
      return this.#share([[request, origin]], now);
    }
    this.#own.set(request, origin, now);
  }

  /** Drops the origin of a stream that its caller has received completely. */
  complete(request: RequestId): void {
    this.#own.delete(request);
  }

  /**
   * Finds out where a stream began that a request takes up; `undefined` if neither
   * this host nor those that it asks can tell.
   */
  resolve(
    { request, resumes, service }: Omit<StreamOriginQuery, "host">,
  ): Promise<StreamOrigin | undefined> {
    const { host } = this.#options;
    const query = { host, request, resumes, service };
    return new Promise((resolve) =>
      this.#find(query, (known) => {
        if (known === undefined) this.#ask(query, resolve);
        else resolve(known);
      })
    );
  }

  /** Keeps the records of a peer. */
  keep(records: StreamOriginRecords): void {
    const now = this.#options.timer.now();
    for (const [request, origin] of records) {
      this.#shared.set(request, origin, now);
    }
  }

  /** Replies to a peer's query. */
  reply(query: StreamOriginQuery): void {
    const { host, send } = this.#options;
    const { request } = query;
    const reply = { host, request, origin: undefined, isPending: false };
    let isFound = false;
    this.#find(query, (origin) => {
      isFound = true;
      send(query.host, { kind: "origin", reply: { ...reply, origin } });
    });
    if (isFound) return;
    send(query.host, { kind: "origin", reply: { ...reply, isPending: true } });
  }

  /** Applies a peer's reply; one that does not know leaves it to the others. */
  receive({ host, request, origin, isPending }: StreamOriginReply): void {
    const pending = this.#pending.get(request);
    if (pending === undefined) return;
    if (isPending) {
      // The final reply may have come first.
      if (pending.waitingFor.has(host)) pending.confirming.add(host);
      return;
    }
    pending.confirming.delete(host);
    pending.waitingFor.delete(host);
    const isLate = pending.rounds > MAXIMUM_ROUNDS;
    const isOver = origin !== undefined || pending.waitingFor.size === 0 ||
      isLate && pending.confirming.size === 0;
    if (isOver) this.#settle(pending, origin);
  }

  /**
   * Drops what is too old, and tells other hosts of the streams under way once
   * their service has another version.
   */
  tick(): void {
    const { timer, versions, maximumStreamAge } = this.#options;
    const now = timer.now();
    versions.update(now);
    const oldest = now - maximumStreamAge();
    this.#own.expire(oldest);
    this.#shared.expire(oldest);
    if (this.#own.size > 0) this.#share(this.#selectUnshared(), now);
  }

  /** Returns own streams of services that may have streams of other versions. */
  #selectUnshared(): StreamOriginRecords {
    const records = this.#own.entries();
    const services = new Set(records.map(([, { service }]) => service));
    const several = new Set(
      [...services].filter((service) => this.#mayHaveOthers(service)),
    );
    return records.filter(([, { service }]) => several.has(service));
  }

  /** Gives up all queries. */
  close(): void {
    for (const pending of [...this.#pending.values()]) {
      this.#settle(pending, undefined);
    }
  }

  #mayHaveOthers(service: ServiceId): boolean {
    if (!this.#options.isConfirmable()) return true;
    return this.#findOnly(service) === undefined;
  }

  /** Calls back with what this host knows itself. */
  #find(
    query: StreamOriginQuery,
    onFound: (origin: StreamOrigin | undefined) => void,
  ): void {
    const recorded = this.#findRecorded(query);
    const isSure = recorded !== undefined ||
      this.#findOnly(query.service) === undefined;
    if (isSure) return onFound(recorded);
    void this.#options.confirmList().then((isConfirmed) => {
      // The confirmation may have brought another version.
      const only = isConfirmed ? this.#findOnly(query.service) : undefined;
      onFound(this.#findRecorded(query) ?? only);
    });
  }

  #findRecorded({ resumes }: StreamOriginQuery): StreamOrigin | undefined {
    if (resumes === undefined) return undefined;
    return this.#own.get(resumes) ?? this.#shared.get(resumes);
  }

  /** Returns where all streams of a service began, as far as this host knows. */
  #findOnly(service: ServiceId): StreamOrigin | undefined {
    const { versions, timer } = this.#options;
    const softwareVersion = versions.onlyVersion(service, timer.now());
    return softwareVersion === undefined
      ? undefined
      : { service, softwareVersion };
  }

  #share(records: StreamOriginRecords, now: Milliseconds): void {
    const byHost = new Map<HostId, (readonly [RequestId, StreamOrigin])[]>();
    for (const record of records) {
      const [request, origin] = record;
      this.#own.delete(request);
      this.#shared.set(request, origin, now);
      for (const host of this.#rank(request).slice(0, KEEPERS)) {
        const group = byHost.get(host) ?? [];
        group.push(record);
        byHost.set(host, group);
      }
    }
    for (const [host, group] of byHost) {
      for (let start = 0; start < group.length; start += MAXIMUM_RECORDS) {
        const part = group.slice(start, start + MAXIMUM_RECORDS);
        this.#options.send(host, { kind: "begun", records: part });
      }
    }
  }

  #ask(
    query: StreamOriginQuery,
    resolve: (origin: StreamOrigin | undefined) => void,
  ): void {
    const hosts = this.#rank(query.resumes ?? query.request);
    const waitingFor = new Set(hosts.slice(0, ASKED_HOSTS));
    if (waitingFor.size === 0) return resolve(undefined);
    const pending = {
      query,
      waitingFor,
      confirming: new Set<HostId>(),
      resolve,
      rounds: 0,
      timeout: undefined,
    };
    this.#pending.set(query.request, pending);
    this.#askRound(pending);
  }

  #askRound(pending: PendingQuery): void {
    const { timer, send } = this.#options;
    const { query, waitingFor, confirming } = pending;
    if (pending.rounds++ === MAXIMUM_ROUNDS) {
      if (confirming.size === 0) return this.#settle(pending, undefined);
      pending.timeout = timer.after(
        CONFIRMATION_WAIT_MS,
        () => this.#settle(pending, undefined),
      );
      return;
    }
    for (const host of waitingFor) {
      if (!confirming.has(host)) send(host, { kind: "seek", query });
    }
    pending.timeout = timer.after(
      REPLY_TIMEOUT_MS,
      () => this.#askRound(pending),
    );
  }

  #settle(pending: PendingQuery, origin: StreamOrigin | undefined): void {
    pending.timeout?.cancel();
    this.#pending.delete(pending.query.request);
    pending.resolve(origin);
  }

  /** Returns the other hosts in the order in which they keep an origin. */
  #rank(request: RequestId): HostId[] {
    const { hosts, host: self } = this.#options;
    return hosts()
      .filter((host) => host !== self)
      .map((host) => ({ host, weight: hashWeight(request, host) }))
      .toSorted((left, right) => right.weight - left.weight)
      .map(({ host }) => host);
  }
}
