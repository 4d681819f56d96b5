import {
  type Address,
  ElapsedClock,
  type HostId,
  type Milliseconds,
} from "@wasabivane/common";
import {
  type CoordinatorCandidate,
  DirectLinks,
  EventLoopLag,
  LoadShedder,
  type PartConviction,
  PlacementClient,
  PoisonRequestDetector,
  QuotaLedger,
  QuotaLimiter,
  RetryBudget,
  type Upstream,
  UpstreamActivity,
  UpstreamDirectory,
  UpstreamStats,
} from "@wasabivane/admission";
import { err, ok, type Result } from "neverthrow";
import { CallerServer } from "./callerServer.ts";
import { CrashChecks } from "./crashChecks.ts";
import { DecisionLog } from "./decisionLog.ts";
import { FleetSize } from "./fleetSize.ts";
import { GossipProtocol } from "./gossipProtocol.ts";
import { GatewayMetrics } from "./gatewayMetrics.ts";
import { createHostMemory } from "./hostMemory.ts";
import type { GatewayOptions } from "./gatewayOptions.ts";
import type { GatewayContext } from "./gatewayContext.ts";
import type { OperatorData } from "./operatorEndpoints.ts";
import { OperatorServers } from "./operatorServers.ts";
import { ListConfirmation } from "./listConfirmation.ts";
import type { ListenError } from "./listenError.ts";
import { openPort } from "./openPort.ts";
import { PeriodicChecks } from "./periodicChecks.ts";
import { PeerDirectory } from "./peerDirectory.ts";
import { type ChannelError, PeerChannel } from "./peerChannel.ts";
import { PeerLog } from "./peerLog.ts";
import type { PeerMessage } from "./peerMessage.ts";
import type { UpstreamListChange } from "./gossipMessage.ts";
import { CellRouter, coordinatorChangeValues } from "./cellRouter.ts";
import { type Adoption, type PolicyProof, PolicyState } from "./policyState.ts";
import { QuotaGate } from "./quotaGate.ts";
import { QuotaLog } from "./quotaLog.ts";
import { QuotaSync } from "./quotaSync.ts";
import { ServingWindow } from "./servingWindow.ts";
import { StoreSharing } from "./storeSharing.ts";
import { createPartCrashDetector } from "./createPartCrashDetector.ts";
import { createStreamOrigins } from "./createStreamOrigins.ts";
import { connectionShare } from "./connectionShare.ts";
import { MalformedReports } from "./malformedReports.ts";
import { UncaughtErrors } from "./uncaughtErrors.ts";
import { UnknownHeaders } from "./unknownHeaders.ts";
import { UpstreamConnections } from "./upstreamConnections.ts";
import { UpstreamLinks } from "./upstreamLinks.ts";
import { UpstreamUpdates } from "./upstreamUpdates.ts";

/** Time for the load balancer to notice that the host is not ready. */
const UNREADY_WAIT_MS: Milliseconds = 2_500;
/**
 * Largest share of the shutdown grace that is spent waiting for the load
 * balancer.
 */
const MAXIMUM_UNREADY_SHARE = 0.35;
/** Time between the process's own end and the platform's kill. */
const STOP_MARGIN_MS: Milliseconds = 600;
/** Largest share of the grace that is taken for that. */
const MAXIMUM_MARGIN_SHARE = 1 / 6;
/** Share of that time in which callers read the last responses. */
const LAST_RESPONSES_SHARE = 1 / 3;
/** Share of that time before the kill in which the process ends in any case. */
const HARD_STOP_SHARE = 1 / 3;
const STOP_CHECK_MS: Milliseconds = 50;
const SHED_LOG_MS: Milliseconds = 1_000;

/**
 * Runs one entry host, which forwards callers' requests to upstreams and
 * coordinates with peer hosts. Policies and upstreams are supplied by a
 * platform adapter.
 */
