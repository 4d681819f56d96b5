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

/** Duration of one time step of the model. */
export const TICK_MS = 1_000;
/** Two steps, so that events occur both within a lease and after it. */
const LEASE_MS = 2 * TICK_MS;

/** Factories of the state machines; tests substitute weakened ones. */
export interface ModelComponents {
  readonly createLease: (options: ViewLeaseOptions) => ViewLease;
  readonly createKeyTable: (options: KeyTableOptions) => KeyTable;
}

/** Factories of the production state machines. */
export const PRODUCTION_COMPONENTS: ModelComponents = {
  createLease: (options) => new ViewLease(options),
  createKeyTable: (options) => new KeyTable(options),
};

/** Bounds of an exploration; all counts are upper limits. */
export interface ModelBounds {
  /** Published host lists, oldest first; all hosts start with the first. */
  readonly lists: readonly View[];
  /** Hosts that read lists from the platform. */
  readonly readers: readonly HostId[];
  /** Number of time steps. */
  readonly ticks: number;
  /** Number of lease request rounds by host. */
  readonly rounds: Readonly<Record<string, number>>;
  /** Hosts that may restart once and lose their state. */
  readonly restarts: readonly HostId[];
  /** Hosts that receive the caller's request, once each. */
  readonly entries: readonly HostId[];
  /** Number of deliveries of a claim message. */
  readonly claimDeliveries: number;
  readonly isIdempotent?: boolean;
  readonly lifetimeTicks?: number;
  /** Whether claimants may abandon pending claims and release grants. */
  readonly hasAbandonment?: boolean;
  /** Whether replies arrive as separate transitions. */
  readonly hasDelayedReplies?: boolean;
}

/** State of one host process as plain data. */
export interface ModelHost {
  readonly incarnation: number;
  readonly startedAt: number;
  readonly lease: ViewLeaseState;
  readonly records: Map<string, KeyRecord>;
  readonly claims: Map<string, OwnClaim>;
}

/** State of the model in an exploration. */
export interface ModelState {
  readonly tick: number;
  readonly hosts: Map<HostId, ModelHost>;
  readonly roundsLeft: Map<HostId, number>;
  readonly restartsLeft: readonly HostId[];
  readonly entriesLeft: readonly HostId[];
  /** Lease messages in flight, by sender and receiver. */
  readonly leaseMessages: Map<string, unknown>;
  /** Claims in flight with their remaining deliveries. */
  readonly claimMessages: Map<
    string,
    { claim: Claim; home: HostId; left: number }
  >;
  readonly claimReplies: Map<
    string,
    { reply: ClaimReply; to: HostId; from: HostId }
  >;
  readonly issuedAt: number | undefined;
  readonly dispatches: number;
  readonly hasReportedNotRun: boolean;
  /** Description of the violated invariant. */
  readonly violation?: string;
}

const ACCOUNT = asId<ClientAccountId>("account");
const BODY = asId<Digest>("body");
const DISPATCH = {
  upstream: asId<UpstreamId>("upstream"),
  nonce: asId<Nonce>("nonce"),
};

/** Runs the state machines of a host over its plain state. */
export class ModelProcess {
  readonly lease: ViewLease;
  readonly keyTable: KeyTable;
  readonly claimTable: ClaimTable;
  readonly #host: HostId;
  readonly #now: number;

  constructor(
    host: HostId,
    state: ModelHost,
    options: { now: number; bounds: ModelBounds; components: ModelComponents },
  ) {
    const { now, bounds, components } = options;
    this.#host = host;
    this.#now = now;
    this.lease = components.createLease({
      host,
      incarnation: asId<Incarnation>(String(state.incarnation)),
      startedAt: state.startedAt,
      leaseMs: LEASE_MS,
      driftMs: 0,
      state: state.lease,
    });
    this.keyTable = components.createKeyTable({
      records: state.records,
      tenureMarginMs: 0,
      lifetimeMs: lifetimeOf(bounds),
      // Without a grace period the model covers a grant right after a release.
      releaseGraceMs: 0,
    });
    this.claimTable = new ClaimTable({ claims: state.claims });
  }

  /** Decides a claim as the key's home, like the controller. */
  decide(
    claim: Claim,
    { isTerminated }: { isTerminated: TerminationCheck },
  ): ClaimReply {
    const activeView = this.lease.activeView(this.#now);
    const isHome = activeView !== undefined &&
      homeOf(claim.key, activeView.view) === this.#host;
    if (!isHome) return { kind: "unknown", reason: "home-inactive" };
    const { tenures } = activeView;
    return this.keyTable.claim(claim, {
      wallNow: this.#now,
      tenureStartedAt: tenureStartOf(claim.key, { host: this.#host, tenures }),
      isTerminated,
    });
  }
}

type TerminationCheck = (host: HostId, incarnation: Incarnation) => boolean;

/** Returns the lifetime of a key in milliseconds. */
export function lifetimeOf({ lifetimeTicks = 100 }: ModelBounds): number {
  return lifetimeTicks * TICK_MS;
}

/** Creates the claim of the model's key by an entry host. */
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

/** Returns the dispatch that all claims of the model record. */
export function modelDispatch(): typeof DISPATCH {
  return DISPATCH;
}

/** Creates the state of a new process that has read `firstView`. */
export function createHostState(
  { incarnation, startedAt, isJoined, firstView, components, host }: {
    incarnation: number;
    startedAt: number;
    isJoined: boolean;
    firstView: View | undefined;
    components: ModelComponents;
    host: HostId;
  },
): ModelHost {
  const lease = components.createLease({
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

/** Copies the mutable state of a host. */
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

/** Computes compact state digests and caches those of unchanged hosts. */
export class StateDigests {
  readonly #hosts = new WeakMap<ModelHost, number>();
  readonly #ids = new Map<string, number>();

  of(state: ModelState): string {
    const { hosts, ...rest } = state;
    const numbers = [...hosts.values()].map((host) => this.#hostNumber(host));
    return `${numbers.join(" ")} ${this.#intern(serialize(rest))}`;
  }

  #hostNumber(host: ModelHost): number {
    const existing = this.#hosts.get(host);
    if (existing !== undefined) return existing;
    const number = this.#intern(serialize(host));
    this.#hosts.set(host, number);
    return number;
  }

  #intern(digest: string): number {
    const number = this.#ids.get(digest) ?? this.#ids.size;
    this.#ids.set(digest, number);
    return number;
  }
}

function serialize(value: unknown): string {
  return JSON.stringify(value, (_name, part: unknown) => {
    if (part instanceof Map) {
      return [...part].sort(([left], [right]) => left < right ? -1 : 1);
    }
    return part instanceof Set ? [...part].sort() : part;
  });
}
