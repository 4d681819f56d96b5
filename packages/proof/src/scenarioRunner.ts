import { setImmediate } from "node:timers/promises";
import {
  type HostId,
  type Milliseconds,
  SeededRandom,
  VirtualTimer,
} from "@wasabivane/common";
import { uuidV7 } from "@wasabivane/load";
import type { FakeUpstream } from "./fakeUpstreams.ts";
import type {
  FaultScenario,
  ScenarioAction,
  ScenarioStep,
} from "./scenario.ts";
import { CallerConnection } from "./callerConnection.ts";
import {
  type AttemptResult,
  buildCall,
  buildJobPoll,
  evaluateAttempt,
  evaluateJobPoll,
} from "./scenarioCaller.ts";
import {
  type Safeguards,
  ScenarioFleet,
  type ScenarioHost,
} from "./scenarioFleet.ts";
import { ScenarioJournal } from "./scenarioJournal.ts";
import { checkScenario, type ScenarioVerdict } from "./checkScenario.ts";

/** Time until membership settles and key homes start their tenure. */
const START_MS: Milliseconds = 8_000;
/** Maximum time that faults persist after the last step. */
const FAULTY_PERIOD_MS: Milliseconds = 10_000;
/** Maximum time for requests to end after all faults are healed. */
const HEALED_TIMEOUT_MS: Milliseconds = 60_000;
const END_CHECK_PERIOD_MS: Milliseconds = 500;
const JOB_POLL_PERIOD_MS: Milliseconds = 1_000;

/** Result of a scenario run. */
export interface ScenarioResult {
  readonly verdict: ScenarioVerdict;
  readonly journal: ScenarioJournal;
  /** Virtual time that step times are relative to. */
  readonly origin: Milliseconds;
}

/** Runs a scenario in virtual time and checks the invariants. */
export async function runScenario(
  scenario: FaultScenario,
  safeguards: Safeguards = {},
): Promise<ScenarioResult> {
  return await new ScenarioRunner(scenario, safeguards).run();
}

type Actions = {
  readonly [Name in ScenarioAction["do"]]: (
    action: Extract<ScenarioAction, { do: Name }>,
  ) => void;
};

interface OpenAttempt {
  readonly request: string;
  readonly attempt: number;
  readonly host: ScenarioHost;
  readonly connection: CallerConnection;
}

class ScenarioRunner {
  readonly #scenario: FaultScenario;
  readonly #timer = new VirtualTimer();
  readonly #random: SeededRandom;
  readonly #journal = new ScenarioJournal(this.#timer);
  readonly #fleet: ScenarioFleet;
  readonly #keys = new Map<string, string>();
  readonly #attempts = new Map<string, number>();
  readonly #openAttempts = new Set<OpenAttempt>();
  readonly #jobs = new Map<string, string>();
  #pendingSteps: number;

