import type { HostList, SignedBundle } from "@wasabivane/bundle";
import type {
  HostId,
  Metrics,
  PeerLink,
  Random,
  Timer,
} from "@wasabivane/common";
import type { ConfigurationDocuments } from "./configurationDocuments.ts";
import {
  DOCUMENT_REQUEST,
  type DocumentChunk,
} from "./configurationMessages.ts";
import {
  bundleIdentityOf,
  type ConfigurationGossip,
  shouldReplace,
} from "./configurationGossip.ts";
import { DocumentFetch, type DocumentReference } from "./documentFetch.ts";
import { sendMessage } from "./peerMessages.ts";

/** Consecutive timeouts after which a peer is ignored for a while. */
const MAX_TIMEOUTS = 3;

/** Maximum number of remembered roots, since forged ones could fill memory. */
const MAX_ROOTS_TO_FETCH_WHOLE = 16;

/** Configuration that this host has. */
export interface LocalConfiguration {
  readonly inForce: SignedBundle | undefined;
  readonly hostListVersion: number;
}

/** Dependencies of {@link ConfigurationFetcher}. */
export interface ConfigurationFetcherOptions {
  readonly link: PeerLink;
  readonly timer: Timer;
  readonly random: Random;
  readonly metrics: Metrics;
  readonly gossip: ConfigurationGossip;
  readonly documents: ConfigurationDocuments;
  /** Receives a bundle; returns false if it is invalid. */
  readonly onBundle: (signed: SignedBundle, from: HostId) => boolean;
  readonly onHostList: (hostList: HostList) => void;
}

/**
 * Fetches newer configuration from peers, one bundle and one host list at a
 * time. A bundle is fetched as a difference if possible, otherwise as a whole.
 */
export class ConfigurationFetcher {
  readonly #options: ConfigurationFetcherOptions;
  readonly #rootsToFetchWhole = new Set<string>();
  readonly #timeouts = new Map<HostId, number>();
  #bundle: DocumentFetch | undefined;
  #hostList: DocumentFetch | undefined;
  #local: LocalConfiguration = { inForce: undefined, hostListVersion: 0 };

  constructor(options: ConfigurationFetcherOptions) {
    this.#options = options;
  }

  /** Cancels timed-out fetches and starts new ones. */
  poll(local: LocalConfiguration): void {
    this.#local = local;
    if (this.#hasTimedOut(this.#bundle)) this.#bundle = undefined;
    if (this.#hasTimedOut(this.#hostList)) this.#hostList = undefined;
    this.#bundle ??= this.#startBundle();
    this.#hostList ??= this.#startHostList();
  }

  /** Handles a chunk sent by a peer. */
  onChunk(from: HostId, chunk: DocumentChunk): void {
    const isHostList = chunk.document === "host-list";
    const fetch = isHostList ? this.#hostList : this.#bundle;
    if (fetch === undefined) return;
    const now = this.#options.timer.now();
    const progress = fetch.addChunk(from, { chunk, now });
    if (progress.kind === "ignored") return;
    this.#timeouts.delete(from);
    if (progress.kind === "more") {
      for (const body of progress.requests) {
        sendMessage(this.#options.link, DOCUMENT_REQUEST, { to: from, body });
      }
      return;
    }
    const text = progress.kind === "whole" ? progress.text : undefined;
    if (isHostList) this.#onHostList(from, text);
    else this.#onBundle(fetch, text);
  }

  #hasTimedOut(fetch: DocumentFetch | undefined): boolean {
    const { timer, gossip } = this.#options;
    const now = timer.now();
    if (fetch === undefined || !fetch.hasTimedOut(now)) return false;
    const timeouts = (this.#timeouts.get(fetch.peer) ?? 0) + 1;
    this.#timeouts.set(fetch.peer, timeouts);
    if (timeouts < MAX_TIMEOUTS) return true;
    this.#timeouts.delete(fetch.peer);
    gossip.distrust(fetch.peer, now);
    return true;
  }

  #startBundle(): DocumentFetch | undefined {
    const { gossip, timer } = this.#options;
    const newest = gossip.newestAnnouncedBundle(timer.now());
    if (newest === undefined) return undefined;
    const { mark, holders } = newest;
    const { inForce } = this.#local;
    if (!shouldReplace(mark, inForce && bundleIdentityOf(inForce))) {
      return undefined;
    }
    const canPatch = inForce !== undefined &&
      mark.version > inForce.bundle.version &&
      !this.#rootsToFetchWhole.has(mark.root);
    const wanted: DocumentReference = canPatch
      ? { document: "difference", ...mark, fromRoot: inForce.root }
      : { document: "bundle", ...mark };
    return this.#start(wanted, holders);
  }

  #startHostList(): DocumentFetch | undefined {
    const { gossip, timer } = this.#options;
    const { version, holders } = gossip.newestAnnouncedHostList(timer.now());
    if (version <= this.#local.hostListVersion) return undefined;
    return this.#start({ document: "host-list", version, root: "" }, holders);
  }

  #start(
    wanted: DocumentReference,
    holders: readonly HostId[],
  ): DocumentFetch | undefined {
    if (holders.length === 0) return undefined;
    const { link, random, timer, metrics } = this.#options;
    const peer = random.pick(holders);
    const fetch = new DocumentFetch({ peer, wanted, now: timer.now() });
    metrics.count("documents_fetched", 1, { document: wanted.document });
    sendMessage(link, DOCUMENT_REQUEST, {
      to: peer,
      body: fetch.firstRequest(),
    });
    return fetch;
  }

  #onHostList(from: HostId, text: string | undefined): void {
    const { documents, gossip, timer, onHostList } = this.#options;
    this.#hostList = undefined;
    const hostList = text === undefined
      ? undefined
      : documents.parseHostList(text).unwrapOr(undefined);
    if (hostList === undefined) gossip.distrust(from, timer.now());
    else onHostList(hostList);
  }

  /**
   * Applies a fetched bundle. A difference that cannot be applied is fetched
   * again as a whole bundle; a peer that sent an invalid whole bundle is
   * distrusted.
   */
  #onBundle(fetch: DocumentFetch, text: string | undefined): void {
    const { documents, gossip, timer, onBundle } = this.#options;
    this.#bundle = undefined;
    const signed = text === undefined
      ? undefined
      : documents.parseBundle(fetch.wanted, text).unwrapOr(undefined);
    if (signed !== undefined && onBundle(signed, fetch.peer)) {
      this.#rootsToFetchWhole.clear();
    } else if (fetch.wanted.document === "difference") {
      if (this.#rootsToFetchWhole.size >= MAX_ROOTS_TO_FETCH_WHOLE) {
        this.#rootsToFetchWhole.clear();
      }
      this.#rootsToFetchWhole.add(fetch.wanted.root);
    } else {
      gossip.distrust(fetch.peer, timer.now());
    }
  }
}
