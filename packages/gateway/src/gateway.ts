import {
  ElapsedClock,
  type FailureDomain,
  type HostId,
  type Incarnation,
  type Milliseconds,
  type Random,
  type Timer,
  type TimerSubscription,
} from "@wasabivane/common";
import {
  CrashBook,
  type FreshnessOptions,
  HostScheduler,
  QuotaBook,
  type QuotaTolerance,
  RetryBudget,
  type RetryBudgetOptions,
  UpstreamDirectory,
} from "@wasabivane/admission";
import { err, type Result } from "neverthrow";
import { CallerFront } from "./callerFront.ts";
import { DecisionLog, type LogOutput } from "./decisionLog.ts";
import type { Dialect } from "./dialect.ts";
import { FleetTalk } from "./fleetTalk.ts";
import { GatewayMetrics } from "./gatewayMetrics.ts";
import type { GatewayParts } from "./gatewayParts.ts";
import type { Shown } from "./operatorPort.ts";
import { type OperatorAddresses, OperatorPorts } from "./operatorPorts.ts";
import type { ListenError } from "./listenError.ts";
import { PeerBook, type PeerChange } from "./peerBook.ts";
import { type ChannelError, PeerChannel } from "./peerChannel.ts";
import { PolicyState } from "./policyState.ts";
import { StoreSharing } from "./storeSharing.ts";
import { UpstreamConnections } from "./upstreamConnections.ts";
import { UpstreamNews } from "./upstreamNews.ts";

/** How often lines, peers and grace times are looked at. */
const TICK_MS: Milliseconds = 10;
const SLOW_TICK_MS: Milliseconds = 100;
/** The balancer asks every second and gives up after two misses. */
const UNREADY_SPREAD_MS: Milliseconds = 2_500;
/** Part of a short grace after which no new connections are taken, so that the rest is left for answers. */
const UNREADY_SHARE = 0.35;
/** Time before the platform's kill by which the process ends by itself. */
const STOP_MARGIN_MS: Milliseconds = 600;
const STOP_CHECK_MS: Milliseconds = 50;
const FALLBACK_CONNECTIONS = 64;

/** Where a host listens; all are `ip:port`. */
export interface GatewayAddresses extends OperatorAddresses {
  readonly callers: string;
}

/** What a {@link Gateway} is built from. */
export interface GatewayOptions {
  readonly host: HostId;
  readonly incarnation: Incarnation;
  readonly failureDomain: FailureDomain;
  readonly addresses: GatewayAddresses;
  readonly seeds: readonly string[];
  readonly readyPath: string;
  readonly freshness: FreshnessOptions;
  readonly retryBudget: RetryBudgetOptions;
  /** By how much all hosts together may exceed a quota. */
  readonly quotaTolerance: QuotaTolerance;
  /** From the order to stop to the kill. */
  readonly stopGrace: Milliseconds;
  readonly dialect: Dialect;
  readonly timer: Timer;
  readonly random: Random;
  readonly output: LogOutput;
}

/**
 * One entry host: callers on one side, upstreams on the other, peers beside it.
 * Whoever reads the platform hands in policies and upstreams.
 */
export class Gateway {
  readonly parts: GatewayParts;
  /** What is known of upstreams; whoever reads the platform hands it in here. */
  readonly upstreams: UpstreamNews;
  /** Who reads the store, and what the others hear of it. */
  readonly sharing: StoreSharing;
  readonly #options: GatewayOptions;
  readonly #front: CallerFront;
  readonly #talk: FleetTalk;
  readonly #book: PeerBook;
  readonly #channel: PeerChannel;
  readonly #operatorPorts: OperatorPorts;
  readonly #timers: TimerSubscription[] = [];
  #stopsAt: Milliseconds = Infinity;
  #workMark = "";

