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

/** Phases of a planned stop in which requests are still served. */
const SERVING_PHASES: readonly StopPhase["kind"][] = [
  "serving",
  "waiting-for-slot",
  "unready",
];

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
  readonly #parts: HostComponents;
  #isEnded = false;

  constructor(options: EntryHostOptions) {
    this.#options = options;
    this.incarnation = options.incarnation;
    this.#counters = options.counters ?? new MemoryMetrics();
    this.#metrics = options.metrics ?? this.#counters;
    this.#parts = createHostComponents(options, {
      blackboard: this.#blackboard,
      metrics: this.#metrics,
    });
  }

  /** Joins the fleet. */
  start(): void {
    const { coordinator: keeper, controllers } = this.#parts;
    for (const controller of controllers) controller.start();
    const refresh = (): void => keeper.refreshPolicies();
    this.#blackboard.watch(BUNDLE_IN_FORCE, refresh);
    this.#blackboard.watch(HOST_LIST, refresh);
    this.#blackboard.watch(
      MEMBERS,
      (members) => this.#options.onPeerAddresses?.(peerAddressesOf(members)),
    );
  }

  /** Ends at once, as if the process died; a planned stop has drained before. */
  stop(): void {
    this.#isEnded = true;
    for (const controller of this.#parts.controllers) controller.stop();
  }

  /** Whether a planned stop was ordered. */
  get isStopping(): boolean {
    return this.#blackboard.read(STOP_PHASE).kind !== "serving";
  }

  /** Starts a planned stop; false when there is no such plan or one runs already. */
  requestStop(stopPlan?: string): boolean {
    const plan = this.#stopPlan(stopPlan);
    if (plan === undefined || this.isStopping) return false;
    this.#parts.stopController.requestStop(plan);
    return true;
  }

  /** Calls back at each phase of a planned stop; the returned function ends that. */
  onStopPhase(listener: (phase: StopPhase) => void): () => void {
    return this.#blackboard.watch(STOP_PHASE, (phase) => {
      this.#options.log.info({ phase: phase.kind }, "Stop phase");
      listener(phase);
    });
  }

  /** The interface for callers. */
  createCallerApi(): CallerApi {
    const { settings, timer, random } = this.#options;
    const {
      unkeyedService: service,
      keyedService: keyed,
      keyService: keys,
      jobs,
      stallDetector: stalls,
    } = this.#parts;
    return new CallerApi({
      blackboard: this.#blackboard,
      timer,
      random,
      metrics: this.#metrics,
      bundleInForce: BUNDLE_IN_FORCE,
      maximumBodyBytes: settings.limits.maximumBodyBytes,
      isStopping: () => !this.#isServing(),
      earliestArrival: () => stalls.earliestArrival(),
      unkeyedService: service,
      keyedService: keyed,
      mintTicket: (account) => keys.mintTicket(account),
      jobApi: new JobApi({ timer, jobs, keys }),
    });
  }

  /** The interface for operators. */
  createOperatorView(): OperatorView {
    return {
      status: () => this.status(),
      isReady: () => this.#isReady(),
      drain: (stopPlan) => this.requestStop(stopPlan),
    };
  }

  /** What `wasabivane-ctl` shows of this host. */
  status(): Record<string, unknown> {
    const { settings } = this.#options;
    const {
      coordinator: keeper,
      pools,
      unkeyedService: service,
      keyedService: keyed,
      jobs,
    } = this.#parts;
    const signed = this.#blackboard.read(BUNDLE_IN_FORCE);
    const kept = [...keeper.schedulers()].map(([service, scheduler]) => ({
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
      phase: this.#isEnded ? "ended" : this.#blackboard.read(STOP_PHASE).kind,
      openExchanges: service.openExchanges + keyed.openResponses,
      jobs: jobs.held,
      pools: pools.status(),
      waiting: kept.flatMap(({ service, waiting }) =>
        waiting.map((row) => ({ service, ...row }))
      ),
      upstreams: kept.flatMap(({ service, upstreams }) =>
        upstreams.map((row) => ({ service, ...row }))
      ),
      counters: this.#counters.counters(),
    };
  }

  #isServing(): boolean {
    const { kind } = this.#blackboard.read(STOP_PHASE);
    return !this.#isEnded && SERVING_PHASES.includes(kind);
  }

  /** The balancer is told first, while requests are still served. */
  #isReady(): boolean {
    const { kind } = this.#blackboard.read(STOP_PHASE);
    return !this.#isEnded && kind !== "unready" && this.#isServing() &&
      this.#bundle() !== undefined;
  }

  #stopPlan(name: string | undefined): StopPlan | undefined {
    const bundle = this.#bundle();
    const wanted = name ?? bundle?.defaultStopPlan;
    return bundle?.stopPlans.find(({ stopPlan }) => stopPlan === wanted);
  }

  #bundle(): Bundle | undefined {
    return this.#blackboard.read(BUNDLE_IN_FORCE)?.bundle;
  }
}

function peerAddressesOf(members: readonly Member[]): Map<HostId, string> {
  return new Map(members.map(({ host, peerAddress }) => [host, peerAddress]));
}
