import type { Address, HostId, Milliseconds } from "@wasabivane/common";
import type { Result } from "neverthrow";
import type { GatewayContext } from "./gatewayContext.ts";
import {
  type FetchError,
  fetchSnapshot,
  type SnapshotVersions,
  type StoreSnapshot,
} from "./operatorEndpoints.ts";
import type { PeerDirectory } from "./peerDirectory.ts";

/** Fetches what is newer than the known versions from the peer at `ip:port`. */
export type SnapshotRequest = (
  address: Address,
  known: SnapshotVersions,
) => Promise<Result<StoreSnapshot, FetchError>>;

/** Options of a {@link SnapshotFetcher}. */
export interface SnapshotFetcherOptions {
  readonly context: GatewayContext;
  readonly peers: PeerDirectory;
  readonly requestSnapshot?: SnapshotRequest;
  /** Returns the revision of this host's list. */
  readonly listRevision: () => number;
  /**
   * Applies a snapshot that was requested at a time; returns false for a
   * difference that does not follow on this host's list.
   */
  readonly apply: (
    snapshot: StoreSnapshot,
    requestedAt: Milliseconds,
  ) => boolean;
}

/** Fetches the store's contents from peers and applies them. */
export class SnapshotFetcher {
  readonly #options: SnapshotFetcherOptions;

  constructor(options: SnapshotFetcherOptions) {
    this.#options = options;
  }

  /**
   * Fetches what this host lacks, and the whole list where a difference does not
   * follow on its own.
   */
  async fetch(peer: HostId): Promise<void> {
    const { listRevision } = this.#options;
    const isApplied = await this.#fetchOnce(peer, listRevision());
    if (!isApplied) await this.#fetchOnce(peer, 0);
  }

  async #fetchOnce(peer: HostId, listRevision: number): Promise<boolean> {
    const { peers, context, apply } = this.#options;
    const {
      requestSnapshot = (ip, known) =>
        fetchSnapshot(ip, {
          ...known,
          timer: context.timer,
          memory: context.memory.transfers,
        }),
    } = this.#options;
    const address = peers.addressOf(peer);
    if (address === undefined) return true;
    const requestedAt = context.elapsed.now();
    const policyVersion = context.policies.version;
    const fetched = await requestSnapshot(address, {
      policyVersion,
      listRevision,
    });
    return fetched.match(
      (snapshot) => apply(snapshot, requestedAt),
      ({ detail }) => {
        context.log.write("snapshot_fetch_failed", {
          peer,
          detail,
          took: Math.round(context.elapsed.now() - requestedAt),
        });
        return true;
      },
    );
  }
}
