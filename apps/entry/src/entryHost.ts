import type {
  BundleSource,
  HostListSource,
  SignedBundle,
} from "@wasabivane/bundle";
import { verifySignedBundle } from "@wasabivane/bundle";
import {
  Blackboard,
  type Controller,
  type HostId,
  type Incarnation,
  MemoryMetrics,
  type Metrics,
  type PeerLink,
  type Random,
  type ServiceId,
  type Timer,
} from "@wasabivane/common";
import {
  BUNDLE_IN_FORCE,
  BUNDLE_VERSIONS,
  type ConfigurationChange,
  ConfigurationController,
  FLEET_SHARE,
  HOST_LIST,
  JobController,
  KeyService,
  type Member,
  MEMBERS,
  MembershipController,
  PoolClient,
  PoolKeeper,
  ViewController,
} from "@wasabivane/coordination";
import {
  type PoolPolicy,
  PoolScheduler,
  type Scheduler,
} from "@wasabivane/decisions";
import type { Logger } from "pino";
import { CallerApi } from "./callerApi.ts";
import { EntryService } from "./entryService.ts";
import type { ExchangeServices } from "./exchange.ts";
import { JobDesk } from "./jobDesk.ts";
import { JobRunner } from "./jobRunner.ts";
import { AnswerRelay } from "./answerRelay.ts";
import { KeptAnswers } from "./keptAnswers.ts";
import { KeyedService } from "./keyedService.ts";
import type { OperatorView } from "./operatorApi.ts";
import { poolPolicyOf } from "./poolPolicy.ts";
import type { Settings } from "./settings.ts";
import type { UpstreamClient } from "./upstreamClient.ts";
import { UpstreamWatch } from "./upstreamWatch.ts";

/** What an entry host runs on; everything that touches the outside is given. */
export interface EntryHostOptions {
  readonly settings: Settings;
  readonly incarnation: Incarnation;
  readonly timer: Timer;
  readonly random: Random;
  readonly link: PeerLink;
  readonly client: UpstreamClient;
  readonly bundleSource: BundleSource;
  readonly hostListSource: HostListSource;
  /** Called with the peers' addresses when the host list changes. */
  readonly onPeerAddresses?: (addresses: ReadonlyMap<HostId, string>) => void;
  readonly log: Logger;
  readonly metrics?: Metrics;
  /** Counters shown on the status page. */
  readonly counters?: MemoryMetrics;
}

/**
 * One entry host without sockets: joins the controllers to the blackboard.
 * Tests drive it in virtual time over an in-memory link.
 */
export class EntryHost {
  readonly incarnation: Incarnation;
  readonly #options: EntryHostOptions;
  readonly #blackboard = new Blackboard();
  readonly #counters: MemoryMetrics;
  readonly #metrics: Metrics;
  readonly #pools: PoolClient;
  readonly #keeper: PoolKeeper;
  readonly #service: EntryService;
  readonly #views: ViewController;
  readonly #keys: KeyService;
  readonly #kept: KeptAnswers;
  readonly #relay: AnswerRelay;
  readonly #keyed: KeyedService;
  readonly #jobs: JobController;
  readonly #jobRunner: JobRunner;
  readonly #controllers: Pick<Controller, "start" | "stop">[];
  #isStopping = false;

