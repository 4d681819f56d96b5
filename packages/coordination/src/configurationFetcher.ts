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

/** Timeouts in a row after which a peer is not asked for a while. */
const MAX_TIMEOUTS = 3;

/** Roots remembered as fetched whole only; forged ones must not fill memory. */
const MAX_WHOLE_WANTED = 16;

/** What this host has. */
export interface LocalConfiguration {
  readonly inForce: SignedBundle | undefined;
  readonly hostListVersion: number;
}

/** What {@link ConfigurationFetcher} needs. */
export interface ConfigurationFetcherOptions {
  readonly link: PeerLink;
  readonly timer: Timer;
  readonly random: Random;
  readonly metrics: Metrics;
  readonly gossip: ConfigurationGossip;
  readonly documents: ConfigurationDocuments;
  /** False when the bundle did not pass its checks. */
  readonly onBundle: (signed: SignedBundle, from: HostId) => boolean;
  readonly onHostList: (hostList: HostList) => void;
}

/**
 * Fetches what peers have and this host lacks, one bundle and one host list at
 * a time: a difference where one applies, else the whole in chunks.
 */
export class ConfigurationFetcher {
  readonly #options: ConfigurationFetcherOptions;
  readonly #wholeWanted = new Set<string>();
  readonly #timeouts = new Map<HostId, number>();
  #bundle: DocumentFetch | undefined;
  #hostList: DocumentFetch | undefined;
  #known: LocalConfiguration = { inForce: undefined, hostListVersion: 0 };

  constructor(options: ConfigurationFetcherOptions) {
    this.#options = options;
  }

  /** Drops late fetches and starts those that are due. */
  poll(known: LocalConfiguration): void {
    this.#known = known;
    if (this.#isLate(this.#bundle)) this.#bundle = undefined;
    if (this.#isLate(this.#hostList)) this.#hostList = undefined;
    this.#bundle ??= this.#startBundle();
    this.#hostList ??= this.#startHostList();
  }

  /** Takes a chunk that a peer sent. */
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

  #isLate(fetch: DocumentFetch | undefined): boolean {
    const { timer, gossip: spread } = this.#options;
    const now = timer.now();
    if (fetch === undefined || !fetch.hasTimedOut(now)) return false;
    const timeouts = (this.#timeouts.get(fetch.peer) ?? 0) + 1;
    this.#timeouts.set(fetch.peer, timeouts);
    if (timeouts < MAX_TIMEOUTS) return true;
    this.#timeouts.delete(fetch.peer);
    spread.distrust(fetch.peer, now);
    return true;
  }

  #startBundle(): DocumentFetch | undefined {
    const { gossip: spread, timer } = this.#options;
    const newest = spread.newestAnnouncedBundle(timer.now());
    if (newest === undefined) return undefined;
    const { mark, holders } = newest;
    const { inForce } = this.#known;
    if (!shouldReplace(mark, inForce && bundleIdentityOf(inForce))) {
      return undefined;
    }
    const canPatch = inForce !== undefined &&
      mark.version > inForce.bundle.version &&
      !this.#wholeWanted.has(mark.root);
    const wanted: DocumentReference = canPatch
      ? { document: "difference", ...mark, fromRoot: inForce.root }
      : { document: "bundle", ...mark };
    return this.#start(wanted, holders);
  }

  #startHostList(): DocumentFetch | undefined {
    const { gossip: spread, timer } = this.#options;
    const { version, holders } = spread.newestAnnouncedHostList(timer.now());
    if (version <= this.#known.hostListVersion) return undefined;
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
    const { documents, gossip: spread, timer, onHostList } = this.#options;
    this.#hostList = undefined;
    const hostList = text === undefined
      ? undefined
      : documents.parseHostList(text).unwrapOr(undefined);
    if (hostList === undefined) spread.distrust(from, timer.now());
    else onHostList(hostList);
  }

  /**
   * A difference that does not apply is no proof against its sender: it may
   * start from a bundle that only one of the two knows. A whole bundle that
   * does not pass its checks is.
   */
  #onBundle(fetch: DocumentFetch, text: string | undefined): void {
    const { documents, gossip: spread, timer, onBundle } = this.#options;
    this.#bundle = undefined;
    const signed = text === undefined
      ? undefined
      : documents.parseBundle(fetch.wanted, text).unwrapOr(undefined);
    if (signed !== undefined && onBundle(signed, fetch.peer)) {
      this.#wholeWanted.clear();
    } else if (fetch.wanted.document === "difference") {
      if (this.#wholeWanted.size >= MAX_WHOLE_WANTED) this.#wholeWanted.clear();
      this.#wholeWanted.add(fetch.wanted.root);
    } else {
      spread.distrust(fetch.peer, timer.now());
    }
  }
}
