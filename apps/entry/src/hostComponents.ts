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

/**
 * The components of an entry host, which share state through the blackboard.
 */
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
  /** In start order. */
  readonly controllers: readonly Pick<Controller, "start" | "stop">[];
}

/** Options that most components share. */
interface CommonOptions {
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

/** Creates the components of one entry host. */
export function createHostComponents(
  options: EntryHostOptions,
  { blackboard, metrics }: { blackboard: Blackboard; metrics: Metrics },
): HostComponents {
  const shared = commonOptionsOf(options, { blackboard, metrics });
  const pools: PoolClient = new PoolClient({
    ...shared,
    localCoordinator: () => coordinator,
  });
  const coordinator = createCoordinator(shared, pools);
  const services: ExchangeServices = {
    ...shared,
    pools,
    client: options.client,
  };
  const unkeyedService = new UnkeyedRequestService(services);
  const stallDetector = new StallDetector(shared);
  const membership = createMembership(options, shared);
  const views = new ViewController(shared);
  const keyService = new KeyService({
    ...shared,
    views,
    secrets: () => options.settings.peers.secrets,
  });
  const retainedResponses = new RetainedResponses(
    options.settings.limits.retainedAnswerBytes,
  );
  const relay = new ResponseRelay({
    ...shared,
    findResponse: (request) => retainedResponses.find(request),
  });
  const keyedService = new KeyedRequestService({
    services,
    keyService,
    relay,
    retainedResponses,
  });
  const jobs = new JobController(shared);
  const jobRunner = new JobRunner({
    ...shared,
    bundleInForce: BUNDLE_IN_FORCE,
    jobs,
    services,
  });
  const stopController = new StopController({
    ...shared,
    openStreams: () =>
      unkeyedService.openExchanges + keyedService.openResponses +
      jobRunner.dispatchedCount,
    handOver: (withinMs) => {
      jobRunner.withdrawWaiting();
      return jobs.handOver(withinMs);
    },
    setLeaving: (isLeaving) => membership.setLeaving(isLeaving),
  });
  return {
    pools,
    coordinator,
    unkeyedService,
    keyService,
    keyedService,
    jobs,
    jobRunner,
    stopController,
    stallDetector,
    controllers: [
      membership,
      createConfiguration(options, shared),
      pools,
      coordinator,
      createUpstreamPoller(options, { shared, coordinator }),
      createPoisonRecordController(shared, coordinator),
      views,
      keyService,
      relay,
      jobs,
      jobRunner,
      stopController,
      stallDetector,
    ],
  };
}

function commonOptionsOf(
  { settings, incarnation, timer, random, link }: EntryHostOptions,
  { blackboard, metrics }: { blackboard: Blackboard; metrics: Metrics },
): CommonOptions {
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

function createCoordinator(
  shared: CommonOptions,
  pools: PoolClient,
): PoolCoordinator {
  const { blackboard, random } = shared;
  return new PoolCoordinator({
    ...shared,
    reachableShare: REACHABLE_SHARE,
    policyOf: (service) => policyOf(service, blackboard),
    createScheduler: (service, policy) => {
      const scheduler = new PoolScheduler(policy, { random });
      importKnownPoisonRecords(scheduler, { service, shared });
      return scheduler;
    },
    onLocalDecision: (service, decision) =>
      pools.applyLocalDecision(service, decision),
  });
}

/**
 * Imports the poison records of a service into its new scheduler, so that a
 * quarantined request stays quarantined when the pool's coordinator changes.
 */
function importKnownPoisonRecords(
  scheduler: Scheduler,
  { service, shared }: { service: ServiceId; shared: CommonOptions },
): void {
  const records = shared.blackboard.read(POISON_RECORDS)
    .filter((record) => record.service === service);
  scheduler.importPoisonRecords(
    records.flatMap(toPoisonRecords),
    shared.timer.now(),
  );
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
  shared: CommonOptions,
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
    log: ({ host: peer, state }) =>
      log.info({ peer, state }, "Peer state changed"),
  });
}

function createConfiguration(
  options: EntryHostOptions,
  shared: CommonOptions,
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
      else log.warn(change, "Bundle rejected");
    },
  });
}

function createUpstreamPoller(
  { client }: EntryHostOptions,
  { shared, coordinator }: {
    shared: CommonOptions;
    coordinator: PoolCoordinator;
  },
): UpstreamPoller {
  const { blackboard } = shared;
  return new UpstreamPoller({
    ...shared,
    client,
    bundle: () => blackboard.read(BUNDLE_IN_FORCE)?.bundle,
    coordinatedServices: () => coordinator.schedulers().keys(),
    onLoadReport: (service, report) =>
      coordinator.applyLoadReport(service, report),
    onCacheEvent: (service, event) =>
      coordinator.applyCacheEvent(service, event),
  });
}

function createPoisonRecordController(
  shared: CommonOptions,
  coordinator: PoolCoordinator,
): PoisonRecordController {
  const { timer } = shared;
  return new PoisonRecordController({
    ...shared,
    drain: () =>
      [...coordinator.schedulers()].map(([service, scheduler]) => ({
        service,
        records: scheduler.drainPoisonRecords(timer.now()),
      })).filter(({ records }) => records.length > 0),
    importPoisonRecords: ({ service, records: suspicions }) =>
      coordinator.schedulers().get(service)?.importPoisonRecords(
        suspicions,
        timer.now(),
      ),
  });
}

/** Drops ejections, which each coordinator determines by itself. */
function toPoisonRecords(
  { kind, subject, remainingMs }: SharedPoisonRecord,
): PoisonRecord[] {
  if (kind === "ejected") return [];
  return [{ kind, fingerprint: subject as Digest, remainingMs }];
}
