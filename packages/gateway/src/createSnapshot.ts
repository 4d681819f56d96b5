import type { GatewayContext } from "./gatewayContext.ts";
import type { ListCheck } from "./listDigest.ts";
import type { ListHistory } from "./listHistory.ts";
import type { KnownVersions, StoreSnapshot } from "./operatorEndpoints.ts";

/** Options of {@link createSnapshot}. */
export interface SnapshotOptions {
  readonly context: GatewayContext;
  readonly history: ListHistory;
  /** Joined store revision of this host's list. */
  readonly listRevision: number;
  readonly listCheck: ListCheck | undefined;
  /** What the requesting host has. */
  readonly known: KnownVersions;
}

/**
 * Returns a host's contents of the store for a peer: what changed in the list
 * where the history tells, and the whole list otherwise.
 */
export function createSnapshot(
  { context, history, listRevision, listCheck, known }: SnapshotOptions,
): StoreSnapshot {
  const { policies, directory, elapsed, timer } = context;
  const now = timer.now();
  const isNewer = listRevision > known.listRevision;
  const from = known.listRevision;
  const { acceptsChanges = true } = known;
  const difference = isNewer && acceptsChanges
    ? history.difference({ from, to: listRevision, directory, now })
    : undefined;
  return {
    policy: policies.version > known.policyVersion
      ? policies.bytes
      : new Uint8Array(),
    policyRevision: policies.revision,
    proofAge: policies.freshness.age(elapsed.now()),
    upstreams: isNewer && difference === undefined ? directory.all() : [],
    change: difference?.change,
    kept: difference?.kept ?? directory.lapsed(now),
    evacuated: [...directory.listedEvacuations],
    listRevision,
    listCheck,
  };
}
