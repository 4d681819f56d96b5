import type { Milliseconds, Timer } from "@wasabivane/common";
import type { ObservedOutcome } from "./scenario.ts";

/** Something that happened, as an observer who sees everything notes it. */
export type ScenarioEvent =
  | {
    readonly kind: "sent";
    readonly request: string;
    readonly attempt: number;
    readonly host: string;
  }
  | {
    readonly kind: "ended";
    readonly request: string;
    readonly attempt: number;
    readonly ending: ObservedOutcome | "accepted";
    /** Problem, or what is wrong with the answer. */
    readonly detail: string;
    readonly reason?: string;
    readonly fault?: "crossed" | "cut";
  }
  | {
    readonly kind: "dispatched";
    readonly request: string;
    readonly nonce: string;
    readonly upstream: string;
    readonly host: string;
  }
  | {
    readonly kind: "in-force";
    readonly host: string;
    readonly incarnation: string;
    readonly version: number;
  }
  | { readonly kind: "leaving-read"; readonly upstreams: readonly string[] }
  | { readonly kind: "step"; readonly text: string }
  /** Hosts that were killed, paused or cut off, or that came back. */
  | {
    readonly kind: "disturbed";
    readonly how: "killed" | "paused" | "woken" | "cut" | "healed" | "started";
    readonly hosts: readonly string[];
  };

/** A fact with its time. */
export type TimedScenarioEvent = ScenarioEvent & { readonly at: Milliseconds };

/** Everything that happened in one scenario, in order. */
export class ScenarioJournal {
  readonly events: TimedScenarioEvent[] = [];
  readonly #timer: Timer;
  readonly #listeners = new Set<(fact: TimedScenarioEvent) => void>();

  constructor(timer: Timer) {
    this.#timer = timer;
  }

  add(fact: ScenarioEvent): void {
    const dated = { ...fact, at: this.#timer.now() };
    this.events.push(dated);
    for (const listener of this.#listeners) listener(dated);
  }

  /** Calls back at each fact. */
  subscribe(listener: (fact: TimedScenarioEvent) => void): void {
    this.#listeners.add(listener);
  }

  /** Facts of one kind. */
  ofKind<Kind extends ScenarioEvent["kind"]>(
    kind: Kind,
  ): Extract<TimedScenarioEvent, { kind: Kind }>[] {
    return this.events.filter((fact) => fact.kind === kind) as Extract<
      TimedScenarioEvent,
      { kind: Kind }
    >[];
  }
}

/** One line of a readable trace; times count from `origin`. */
export function formatEvent(
  fact: TimedScenarioEvent,
  origin: Milliseconds,
): string {
  const { at, kind, ...rest } = fact;
  const time = (at - origin).toFixed(0).padStart(7);
  const words = Object.entries(rest).map(([name, value]) =>
    `${name}=${Array.isArray(value) ? value.join(",") : value}`
  );
  return kind === "step"
    ? `${time} > ${fact.kind === "step" ? fact.text : ""}`
    : `${time}   ${kind} ${words.join(" ")}`;
}