  constructor(options: EntryHostOptions) {
    this.#options = options;
    this.incarnation = options.incarnation;
    this.#counters = options.counters ?? new MemoryMetrics();
    this.#metrics = options.metrics ?? this.#counters;
    this.#pools = this.#createPoolClient();
    this.#keeper = this.#createPoolKeeper();
    this.#service = new EntryService(this.#exchangeServices());
    this.#views = this.#createViews();
    this.#keys = this.#createKeys();
    this.#kept = new KeptAnswers(options.settings.limits.retainedAnswerBytes);
    this.#relay = this.#createRelay();
    this.#keyed = new KeyedService({
      services: this.#exchangeServices(),
      keys: this.#keys,
      relay: this.#relay,
      kept: this.#kept,
    });
    this.#jobs = this.#createJobs();
    this.#jobRunner = this.#createJobRunner();
    this.#controllers = [
      this.#createMembership(),
      this.#createConfiguration(),
      this.#pools,
      this.#keeper,
      this.#createUpstreamWatch(),
      this.#views,
      this.#keys,
      this.#relay,
      this.#jobs,
      this.#jobRunner,
    ];
  }

  /** Joins the fleet. */
  start(): void {
    for (const controller of this.#controllers) controller.start();
    this.#blackboard.watch(
      BUNDLE_IN_FORCE,
      () => this.#keeper.refreshPolicies(),
    );
    this.#blackboard.watch(HOST_LIST, () => this.#keeper.refreshPolicies());
    this.#blackboard.watch(
      MEMBERS,
      (members) => this.#options.onPeerAddresses?.(peerAddressesOf(members)),
    );
  }

  /** Ends at once, as if the process died; a planned stop has drained before. */
  stop(): void {
    this.#isStopping = true;
    for (const controller of this.#controllers) controller.stop();
  }

  #createPoolClient(): PoolClient {
    const { link, timer } = this.#options;
    return new PoolClient({
      blackboard: this.#blackboard,
      link,
      timer,
      metrics: this.#metrics,
      members: MEMBERS,
      localKeeper: () => this.#keeper,
    });
  }

  #createPoolKeeper(): PoolKeeper {
    const { link, timer } = this.#options;
    return new PoolKeeper({
      blackboard: this.#blackboard,
      link,
      timer,
      metrics: this.#metrics,
      members: MEMBERS,
      fleetShare: FLEET_SHARE,
      policyOf: (service) => this.#policyOf(service),
      createScheduler: (_service, policy) => this.#createScheduler(policy),
      decideLocally: (service, decision) =>
        this.#pools.decideLocally(service, decision),
    });
  }

  #createScheduler(policy: PoolPolicy): Scheduler {
    return new PoolScheduler(policy, {
      random: this.#options.random,
    });
  }

  #exchangeServices(): ExchangeServices {
    const { settings, timer, random } = this.#options;
    return {
      host: settings.host,
      failureDomain: settings.failureDomain,
      timer,
      random,
      metrics: this.#metrics,
      pools: this.#pools,
      client: this.#options.client,
    };
  }

  #createViews(): ViewController {
    const { settings, link, timer, incarnation } = this.#options;
    return new ViewController({
      host: settings.host,
      incarnation,
      blackboard: this.#blackboard,
      link,
      timer,
      metrics: this.#metrics,
    });
  }

  #createKeys(): KeyService {
    const { settings, link, timer, random, incarnation } = this.#options;
    return new KeyService({
      host: settings.host,
      incarnation,
      blackboard: this.#blackboard,
      link,
      timer,
      random,
      metrics: this.#metrics,
      views: this.#views,
      secrets: () => settings.peers.secrets,
    });
  }

  #createRelay(): AnswerRelay {
    const { link, timer } = this.#options;
    return new AnswerRelay({
      link,
      timer,
      metrics: this.#metrics,
      recordOf: (request) => this.#kept.find(request),
    });
  }

  #createJobs(): JobController {
    const { link, timer, random, incarnation } = this.#options;
    return new JobController({
      blackboard: this.#blackboard,
      link,
      timer,
      random,
      metrics: this.#metrics,
      incarnation,
      members: MEMBERS,
    });
  }

  #createJobRunner(): JobRunner {
    const { timer, random } = this.#options;
    return new JobRunner({
      blackboard: this.#blackboard,
      timer,
      random,
      metrics: this.#metrics,
      bundleInForce: BUNDLE_IN_FORCE,
      jobs: this.#jobs,
      services: this.#exchangeServices(),
    });
  }

  #createMembership(): MembershipController {
    const { settings, link, timer, random, incarnation } = this.#options;
    return new MembershipController({
      self: {
        host: settings.host,
        incarnation,
        failureDomain: settings.failureDomain,
        peerAddress: settings.peers.advertisedAddress ??
          `${settings.peers.address}:${settings.peers.port}`,
        isLeaving: false,
      },
      blackboard: this.#blackboard,
      link,
      timer,
      random,
      metrics: this.#metrics,
      log: ({ host, state }) =>
        this.#options.log.info({ peer: host, state }, "Peer changed"),
    });
  }

  #createConfiguration(): ConfigurationController {
    const { settings, link, timer, random, bundleSource, hostListSource } =
      this.#options;
    return new ConfigurationController({
      blackboard: this.#blackboard,
      link,
      timer,
      random,
      metrics: this.#metrics,
      members: MEMBERS,
      bundleSource,
      hostListSource,
      verify: (signed) => verifySignedBundle(signed, settings.trustedKeys),
      log: (change) => this.#logConfiguration(change),
    });
  }

  #createUpstreamWatch(): UpstreamWatch {
    return new UpstreamWatch({
      timer: this.#options.timer,
      metrics: this.#metrics,
      client: this.#options.client,
      bundle: () => this.#signedBundle()?.bundle,
      keptServices: () => this.#keeper.kept().keys(),
      onLoad: (service, report) => this.#keeper.reportLoad(service, report),
      onCache: (service, event) => this.#keeper.reportCache(service, event),
    });
  }

  /** The interface for callers. */
  createCallerApi(): CallerApi {
    const { settings, timer, random } = this.#options;
    return new CallerApi({
      blackboard: this.#blackboard,
      timer,
      random,
      metrics: this.#metrics,
      bundleInForce: BUNDLE_IN_FORCE,
      maximumBodyBytes: settings.limits.maximumBodyBytes,
      isStopping: () => this.#isStopping,
      service: this.#service,
      keyedService: this.#keyed,
      mintTicket: (account) => this.#keys.mintTicket(account),
      jobDesk: new JobDesk({ timer, jobs: this.#jobs, keys: this.#keys }),
    });
  }

  #policyOf(service: ServiceId): PoolPolicy | undefined {
    const bundle = this.#signedBundle()?.bundle;
    if (bundle === undefined) return undefined;
    return poolPolicyOf(service, {
      bundle,
      hostList: this.#blackboard.read(HOST_LIST),
    });
  }

  #signedBundle(): SignedBundle | undefined {
    return this.#blackboard.read(BUNDLE_IN_FORCE);
  }

  /** The interface for operators. */
  operatorView(): OperatorView {
    return {
      status: () => this.status(),
      isReady: () => this.#signedBundle() !== undefined && !this.#isStopping,
      drain: () => false,
    };
  }

  /** What `wasabivane-ctl` shows of this host. */
  status(): Record<string, unknown> {
    const { settings } = this.#options;
    const signed = this.#signedBundle();
    const kept = [...this.#keeper.kept()];
    return {
      host: settings.host,
      incarnation: this.incarnation,
      failureDomain: settings.failureDomain,
      bundle: signed === undefined
        ? null
        : { version: signed.bundle.version, root: signed.root },
      hostListVersion: this.#blackboard.read(HOST_LIST)?.version ?? 0,
      members: this.#blackboard.read(MEMBERS),
      versions: Object.fromEntries(this.#blackboard.read(BUNDLE_VERSIONS)),
      phase: this.#isStopping ? "stopping" : "serving",
      openExchanges: this.#service.openExchanges + this.#keyed.openAnswers,
      pools: this.#pools.status(),
      waiting: kept.flatMap(([service, scheduler]) =>
        scheduler.status().waiting.map((row) => ({ service, ...row }))
      ),
      upstreams: kept.flatMap(([service, scheduler]) =>
        scheduler.status().upstreams.map((row) => ({ service, ...row }))
      ),
      counters: this.#counters.counters(),
    };
  }

  #logConfiguration(change: ConfigurationChange): void {
    const { log } = this.#options;
    if (change.kind === "in-force") log.info(change, "Bundle in force");
    else log.warn(change, "Bundle not taken");
  }
}

function peerAddressesOf(members: readonly Member[]): Map<HostId, string> {
  return new Map(members.map(({ host, peerAddress }) => [host, peerAddress]));
}
