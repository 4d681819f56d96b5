import {
  type Milliseconds,
  type Random,
  SeededRandom,
} from "@wasabivane/common";
import {
  type FaultScenario,
  type RequestKind,
  SCENARIO_UPSTREAMS,
  type ScenarioAction,
  type ScenarioLink,
  type ScenarioRequest,
  type ScenarioStep,
  type StepTrigger,
} from "./scenario.ts";
import { isJobKind } from "./scenarioCaller.ts";

/** Upper limit of the times of first sends and faults. */
const MAX_STEP_TIME_MS: Milliseconds = 6_000;
const MAX_REQUESTS = 6;
const MAX_FAULTS = 4;
const MAX_RESENDS = 3;
/** Maximum offset of a host's wall clock from the true time. */
const MAX_SKEW_MS: Milliseconds = 250;
const SEED_STRIDE = 1_000_003;
const HOST_COUNTS = [4, 4, 4, 5, 6];
const KINDS: readonly RequestKind[] = [
  "draft",
  "draft",
  "answer",
  "save",
  "save",
  "save",
  "lookup",
  "review",
  "export",
  "export",
];
const TIERS = [1, 2, 3, 4];
const ENGINES = SCENARIO_UPSTREAMS.filter((name) => name.startsWith("drafter"));

/** Generates a fault schedule, deterministic in seed and index. */
export function drawSchedule(seed: number, index: number): FaultScenario {
  const random = new SeededRandom(seed * SEED_STRIDE + index);
  return new ScheduleGenerator(random).generate(`${seed}:${index}`);
}

class ScheduleGenerator {
  readonly #random: Random;
  readonly #hosts: string[];
  #version = 1;

