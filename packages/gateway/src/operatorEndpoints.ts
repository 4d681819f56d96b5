import { Pool } from "undici";
import {
  type Address,
  collectBody,
  type FailureDomain,
  MemoryBudget,
  type MemoryLease,
  type Milliseconds,
  StallTimeout,
  type Timer,
} from "@wasabivane/common";
import type { LapsedUpstream, Upstream } from "@wasabivane/admission";
import { Packr } from "msgpackr";
import { err, ok, type Result } from "neverthrow";
import { CompressedBytes, decompress } from "./compressedBytes.ts";
import type { UpstreamListChange } from "./gossipMessage.ts";
import type { Endpoint } from "./httpEndpoint.ts";
import type { ListCheck } from "./listDigest.ts";
import { sizeOfPackedValues } from "./packedValues.ts";
import { expectSnapshot } from "./snapshotValues.ts";

const packr = new Packr({ useRecords: false });

/** Path of the store snapshot. */
const SNAPSHOT_PATH = "/belief";
/** Time until a peer begins to respond. */
const RESPONSE_TIMEOUT_MS: Milliseconds = 400;
/** Time between two chunks of a response, which share the peer's link. */
const CHUNK_TIMEOUT_MS: Milliseconds = 1_000;
/** Time of the whole body. */
const BODY_TIMEOUT_MS: Milliseconds = 20_000;
/** Bytes that a snapshot, and the policy in it, may have on any host. */
const SMALLEST_LIMIT = 8 * 1_024 * 1_024;
const LARGEST_LIMIT = 64 * 1_024 * 1_024;
/** Bytes that a snapshot holds for each of its own: its texts, bytes and copies. */
const SNAPSHOT_FACTOR = 2;
/** Copies of a policy while it is decompressed. */
const POLICY_FACTOR = 2;

/**
 * The versions that a host has; a requesting host is not sent what is not newer.
 */
export interface SnapshotVersions {
  /** 0 without a policy. */
  readonly policyVersion: number;
  /** Joined store revision; 0 requests the whole list. */
  readonly listRevision: number;
}

/** What a host that requests a snapshot has and understands. */
export interface KnownVersions extends SnapshotVersions {
  /** Whether it applies differences; otherwise a newer list is sent whole. */
  readonly acceptsChanges?: boolean;
}

/**
 * A host's copy of the store's contents, for a peer that does not read the
 * store.
 */
export interface StoreSnapshot {
  /** Bytes of the current policy; empty if the requesting host has it. */
  readonly policy: Uint8Array;
  /** Store revision up to which no newer policy was written. */
  readonly policyRevision: number;
  /** Time since policy and list were confirmed current. */
  readonly proofAge: Milliseconds;
  /**
   * All upstreams; empty if the requesting host has the same list, or is sent
   * the change.
   */
  readonly upstreams: readonly Upstream[];
  /**
   * What changed since the list of the requesting host; `undefined` if it is sent
   * the whole list.
   */
  readonly change?: UpstreamListChange | undefined;
  /**
   * Upstreams among those sent whose entries lapsed and that are removed unless
   * they are listed again.
   */
  readonly kept: readonly LapsedUpstream[];
  /** Evacuated failure domains as of `listRevision`. */
  readonly evacuated: readonly FailureDomain[];
  /** Store revision of the upstream list. */
  readonly listRevision: number;
  /** Check value of the list; `undefined` from hosts that do not know it. */
  readonly listCheck?: ListCheck | undefined;
}

/** Data that a host serves to peers and operators. */
export interface OperatorData {
  readonly isReady: () => boolean;
  readonly metricsText: () => Promise<string>;
  readonly createSnapshot: (known: KnownVersions) => StoreSnapshot;
}

/** The error for a snapshot that could not be fetched. */
export interface FetchError {
  readonly kind: "unreachable" | "no-snapshot";
  readonly detail: string;
}

/** Creates the load balancer's readiness endpoint. */
export function readinessEndpoint(
  { isReady }: OperatorData,
  path: string,
): Endpoint {
  return { path, respond: () => ({ status: isReady() ? 200 : 503 }) };
}

