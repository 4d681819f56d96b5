import type { LogLine } from "@wasabivane/ctl";
import type { EpochMilliseconds, Milliseconds } from "@wasabivane/common";

/** Outcome of a request as observed by its caller. */
export type LoggedOutcome =
  | "on time"
  | "late by its first event"
  | "late by a pause"
  | "refused"
  | "broken off";

/** A request to a service, reconstructed from host logs. */
export interface LoggedRequest {
  readonly tier: number;
  readonly at: EpochMilliseconds;
  /** Latency target of its first event or complete plain response. */
  readonly target: Milliseconds;
  /** Upstream of its last attempt; `undefined` if it was never sent. */
  readonly upstream: string | undefined;
  /** Number of slots of this upstream. */
  readonly slots: number;
  /** Time that it occupied a slot, or was expected to if refused. */
  readonly held: Milliseconds;
  /** Mean interval between its events; `undefined` for fewer than three. */
  readonly pace: Milliseconds | undefined;
  readonly outcome: LoggedOutcome;
}

/** Reconstructs the requests of each service from ordered log lines. */
export function readLoggedRequests(
  lines: readonly LogLine[],
): Map<string, LoggedRequest[]> {
  const sends = new Map<string, LogLine>();
  const services = new Map<string, LoggedRequest[]>();
  const addRequest = (service: string, request: LoggedRequest): void => {
    services.set(service, [...services.get(service) ?? [], request]);
  };
  for (const line of lines) {
    const id = String(line.values.id);
    if (line.event === "request_sent") sends.set(id, line);
    const sent = sends.get(id);
    if (line.event === "request_refused" && sent === undefined) {
      if (typeof line.values.hold !== "number") continue;
      addRequest(String(line.values.service), createRefusedRequest(line));
    }
    if (line.event === "request_ended" && sent !== undefined) {
      sends.delete(id);
      addRequest(String(sent.values.service), createEndedRequest(sent, line));
    }
  }
  return services;
}

function createRefusedRequest({ time, values }: LogLine): LoggedRequest {
  return {
    tier: toNumber(values.tier),
    at: time - toNumber(values.held),
    target: toNumber(values.target),
    upstream: undefined,
    slots: 0,
    held: toNumber(values.hold),
    pace: undefined,
    outcome: "refused",
  };
}

function createEndedRequest(sent: LogLine, ended: LogLine): LoggedRequest {
  const { waited, target, pauseTarget, tier, slots, upstream } = sent.values;
  const { first, took, parts } = ended.values;
  const events = toNumber(parts);
  const responseDuration = toNumber(took) - toNumber(first);
  return {
    tier: toNumber(tier),
    at: sent.time - toNumber(waited),
    target: toNumber(target),
    upstream: String(upstream),
    slots: toNumber(slots),
    held: ended.time - sent.time,
    pace: events > 2 ? responseDuration / (events - 1) : undefined,
    outcome: classifyOutcome(ended, {
      target: toNumber(target),
      pauseTarget: toNumber(pauseTarget),
    }),
  };
}

function classifyOutcome(
  { values: { ending, first, pause } }: LogLine,
  { target, pauseTarget }: { target: number; pauseTarget: number },
): LoggedOutcome {
  const isComplete = ending === "whole" || ending === "status-200";
  if (!isComplete) return "broken off";
  if (toNumber(first) > target) return "late by its first event";
  const isPauseTooLong = pauseTarget > 0 && toNumber(pause) > pauseTarget;
  return isPauseTooLong ? "late by a pause" : "on time";
}

function toNumber(value: unknown): number {
  return typeof value === "number" ? value : 0;
}
