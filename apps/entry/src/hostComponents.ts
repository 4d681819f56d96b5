import { type SignedBundle, verifySignedBundle } from "@wasabivane/bundle";
import type {
  Blackboard,
  Controller,
  Digest,
  FailureDomain,
  HostId,
  Incarnation,
  Metrics,
  PeerLink,
  Random,
  ServiceId,
  Timer,
  Topic,
} from "@wasabivane/common";
import {
  BUNDLE_IN_FORCE,
  type ConfigurationChange,
  ConfigurationController,
  HOST_LIST,
  JobController,
  KeyService,
  type Member,
  MEMBERS,
  MembershipController,
  POISON_RECORDS,
  PoisonRecordController,
  PoolClient,
  PoolCoordinator,
  REACHABLE_SHARE,
  type SharedPoisonRecord,
  StopController,
  ViewController,
} from "@wasabivane/coordination";
import {
  type PoisonRecord,
  type PoolPolicy,
  PoolScheduler,
  type Scheduler,
} from "@wasabivane/decisions";
import { ResponseRelay } from "./responseRelay.ts";
import type { EntryHostOptions } from "./entryHostOptions.ts";
import { UnkeyedRequestService } from "./unkeyedRequestService.ts";
import type { ExchangeServices } from "./exchange.ts";
import { JobRunner } from "./jobRunner.ts";
import { RetainedResponses } from "./retainedResponses.ts";
import { KeyedRequestService } from "./keyedRequestService.ts";
import { poolPolicyOf } from "./poolPolicy.ts";
import { StallDetector } from "./stallDetector.ts";
import { UpstreamPoller } from "./upstreamPoller.ts";

/** Everything that runs on an entry host, joined through the blackboard. */
export interface HostComponents {
  readonly pools: PoolClient;
  readonly coordinator: PoolCoordinator;
  readonly unkeyedService: UnkeyedRequestService;
  readonly keyService: KeyService;
  readonly keyedService: KeyedRequestService;
  readonly jobs: JobController;
  readonly jobRunner: JobRunner;
  readonly stopController: StopController;
  readonly stallDetector: StallDetector;
  /** In the order in which they start. */
  readonly controllers: readonly Pick<Controller, "start" | "stop">[];
}

/** What most parts need alike. */
interface Shared {
  readonly host: HostId;
  readonly failureDomain: FailureDomain;
  readonly incarnation: Incarnation;
  readonly blackboard: Blackboard;
  readonly link: PeerLink;
  readonly timer: Timer;
  readonly random: Random;
  readonly metrics: Metrics;
  readonly members: Topic<readonly Member[]>;
}

/** Builds the parts of one entry host. */
export function createHostComponents(
  options: EntryHostOptions,
  { blackboard, metrics }: { blackboard: Blackboard; metrics: Metrics },
): HostComponents {
  const shared = sharedOf(options, { blackboard, metrics });
  const pools: PoolClient = new PoolClient({
    ...shared,
    localCoordinator: () => keeper,
  });
  const keeper = createKeeper(shared, pools);
  const services: ExchangeServices = {
    ...shared,
    pools,
    client: options.client,
  };
  const service = new UnkeyedRequestService(services);
  const stalls = new StallDetector(shared);
  const membership = createMembership(options, shared);
  const views = new ViewController(shared);
  const keys = new KeyService({
    ...shared,
    views,
    secrets: () => options.settings.peers.secrets,
  });
  const kept = new RetainedResponses(
    options.settings.limits.retainedAnswerBytes,
  );
  const relay = new ResponseRelay({
    ...shared,
    findResponse: (request) => kept.find(request),
  });
  const keyed = new KeyedRequestService({
    services,
    keys,
    relay,
    retainedResponses: kept,
  });
  const jobs = new JobController(shared);
  const jobRunner = new JobRunner({
    ...shared,
    bundleInForce: BUNDLE_IN_FORCE,
    jobs,
    services,
  });
  const stopping = new StopController({
    ...shared,
    openStreams: () =>
      service.openExchanges + keyed.openResponses + jobRunner.dispatchedCount,
    handOver: (withinMs) => {
      jobRunner.withdrawWaiting();
      return jobs.handOver(withinMs);
    },
    setLeaving: (isLeaving) => membership.setLeaving(isLeaving),
  });
  return {
    pools,
    coordinator: keeper,
    unkeyedService: service,
    keyService: keys,
    keyedService: keyed,
    jobs,
    jobRunner,
    stopController: stopping,
    stallDetector: stalls,
    controllers: [
      membership,
      createConfiguration(options, shared),
      pools,
      keeper,
      createUpstreamWatch(options, { shared, keeper }),
      createSuspicions(shared, keeper),
      views,
      keys,
      relay,
      jobs,
      jobRunner,
      stopping,
      stalls,
    ],
  };
}

