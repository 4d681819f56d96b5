import {
  ElapsedClock,
  type HostId,
  type Milliseconds,
} from "@wasabivane/common";
import {
  type CoordinatorCandidate,
  EventLoopLag,
  LoadShedder,
  PlacementClient,
  PoisonRequestDetector,
  QuotaLimiter,
  RetryBudget,
  type Upstream,
  UpstreamActivity,
  UpstreamDirectory,
  UpstreamStats,
} from "@wasabivane/admission";
import { err, type Result } from "neverthrow";
import { CallerFront } from "./callerFront.ts";
import { DecisionLog } from "./decisionLog.ts";
import { FleetTalk } from "./fleetTalk.ts";
import { GatewayMetrics } from "./gatewayMetrics.ts";
import type { GatewayOptions } from "./gatewayOptions.ts";
import type { GatewayContext } from "./gatewayContext.ts";
import type { Shown } from "./operatorPages.ts";
import { OperatorPorts } from "./operatorPorts.ts";
import type { ListenError } from "./listenError.ts";
import { Looks } from "./looks.ts";
import { PeerBook } from "./peerBook.ts";
import { type ChannelError, PeerChannel } from "./peerChannel.ts";
import { PeerLog } from "./peerLog.ts";
import type { PeerMessage } from "./peerMessage.ts";
import type { UpstreamListChange } from "./peerWord.ts";
import { keeperChangeOf, PlaceDesk } from "./placeDesk.ts";
import { PolicyState } from "./policyState.ts";
import { StoreSharing } from "./storeSharing.ts";
import { connectionShare } from "./connectionShare.ts";
import { UpstreamConnections } from "./upstreamConnections.ts";
import { UpstreamUpdates } from "./upstreamUpdates.ts";
import { UsageDesk } from "./usageDesk.ts";

/** The balancer asks every second and gives up after two misses. */
const UNREADY_SPREAD_MS: Milliseconds = 2_500;
/** Part of a short grace after which no new connections are taken, so that the rest is left for answers. */
const UNREADY_SHARE = 0.35;
/** Time before the platform's kill by which the process ends by itself. */
const STOP_MARGIN_MS: Milliseconds = 600;
const STOP_CHECK_MS: Milliseconds = 50;
const SHED_NOTE_MS: Milliseconds = 1_000;

/**
 * One entry host: callers on one side, upstreams on the other, peers beside it.
 * Whoever reads the platform hands in policies and upstreams.
 */
export class Gateway {
  readonly context: GatewayContext;
  /** What is known of upstreams; whoever reads the platform hands it in here. */
  readonly upstreamUpdates: UpstreamUpdates;
  /** Who reads the store, and what the others hear of it. */
  readonly storeSharing: StoreSharing;
  readonly #options: GatewayOptions;
  readonly #front: CallerFront;
  readonly #talk: FleetTalk;
  readonly #book: PeerBook;
  readonly #channel: PeerChannel;
  readonly #operatorPorts: OperatorPorts;
  readonly #desk: PlaceDesk;
  readonly #usage: UsageDesk;
  readonly #startedAt: Milliseconds;
  readonly #peerLog: PeerLog;
  readonly #looks: Looks;
  #stopsAt: Milliseconds = Infinity;
  #shedNotedAt: Milliseconds = -Infinity;

