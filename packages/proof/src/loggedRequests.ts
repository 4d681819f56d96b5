import type { LogLine } from "@wasabivane/ctl";
import type { EpochMilliseconds, Milliseconds } from "@wasabivane/common";

/** How a request went, as its caller saw it. */
export type LoggedOutcome =
  | "on time"
  | "late by its first event"
  | "late by a pause"
  | "refused"
  | "broken off";

/** One request that reached a service, by what the hosts logged of it. */
export interface LoggedRequest {
  readonly tier: number;
  readonly at: EpochMilliseconds;
  /** Time until its first event, or whole plain answer, that is on time. */
  readonly target: Milliseconds;
  /** Upstream that it was sent to last; `undefined` when none got it. */
  readonly upstream: string | undefined;
  /** Places that this upstream has. */
  readonly slots: number;
  /** Time that it held a place, or would have been expected to. */
  readonly held: Milliseconds;
  /** Time between its events; `undefined` with fewer than three. */
  readonly pace: Milliseconds | undefined;
  readonly outcome: LoggedOutcome;
}

/** Requests of each service in the lines of one or more hosts, in order of time. */
export function readLoggedRequests(
  lines: readonly LogLine[],
): Map<string, LoggedRequest[]> {
  const sends = new Map<string, LogLine>();
  const services = new Map<string, LoggedRequest[]>();
  const add = (service: string, request: LoggedRequest): void => {
    services.set(service, [...services.get(service) ?? [], request]);
  };
  for (const line of lines) {
    const id = String(line.values.id);
    if (line.event === "request_sent") sends.set(id, line);
    const sent = sends.get(id);
    if (line.event === "request_refused" && sent === undefined) {
      if (typeof line.values.hold !== "number") continue;
      add(String(line.values.service), refusedRequest(line));
    }
    if (line.event === "request_ended" && sent !== undefined) {
      sends.delete(id);
      add(String(sent.values.service), endedRequest(sent, line));
    }
  }
  return services;
}

function refusedRequest({ time, values }: LogLine): LoggedRequest {
  return {
    tier: numberIn(values.tier),
    at: time - numberIn(values.held),
    target: numberIn(values.target),
    upstream: undefined,
    slots: 0,
    held: numberIn(values.hold),
    pace: undefined,
    outcome: "refused",
  };
}

function endedRequest(sent: LogLine, ended: LogLine): LoggedRequest {
  const { waited, target, pauseTarget, tier, slots, upstream } = sent.values;
  const { first, took, parts } = ended.values;
  const events = numberIn(parts);
  const answering = numberIn(took) - numberIn(first);
  return {
    tier: numberIn(tier),
    at: sent.time - numberIn(waited),
    target: numberIn(target),
    upstream: String(upstream),
    slots: numberIn(slots),
    held: ended.time - sent.time,
    pace: events > 2 ? answering / (events - 1) : undefined,
    outcome: endingOf(ended, {
      target: numberIn(target),
      pauseTarget: numberIn(pauseTarget),
    }),
  };
}

function endingOf(
  { values: { ending, first, pause } }: LogLine,
  { target, pauseTarget }: { target: number; pauseTarget: number },
): LoggedOutcome {
  const isWhole = ending === "whole" || ending === "status-200";
  if (!isWhole) return "broken off";
  if (numberIn(first) > target) return "late by its first event";
  const isPaused = pauseTarget > 0 && numberIn(pause) > pauseTarget;
  return isPaused ? "late by a pause" : "on time";
}

function numberIn(value: unknown): number {
  return typeof value === "number" ? value : 0;
}
