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

/** Time for the hosts to find each other and for homes of keys to start their tenure. */
const START_MS: Milliseconds = 8_000;
/** How long faults go on after the last step. */
const FAULTY_TAIL_MS: Milliseconds = 10_000;
/** Longest time until everything has ended once all is healed. */
const HEALED_TAIL_MS: Milliseconds = 60_000;
const TAIL_STEP_MS: Milliseconds = 500;
const FETCH_PERIOD_MS: Milliseconds = 1_000;

/** A scenario that ran. */
export interface ScenarioResult {
  readonly verdict: ScenarioVerdict;
  readonly journal: ScenarioJournal;
  /** When the story began. */
  readonly origin: Milliseconds;
}

/** Runs a scenario in virtual time and judges it. */
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
  readonly #open = new Set<OpenAttempt>();
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
    for (const step of this.#scenario.story) this.#arm(step);
    const lastAt = Math.max(
      0,
      ...this.#scenario.story.map((step) => "at" in step ? step.at : 0),
    );
    await this.#advance(lastAt);
    await this.#endStory();
    for (const { entry, process } of this.#fleet.hosts.values()) {
      process.kill();
      entry.stop();
    }
    const verdict = checkScenario(this.#scenario, this.#journal);
    return { verdict, journal: this.#journal, origin };
  }

  /** Faults last until everything ended, or for a while; then all is made whole. */
  async #endStory(): Promise<void> {
    await this.#advanceUntilEnded(FAULTY_TAIL_MS);
    this.#heal();
    await this.#advanceUntilEnded(HEALED_TAIL_MS);
  }

  async #advanceUntilEnded(span: Milliseconds): Promise<void> {
    const end = this.#timer.now() + span;
    while (this.#timer.now() < end && !this.#isOver) {
      await this.#advance(TAIL_STEP_MS);
    }
  }

  get #isOver(): boolean {
    return this.#pendingSteps === 0 && this.#open.size === 0 &&
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
    this.#noteLinks("healed");
  }

  /** Moves virtual time; promises settle after each call that is due. */
  async #advance(span: Milliseconds): Promise<void> {
    let isOver = false;
    this.#timer.after(span, () => (isOver = true));
    while (!isOver) {
      this.#timer.step();
      await setImmediate();
    }
  }

  #arm(step: ScenarioStep): void {
    const play = (): void => {
      this.#pendingSteps--;
      this.#play(step);
    };
    if ("at" in step) {
      this.#timer.after(step.at, play);
      return;
    }
    const { request, is } = step.once;
    let isSeen = false;
    this.#journal.subscribe((fact) => {
      const name = fact.kind === "ended" && fact.ending === "accepted"
        ? "accepted"
        : fact.kind;
      if (isSeen || name !== is || !("request" in fact)) return;
      if (fact.request !== request) return;
      isSeen = true;
      this.#timer.after(step.after ?? 0, play);
    });
  }

  #play(step: ScenarioStep): void {
    const { do: name, ...rest } = step;
    const words = Object.entries(rest).filter(([key]) =>
      key !== "at" && key !== "once" && key !== "after"
    ).map(([, value]) => JSON.stringify(value));
    this.#journal.add({ kind: "step", text: [name, ...words].join(" ") });
    this.#act(step);
  }

  #act(action: ScenarioAction): void {
    const act = this.#actions[action.do] as (action: ScenarioAction) => void;
    act(action);
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
      this.#noteLinks("cut");
    },
    "cut": ({ from, to }) => {
      for (const peer of to as readonly HostId[]) {
        this.#fleet.network.blockDirection(from as HostId, peer);
      }
      this.#noteLinks("cut");
    },
    "heal": () => {
      this.#fleet.network.heal();
      this.#noteLinks("healed");
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
    // A daemon ends its process when its planned stop has ended.
    entry?.onStopPhase(({ kind }) => {
      if (kind === "ended") this.#kill(host);
    });
    entry?.requestStop();
  }

  #noteLinks(how: "cut" | "healed"): void {
    const hosts = this.#fleet.hostNames;
    this.#journal.add({ kind: "disturbed", how, hosts });
  }

  #kill(host: string): void {
    const killed = this.#fleet.hosts.get(host);
    this.#fleet.killHost(host);
    for (const open of [...this.#open]) {
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
      this.#end(name, { attempt, ending: REFUSED });
      return;
    }
    const connection = new CallerConnection(
      buildCall(name, { request, key: this.#keyOf(name) }),
      {
        onEnd: () => {
          this.#open.delete(open);
          const ending = evaluateAttempt(connection, { name, request });
          this.#end(name, { attempt, ending });
          if (ending.job !== undefined) this.#follow(name, ending.job);
        },
      },
    );
    const open = { request: name, attempt, host, connection };
    this.#open.add(open);
    host.process.run(() => this.#handle(host, connection));
  }

  #handle({ callerApi }: ScenarioHost, connection: CallerConnection): void {
    callerApi.handle(connection.incoming, connection.outgoing).catch(
      (thrown: Error) => connection.destroy(thrown),
    );
  }

  #hangUp(name: string): void {
    for (const { request, host, connection } of [...this.#open]) {
      if (request !== name) continue;
      connection.disconnect();
      host.process.run(() => connection.destroy());
    }
  }

  #end(
    request: string,
    { attempt, ending }: { attempt: number; ending: AttemptResult },
  ): void {
    const { ending: kind, detail, reason, fault } = ending;
    this.#journal.add({
      kind: "ended",
      request,
      attempt,
      ending: kind,
      detail,
      ...(reason === undefined ? {} : { reason }),
      ...(fault === undefined ? {} : { fault }),
    });
  }

  /** Asks for an accepted job until it has ended, through any host that answers. */
  #follow(name: string, id: string): void {
    this.#jobs.set(name, id);
    this.#timer.after(FETCH_PERIOD_MS, () => this.#fetch(name, id));
  }

  #fetch(name: string, id: string): void {
    const request = this.#scenario.requests[name]!;
    const running = this.#fleet.running;
    if (running.length === 0) return this.#follow(name, id);
    const host = this.#random.pick(running);
    const connection = new CallerConnection(buildJobPoll(id, request), {
      onEnd: () => {
        this.#open.delete(open);
        const ending = evaluateJobPoll(connection, { name, request });
        if (ending === undefined || ending.detail === "unknown-job") {
          return this.#follow(name, id);
        }
        this.#jobs.delete(name);
        this.#end(name, { attempt: 1, ending });
      },
    });
    const open = { request: name, attempt: 0, host, connection };
    this.#open.add(open);
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

/** A connection that no process took: the request did not run. */
const REFUSED: AttemptResult = {
  ending: "unknown",
  detail: "connection-refused",
};
