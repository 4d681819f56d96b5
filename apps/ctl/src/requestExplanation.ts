import type { LogEvent } from "@wasabivane/gateway";
import type { LogLine } from "./logLines.ts";

/** Time before a request's first line from which host events are included. */
const CONTEXT_WINDOW_MS = 5_000;

/** Events that change how a host handles requests. */
const HOST_EVENTS: ReadonlySet<LogEvent> = new Set<LogEvent>([
  "store_lost",
  "store_regained",
  "store_history_lost",
  "store_era_changed",
  "policy_adopted",
  "policy_announced",
  "snapshot_fetch_failed",
  "peers_changed",
  "keeper_passed_over",
  "stopping",
  "upstream_left",
  "upstream_ejected",
  "crash_confirmed",
]);

/** Events that end a request. */
const FINAL_EVENTS: ReadonlySet<LogEvent> = new Set<LogEvent>([
  "request_ended",
  "request_refused",
  "request_cut",
  "caller_left",
]);

/** Log lines about one request and why it ended. */
export interface RequestExplanation {
  /** The request's own lines and the host events that may have affected it. */
  readonly lines: readonly LogLine[];
  /** Sentence without a full stop. */
  readonly cause: string;
}

/**
 * Explains why a request ended as it did; `undefined` when no line names it.
 */
export function explainRequest(
  lines: readonly LogLine[],
  id: string,
): RequestExplanation | undefined {
  const own = lines.filter(({ values }) => values.id === id);
  if (own.length === 0) return undefined;
  const hostEvents = findHostEvents(own, lines);
  const related = [...own, ...hostEvents]
    .sort((left, right) => left.time - right.time);
  return { lines: related, cause: describeCause(own, hostEvents) };
}

function findHostEvents(
  own: readonly LogLine[],
  lines: readonly LogLine[],
): LogLine[] {
  const hosts = new Set(own.map(({ host }) => host));
  const upstreams = new Set(own.map(({ values }) => values.upstream));
  const from = own[0]!.time - CONTEXT_WINDOW_MS;
  const last = own.at(-1)!;
  const until = last.time;
  const hasEnded = FINAL_EVENTS.has(last.event);
  return lines.filter(({ time, host, event, values }) =>
    hosts.has(host) && time >= from &&
    (HOST_EVENTS.has(event) && time <= until ||
      event === "started" && time > until && !hasEnded) &&
    (values.upstream === undefined || upstreams.has(values.upstream))
  );
}

type Cause = (line: LogLine, hostEvents: readonly LogLine[]) => string;

const REFUSAL_CAUSES: Readonly<Record<string, Cause>> = {
  "no-policy": () => "the host had not read a policy yet",
  "policy-behind": ({ values }, hostEvents) =>
    `the host could not prove that its policy is the newest (last proof ` +
    `${values.proofAge} ms ago)${describeStoreLoss(hostEvents)}`,
  "no-route": ({ values }) =>
    `policy ${values.policy} has no route for ${values.path}`,
  "no-account": ({ values }) =>
    `policy ${values.policy} has no account with the caller's key`,
  "over-quota": ({ values }) =>
    `account ${values.account} was over its quota when it requested ` +
    `${values.units} more`,
  convicted: () => "requests with the same content crashed three upstreams",
  "line-too-long": ({ values }) =>
    `${values.ahead} requests were ahead and ${
      describeStartRate(values)
    }, so that it ` +
    "could not have started in time",
  "waited-out": ({ values }) =>
    `it waited ${values.held} ms for a place; ${
      describeStartRate(values)
    }, and ` +
    `${values.ahead} were ahead at the end`,
  "no-other-upstream": () =>
    "every upstream of the service had already been tried",
  "not-run-upstream": () =>
    "the upstream reported that it did not run the request",
  "unreachable-upstream": () => "no upstream accepted a connection",
  "upstream-lost": () => "the upstream's answer broke off or never came",
  stopping: () => "the host was stopping and accepted no more requests",
  deadline: () => "its time was over",
};

function describeCause(
  own: readonly LogLine[],
  hostEvents: readonly LogLine[],
): string {
  const last =
    [...own].reverse().find(({ event }) => event !== "request_ended") ??
      own.at(-1)!;
  const failures = own.filter(({ event }) => event === "request_failed")
    .map(({ values }) => describeFailure(values));
  const failureNote = failures.length === 0
    ? ""
    : `; before, ${failures.join(", ")}`;
  switch (last.event) {
    case "request_refused": {
      const cause = REFUSAL_CAUSES[String(last.values.reason)];
      const text = cause?.(last, hostEvents) ?? String(last.values.reason);
      return `Refused with ${last.values.status}: ${text}${failureNote}`;
    }
    case "request_cut":
      return `Cut after event ${last.values.lastEvent ?? "none"} ` +
        `(${last.values.detail})${failureNote}`;
    case "caller_left":
      return `The caller left ${describeProgress(last.values)}${failureNote}`;
    default:
      return `${describeOutcome(own.at(-1)!, hostEvents)}${failureNote}`;
  }
}

/** Describes the start rate of requests with the same tier and lateness. */
function describeStartRate({ startsPerSecond }: LogLine["values"]): string {
  return startsPerSecond === undefined
    ? "their start rate was not known yet"
    : `${startsPerSecond} requests like it started a second`;
}

function describeProgress(
  { took, first, lastEvent }: LogLine["values"],
): string {
  const after = `after ${took ?? "?"} ms`;
  if (first === undefined) return `${after}, before any response arrived`;
  return lastEvent === undefined
    ? `${after}, while the response was arriving`
    : `${after} and event ${lastEvent}`;
}

/** A killed process logs no outcome; its next start shows that it was lost. */
function describeOutcome(
  { host, time, values }: LogLine,
  hostEvents: readonly LogLine[],
): string {
  if (values.ending !== undefined) return `Ended as ${values.ending}`;
  const restart = hostEvents.find((line) =>
    line.event === "started" && line.host === host && line.time > time
  );
  return restart === undefined
    ? "No line reports its outcome; look for lines_left_out"
    : `Its host ended without a word while it was open, and started again ` +
      `${restart.time - time} ms after the last line`;
}

function describeFailure(values: LogLine["values"]): string {
  const where = values.upstream === undefined ? "" : `${values.upstream} `;
  return `${where}was ${values.outcome} (${values.detail})`;
}

function describeStoreLoss(hostEvents: readonly LogLine[]): string {
  const lost = [...hostEvents].reverse().find(({ event }) =>
    event === "store_lost"
  );
  return lost === undefined
    ? ""
    : `; the store was lost: ${lost.values.detail}`;
}
