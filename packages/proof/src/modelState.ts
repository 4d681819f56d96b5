import {
  asId,
  type ClientAccountId,
  type Digest,
  type HostId,
  type IdempotencyKey,
  type Incarnation,
  type Nonce,
  type RequestId,
  type UpstreamId,
} from "@wasabivane/common";
import {
  type Claim,
  type ClaimReply,
  ClaimTable,
  homeOf,
  type KeyRecord,
  KeyTable,
  type KeyTableOptions,
  type OwnClaim,
  tenureStartOf,
  type View,
  ViewLease,
  type ViewLeaseOptions,
  type ViewLeaseState,
} from "@wasabivane/coordination";

/** Milliseconds of one step of time in the model. */
export const TICK_MS = 1_000;
/** A lease lasts two steps, so that it can be cut short and outlasted. */
const LEASE_MS = 2 * TICK_MS;

/** Which machines the model runs; tests replace one by a weaker one. */
export interface ModelComponents {
  readonly createLease: (options: ViewLeaseOptions) => ViewLease;
  readonly createKeyTable: (options: KeyTableOptions) => KeyTable;
}

/** The machines as they ship. */
export const PRODUCTION_COMPONENTS: ModelComponents = {
  createLease: (options) => new ViewLease(options),
  createKeyTable: (options) => new KeyTable(options),
};

/** What may happen in one exploration; all counts are upper bounds. */
export interface ModelBounds {
  /** Published lists, oldest first; every host knows the first at the start. */
  readonly lists: readonly View[];
  /** Hosts that read the platform; the others hear of lists from their peers. */
  readonly readers: readonly HostId[];
  /** Steps of time. */
  readonly ticks: number;
  /** Rounds of lease requests of each host, by list index of the host's name. */
  readonly rounds: Readonly<Record<string, number>>;
  /** Hosts that may restart once, without memory. */
  readonly restarts: readonly HostId[];
  /** Hosts at which the caller sends its request, once each. */
  readonly entries: readonly HostId[];
  /** Times that one claim message may arrive. */
  readonly claimDeliveries: number;
  readonly isIdempotent?: boolean;
  readonly lifetimeTicks?: number;
  /** Lets entries give up waiting and give up grants. */
  readonly hasAbandonment?: boolean;
  /** Lets answers arrive apart from requests; more states. */
  readonly hasDelayedReplies?: boolean;
}

/** One host's process, as plain data. */
export interface ModelHost {
  readonly incarnation: number;
  readonly startedAt: number;
  readonly lease: ViewLeaseState;
  readonly records: Map<string, KeyRecord>;
  readonly claims: Map<string, OwnClaim>;
}

/** The whole state of an exploration. */
export interface ModelState {
  readonly tick: number;
  readonly hosts: Map<HostId, ModelHost>;
  readonly roundsLeft: Map<HostId, number>;
  readonly restartsLeft: readonly HostId[];
  readonly entriesLeft: readonly HostId[];
  /** Lease requests and answers on their way, by sender and receiver. */
  readonly leaseMessages: Map<string, unknown>;
  /** Claims on their way with the deliveries that are left. */
  readonly claimMessages: Map<
    string,
    { claim: Claim; home: HostId; left: number }
  >;
  readonly claimReplies: Map<
    string,
    { answer: ClaimReply; to: HostId; from: HostId }
  >;
  readonly issuedAt: number | undefined;
  readonly dispatches: number;
  readonly hasReportedNotRun: boolean;
  /** What was broken, if anything. */
  readonly violation?: string;
}

const ACCOUNT = asId<ClientAccountId>("account");
const BODY = asId<Digest>("body");
const DISPATCH = {
  upstream: asId<UpstreamId>("upstream"),
  nonce: asId<Nonce>("nonce"),
};

/** Builds machines over one host's plain state. */
export class ModelProcess {
  readonly lease: ViewLease;
  readonly keyTable: KeyTable;
  readonly claimTable: ClaimTable;
  readonly #host: HostId;
  readonly #now: number;

  constructor(
    host: HostId,
    state: ModelHost,
    options: { now: number; bounds: ModelBounds; machines: ModelComponents },
  ) {
    const { now, bounds, machines } = options;
    this.#host = host;
    this.#now = now;
    this.lease = machines.createLease({
      host,
      incarnation: asId<Incarnation>(String(state.incarnation)),
      startedAt: state.startedAt,
      leaseMs: LEASE_MS,
      driftMs: 0,
      state: state.lease,
    });
    this.keyTable = machines.createKeyTable({
      records: state.records,
      tenureMarginMs: 0,
      lifetimeMs: lifetimeOf(bounds),
      // Claims overtake nothing here: the model asks what a grant right after
      // a release can do at worst.
      releaseGraceMs: 0,
    });
    this.claimTable = new ClaimTable({ claims: state.claims });
  }

