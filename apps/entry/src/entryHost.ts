import type { Bundle, StopPlan } from "@wasabivane/bundle";
import {
  Blackboard,
  type HostId,
  type Incarnation,
  MemoryMetrics,
  type Metrics,
} from "@wasabivane/common";
import {
  BUNDLE_IN_FORCE,
  BUNDLE_VERSIONS,
  HOST_LIST,
  type Member,
  MEMBERS,
  STOP_PHASE,
  type StopPhase,
} from "@wasabivane/coordination";
import { CallerApi } from "./callerApi.ts";
import type { EntryHostOptions } from "./entryHostOptions.ts";
import { createHostComponents, type HostComponents } from "./hostComponents.ts";
import { JobApi } from "./jobApi.ts";
import type { OperatorView } from "./operatorApi.ts";

/** Stop phases in which requests are still served. */
const SERVING_PHASES: readonly StopPhase["kind"][] = [
  "serving",
  "waiting-for-slot",
  "unready",
];

/**
 * An entry host without its sockets. Connects the controllers through the
 * blackboard and can run in virtual time over an in-memory link.
 */
export class EntryHost {
  readonly incarnation: Incarnation;
  readonly #options: EntryHostOptions;
  readonly #blackboard = new Blackboard();
  readonly #counters: MemoryMetrics;
  readonly #metrics: Metrics;
  readonly #components: HostComponents;
  #isStopped = false;

  constructor(options: EntryHostOptions) {
    this.#options = options;
    this.incarnation = options.incarnation;
    this.#counters = options.counters ?? new MemoryMetrics();
    this.#metrics = options.metrics ?? this.#counters;
    this.#components = createHostComponents(options, {
      blackboard: this.#blackboard,
      metrics: this.#metrics,
    });
  }

  /** Starts all controllers and joins the fleet. */
  start(): void {
    const { coordinator, controllers } = this.#components;
    for (const controller of controllers) controller.start();
    const refresh = (): void => coordinator.refreshPolicies();
    this.#blackboard.watch(BUNDLE_IN_FORCE, refresh);
    this.#blackboard.watch(HOST_LIST, refresh);
    this.#blackboard.watch(
      MEMBERS,
      (members) => this.#options.onPeerAddresses?.(peerAddressesOf(members)),
    );
  }

  /** Stops immediately, without draining. */
  stop(): void {
    this.#isStopped = true;
    for (const controller of this.#components.controllers) controller.stop();
  }

  /** Whether a planned stop has started. */
  get isStopping(): boolean {
    return this.#blackboard.read(STOP_PHASE).kind !== "serving";
  }

  /**
   * Starts a planned stop; false if the plan is unknown or a stop is running.
   */
  requestStop(stopPlan?: string): boolean {
    const plan = this.#stopPlan(stopPlan);
    if (plan === undefined || this.isStopping) return false;
    this.#components.stopController.requestStop(plan);
    return true;
  }

  /**
   * Calls the listener at each stop phase; returns a function that
   * unsubscribes.
   */
  onStopPhase(listener: (phase: StopPhase) => void): () => void {
    return this.#blackboard.watch(STOP_PHASE, (phase) => {
      this.#options.log.info({ phase: phase.kind }, "Stop phase changed");
      listener(phase);
    });
  }

  /** Creates the HTTP API for callers. */
  createCallerApi(): CallerApi {
    const { settings, timer, random } = this.#options;
    const { unkeyedService, keyedService, keyService, jobs, stallDetector } =
      this.#components;
    return new CallerApi({
      blackboard: this.#blackboard,
      timer,
      random,
      metrics: this.#metrics,
      bundleInForce: BUNDLE_IN_FORCE,
      maximumBodyBytes: settings.limits.maximumBodyBytes,
      isStopping: () => !this.#isServing(),
      earliestArrival: () => stallDetector.earliestArrival(),
      unkeyedService,
      keyedService,
      mintTicket: (account) => keyService.mintTicket(account),
      jobApi: new JobApi({ timer, jobs, keyService }),
    });
  }

  /** Creates the view on which the operators' HTTP API is built. */
  createOperatorView(): OperatorView {
    return {
      status: () => this.status(),
      isReady: () => this.#isReady(),
      drain: (stopPlan) => this.requestStop(stopPlan),
    };
  }

  /** Returns the status document that `wasabivane-ctl` shows. */
  status(): Record<string, unknown> {
    const { settings } = this.#options;
    const {
      coordinator,
      pools,
      unkeyedService,
      keyedService,
      jobs,
    } = this.#components;
    const signed = this.#blackboard.read(BUNDLE_IN_FORCE);
    const poolStatuses = [...coordinator.schedulers()].map((
      [service, scheduler],
    ) => ({
      service,
      ...scheduler.status(),
    }));
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
      phase: this.#isStopped ? "ended" : this.#blackboard.read(STOP_PHASE).kind,
      openExchanges: unkeyedService.openExchanges + keyedService.openResponses,
      jobs: jobs.held,
      pools: pools.status(),
      waiting: poolStatuses.flatMap(({ service, waiting }) =>
        waiting.map((row) => ({ service, ...row }))
      ),
      upstreams: poolStatuses.flatMap(({ service, upstreams }) =>
        upstreams.map((row) => ({ service, ...row }))
      ),
      counters: this.#counters.counters(),
    };
  }

  #isServing(): boolean {
    const { kind } = this.#blackboard.read(STOP_PHASE);
    return !this.#isStopped && SERVING_PHASES.includes(kind);
  }

  /**
   * Readiness ends before serving does, so that the load balancer can react.
   */
  #isReady(): boolean {
    const { kind } = this.#blackboard.read(STOP_PHASE);
    return !this.#isStopped && kind !== "unready" && this.#isServing() &&
      this.#bundle() !== undefined;
  }

  #stopPlan(name: string | undefined): StopPlan | undefined {
    const bundle = this.#bundle();
    const planName = name ?? bundle?.defaultStopPlan;
    return bundle?.stopPlans.find(({ stopPlan }) => stopPlan === planName);
  }

  #bundle(): Bundle | undefined {
    return this.#blackboard.read(BUNDLE_IN_FORCE)?.bundle;
  }
}

function peerAddressesOf(members: readonly Member[]): Map<HostId, string> {
  return new Map(members.map(({ host, peerAddress }) => [host, peerAddress]));
}
