import type {
  BundleSource,
  HostList,
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
  HOST_LIST,
  PoolClient,
  PoolKeeper,
} from "@wasabivane/coordination";
import {
  type PoolPolicy,
  PoolScheduler,
  type Scheduler,
} from "@wasabivane/decisions";
import type { Logger } from "pino";
import { CallerApi } from "./callerApi.ts";
import { EntryService } from "./entryService.ts";
import { type HttpListener, listen } from "./httpListener.ts";
import { FLEET_SHARE, MEMBERS } from "./membersFromHostList.ts";
import { MembersFromHostList } from "./membersFromHostList.ts";
import { operatorRoutes, type OperatorView } from "./operatorApi.ts";
import { poolPolicyOf } from "./poolPolicy.ts";
import type { Settings } from "./settings.ts";
import { UpstreamClient } from "./upstreamClient.ts";
import { UpstreamWatch } from "./upstreamWatch.ts";

/** What a daemon runs on; everything that touches the outside is given. */
export interface DaemonOptions {
  readonly settings: Settings;
  readonly incarnation: Incarnation;
  readonly timer: Timer;
  readonly random: Random;
  readonly link: PeerLink;
  readonly bundleSource: BundleSource;
  readonly hostListSource: HostListSource;
  /** Called with the peers' addresses when the host list changes. */
  readonly onPeerAddresses?: (addresses: ReadonlyMap<HostId, string>) => void;
  readonly log: Logger;
  readonly metrics?: Metrics;
  /** Counters shown on the status page. */
  readonly counters?: MemoryMetrics;
}

/** One entry host's process: joins the controllers to the blackboard and the rim. */
export class Daemon {
  readonly incarnation: Incarnation;
  readonly #options: DaemonOptions;
  readonly #blackboard = new Blackboard();
  readonly #counters: MemoryMetrics;
  readonly #metrics: Metrics;
  readonly #client = new UpstreamClient();
  readonly #pools: PoolClient;
  readonly #keeper: PoolKeeper;
  readonly #service: EntryService;
  readonly #controllers: Controller[];
  #listeners: HttpListener[] = [];
  #isStopping = false;

  constructor(options: DaemonOptions) {
    this.#options = options;
    this.incarnation = options.incarnation;
    this.#counters = options.counters ?? new MemoryMetrics();
    this.#metrics = options.metrics ?? this.#counters;
    this.#pools = this.#createPoolClient();
    this.#keeper = this.#createPoolKeeper();
    this.#service = this.#createService();
    this.#controllers = [
      new MembersFromHostList(this.#blackboard, {
        self: options.settings.host,
        incarnation: this.incarnation,
      }),
      this.#createConfiguration(),
      this.#pools,
      this.#keeper,
      this.#createUpstreamWatch(),
    ];
  }

  /** Listens and joins the fleet; resolves with the ports that were bound. */
  async start(): Promise<{ callerPort: number; operatorPort: number }> {
    const { settings } = this.#options;
    for (const controller of this.#controllers) controller.start();
    this.#blackboard.watch(
      BUNDLE_IN_FORCE,
      () => this.#keeper.refreshPolicies(),
    );
    this.#blackboard.watch(HOST_LIST, (list) => {
      this.#keeper.refreshPolicies();
      this.#options.onPeerAddresses?.(peerAddressesOf(list));
    });
    const callers = await listen(this.#createCallerApi().routes(), {
      listener: settings.callers,
      limits: settings.limits,
    });
    const operators = await listen(operatorRoutes(this.#operatorView()), {
      listener: settings.operators,
      limits: settings.limits,
    });
    this.#listeners = [callers, operators];
    return { callerPort: callers.port, operatorPort: operators.port };
  }

  /** Stops as planned, then closes. */
  async stop(): Promise<void> {
    this.#isStopping = true;
    await this.close();
  }

  /** Closes everything at once; a planned stop has drained before. */
  async close(): Promise<void> {
    this.#isStopping = true;
    for (const controller of this.#controllers) controller.stop();
    await Promise.all(this.#listeners.map((listener) => listener.close()));
    await this.#client.close();
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

  #createService(): EntryService {
    const { settings, timer, random } = this.#options;
    return new EntryService({
      host: settings.host,
      failureDomain: settings.failureDomain,
      timer,
      random,
      metrics: this.#metrics,
      pools: this.#pools,
      client: this.#client,
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
      client: this.#client,
      bundle: () => this.#signedBundle()?.bundle,
      keptServices: () => this.#keeper.kept().keys(),
      onLoad: (service, report) => this.#keeper.reportLoad(service, report),
      onCache: (service, event) => this.#keeper.reportCache(service, event),
    });
  }

  #createCallerApi(): CallerApi {
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

  #operatorView(): OperatorView {
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
      openExchanges: this.#service.openExchanges,
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

function peerAddressesOf(list: HostList | undefined): Map<HostId, string> {
  const hosts = list?.entryHosts ?? [];
  return new Map(hosts.map(({ host, peerAddress }) => [host, peerAddress]));
}