  constructor(options: GatewayOptions) {
    this.#options = options;
    this.#book = new PeerBook(options.host, options.seeds);
    this.parts = this.#createParts();
    this.#front = new CallerFront(this.parts);
    this.#operatorPorts = new OperatorPorts({
      shown: this.#shown(),
      addresses: options.addresses,
      readyPath: options.readyPath,
    });
    this.#channel = new PeerChannel({
      onWord: (word) => this.#onPeerChange(this.#talk.hear(word)),
      onMalformed: () => this.parts.metrics.count("peer_words_malformed"),
    });
    this.#talk = new FleetTalk({
      parts: this.parts,
      book: this.#book,
      incarnation: options.incarnation,
      address: options.addresses.peers,
      send: (word, targets) => this.#channel.send(word, targets),
      onNewerPolicy: (peer) => void this.sharing.askPeer(peer),
      onListRevision: (peer, listRevision) =>
        this.sharing.hearOf(peer, {
          listRevision,
          now: options.timer.now(),
        }),
      listRevision: () => this.sharing.listRevision,
      isReading: () => this.sharing.isReading,
    });
    this.upstreams = new UpstreamNews(this.parts, {
      tellLeft: (upstream) => this.#talk.tellLeft(upstream),
    });
    this.sharing = new StoreSharing({
      parts: this.parts,
      book: this.#book,
      upstreams: this.upstreams,
      applyBound: options.freshness.applyBound,
      takePolicy: (bytes, provenAt) => this.takePolicy(bytes, provenAt),
    });
  }

  /** Whether callers may be sent here. */
  get isReady(): boolean {
    const { policies, directory, elapsed } = this.parts;
    return !this.#isStopping && policies.index !== undefined &&
      directory.size > 0 && policies.freshness.mayTrustKeys(elapsed.now());
  }

  /**
   * Opens the ports, those of operators and the balancer after `operatorsAfter`: until
   * a host has read what it serves by, it is not ready, and loading the libraries of
   * those ports first holds its first answers up on small machines.
   */
  async start(
    { operatorsAfter = Promise.resolve() }: { operatorsAfter?: Promise<void> } =
      {},
  ): Promise<Result<void, ListenError | ChannelError>> {
    const { addresses, timer } = this.#options;
    const opened = await this.#channel.open(addresses.peers);
    if (opened.isErr()) return err(opened.error);
    const listening = await this.#front.listen(addresses.callers);
    if (listening.isErr()) return err(listening.error);
    this.#timers.push(
      timer.every(TICK_MS, () => this.#tick()),
      timer.every(SLOW_TICK_MS, () => this.#slowTick()),
    );
    this.parts.log.write("started", { peers: addresses.peers });
    await operatorsAfter;
    return await this.#operatorPorts.open();
  }

  /** Takes in the newest policy, as the store held it at `provenAt` of the elapsed clock. */
  takePolicy(bytes: Uint8Array, provenAt: Milliseconds): void {
    const { policies, log } = this.parts;
    const former = policies.version;
    policies.adopt(bytes, provenAt).match(
      (adoption) => {
        if (adoption !== "adopted") return;
        log.write("policy_adopted", { version: policies.version, former });
        this.#talk.touch();
      },
      ({ detail }) => log.write("policy_rejected", { detail }),
    );
  }

  /** The store's picture is the newest as of a moment of the elapsed clock. */
  provePolicy(provenAt: Milliseconds): void {
    this.parts.policies.freshness.prove(provenAt);
  }

  setSeeds(seeds: readonly string[]): void {
    this.#book.setSeeds(seeds);
    this.parts.log.write("settings_reloaded", { seeds: seeds.join(",") });
  }

  /**
   * Ends without cutting a request: not ready at once, so that the balancer sends
   * no new connections; everything that comes meanwhile is served, with the
   * advice to close; connections without a request are closed last.
   */
  async stop(): Promise<void> {
    if (this.#isStopping) return;
    const { timer, log } = this.parts;
    const end = timer.now() + this.#options.stopGrace - STOP_MARGIN_MS;
    this.#stopsAt = end;
    log.write("stopping", { open: this.#front.openRequests });
    const spread = UNREADY_SHARE * this.#options.stopGrace;
    await this.#sleep(Math.min(UNREADY_SPREAD_MS, spread));
    this.#front.stopListening();
    this.#front.closeIdle();
    while (this.#front.openRequests > 0 && timer.now() < end) {
      await this.#sleep(STOP_CHECK_MS);
      this.#front.closeIdle();
    }
    log.write("stopped", { open: this.#front.openRequests });
    await this.close();
  }

  /** Ends at once, whatever is under way. */
  async close(): Promise<void> {
    this.#front.stopListening();
    this.#front.closeAll();
    for (const subscription of this.#timers.splice(0)) subscription.cancel();
    this.#operatorPorts.close();
    this.upstreams.close();
    this.#talk.close();
    await this.parts.connections.close();
    this.#channel.close();
  }

  get #isStopping(): boolean {
    return this.#stopsAt !== Infinity;
  }

  #createParts(): GatewayParts {
    const { host, failureDomain, timer, random, dialect, output } =
      this.#options;
    const directory = new UpstreamDirectory();
    const hostCount = (): number => this.#book.aliveCount + 1;
    const policies = new PolicyState({
      dialect,
      bounds: this.#options.freshness,
    });
    return {
      host,
      failureDomain,
      timer,
      elapsed: new ElapsedClock(timer),
      random,
      dialect,
      log: new DecisionLog({ output, timer, host }),
      metrics: new GatewayMetrics(),
      policies,
      directory,
      scheduler: new HostScheduler({ directory, random, failureDomain }),
      quotas: new QuotaBook(this.#options.quotaTolerance),
      retries: new RetryBudget(this.#options.retryBudget),
      crashes: new CrashBook(),
      connections: new UpstreamConnections(() =>
        connectionsOf(policies, hostCount())
      ),
      tellCrash: (crash) => this.#talk.tellCrash(crash),
      dropReplaced: (upstream) => this.upstreams.dropReplaced(upstream),
      hostCount,
      isStopping: () => this.#isStopping,
      stopsAt: () => this.#stopsAt,
    };
  }

  #shown(): Shown {
    const { policies, elapsed, directory } = this.parts;
    return {
      isReady: () => this.isReady,
      metricsText: () => this.#metricsText(),
      belief: () =>
        policies.index === undefined ? undefined : {
          policy: policies.bytes,
          proofAge: policies.freshness.age(elapsed.now()),
          upstreams: directory.all(),
          kept: directory.kept(this.parts.timer.now()),
          listRevision: this.sharing.listRevision,
        },
    };
  }

  #metricsText(): Promise<string> {
    const { metrics, policies, directory, scheduler, elapsed } = this.parts;
    metrics.set("policy_version", policies.version);
    metrics.set("policy_proof_age_ms", policies.freshness.age(elapsed.now()));
    metrics.set("upstreams", directory.size);
    metrics.set("peers", this.#book.aliveCount);
    metrics.set("waiting", scheduler.waitingTotal);
    metrics.set("open_requests", this.#front.openRequests);
    return metrics.text();
  }

  #tick(): void {
    const { scheduler, timer } = this.parts;
    if (scheduler.waitingTotal > 0) scheduler.review(timer.now());
    const mark = workMark(this.parts);
    if (mark !== this.#workMark) this.#talk.touch();
    this.#workMark = mark;
    for (const change of this.#talk.tick()) this.#onPeerChange(change);
  }

  #slowTick(): void {
    const { scheduler, timer } = this.parts;
    const now = timer.now();
    this.upstreams.expire();
    if (scheduler.load.expire(now)) scheduler.review(now);
    this.sharing.tick(now);
  }

  #onPeerChange(change: PeerChange | undefined): void {
    if (change === undefined) return;
    this.parts.log.write(
      change.kind === "found" ? "peer_found" : "peer_lost",
      { peer: change.host },
    );
  }

  #sleep(span: Milliseconds): Promise<void> {
    return new Promise((resolve) => {
      this.parts.timer.after(span, resolve);
    });
  }
}

/** Changes whenever what peers should know of this host's work changes. */
function workMark({ scheduler }: GatewayParts): string {
  let mark = `${scheduler.waitingTotal}`;
  for (const [upstream, { requests }] of scheduler.load.ownInFlight()) {
    mark += `|${upstream}${requests}`;
  }
  return mark;
}

/** Connections that this host may have to one upstream, of what all may have. */
function connectionsOf(policies: PolicyState, hosts: number): number {
  const services = policies.index?.policy.services ?? [];
  let least = Infinity;
  for (const { maximumConnections } of services) {
    least = Math.min(least, maximumConnections);
  }
  if (!Number.isFinite(least)) return FALLBACK_CONNECTIONS;
  return Math.max(1, Math.floor(least / hosts));
}