  /** Decides a claim as the key's home, as the controller does. */
  decide(claim: Claim, { isGone }: { isGone: ClaimGone }): ClaimReply {
    const activity = this.lease.activeView(this.#now);
    const isHome = activity !== undefined &&
      homeOf(claim.key, activity.view) === this.#host;
    if (!isHome) return { kind: "unknown", reason: "home-inactive" };
    const { tenures } = activity;
    return this.keyTable.claim(claim, {
      wallNow: this.#now,
      tenureStartedAt: tenureStartOf(claim.key, { host: this.#host, tenures }),
      isTerminated: isGone,
    });
  }
}

type ClaimGone = (host: HostId, incarnation: Incarnation) => boolean;

/** The key's lifetime in milliseconds. */
export function lifetimeOf({ lifetimeTicks = 100 }: ModelBounds): number {
  return lifetimeTicks * TICK_MS;
}

/** The claim of the one key of the model through an entry. */
export function createClaim(
  entry: HostId,
  state: ModelState,
  { key, bounds }: { key: IdempotencyKey; bounds: ModelBounds },
): Claim {
  const incarnation = state.hosts.get(entry)!.incarnation;
  return {
    account: ACCOUNT,
    key,
    issuedAt: state.issuedAt ?? state.tick * TICK_MS,
    lifetimeMs: lifetimeOf(bounds),
    bodyDigest: BODY,
    isIdempotent: bounds.isIdempotent ?? false,
    claimId: `${entry}/${incarnation}`,
    claimant: {
      host: entry,
      incarnation: asId<Incarnation>(String(incarnation)),
      request: asId<RequestId>(entry),
    },
  };
}

/** The dispatch that every write of the model makes. */
export function modelDispatch(): typeof DISPATCH {
  return DISPATCH;
}

/** A process without memory; `firstView` is what it read at its start. */
export function createHostState(
  { incarnation, startedAt, isJoined, firstView, machines, host }: {
    incarnation: number;
    startedAt: number;
    isJoined: boolean;
    firstView: View | undefined;
    machines: ModelComponents;
    host: HostId;
  },
): ModelHost {
  const lease = machines.createLease({
    host,
    incarnation: asId<Incarnation>(String(incarnation)),
    startedAt,
  });
  if (firstView !== undefined) lease.addView(firstView);
  lease.state.isJoined = isJoined;
  const records = new Map();
  const claims = new Map();
  return { incarnation, startedAt, lease: lease.state, records, claims };
}

/** Copies a host so that the copy may change. */
export function copyHost(host: ModelHost): ModelHost {
  const { lease } = host;
  return {
    ...host,
    lease: {
      ...lease,
      views: new Map(lease.views),
      retired: new Set(lease.retired),
      granted: new Map(lease.granted),
      replies: new Map(lease.replies),
      sentAt: new Map(lease.sentAt),
    },
    records: new Map(
      [...host.records].map(([key, record]) => [key, { ...record }]),
    ),
    claims: new Map(host.claims),
  };
}

/** Short names of states; hosts that did not change are digested once. */
export class StateDigests {
  readonly #hosts = new WeakMap<ModelHost, number>();
  readonly #numbers = new Map<string, number>();

  of(state: ModelState): string {
    const { hosts, ...rest } = state;
    const numbers = [...hosts.values()].map((host) => this.#hostNumber(host));
    return `${numbers.join(" ")} ${this.#numberOf(digestOf(rest))}`;
  }

  #hostNumber(host: ModelHost): number {
    const known = this.#hosts.get(host);
    if (known !== undefined) return known;
    const number = this.#numberOf(digestOf(host));
    this.#hosts.set(host, number);
    return number;
  }

  #numberOf(digest: string): number {
    const number = this.#numbers.get(digest) ?? this.#numbers.size;
    this.#numbers.set(digest, number);
    return number;
  }
}

function digestOf(value: unknown): string {
  return JSON.stringify(value, (_name, part: unknown) => {
    if (part instanceof Map) {
      return [...part].sort(([left], [right]) => left < right ? -1 : 1);
    }
    return part instanceof Set ? [...part].sort() : part;
  });
}