  constructor(random: Random) {
    this.#random = random;
    this.#hosts = Array.from(
      { length: random.pick(HOST_COUNTS) },
      (_, index) => `entry-${index + 1}`,
    );
  }

  generate(name: string): FaultScenario {
    const requests = this.#drawRequests();
    const story = [
      ...Object.entries(requests).flatMap(([request, description]) =>
        this.#drawSends(request, description)
      ),
      ...this.#drawFaults(Object.keys(requests)),
    ];
    const isBurst = this.#drawBoolean(0.3);
    return {
      name,
      hosts: this.#hosts.length,
      seed: this.#random.int(2 ** 31),
      link: this.#drawLink(),
      clockSkewMs: Object.fromEntries(
        this.#hosts.map((
          host,
        ) => [host, this.#random.int(2 * MAX_SKEW_MS) - MAX_SKEW_MS]),
      ),
      ...(isBurst ? { concurrency: 1, maximumWaitingTokens: 400 } : {}),
      ...(this.#drawBoolean(0.05) ? { platformAtStart: "stale" as const } : {}),
      requests,
      story,
    };
  }

  #drawLink(): ScenarioLink {
    const isLossy = this.#drawBoolean(0.3);
    return {
      jitterMs: this.#random.pick([0, 1, 5, 40]),
      dropShare: isLossy ? this.#random.float() * 0.1 : 0,
      duplicateShare: isLossy ? this.#random.float() * 0.1 : 0,
    };
  }

  #drawRequests(): Record<string, ScenarioRequest> {
    const count = 2 + this.#random.int(MAX_REQUESTS - 1);
    const names = Array.from({ length: count }, (_, index) => `r${index + 1}`);
    return Object.fromEntries(names.map((name) => [name, this.#drawRequest()]));
  }

  #drawRequest(): ScenarioRequest {
    const kind = this.#random.pick(KINDS);
    return {
      kind,
      hasKey: this.#drawBoolean(0.85),
      tier: this.#random.pick(TIERS),
      tokens: 1 + this.#random.int(80),
      promptTokens: this.#random.pick([0, 0, 100, 300]),
      deadlineMs: isJobKind(kind)
        ? 30_000
        : this.#random.pick([2_000, 8_000, 15_000]),
      ...(this.#drawBoolean(0.03) && kind === "draft"
        ? { isPoison: true }
        : {}),
    };
  }

  #drawSends(
    request: string,
    { kind, hasKey }: ScenarioRequest,
  ): ScenarioStep[] {
    const first = this.#time();
    const sends: ScenarioStep[] = [this.#send(request, first)];
    // A resent job or request without a key counts as a new request.
    if (!hasKey || isJobKind(kind)) return sends;
    const resends = this.#random.int(MAX_RESENDS + 1);
    for (let index = 0; index < resends; index++) {
      const gap = this.#random.pick([1, 30, 300, 2_000, 8_000]);
      sends.push(this.#send(request, first + this.#random.float() * gap));
    }
    return sends;
  }

  #send(request: string, at: Milliseconds): ScenarioStep {
    return { at: Math.round(at), do: "send", request, via: this.#host() };
  }

  #drawFaults(requests: string[]): ScenarioStep[] {
    const count = 1 + this.#random.int(MAX_FAULTS);
    return Array.from({ length: count }, () => this.#drawFault(requests))
      .flat();
  }

  #drawFault(requests: string[]): ScenarioStep[] {
    const request = this.#random.pick(requests);
    const trigger = this.#drawTrigger(request);
    const start = "at" in trigger ? trigger.at : this.#time();
    const [first, ...rest] = this.#random.pick(FAULTS)(this, request);
    return [
      { ...trigger, ...first!.action },
      ...rest.map(({ action, after = 0 }) => ({
        at: start + after,
        ...action,
      })),
    ];
  }

  #drawTrigger(request: string): StepTrigger {
    if (this.#drawBoolean(0.6)) return { at: this.#time() };
    const is = this.#random.pick(["dispatched", "accepted"] as const);
    return { once: { request, is }, after: this.#random.pick([0, 1, 5, 50]) };
  }

  host(): string {
    return this.#host();
  }

  upstream(): string {
    return this.#random.pick(SCENARIO_UPSTREAMS);
  }

  engine(): string {
    return this.#random.pick(ENGINES);
  }

  hosts(): string[] {
    const first = this.#host();
    return this.#drawBoolean(0.3)
      ? [...new Set([first, this.#host()])]
      : [first];
  }

  groups(): string[][] {
    const left = this.#hosts.filter(() => this.#drawBoolean(0.5));
    const right = this.#hosts.filter((host) => !left.includes(host));
    return [left, right].filter((group) => group.length > 0);
  }

  hostsExcept(host: string): string[] {
    return this.#hosts.filter((other) => other !== host);
  }

  duration(): Milliseconds {
    return this.#random.pick([200, 1_500, 4_000, 8_000, 20_000]);
  }

  nextVersion(): number {
    return ++this.#version;
  }

  pick<Item>(items: readonly Item[]): Item {
    return this.#random.pick(items);
  }

  #host(): string {
    return this.#random.pick(this.#hosts);
  }

  #time(): Milliseconds {
    return this.#random.int(MAX_STEP_TIME_MS);
  }

  #drawBoolean(probability: number): boolean {
    return this.#random.float() < probability;
  }
}

/** Actions of a fault; `after` counts from the time of the first one. */
type Fault = {
  readonly action: ScenarioAction;
  readonly after?: Milliseconds;
}[];

const FAULTS: readonly ((draw: ScheduleGenerator, name: string) => Fault)[] = [
  (draw) => [{ action: { do: "kill", hosts: draw.hosts() } }],
  (draw) => [{ action: { do: "restart", hosts: draw.hosts() } }],
  (draw) => {
    const hosts = draw.hosts();
    const restart = { do: "restart", hosts } as const;
    return [
      { action: { do: "kill", hosts } },
      { action: restart, after: draw.duration() },
    ];
  },
  (draw) => [
    { action: { do: "pause", hosts: draw.hosts(), forMs: draw.duration() } },
  ],
  (draw) => [
    { action: { do: "partition", groups: draw.groups() } },
    { action: { do: "heal" }, after: draw.duration() },
  ],
  (draw) => {
    const from = draw.host();
    return [
      { action: { do: "cut", from, to: draw.hostsExcept(from) } },
      { action: { do: "heal" }, after: draw.duration() },
    ];
  },
  (draw) => [
    {
      action: {
        do: "crash",
        upstream: draw.upstream(),
        forMs: draw.duration(),
      },
    },
  ],
  (draw) => [
    {
      action: {
        do: "slow",
        upstream: draw.upstream(),
        factor: draw.pick([3, 20]),
      },
    },
  ],
  (draw) => [{ action: { do: "break-streams", upstream: draw.upstream() } }],
  (draw) => [
    {
      action: {
        do: "cross-answers",
        upstream: draw.upstream(),
        what: "answer",
      },
    },
  ],
  (draw) => [
    {
      action: { do: "cross-answers", upstream: draw.engine(), what: "body" },
    },
  ],
  (draw) => [{ action: { do: "leave", upstreams: [draw.upstream()] } }],
  (draw) => [
    { action: { do: "roll", version: draw.nextVersion() } },
    { action: { do: "roll", version: draw.nextVersion() }, after: 700 },
  ],
  (draw) => [
    { action: { do: "platform", state: draw.pick(["down", "stale"]) } },
    { action: { do: "roll", version: draw.nextVersion() }, after: 500 },
    { action: { do: "platform", state: "up" }, after: draw.duration() },
  ],
  (draw) => [
    { action: { do: "platform", state: "down", hosts: draw.hosts() } },
  ],
  (_draw, request) => [{ action: { do: "hang-up", request } }],
];