function sharedOf(
  { settings, incarnation, timer, random, link }: EntryHostOptions,
  { blackboard, metrics }: { blackboard: Blackboard; metrics: Metrics },
): Shared {
  const { host, failureDomain } = settings;
  return {
    host,
    failureDomain,
    incarnation,
    blackboard,
    link,
    timer,
    random,
    metrics,
    members: MEMBERS,
  };
}

function createKeeper(shared: Shared, pools: PoolClient): PoolCoordinator {
  const { blackboard, random } = shared;
  return new PoolCoordinator({
    ...shared,
    reachableShare: REACHABLE_SHARE,
    policyOf: (service) => policyOf(service, blackboard),
    createScheduler: (service, policy) => {
      const scheduler = new PoolScheduler(policy, { random });
      recallSuspicions(scheduler, { service, shared });
      return scheduler;
    },
    onLocalDecision: (service, decision) =>
      pools.applyLocalDecision(service, decision),
  });
}

/**
 * A pool whose keeper died is kept by a host that never saw what its upstreams
 * were lost to. Without what the others were told, the request that killed
 * them could kill as many again.
 */
function recallSuspicions(
  scheduler: Scheduler,
  { service, shared }: { service: ServiceId; shared: Shared },
): void {
  const known = shared.blackboard.read(POISON_RECORDS)
    .filter((suspicion) => suspicion.service === service);
  scheduler.importPoisonRecords(known.flatMap(suspicionOf), shared.timer.now());
}

function policyOf(
  service: ServiceId,
  blackboard: Blackboard,
): PoolPolicy | undefined {
  const bundle = blackboard.read(BUNDLE_IN_FORCE)?.bundle;
  if (bundle === undefined) return undefined;
  return poolPolicyOf(service, {
    bundle,
    hostList: blackboard.read(HOST_LIST),
  });
}

function createMembership(
  { settings, log }: EntryHostOptions,
  shared: Shared,
): MembershipController {
  const { peers, failureDomain, host } = settings;
  const { incarnation } = shared;
  return new MembershipController({
    ...shared,
    self: {
      host,
      incarnation,
      failureDomain,
      peerAddress: peers.advertisedAddress ?? `${peers.address}:${peers.port}`,
      isLeaving: false,
    },
    log: ({ host: peer, state }) => log.info({ peer, state }, "Peer changed"),
  });
}

function createConfiguration(
  options: EntryHostOptions,
  shared: Shared,
): ConfigurationController {
  const { settings, bundleSource, hostListSource, log } = options;
  return new ConfigurationController({
    ...shared,
    bundleSource,
    hostListSource,
    verify: (signed: SignedBundle) =>
      verifySignedBundle(signed, settings.trustedKeys),
    log: (change: ConfigurationChange) => {
      if (change.kind === "in-force") log.info(change, "Bundle in force");
      else log.warn(change, "Bundle not taken");
    },
  });
}

function createUpstreamWatch(
  { client }: EntryHostOptions,
  { shared, keeper }: { shared: Shared; keeper: PoolCoordinator },
): UpstreamPoller {
  const { blackboard } = shared;
  return new UpstreamPoller({
    ...shared,
    client,
    bundle: () => blackboard.read(BUNDLE_IN_FORCE)?.bundle,
    coordinatedServices: () => keeper.schedulers().keys(),
    onLoadReport: (service, report) => keeper.reportLoad(service, report),
    onCacheEvent: (service, event) => keeper.reportCache(service, event),
  });
}

function createSuspicions(
  shared: Shared,
  keeper: PoolCoordinator,
): PoisonRecordController {
  const { timer } = shared;
  return new PoisonRecordController({
    ...shared,
    drain: () =>
      [...keeper.schedulers()].map(([service, scheduler]) => ({
        service,
        suspicions: scheduler.drainPoisonRecords(timer.now()),
      })).filter(({ suspicions }) => suspicions.length > 0),
    importPoisonRecords: ({ service, suspicions }) =>
      keeper.schedulers().get(service)?.importPoisonRecords(
        suspicions,
        timer.now(),
      ),
  });
}

/** Ejections concern upstreams; each keeper judges those by its own signals. */
function suspicionOf(
  { kind, subject, remainingMs }: SharedPoisonRecord,
): PoisonRecord[] {
  if (kind === "ejected") return [];
  return [{ kind, fingerprint: subject as Digest, remainingMs }];
}