  constructor(scenario: FaultScenario, safeguards: Safeguards) {
    this.#scenario = scenario;
    this.#random = new SeededRandom(scenario.seed ?? 1);
    this.#pendingSteps = scenario.story.length;
    this.#fleet = new ScenarioFleet({
      scenario,
      timer: this.#timer,
      random: this.#random,
      journal: this.#journal,
      safeguards,
    });
  }

  async run(): Promise<ScenarioResult> {
    this.#fleet.start();
    await this.#advance(START_MS);
    const origin = this.#timer.now();
    for (const step of this.#scenario.story) this.#scheduleStep(step);
    const lastAt = Math.max(
      0,
      ...this.#scenario.story.map((step) => "at" in step ? step.at : 0),
    );
    await this.#advance(lastAt);
    await this.#runUntilEnded();
    for (const { entry, process } of this.#fleet.hosts.values()) {
      process.kill();
      entry.stop();
    }
    const verdict = checkScenario(this.#scenario, this.#journal);
    return { verdict, journal: this.#journal, origin };
  }

  /** Keeps the faults until all requests end or a timeout, then heals them. */
  async #runUntilEnded(): Promise<void> {
    await this.#advanceUntilEnded(FAULTY_PERIOD_MS);
    this.#heal();
    await this.#advanceUntilEnded(HEALED_TIMEOUT_MS);
  }

  async #advanceUntilEnded(span: Milliseconds): Promise<void> {
    const end = this.#timer.now() + span;
    while (this.#timer.now() < end && !this.#isOver) {
      await this.#advance(END_CHECK_PERIOD_MS);
    }
  }

  get #isOver(): boolean {
    return this.#pendingSteps === 0 && this.#openAttempts.size === 0 &&
      this.#jobs.size === 0;
  }

  #heal(): void {
    const { network, platform } = this.#fleet;
    network.heal();
    network.setFaults({ dropShare: 0, duplicateShare: 0 });
    platform.setState("up");
    for (const host of this.#fleet.hosts.values()) this.#fleet.resumeHost(host);
    const { hosts } = this.#fleet;
    for (const name of this.#fleet.hostNames) {
      if (!hosts.has(name)) this.#fleet.startHost(name);
    }
    this.#recordLinkChange("healed");
  }

  /** Advances virtual time, letting promises settle after each callback. */
  async #advance(span: Milliseconds): Promise<void> {
    let isOver = false;
    this.#timer.after(span, () => (isOver = true));
    while (!isOver) {
      this.#timer.step();
      await setImmediate();
    }
  }

  #scheduleStep(step: ScenarioStep): void {
    const run = (): void => {
      this.#pendingSteps--;
      this.#runStep(step);
    };
    if ("at" in step) {
      this.#timer.after(step.at, run);
      return;
    }
    const { request, is } = step.once;
    let hasTriggered = false;
    this.#journal.subscribe((event) => {
      const name = event.kind === "ended" && event.ending === "accepted"
        ? "accepted"
        : event.kind;
      if (hasTriggered || name !== is || !("request" in event)) return;
      if (event.request !== request) return;
      hasTriggered = true;
      this.#timer.after(step.after ?? 0, run);
    });
  }

  #runStep(step: ScenarioStep): void {
    const { do: name, ...rest } = step;
    const fields = Object.entries(rest).filter(([key]) =>
      key !== "at" && key !== "once" && key !== "after"
    ).map(([, value]) => JSON.stringify(value));
    this.#journal.add({ kind: "step", text: [name, ...fields].join(" ") });
    this.#runAction(step);
  }

  #runAction(action: ScenarioAction): void {
    const runAction = this.#actions[action.do] as (
      action: ScenarioAction,
    ) => void;
    runAction(action);
  }

  readonly #actions: Actions = {
    "send": ({ request, via }) => this.#send(request, via),
    "hang-up": ({ request }) => this.#hangUp(request),
    "kill": ({ hosts }) => hosts.forEach((host) => this.#kill(host)),
    "restart": ({ hosts }) => hosts.forEach((host) => this.#restart(host)),
    "pause": ({ hosts, forMs }) =>
      hosts.forEach((host) => this.#fleet.pauseHost(host, forMs)),
    "stop": ({ hosts }) => hosts.forEach((host) => this.#stop(host)),
    "partition": ({ groups }) => {
      this.#fleet.network.partition(groups as readonly HostId[][]);
      this.#recordLinkChange("cut");
    },
    "cut": ({ from, to }) => {
      for (const peer of to as readonly HostId[]) {
        this.#fleet.network.blockDirection(from as HostId, peer);
      }
      this.#recordLinkChange("cut");
    },
    "heal": () => {
      this.#fleet.network.heal();
      this.#recordLinkChange("healed");
    },
    "crash": ({ upstream, forMs }) => this.#upstream(upstream).crash(forMs),
    "slow": ({ upstream, factor }) => this.#upstream(upstream).slowDown(factor),
    "break-streams": ({ upstream }) => this.#upstream(upstream).breakStreams(),
    "cross-answers": ({ upstream, what }) =>
      this.#upstream(upstream).misrouteNext(what),
    "leave": ({ upstreams }) => this.#fleet.markLeaving(upstreams),
    "roll": ({ version }) => this.#fleet.publishBundle(version),
    "platform": ({ state, hosts }) =>
      this.#fleet.platform.setState(state, hosts),
  };

  #upstream(name: string): FakeUpstream {
    return this.#fleet.upstreams.get(name)!;
  }

  #restart(host: string): void {
    this.#kill(host);
    this.#fleet.startHost(host);
  }

  #stop(host: string): void {
    const entry = this.#fleet.hosts.get(host)?.entry;
    // A daemon exits once its graceful stop has ended.
    entry?.onStopPhase(({ kind }) => {
      if (kind === "ended") this.#kill(host);
    });
    entry?.requestStop();
  }

  #recordLinkChange(how: "cut" | "healed"): void {
    const hosts = this.#fleet.hostNames;
    this.#journal.add({ kind: "disturbed", how, hosts });
  }

  #kill(host: string): void {
    const killed = this.#fleet.hosts.get(host);
    this.#fleet.killHost(host);
    for (const open of [...this.#openAttempts]) {
      if (open.host === killed) open.connection.disconnect();
    }
  }

  #send(name: string, via: string): void {
    const request = this.#scenario.requests[name]!;
    const attempt = (this.#attempts.get(name) ?? 0) + 1;
    const host = this.#fleet.hosts.get(via);
    this.#attempts.set(name, attempt);
    this.#journal.add({ kind: "sent", request: name, attempt, host: via });
    if (host === undefined) {
      this.#recordEnd(name, { attempt, result: CONNECTION_REFUSED });
      return;
    }
    const connection = new CallerConnection(
      buildCall(name, { request, key: this.#keyOf(name) }),
      {
        onEnd: () => {
          this.#openAttempts.delete(open);
          const result = evaluateAttempt(connection, { name, request });
          this.#recordEnd(name, { attempt, result });
          if (result.job !== undefined) this.#pollLater(name, result.job);
        },
      },
    );
    const open = { request: name, attempt, host, connection };
    this.#openAttempts.add(open);
    host.process.run(() => this.#handle(host, connection));
  }

  #handle({ callerApi }: ScenarioHost, connection: CallerConnection): void {
    callerApi.handle(connection.incoming, connection.outgoing).catch(
      (thrown: Error) => connection.destroy(thrown),
    );
  }

  #hangUp(name: string): void {
    for (const { request, host, connection } of [...this.#openAttempts]) {
      if (request !== name) continue;
      connection.disconnect();
      host.process.run(() => connection.destroy());
    }
  }

  #recordEnd(
    request: string,
    { attempt, result }: { attempt: number; result: AttemptResult },
  ): void {
    const { ending, detail, reason, fault } = result;
    this.#journal.add({
      kind: "ended",
      request,
      attempt,
      ending,
      detail,
      ...(reason === undefined ? {} : { reason }),
      ...(fault === undefined ? {} : { fault }),
    });
  }

  /** Polls an accepted job through random hosts until it ends. */
  #pollLater(name: string, id: string): void {
    this.#jobs.set(name, id);
    this.#timer.after(JOB_POLL_PERIOD_MS, () => this.#pollJob(name, id));
  }

  #pollJob(name: string, id: string): void {
    const request = this.#scenario.requests[name]!;
    const running = this.#fleet.running;
    if (running.length === 0) return this.#pollLater(name, id);
    const host = this.#random.pick(running);
    const connection = new CallerConnection(buildJobPoll(id, request), {
      onEnd: () => {
        this.#openAttempts.delete(open);
        const result = evaluateJobPoll(connection, { name, request });
        if (result === undefined || result.detail === "unknown-job") {
          return this.#pollLater(name, id);
        }
        this.#jobs.delete(name);
        this.#recordEnd(name, { attempt: 1, result });
      },
    });
    const open = { request: name, attempt: 0, host, connection };
    this.#openAttempts.add(open);
    this.#handle(host, connection);
  }

  #keyOf(name: string): string | undefined {
    const { hasKey = true } = this.#scenario.requests[name]!;
    if (!hasKey) return undefined;
    const key = this.#keys.get(name) ??
      uuidV7(this.#timer.wallNow(), this.#random);
    this.#keys.set(name, key);
    return key;
  }
}

/** Result of a send to a host that is not running. */
const CONNECTION_REFUSED: AttemptResult = {
  ending: "unknown",
  detail: "connection-refused",
};
