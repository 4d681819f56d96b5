import type { Milliseconds, Timer } from "@wasabivane/common";
import type { ObservedOutcome } from "./scenario.ts";

/** An event of a scenario, recorded with full knowledge of all processes. */
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
    /** Problem type, or the error in the response. */
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
  /** Hosts that were killed, paused or cut off, or that recovered. */
  | {
    readonly kind: "disturbed";
    readonly how: "killed" | "paused" | "woken" | "cut" | "healed" | "started";
    readonly hosts: readonly string[];
  };

/** An event with its time. */
export type TimedScenarioEvent = ScenarioEvent & { readonly at: Milliseconds };

/** All events of a scenario in order. */
export class ScenarioJournal {
  readonly events: TimedScenarioEvent[] = [];
  readonly #timer: Timer;
  readonly #listeners = new Set<(event: TimedScenarioEvent) => void>();

  constructor(timer: Timer) {
    this.#timer = timer;
  }

  add(event: ScenarioEvent): void {
    const timed = { ...event, at: this.#timer.now() };
    this.events.push(timed);
    for (const listener of this.#listeners) listener(timed);
  }

  /** Calls a listener for each new event. */
  subscribe(listener: (event: TimedScenarioEvent) => void): void {
    this.#listeners.add(listener);
  }

  /** Returns the events of a kind. */
  ofKind<Kind extends ScenarioEvent["kind"]>(
    kind: Kind,
  ): Extract<TimedScenarioEvent, { kind: Kind }>[] {
    return this.events.filter((event) => event.kind === kind) as Extract<
      TimedScenarioEvent,
      { kind: Kind }
    >[];
  }
}

/** Formats an event as a trace line, with its time relative to `origin`. */
export function formatEvent(
  event: TimedScenarioEvent,
  origin: Milliseconds,
): string {
  const { at, kind, ...rest } = event;
  const time = (at - origin).toFixed(0).padStart(7);
  const fields = Object.entries(rest).map(([name, value]) =>
    `${name}=${Array.isArray(value) ? value.join(",") : value}`
  );
  return kind === "step"
    ? `${time} > ${event.kind === "step" ? event.text : ""}`
    : `${time}   ${kind} ${fields.join(" ")}`;
}