/** Creates the Prometheus metrics endpoint. */
export function metricsEndpoint(
  { metricsText }: OperatorData,
  path: string,
): Endpoint {
  return {
    path,
    respond: async () => ({
      status: 200,
      type: "text/plain; charset=UTF-8",
      body: await metricsText(),
    }),
  };
}

/**
 * Creates the endpoint that serves store snapshots to peers. Policies are sent
 * compressed, as many peers fetch a new one at once over this host's link.
 */
export function snapshotEndpoint(
  { createSnapshot }: OperatorData,
  memory: MemoryBudget,
): Endpoint {
  const compressedPolicy = new CompressedBytes();
  return {
    path: SNAPSHOT_PATH,
    respond: (query) => {
      const known = {
        policyVersion: versionIn(query, "policy"),
        listRevision: versionIn(query, "list"),
        // Hosts of former versions would take a difference for an empty list.
        acceptsChanges: query.has("changes"),
      };
      const snapshot = createSnapshot(known);
      const policy = compressedPolicy.of(snapshot.policy);
      const body = packr.pack({ ...snapshot, policy });
      const lease = memory.reserve(body.length);
      return lease === undefined
        ? { status: 503 }
        : { status: 200, body, lease };
    },
  };
}

/** Returns a version of a query; 0 if it names none. */
function versionIn(query: URLSearchParams, name: string): number {
  const version = Number(query.get(name) ?? 0);
  return Number.isSafeInteger(version) && version >= 0 ? version : 0;
}

/** Options of {@link fetchSnapshot}. */
export interface FetchOptions extends SnapshotVersions {
  readonly timer: Timer;
  /** Bounds what all snapshots hold while they are received and decoded. */
  readonly memory?: MemoryBudget;
}

/** Fetches the snapshot of a peer. */
export async function fetchSnapshot(
  address: Address,
  { policyVersion, listRevision, timer, memory = new MemoryBudget() }:
    FetchOptions,
): Promise<Result<StoreSnapshot, FetchError>> {
  const pool = new Pool(`http://${address}`);
  const query = `policy=${policyVersion}&list=${listRevision}&changes=1`;
  const timeout = new StallTimeout(timer, RESPONSE_TIMEOUT_MS);
  const lease = memory.reserve(0)!;
  const maximumBytes = Math.min(
    LARGEST_LIMIT,
    Math.max(SMALLEST_LIMIT, memory.limit),
  );
  try {
    const response = await pool.request({
      method: "GET",
      path: `${SNAPSHOT_PATH}?${query}`,
      signal: timeout.signal,
    });
    const bytes = await collectBody(response.body, {
      timeout,
      span: CHUNK_TIMEOUT_MS,
      wholeSpan: BODY_TIMEOUT_MS,
      maximumBytes,
      reserve: (count) => lease.resize(SNAPSHOT_FACTOR * count),
    });
    if (response.statusCode !== 200) {
      return err({
        kind: "no-snapshot",
        detail: `status ${response.statusCode}`,
      });
    }
    return ok(decodeSnapshot(bytes, { lease, maximumBytes }));
  } catch (thrown) {
    return err({ kind: "unreachable", detail: String(thrown) });
  } finally {
    timeout.cancel();
    lease.release();
    void pool.destroy();
  }
}

/** Throws for a snapshot that is malformed or holds too much. */
function decodeSnapshot(
  bytes: Uint8Array,
  { lease, maximumBytes }: { lease: MemoryLease; maximumBytes: number },
): StoreSnapshot {
  const size = sizeOfPackedValues(bytes);
  const limit = SNAPSHOT_FACTOR * maximumBytes;
  if (size > limit || !lease.resize(lease.bytes + size)) {
    throw new RangeError(`No memory for values of ${size} bytes`);
  }
  const snapshot = expectSnapshot(packr.unpack(bytes));
  const policy = decompress(snapshot.policy, maximumBytes / POLICY_FACTOR);
  return { ...snapshot, policy };
}
