import type { LogEvent } from "@wasabivane/gateway";
import type { LogLine } from "./logLines.ts";

/** Changes of belief that are older than this did not decide a request. */
const BEFORE_MS = 5_000;

/** Events that tell what a host believed. */
const BELIEF_EVENTS: ReadonlySet<LogEvent> = new Set<LogEvent>([
  "store_lost",
  "store_regained",
  "store_history_lost",
  "policy_adopted",
  "peers_changed",
  "keeper_passed_over",
  "stopping",
  "upstream_left",
  "upstream_ejected",
  "crash_confirmed",
]);

/** Events after which a request is over. */
const END_EVENTS: ReadonlySet<LogEvent> = new Set<LogEvent>([
  "request_ended",
  "request_refused",
  "request_cut",
  "caller_left",
]);

/** What the lines of all hosts say of one request. */
export interface RequestExplanation {
  /** The request's own lines, and changes of belief that bear on it. */
  readonly lines: readonly LogLine[];
  /** Why it ended as it did. */
  readonly cause: string;
}

/** Finds why a request ended as it did; `undefined` when no line names it. */
export function explainRequest(
  lines: readonly LogLine[],
  id: string,
): RequestExplanation | undefined {
  const own = lines.filter(({ values }) => values.id === id);
  if (own.length === 0) return undefined;
  const beliefs = beliefsFor(own, lines);
  const all = [...own, ...beliefs]
    .sort((left, right) => left.time - right.time);
  return { lines: all, cause: causeOf(own, beliefs) };
}

function beliefsFor(
  own: readonly LogLine[],
  lines: readonly LogLine[],
): LogLine[] {
  const hosts = new Set(own.map(({ host }) => host));
  const upstreams = new Set(own.map(({ values }) => values.upstream));
  const from = own[0]!.time - BEFORE_MS;
  const last = own.at(-1)!;
  const until = last.time;
  const hasEnd = END_EVENTS.has(last.event);
  return lines.filter(({ time, host, event, values }) =>
    hosts.has(host) && time >= from &&
    (BELIEF_EVENTS.has(event) && time <= until ||
      event === "started" && time > until && !hasEnd) &&
    (values.upstream === undefined || upstreams.has(values.upstream))
  );
}

type Cause = (line: LogLine, beliefs: readonly LogLine[]) => string;

const REFUSAL_CAUSES: Readonly<Record<string, Cause>> = {
  "no-policy": () => "the host had not read a policy yet",
  "policy-behind": ({ values }, beliefs) =>
    `the host could not prove that its policy is the newest (last proof ` +
    `${values.proofAge} ms ago)${storeNote(beliefs)}`,
  "no-route": ({ values }) =>
    `policy ${values.policy} has no route for ${values.path}`,
  "no-account": ({ values }) =>
    `policy ${values.policy} has no account with the caller's key`,
  "over-quota": ({ values }) =>
    `account ${values.account} was over its quota when it asked for ` +
    `${values.units} more`,
  convicted: () => "requests with the same content crashed three upstreams",
  "line-too-long": ({ values }) =>
    `${values.ahead} requests were ahead and ${paceOf(values)}, so that it ` +
    "could not have started in time",
  "waited-out": ({ values }) =>
    `it waited ${values.held} ms for a place; ${paceOf(values)}, and ` +
    `${values.ahead} were ahead at the end`,
  "no-other-upstream": () => "every upstream of the service had it already",
  "not-run-upstream": () => "the upstream said that it did not run it",
  "unreachable-upstream": () => "no upstream could be connected to",
  "upstream-lost": () => "the upstream's answer broke off or never came",
  stopping: () => "the host was about to end and took nothing any more",
  deadline: () => "its time was over",
};

function causeOf(
  own: readonly LogLine[],
  beliefs: readonly LogLine[],
): string {
  const last =
    [...own].reverse().find(({ event }) => event !== "request_ended") ??
      own.at(-1)!;
  const failures = own.filter(({ event }) => event === "request_failed")
    .map(({ values }) => failureText(values));
  const failed = failures.length === 0
    ? ""
    : `; before, ${failures.join(", ")}`;
  switch (last.event) {
    case "request_refused": {
      const cause = REFUSAL_CAUSES[String(last.values.reason)];
      const text = cause?.(last, beliefs) ?? String(last.values.reason);
      return `Refused with ${last.values.status}: ${text}${failed}`;
    }
    case "request_cut":
      return `Cut after event ${last.values.lastEvent ?? "none"} ` +
        `(${last.values.detail})${failed}`;
    case "caller_left":
      return `The caller left ${progressOf(last.values)}${failed}`;
    default:
      return `${endingOf(own.at(-1)!, beliefs)}${failed}`;
  }
}

/** How fast requests of the same tier and lateness started. */
function paceOf({ startsPerSecond }: LogLine["values"]): string {
  return startsPerSecond === undefined
    ? "their pace was not known yet"
    : `${startsPerSecond} requests like it started a second`;
}

function progressOf({ took, first, lastEvent }: LogLine["values"]): string {
  const after = `after ${took ?? "?"} ms`;
  if (first === undefined) return `${after}, before anything had come`;
  return lastEvent === undefined
    ? `${after}, with the answer on its way`
    : `${after} and event ${lastEvent}`;
}

/** A process that is killed writes no end; its next start tells of it. */
function endingOf(
  { host, time, values }: LogLine,
  beliefs: readonly LogLine[],
): string {
  if (values.ending !== undefined) return `Ended as ${values.ending}`;
  const restart = beliefs.find((line) =>
    line.event === "started" && line.host === host && line.time > time
  );
  return restart === undefined
    ? "No line tells its end; look for lines_left_out"
    : `Its host ended without a word while it was open, and started again ` +
      `${restart.time - time} ms after the last line`;
}

function failureText(values: LogLine["values"]): string {
  const where = values.upstream === undefined ? "" : `${values.upstream} `;
  return `${where}was ${values.outcome} (${values.detail})`;
}

function storeNote(beliefs: readonly LogLine[]): string {
  const lost = [...beliefs].reverse().find(({ event }) =>
    event === "store_lost"
  );
  return lost === undefined
    ? ""
    : `; the store was lost: ${lost.values.detail}`;
}