export class Gateway {
  readonly context: GatewayContext;
  /** Applies upstream changes from the platform. */
  readonly upstreamUpdates: UpstreamUpdates;
  /**
   * Decides whether this host reads the store, and fetches its contents from
   * peers if not.
   */
  readonly storeSharing: StoreSharing;
  /** Shows that the upstream list is as in the store. */
  readonly listConfirmation: ListConfirmation;
  readonly #options: GatewayOptions;
  readonly #callerServer: CallerServer;
  readonly #gossip: GossipProtocol;
  readonly #peers: PeerDirectory;
  readonly #fleetSize: FleetSize;
  readonly #channel: PeerChannel;
  readonly #operatorServers: OperatorServers;
  readonly #cellRouter: CellRouter;
  readonly #quotaSync: QuotaSync;
  readonly #links: UpstreamLinks;
  readonly #startedAt: Milliseconds;
  readonly #peerLog: PeerLog;
  readonly #quotaLog: QuotaLog;
  readonly #periodicChecks: PeriodicChecks;
  #isListening = false;
  #shutdown: Promise<void> | undefined;
  #isClosed = false;
  #shedLoggedAt: Milliseconds = -Infinity;

  constructor(options: GatewayOptions) {
    const { host, incarnation, failureDomain, seeds, cores, timer } = options;
    this.#options = options;
    this.#startedAt = timer.now();
    this.#peers = new PeerDirectory({
      host,
      failureDomain,
      startedAt: this.#startedAt,
      cores,
      seeds,
    });
    this.#fleetSize = new FleetSize({
      startedAt: this.#startedAt,
      settling: options.retryBudget.window,
      hasSeeds: seeds.length > 0,
      oldestAge: () => Math.max(...this.#candidates().map(({ age }) => age)),
    });
    this.context = this.#createContext();
    this.#links = new UpstreamLinks({
      context: this.context,
      peers: this.#peers,
      connectTimeout: options.connectTimeout,
      maximumLag: options.lowestLag,
    });
    this.#peerLog = new PeerLog(this.context);
    this.#quotaLog = new QuotaLog(this.context);
    this.#callerServer = new CallerServer(this.context, {
      connectionLimit: options.connectionLimit,
    });
    this.#operatorServers = new OperatorServers({
      timer,
      data: this.#createOperatorData(),
      memory: this.context.memory.snapshots,
      addresses: options.addresses,
      readinessPath: options.readinessPath,
      onPeerUpgrade: (request, socket, head) =>
        this.#links.handleUpgrade(request, socket, head),
      onDrop: () => this.context.metrics.count("operator_connections_dropped"),
      log: this.context.log,
    });
    this.#channel = this.#createChannel();
    this.#cellRouter = new CellRouter({
      context: () => this.context,
      incarnation,
      placementClient: this.context.placementClient,
      send: (to, message) => this.#sendTo(to, message),
      sendToAll: (message) =>
        this.#channel.send(message, this.#peers.aliveAddresses()),
    });
    this.#quotaSync = new QuotaSync({
      host,
      incarnation,
      quotas: this.context.quotas,
      ledger: this.#createQuotaLedger(),
      candidates: () => this.#candidates(),
      isDiscovering: (now) => this.#fleetSize.isDiscovering(now),
      sendReport: (to, report) => this.#sendTo(to, { kind: "demand", report }),
      sendGrants: (grant) => this.#sendTo(grant.to, { kind: "grant", grant }),
      onGrants: () => this.context.quotaGate.handleGrants(),
      onGrantorChange: ({ from, to }) => {
        this.context.metrics.count("quota_grantor_changes");
        this.context.log.write("quota_grantor_changed", { from, to });
      },
    });
    this.#periodicChecks = new PeriodicChecks({
      timer,
      errors: this.context.errors,
      cellRouter: this.#cellRouter,
      lag: this.context.lag,
      peerCount: () => this.#peers.aliveCount,
      runMaintenance: (now) => this.#runMaintenance(now),
    });
    this.#gossip = this.#createGossip();
    this.upstreamUpdates = new UpstreamUpdates(this.context, {
      announceLeaving: (upstream) => this.#gossip.announceLeaving(upstream),
    });
    this.storeSharing = new StoreSharing({
      context: this.context,
      peers: this.#peers,
      upstreamUpdates: this.upstreamUpdates,
      applyBound: options.freshness.applyBound,
      entryLease: options.entryLease,
      adoptPolicy: (bytes, proof) => this.adoptPolicy(bytes, proof),
    });
    this.listConfirmation = new ListConfirmation({
      host,
      incarnation,
      timer,
      versions: () => ({
        listRevision: this.storeSharing.listRevision,
        policyVersion: this.context.policies.version,
      }),
      isReading: () => this.storeSharing.isReading,
      readers: () => this.#peers.storeReaders,
      send: (to, message) => this.#sendTo(to, message),
      onNewer: (reader, versions) =>
        this.storeSharing.receivePolicyVersion(reader, {
          ...versions,
          now: timer.now(),
        }),
    });
  }

  /** Whether the load balancer may send callers to this host. */
  get isReady(): boolean {
    const { policies, directory, elapsed } = this.context;
    const now = elapsed.now();
    return this.#isListening && !this.#isStopping &&
      policies.index !== undefined &&
      directory.size > 0 && policies.freshness.isKeyTrusted(now) &&
      policies.isInForce(now);
  }

  /** Opens all ports. */
  async start(): Promise<Result<void, ListenError | ChannelError>> {
    const { addresses, timer } = this.#options;
    const { log } = this.context;
    const opened = await openPort(
      () => this.#channel.open(addresses.peers),
      { timer, log },
    );
    if (opened.isErr()) return err(opened.error);
    // Callers come last, as a start that fails would lose their requests.
    const serving = await this.#operatorServers.open();
    if (serving.isErr()) return err(serving.error);
    const listening = await openPort(
      () => this.#callerServer.listen(addresses.callers),
      { timer, log },
    );
    if (listening.isErr()) return err(listening.error);
    this.#isListening = true;
    this.#periodicChecks.start();
    this.context.log.write("started", { peers: addresses.peers });
    return ok(undefined);
  }

  /**
   * Adopts a policy with its proof, unless it is older; returns `undefined` if it
   * cannot be decoded.
   */
  adoptPolicy(bytes: Uint8Array, proof: PolicyProof): Adoption | undefined {
    const { policies, log } = this.context;
    const previousVersion = policies.version;
    return policies.adopt(bytes, proof).match(
      (adoption) => {
        if (adoption === "adopted") this.#announcePolicy(previousVersion);
        return adoption;
      },
      ({ detail }) => {
        log.write("policy_rejected", { detail });
        return undefined;
      },
    );
  }

  #announcePolicy(previousVersion: number): void {
    const { policies, log } = this.context;
    log.write("policy_adopted", {
      version: policies.version,
      former: previousVersion,
      reading: this.storeSharing.isReading,
    });
    this.#gossip.scheduleMessage();
  }

  /**
   * Applies a change of the upstream list. Removed entries are kept until
   * `keepUntil` if they may have lapsed during a store outage.
   */
  applyListChange(change: UpstreamListChange, keepUntil?: Milliseconds): void {
    this.upstreamUpdates.applyChange(change, keepUntil);
    this.storeSharing.recordChange(change);
    const shouldAnnounce = keepUntil === undefined ||
      change.removed.length === 0;
    if (shouldAnnounce) this.#gossip.announceListChange(change);
    else this.#gossip.scheduleMessage();
  }

  /** Confirms that policy and upstreams are as the proof says. */
  confirmPolicy(proof: PolicyProof): void {
    this.context.policies.confirm(proof);
  }

  /** Replaces the seed addresses. */
  setSeeds(seeds: readonly Address[]): void {
    this.#peers.setSeeds(seeds);
    this.context.log.write("settings_reloaded", { seeds: seeds.join(",") });
  }

  /**
   * Shuts down gracefully: reports not ready, serves requests that still arrive
   * with `connection: close`, then closes idle connections and waits for open
   * requests. Each call waits for the end of the same shutdown.
   */
  stop(): Promise<void> {
    this.#shutdown ??= this.#shutDown();
    return this.#shutdown;
  }

  #shutDown(): Promise<void> {
    const { timer, log } = this.context;
    const span = this.#options.shutdownGrace -
      HARD_STOP_SHARE * this.#stopMargin;
    return new Promise((resolve, reject) => {
      const hardEnd = timer.after(span, () => {
        log.write("stop_overdue", { open: this.#callerServer.openRequests });
        resolve();
      });
      this.#finishAndClose().then(resolve, reject)
        .finally(() => hardEnd.cancel());
    });
  }

  async #finishAndClose(): Promise<void> {
    const { timer, log, servingWindow } = this.context;
    const margin = this.#stopMargin;
    const end = timer.now() + this.#options.shutdownGrace - margin;
    servingWindow.close(end);
    log.write("stopping", { open: this.#callerServer.openRequests });
    const maximumWait = MAXIMUM_UNREADY_SHARE * this.#options.shutdownGrace;
    this.#links.stop();
    await this.#sleep(Math.min(UNREADY_WAIT_MS, maximumWait));
    this.#callerServer.stopListening();
    this.#callerServer.closeIdle();
    await this.#waitForWork(end);
    const unfinished = this.#callerServer.openRequests;
    servingWindow.end();
    await this.#waitForWork(end + LAST_RESPONSES_SHARE * margin);
    const cut = this.#callerServer.openRequests;
    log.write("stopped", { open: unfinished, cut });
    await this.close();
  }

  /** Waits until there is no open work, at most until the given time. */
  async #waitForWork(until: Milliseconds): Promise<void> {
    const { timer } = this.context;
    while (this.#hasOpenWork && timer.now() < until) {
      await this.#sleep(Math.min(STOP_CHECK_MS, until - timer.now()));
      this.#callerServer.closeIdle();
    }
  }

  /** Closes everything at once; open requests are cut. */
  async close(): Promise<void> {
    if (this.#isClosed) return;
    this.#isClosed = true;
    this.#callerServer.stopListening();
    this.#callerServer.closeAll();
    this.#periodicChecks.close();
    this.#operatorServers.close();
    this.#links.close();
    this.upstreamUpdates.close();
    this.storeSharing.close();
    this.context.crashChecks.close();
    this.context.streamOrigins.close();
    this.listConfirmation.close();
    this.#gossip.close();
    this.#channel.close();
    await this.context.connections.close();
  }

  get #stopMargin(): Milliseconds {
    const share = MAXIMUM_MARGIN_SHARE * this.#options.shutdownGrace;
    return Math.min(STOP_MARGIN_MS, share);
  }

  get #hasOpenWork(): boolean {
    return this.#callerServer.openRequests > 0 || this.#links.relayCount > 0;
  }

  get #isStopping(): boolean {
    return this.context.servingWindow.isClosing;
  }

  #createContext(): GatewayContext {
    const { host, failureDomain, timer, random, dialect, output, lowestLag } =
      this.#options;
    const { connectTimeout, isFirstStart = false } = this.#options;
    const directory = new UpstreamDirectory();
    const elapsed = new ElapsedClock(timer);
    const lag = new EventLoopLag();
    const upstreamStats = new UpstreamStats();
    const hostCount = (): number => this.#peers.aliveCount + 1;
    const policies = new PolicyState({
      dialect,
      bounds: this.#options.freshness,
    });
    const log = new DecisionLog({ output, timer, host });
    const metrics = new GatewayMetrics();
    const errors = new UncaughtErrors({ timer, metrics, log });
    const quotas = new QuotaLimiter();
    return {
      host,
      failureDomain,
      timer,
      elapsed,
      random,
      dialect,
      log,
      metrics,
      errors,
      unknownHeaders: new UnknownHeaders({
        known: dialect.responseHeaders,
        metrics,
        log,
      }),
      malformedReports: new MalformedReports({ metrics, log }),
      memory: createHostMemory(this.#options.memoryLimit),
      policies,
      directory,
      upstreamStats,
      upstreamActivity: new UpstreamActivity(),
      placementClient: this.#createPlacementClient(directory, upstreamStats),
      coldStartsOf: (upstream) => this.#coldStartsOf(upstream),
      quotas,
      quotaGate: new QuotaGate({
        quotas,
        timer,
        requestCredit: () => this.#quotaSync.requestCredit(timer.now()),
      }),
      retries: new RetryBudget(this.#options.retryBudget),
      crashes: new PoisonRequestDetector(),
      partCrashes: createPartCrashDetector({
        host,
        timer,
        startedAt: this.#startedAt,
        hosts: () => this.#candidates().map((candidate) => candidate.host),
        isAlone: () => this.#isAlone(),
        onConviction: (conviction) => this.#announceConviction(conviction),
      }),
      crashChecks: new CrashChecks({
        context: () => this.context,
        probe: (upstream) => this.#links.probe(upstream),
      }),
      isRefusing: (upstream) => this.#links.isRefusing(upstream),
      streamOrigins: createStreamOrigins({
        host,
        directory,
        policies,
        elapsed,
        timer,
        isFirstStart,
        hosts: () => this.#candidates().map((candidate) => candidate.host),
        send: (to, message) => this.#sendTo(to, message),
        confirmation: () => this.listConfirmation,
      }),
      lag,
      shedding: new LoadShedder({
        lag,
        random,
        ...lowestLag !== undefined && { lowestLag },
      }),
      connections: new UpstreamConnections({
        maximumConnections: () => connectionShare(policies, hostCount()),
        timer,
        connectTimeout,
        onError: (thrown) => errors.record(thrown, "upstream connection"),
        onExcess: () => metrics.count("upstream_excess_bytes"),
      }),
      directLinks: new DirectLinks({
        countUpstreams: (service) => directory.of(service).length,
      }),
      announceBackoff: (upstream, span) =>
        this.#links.announceBackoff(upstream, span),
      announceCrash: (crash) => this.#gossip.announceCrash(crash),
      announceCompletion: (completion) =>
        this.#gossip.announceCompletion(completion),
      announcePartCrash: (crash) => this.#gossip.announcePartCrash(crash),
      announcePartCompletion: (completion) =>
        this.#gossip.announcePartCompletion(completion),
      removeReplaced: (upstream) =>
        this.upstreamUpdates.removeReplaced(upstream),
      reportLeaving: (upstream) =>
        this.upstreamUpdates.reportLeaving(upstream, "response"),
      reviewQueues: () => this.#cellRouter.review(timer.now()),
      hostCount,
      isAlone: () => this.#isAlone(),
      retryingHosts: () => this.#fleetSize.estimate(timer.now()),
      isStopping: () => this.#isStopping,
      servingWindow: new ServingWindow({
        timer,
        stats: upstreamStats,
        guard: (origin, work) => errors.guard(origin, work),
      }),
    };
  }

  #isAlone(): boolean {
    return this.#options.seeds.length > 0 && this.#peers.aliveCount === 0;
  }

  #announceConviction(conviction: PartConviction): void {
    const { metrics, log } = this.context;
    const { parts, account } = conviction;
    metrics.count("parts_convicted");
    log.write("parts_convicted", { parts: parts.join(","), account });
    this.#gossip.announcePartConviction(conviction);
  }

  #coldStartsOf({ service }: Upstream): number | undefined {
    const { warmupTolerance: { factor, slack } } = this.#options;
    const index = this.context.policies.index;
    const perSecond = index?.service(service)?.coldStartsPerSecond;
    return perSecond === undefined ? undefined : perSecond * factor + slack;
  }

  #createQuotaLedger(): QuotaLedger {
    return new QuotaLedger({
      startedAt: this.#startedAt,
      tolerance: this.#options.quotaTolerance,
      quotaOf: (account) => {
        const known = this.context.policies.index?.account(account);
        return known === undefined ? undefined : known.quota ?? "unlimited";
      },
      levelOf: (account, now) => this.context.quotas.levelOf(account, now),
      fleetSize: (now) => this.#fleetSize.largest(now),
      isDiscovering: (now) => this.#fleetSize.isDiscovering(now),
    });
  }

  #createPlacementClient(
    directory: UpstreamDirectory,
    stats: UpstreamStats,
  ): PlacementClient {
    const { host, incarnation, failureDomain, random, timer } = this.#options;
    return new PlacementClient({
      host,
      incarnation,
      failureDomain,
      directory,
      stats,
      random,
      candidates: () => this.#candidates(),
      coldStartsOf: (upstream) => this.#coldStartsOf(upstream),
      send: (coordinator, update) => {
        this.#cellRouter.sendUpdate(coordinator, update);
        this.#periodicChecks.schedule();
      },
      onSendScheduled: () => this.#periodicChecks.schedule(),
      onCoordinatorChange: (change) => {
        this.context.metrics.count(`keeper_${change.kind}`);
        this.context.log.write(
          "keeper_passed_over",
          coordinatorChangeValues(change),
        );
        const { coordinator } = change;
        if (change.kind !== "silent" || coordinator === undefined) return;
        const until = this.context.placementClient.coordinators
          .skipped(timer.now()).get(coordinator);
        if (until !== undefined) {
          this.#gossip.announceUnresponsive(coordinator, until);
        }
      },
    });
  }

  #createChannel(): PeerChannel {
    const { timer } = this.#options;
    return new PeerChannel({
      now: () => timer.now(),
      onMessage: (message) => this.#receive(message),
      onMalformed: () => this.context.metrics.count("peer_words_malformed"),
      onDrop: () => this.context.metrics.count("peer_words_dropped"),
      onTraffic: (direction, bytes) => {
        this.context.metrics.count(`peer_words_${direction}`);
        this.context.metrics.count(`peer_bytes_${direction}`, bytes);
      },
    });
  }

  #createGossip(): GossipProtocol {
    const { incarnation, addresses, cores, timer } = this.#options;
    return new GossipProtocol({
      context: this.context,
      peers: this.#peers,
      incarnation,
      address: addresses.peers,
      startedAt: this.#startedAt,
      cores,
      send: (gossip, targets) =>
        this.#channel.send({ kind: "word", gossip }, targets),
      onNewerPolicy: (peer, versions) => {
        this.#recordAnnouncement(peer, versions.policyVersion);
        this.storeSharing.receivePolicyVersion(peer, {
          ...versions,
          now: timer.now(),
        });
      },
      onListRevision: (peer, listRevision) =>
        this.storeSharing.receiveListRevision(peer, {
          listRevision,
          now: timer.now(),
        }),
      onListChange: (change) => {
        if (this.storeSharing.isPlausible(change.to)) {
          this.applyListChange(change);
        }
      },
      onUpstreamLeaving: (upstream) =>
        this.upstreamUpdates.reportLeaving(upstream, "peer"),
      onUnresponsiveHost: (host, until) =>
        this.context.placementClient.coordinators.applyReport(host, {
          until,
          now: this.#options.timer.now(),
        }),
      listRevision: () => this.storeSharing.listRevision,
      isStoreReachable: () => this.storeSharing.isStoreReachable,
    });
  }

  #recordAnnouncement(peer: HostId, version: number): void {
    const { policies, elapsed, log } = this.context;
    if (!policies.recordAnnouncement(version)) return;
    log.write("policy_announced", {
      peer,
      version,
      policy: policies.version,
      proofAge: Math.round(policies.freshness.age(elapsed.now())),
      reading: this.storeSharing.isReading,
    });
  }

  #receive(message: PeerMessage): void {
    const now = this.#options.timer.now();
    switch (message.kind) {
      case "word":
        return this.#gossip.receive(message.gossip);
      case "ask":
        this.#cellRouter.receiveUpdate(message.update);
        return this.#periodicChecks.schedule();
      case "answer":
        return this.#cellRouter.receiveReply(message.reply);
      case "call":
        return this.#cellRouter.receiveAnnouncement(message.announcement);
      case "snapshots":
        return this.#cellRouter.receiveSnapshots(message.snapshots);
      case "demand":
        // Without a reply, the host turns to one that has a policy.
        if (this.context.policies.index === undefined) return;
        return this.#quotaSync.receiveReport(message.report, now);
      case "grant":
        return this.#quotaSync.receiveGrants(message.grant, now);
      case "begun":
        return this.context.streamOrigins.keep(message.records);
      case "seek":
        return this.context.streamOrigins.reply(message.query);
      case "origin":
        return this.context.streamOrigins.receive(message.reply);
      case "confirm":
        return void this.listConfirmation.reply(message.query);
      case "confirmed":
        return this.listConfirmation.receive(message.reply);
    }
  }

  #sendTo(host: HostId, message: PeerMessage): void {
    const address = this.#peers.addressOf(host);
    if (address !== undefined) this.#channel.send(message, [address]);
  }

  /** The hosts that may coordinate a cell or aggregate usage. */
  #candidates(): readonly CoordinatorCandidate[] {
    return this.#peers.candidates({
      isLeaving: this.#isStopping,
      now: this.#options.timer.now(),
    });
  }

  #createOperatorData(): OperatorData {
    return {
      isReady: () => this.isReady,
      metricsText: () => this.#metricsText(),
      createSnapshot: (known) => this.storeSharing.createSnapshot(known),
    };
  }

  #metricsText(): Promise<string> {
    const { metrics, policies, directory, placementClient, elapsed } =
      this.context;
    metrics.set("policy_version", policies.version);
    metrics.set("policy_proof_age_ms", policies.freshness.age(elapsed.now()));
    metrics.set("upstreams", directory.size);
    metrics.set("peers", this.#peers.aliveCount);
    metrics.set("waiting", placementClient.waitingTotal);
    metrics.set("kept_cells", this.#cellRouter.cellCount);
    metrics.set("open_requests", this.#callerServer.openRequests);
    metrics.set("stream_origins", this.context.streamOrigins.size);
    metrics.set("open_relays", this.#links.relayCount);
    for (const [kind, { used }] of Object.entries(this.context.memory)) {
      metrics.set(`held_${kind}_bytes`, used);
    }
    return metrics.text();
  }

  #runMaintenance(now: Milliseconds): void {
    // Heartbeats come first; an error in one step does not end the others.
    const steps = [
      () => this.#peerLog.add(this.#gossip.tick(), this.#peers.aliveCount),
      () => this.#fleetSize.record(this.context.hostCount(), now),
      () => this.storeSharing.recordListed(this.upstreamUpdates.expire()),
      () => this.storeSharing.tick(now),
      () => this.#links.tick(),
      () => this.context.streamOrigins.tick(),
      () => this.#quotaSync.tick(now),
      () => this.#logShedRequests(now),
      () => this.#quotaLog.tick(now),
    ];
    for (const step of steps) this.context.errors.guard("maintenance", step);
  }

  /** Logs how many requests were not served, and why; at most once a second. */
  #logShedRequests(now: Milliseconds): void {
    if (now - this.#shedLoggedAt < SHED_LOG_MS) return;
    this.#shedLoggedAt = now;
    const { shedding, lag, log, metrics } = this.context;
    const requests = shedding.takeCount();
    const { queueDrops, leftUnsent } = this.#callerServer.takeCounts();
    metrics.set("lag_ms", Math.round(lag.peak(now)));
    if (requests + queueDrops + leftUnsent === 0) return;
    log.write("requests_shed", {
      requests,
      queueDrops,
      leftUnsent,
      share: Math.round(shedding.share * 100) / 100,
      lag: Math.round(lag.sustained),
      peakLag: Math.round(lag.peak(now)),
    });
  }

  #sleep(span: Milliseconds): Promise<void> {
    return new Promise((resolve) => {
      this.context.timer.after(span, resolve);
    });
  }
}