  constructor(options: GatewayOptions) {
    const { host, incarnation, failureDomain, seeds, cores, timer } = options;
    this.#options = options;
    this.#startedAt = timer.now();
    this.#book = new PeerBook({
      host,
      failureDomain,
      startedAt: this.#startedAt,
      cores,
      seeds,
    });
    this.context = this.#createParts();
    this.#peerLog = new PeerLog(this.context);
    this.#front = new CallerFront(this.context);
    this.#operatorPorts = new OperatorPorts({
      shown: this.#shown(),
      addresses: options.addresses,
      readyPath: options.readinessPath,
    });
    this.#channel = this.#createChannel();
    this.#desk = new PlaceDesk({
      parts: () => this.context,
      incarnation,
      seeker: this.context.places,
      send: (to, message) => this.#sendTo(to, message),
      sendToAll: (message) =>
        this.#channel.send(message, this.#book.aliveAddresses()),
    });
    this.#usage = new UsageDesk({
      host,
      incarnation,
      quotas: this.context.quotas,
      candidates: () => this.#candidates(),
      sendReport: (to, usage) => this.#sendTo(to, { kind: "usage", usage }),
      sendSums: (to, sums) => this.#sendTo(to, { kind: "sums", sums }),
    });
    this.#looks = new Looks({
      timer,
      desk: this.#desk,
      lag: this.context.lag,
      hosts: () => this.#book.aliveCount,
      review: (now) => this.#review(now),
    });
    this.#talk = this.#createTalk();
    this.upstreamUpdates = new UpstreamUpdates(this.context, {
      tellLeft: (upstream) => this.#talk.tellLeft(upstream),
    });
    this.storeSharing = new StoreSharing({
      parts: this.context,
      book: this.#book,
      upstreams: this.upstreamUpdates,
      applyBound: options.freshness.applyBound,
      adoptPolicy: (bytes, provenAt) => this.adoptPolicy(bytes, provenAt),
    });
  }

  /** Whether callers may be sent here. */
  get isReady(): boolean {
    const { policies, directory, elapsed } = this.context;
    return !this.#isStopping && policies.index !== undefined &&
      directory.size > 0 && policies.freshness.isKeyTrusted(elapsed.now());
  }

  /** Opens the ports, the callers' one first. */
  async start(): Promise<Result<void, ListenError | ChannelError>> {
    const { addresses } = this.#options;
    const opened = await this.#channel.open(addresses.peers);
    if (opened.isErr()) return err(opened.error);
    const listening = await this.#front.listen(addresses.callers);
    if (listening.isErr()) return err(listening.error);
    this.#looks.start();
    this.context.log.write("started", { peers: addresses.peers });
    return await this.#operatorPorts.open();
  }

  /** Takes in the newest policy, as the store held it at `provenAt` of the elapsed clock. */
  adoptPolicy(bytes: Uint8Array, provenAt: Milliseconds): void {
    const { policies, log } = this.context;
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

  /**
   * Takes in what the store says has changed in the list of upstreams. Entries that
   * vanish are kept until `keepUntil` where they may have lapsed with the store.
   */
  applyListChange(change: UpstreamListChange, keepUntil?: Milliseconds): void {
    const { upstreams, removed, evacuated, to } = change;
    for (const upstream of upstreams) this.upstreamUpdates.apply(upstream);
    for (const name of removed) this.upstreamUpdates.drop(name, keepUntil);
    if (evacuated !== undefined) {
      this.upstreamUpdates.applyEvacuation(new Set(evacuated));
    }
    this.storeSharing.advanceListRevision(to);
    const isTold = keepUntil === undefined || removed.length === 0;
    if (isTold) this.#talk.tellChange(change);
    else this.#talk.touch();
  }

  /** What is known of the store is the newest as of a moment of the elapsed clock. */
  confirmPolicy(provenAt: Milliseconds): void {
    this.context.policies.freshness.confirm(provenAt);
  }

  setSeeds(seeds: readonly string[]): void {
    this.#book.setSeeds(seeds);
    this.context.log.write("settings_reloaded", { seeds: seeds.join(",") });
  }

  /**
   * Ends without cutting a request: not ready at once, so that the balancer sends
   * no new connections; everything that comes meanwhile is served, with the
   * advice to close; connections without a request are closed last.
   */
  async stop(): Promise<void> {
    if (this.#isStopping) return;
    const { timer, log } = this.context;
    const end = timer.now() + this.#options.shutdownGrace - STOP_MARGIN_MS;
    this.#stopsAt = end;
    log.write("stopping", { open: this.#front.openRequests });
    const spread = UNREADY_SHARE * this.#options.shutdownGrace;
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
    this.#looks.close();
    this.#operatorPorts.close();
    this.upstreamUpdates.close();
    this.#talk.close();
    await this.context.connections.close();
    this.#channel.close();
  }

  get #isStopping(): boolean {
    return this.#stopsAt !== Infinity;
  }

  #createParts(): GatewayContext {
    const { host, failureDomain, timer, random, dialect, output, lowestLag } =
      this.#options;
    const directory = new UpstreamDirectory();
    const lag = new EventLoopLag();
    const knowledge = new UpstreamStats();
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
      knowledge,
      signs: new UpstreamActivity(),
      places: this.#createSeeker(directory, knowledge),
      coldStartsOf: (upstream) => this.#coldStartsOf(upstream),
      quotas: new QuotaLimiter(this.#options.quotaTolerance),
      retries: new RetryBudget(this.#options.retryBudget),
      crashes: new PoisonRequestDetector(),
      lag,
      shedding: new LoadShedder({
        lag,
        random,
        ...lowestLag !== undefined && { lowestLag },
      }),
      connections: new UpstreamConnections(() =>
        connectionShare(policies, hostCount())
      ),
      tellCrash: (crash) => this.#talk.tellCrash(crash),
      dropReplaced: (upstream) => this.upstreamUpdates.removeReplaced(upstream),
      reviewPlaces: () => this.#desk.review(timer.now()),
      hostCount,
      isStopping: () => this.#isStopping,
      stopsAt: () => this.#stopsAt,
    };
  }

  #coldStartsOf({ service }: Upstream): number | undefined {
    const { warmupTolerance: { factor, slack } } = this.#options;
    const index = this.context.policies.index;
    const perSecond = index?.service(service)?.coldStartsPerSecond;
    return perSecond === undefined ? undefined : perSecond * factor + slack;
  }

  #createSeeker(
    directory: UpstreamDirectory,
    knowledge: UpstreamStats,
  ): PlacementClient {
    const { host, incarnation, failureDomain, random, timer } = this.#options;
    return new PlacementClient({
      host,
      incarnation,
      failureDomain,
      directory,
      stats: knowledge,
      random,
      candidates: () => this.#candidates(),
      coldStartsOf: (upstream) => this.#coldStartsOf(upstream),
      send: (keeper, ask) => {
        this.#desk.ask(keeper, ask);
        this.#looks.plan();
      },
      onSendScheduled: () => this.#looks.plan(),
      onCoordinatorChange: (change) => {
        this.context.metrics.count(`keeper_${change.kind}`);
        this.context.log.write("keeper_passed_over", keeperChangeOf(change));
        const { coordinator: keeper } = change;
        if (change.kind !== "silent" || keeper === undefined) return;
        const until = this.context.places.coordinators
          .skipped(timer.now()).get(keeper);
        if (until !== undefined) this.#talk.tellSilent(keeper, until);
      },
    });
  }

  #createChannel(): PeerChannel {
    const { timer } = this.#options;
    return new PeerChannel({
      now: () => timer.now(),
      onMessage: (message) => this.#hear(message),
      onMalformed: () => this.context.metrics.count("peer_words_malformed"),
      onTraffic: (direction, bytes) => {
        this.context.metrics.count(`peer_words_${direction}`);
        this.context.metrics.count(`peer_bytes_${direction}`, bytes);
      },
    });
  }

  #createTalk(): FleetTalk {
    const { incarnation, addresses, cores, timer } = this.#options;
    return new FleetTalk({
      parts: this.context,
      book: this.#book,
      incarnation,
      address: addresses.peers,
      startedAt: this.#startedAt,
      cores,
      send: (word, targets) =>
        this.#channel.send({ kind: "word", word }, targets),
      onNewerPolicy: (peer) => void this.storeSharing.askPeer(peer),
      onListRevision: (peer, listRevision) =>
        this.storeSharing.hearOf(peer, { listRevision, now: timer.now() }),
      onChange: (change) => this.applyListChange(change),
      onLeft: (upstream) => this.upstreamUpdates.takeLeft(upstream),
      onSilent: (host, until) =>
        this.context.places.coordinators.skipUntil(host, until),
      listRevision: () => this.storeSharing.listRevision,
      canRead: () => this.storeSharing.canRead,
    });
  }

  #hear(message: PeerMessage): void {
    const now = this.#options.timer.now();
    switch (message.kind) {
      case "word":
        return this.#talk.hear(message.word);
      case "ask":
        this.#desk.hearAsk(message.ask);
        return this.#looks.plan();
      case "answer":
        return this.#desk.hearAnswer(message.answer);
      case "call":
        return this.#desk.hearCall(message.call);
      case "snapshots":
        return this.#desk.hearSnapshots(message.snapshots);
      case "usage":
        return this.#usage.hearReport(message.usage, now);
      case "sums":
        return this.#usage.hearSums(message.sums, now);
    }
  }

  #sendTo(host: HostId, message: PeerMessage): void {
    const address = this.#book.addressOf(host);
    if (address !== undefined) this.#channel.send(message, [address]);
  }

  /** The hosts that may keep a cell or add up usage. */
  #candidates(): readonly CoordinatorCandidate[] {
    return this.#book.candidates({
      isLeaving: this.#isStopping,
      now: this.#options.timer.now(),
    });
  }

  #shown(): Shown {
    const { policies, elapsed, directory } = this.context;
    return {
      isReady: () => this.isReady,
      metricsText: () => this.#metricsText(),
      belief: (known) => ({
        policy: policies.version > known.policyVersion
          ? policies.bytes
          : new Uint8Array(),
        proofAge: policies.freshness.age(elapsed.now()),
        upstreams: this.storeSharing.listRevision > known.listRevision
          ? directory.all()
          : [],
        kept: directory.lapsed(this.context.timer.now()),
        evacuated: [...directory.evacuated],
        listRevision: this.storeSharing.listRevision,
      }),
    };
  }

  #metricsText(): Promise<string> {
    const { metrics, policies, directory, places, elapsed } = this.context;
    metrics.set("policy_version", policies.version);
    metrics.set("policy_proof_age_ms", policies.freshness.age(elapsed.now()));
    metrics.set("upstreams", directory.size);
    metrics.set("peers", this.#book.aliveCount);
    metrics.set("waiting", places.waitingTotal);
    metrics.set("kept_cells", this.#desk.keptCount);
    metrics.set("open_requests", this.#front.openRequests);
    return metrics.text();
  }

  #review(now: Milliseconds): void {
    this.upstreamUpdates.expire();
    this.storeSharing.tick(now);
    this.#usage.tick(now);
    this.#noteShed(now);
    this.#peerLog.note(this.#talk.tick(), this.#book.aliveCount);
  }

  /** One line a second says how many requests were refused because this host is behind. */
  #noteShed(now: Milliseconds): void {
    if (now - this.#shedNotedAt < SHED_NOTE_MS) return;
    this.#shedNotedAt = now;
    const { shedding, lag, log, metrics } = this.context;
    const requests = shedding.takeCount();
    metrics.set("lag_ms", Math.round(lag.peak(now)));
    if (requests === 0) return;
    log.write("requests_shed", {
      requests,
      share: Math.round(shedding.share * 100) / 100,
      lag: Math.round(lag.sustained),
    });
  }

  #sleep(span: Milliseconds): Promise<void> {
    return new Promise((resolve) => {
      this.context.timer.after(span, resolve);
    });
  }
}
