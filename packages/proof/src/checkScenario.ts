import type { Milliseconds } from "@wasabivane/common";
import type { FaultScenario, ObservedOutcome } from "./scenario.ts";
import { isIdempotentKind, isJobKind } from "./scenarioCaller.ts";
import type { ScenarioJournal, TimedScenarioEvent } from "./scenarioJournal.ts";

/** Number of violations of each invariant. */
export interface InvariantViolations {
  /** Dispatches beyond those the caller's attempts allow, or reused nonces. */
  doubleDispatches: number;
  /** Non-idempotent requests that ran more than once. */
  doubleRuns: number;
  /** Responses with the content of another request. */
  crossed: number;
  /** Truncated responses presented as complete, and attempts without an end. */
  cut: number;
  /** Requests reported as not run that ran, unless after a resend. */
  falseNotRun: number;
  /** Accepted jobs without an outcome, unless all copies may be lost. */
  lostJobs: number;
  /** Bundles in force that are older than the previous one of the process. */
  configurationReversions: number;
  /** Requests shed while a lower-tier request was queued that ran later. */
  tierInversions: number;
  /** Dispatches to a leaving upstream after the grace period. */
  newWorkToLeavingAfterGrace: number;
}

/** Request counts and violations of a scenario. */
export interface ScenarioVerdict extends InvariantViolations {
  requests: number;
  whole: number;
  notRun: number;
  unknown: number;
  unknownThatHadNotRun: number;
  /** Descriptions of the violations and unmet expectations. */
  readonly findings: string[];
}

/** Names of all invariants. */
export const INVARIANTS: readonly (keyof InvariantViolations)[] = [
  "doubleDispatches",
  "doubleRuns",
  "crossed",
  "cut",
  "falseNotRun",
  "lostJobs",
  "configurationReversions",
  "tierInversions",
  "newWorkToLeavingAfterGrace",
];

const LEAVING_GRACE_MS: Milliseconds = 3_000;
/** Time until a queued request is known to the pool's coordinator. */
const QUEUE_VISIBILITY_MS: Milliseconds = 500;
/** Time after a disturbance in which coordinators may have incomplete state. */
const RECOVERY_MS: Milliseconds = 8_000;
/** Number of copies of a job, including the holder's. */
const JOB_COPIES = 3;

/** Creates a verdict without requests. */
export function emptyVerdict(): ScenarioVerdict {
  return {
    requests: 0,
    whole: 0,
    notRun: 0,
    unknown: 0,
    unknownThatHadNotRun: 0,
    doubleDispatches: 0,
    doubleRuns: 0,
    crossed: 0,
    cut: 0,
    falseNotRun: 0,
    lostJobs: 0,
    configurationReversions: 0,
    tierInversions: 0,
    newWorkToLeavingAfterGrace: 0,
    findings: [],
  };
}

/** Checks the outcomes seen by callers against the recorded events. */
export function checkScenario(
  scenario: FaultScenario,
  journal: ScenarioJournal,
): ScenarioVerdict {
  return new ScenarioChecker(scenario, journal).verdict();
}

class ScenarioChecker {
  readonly #scenario: FaultScenario;
  readonly #journal: ScenarioJournal;
  readonly #verdict = emptyVerdict();

  constructor(scenario: FaultScenario, journal: ScenarioJournal) {
    this.#scenario = scenario;
    this.#journal = journal;
  }

  verdict(): ScenarioVerdict {
    const sent = new Set(
      this.#journal.ofKind("sent").map(({ request }) => request),
    );
    for (const name of sent) this.#checkRequest(name);
    this.#checkNonces();
    this.#checkConfiguration();
    this.#checkTiers();
    this.#checkLeaving();
    return this.#verdict;
  }

  #checkRequest(name: string): void {
    const verdict = this.#verdict;
    const dispatches = this.#dispatchEventsOf(name);
    const ended = this.#endEventsOf(name);
    const outcome = finalOutcome(ended);
    verdict.requests++;
    if (outcome === "whole") verdict.whole++;
    else if (outcome === "not-run") verdict.notRun++;
    else {
      verdict.unknown++;
      if (dispatches.length === 0) verdict.unknownThatHadNotRun++;
    }
    this.#checkDispatches(name, dispatches.length);
    this.#checkResponses(name, ended);
    this.#checkNotRun(name, ended);
    this.#checkExpectation(name, { outcome, dispatches: dispatches.length });
  }

  #checkDispatches(name: string, dispatches: number): void {
    const { kind } = this.#scenario.requests[name]!;
    const attempts = this.#sendEventsOf(name).length;
    const allowed = isIdempotentKind(kind) && !isJobKind(kind) ? attempts : 1;
    if (dispatches > allowed) {
      this.#addViolation(
        "doubleDispatches",
        `${name} was dispatched ${dispatches} times`,
      );
    }
    if (!isIdempotentKind(kind) && dispatches > 1) {
      this.#addViolation("doubleRuns", `${name} ran ${dispatches} times`);
    }
  }

  #checkResponses(name: string, ended: EndEvent[]): void {
    for (const { fault, detail } of ended) {
      if (fault !== undefined) this.#addViolation(fault, `${name}: ${detail}`);
    }
    const isJob = ended.some(({ ending }) => ending === "accepted");
    if (isJob) {
      const isOver = ended.some(({ ending }) => ending !== "accepted");
      if (!isOver && !this.#isLossAllowed()) {
        this.#addViolation("lostJobs", `${name} was accepted and never ended`);
      }
      return;
    }
    if (ended.length < this.#sendEventsOf(name).length) {
      this.#addViolation("cut", `${name} has an attempt without an end`);
    }
  }

  #isLossAllowed(): boolean {
    const killed = this.#journal.ofKind("disturbed").filter(({ how }) =>
      how === "killed"
    );
    return killed.length >= JOB_COPIES;
  }

  /** Allows a dispatch after "not run" if the caller resent the request. */
  #checkNotRun(name: string, ended: EndEvent[]): void {
    const dispatches = this.#dispatchEventsOf(name);
    const sends = this.#sendEventsOf(name);
    for (const { at, ending, detail } of ended) {
      if (ending !== "not-run") continue;
      const isFalse = dispatches.some((dispatch) =>
        dispatch.at <= at ||
        !sends.some((send) => send.at > at && send.at <= dispatch.at)
      );
      if (isFalse) {
        this.#addViolation(
          "falseNotRun",
          `${name} was reported as not run (${detail})`,
        );
      }
    }
  }

  #checkExpectation(
    name: string,
    { outcome, dispatches }: { outcome: ObservedOutcome; dispatches: number },
  ): void {
    const expected = this.#scenario.expect?.[name];
    if (expected?.ends !== undefined && !expected.ends.includes(outcome)) {
      this.#verdict.findings.push(
        `expected ${name} to end ${expected.ends.join(" or ")}, was ${outcome}`,
      );
    }
    const expectedDispatches = expected?.dispatches;
    if (expectedDispatches !== undefined && expectedDispatches !== dispatches) {
      this.#verdict.findings.push(
        `expected ${expectedDispatches} dispatches of ${name}, were ${dispatches}`,
      );
    }
  }

  #checkNonces(): void {
    const seen = new Set<string>();
    for (const { nonce, request } of this.#journal.ofKind("dispatched")) {
      if (seen.has(nonce)) {
        this.#addViolation(
          "doubleDispatches",
          `${request} was dispatched twice with nonce ${nonce}`,
        );
      }
      seen.add(nonce);
    }
  }

  #checkConfiguration(): void {
    const versions = new Map<string, number>();
    for (
      const { incarnation, host, version } of this.#journal.ofKind("in-force")
    ) {
      const previous = versions.get(incarnation) ?? 0;
      if (version < previous) {
        this.#addViolation(
          "configurationReversions",
          `${host} went from bundle ${previous} to ${version}`,
        );
      }
      versions.set(incarnation, version);
    }
  }

  /** Skips disturbed periods, in which coordinators lack the fleet's state. */
  #checkTiers(): void {
    for (
      const { at, request, ending, detail } of this.#journal.ofKind("ended")
    ) {
      if (ending !== "not-run" || detail !== "shed") continue;
      if (this.#isDisturbed(at - RECOVERY_MS, at)) continue;
      const { tier = 2, kind } = this.#scenario.requests[request]!;
      const preferred = this.#journal.ofKind("dispatched").find((dispatch) => {
        const other = this.#scenario.requests[dispatch.request]!;
        const since = this.#sendEventsOf(dispatch.request)[0]!.at;
        return (other.tier ?? 2) > tier && dispatch.at > at &&
          since < at - QUEUE_VISIBILITY_MS &&
          isSameService(other.kind, kind);
      });
      if (preferred !== undefined) {
        this.#addViolation(
          "tierInversions",
          `${request} was shed while ${preferred.request} was queued and then ran`,
        );
      }
    }
  }

  #checkLeaving(): void {
    const leavingSince = new Map<string, Milliseconds>();
    for (const { at, upstreams } of this.#journal.ofKind("leaving-read")) {
      for (const upstream of upstreams) {
        if (!leavingSince.has(upstream)) leavingSince.set(upstream, at);
      }
    }
    for (
      const { at, upstream, request } of this.#journal.ofKind("dispatched")
    ) {
      const since = leavingSince.get(upstream);
      if (since === undefined || at <= since + LEAVING_GRACE_MS) continue;
      if (this.#isDisturbed(since, at)) continue;
      this.#addViolation(
        "newWorkToLeavingAfterGrace",
        `${request} went to ${upstream} ${at - since} ms after it was leaving`,
      );
    }
  }

  /** Whether a disturbance occurred or lasted within a period. */
  #isDisturbed(from: Milliseconds, to: Milliseconds): boolean {
    let isCut = false;
    let paused = 0;
    for (const { at, how } of this.#journal.ofKind("disturbed")) {
      if (at > to) break;
      if (how === "cut") isCut = true;
      if (how === "healed") isCut = false;
      if (how === "paused") paused++;
      if (how === "woken") paused--;
      if (at >= from) return true;
    }
    return isCut || paused > 0;
  }

  #dispatchEventsOf(
    name: string,
  ): Extract<TimedScenarioEvent, { kind: "dispatched" }>[] {
    return this.#journal.ofKind("dispatched").filter(({ request }) =>
      request === name
    );
  }

  #sendEventsOf(name: string): Extract<TimedScenarioEvent, { kind: "sent" }>[] {
    return this.#journal.ofKind("sent").filter(({ request }) =>
      request === name
    );
  }

  #endEventsOf(name: string): EndEvent[] {
    return this.#journal.ofKind("ended").filter(({ request }) =>
      request === name
    );
  }

  #addViolation(
    invariant: keyof InvariantViolations,
    description: string,
  ): void {
    this.#verdict[invariant]++;
    this.#verdict.findings.push(`${invariant}: ${description}`);
  }
}

type EndEvent = Extract<TimedScenarioEvent, { kind: "ended" }>;

/** Returns `whole` if any attempt completed, else the last outcome. */
function finalOutcome(ended: EndEvent[]): ObservedOutcome {
  if (ended.some(({ ending }) => ending === "whole")) return "whole";
  const reported = ended.filter(({ detail }) =>
    detail !== "connection-refused"
  );
  const last = reported.at(-1)?.ending;
  if (last === undefined) return ended.length > 0 ? "not-run" : "unknown";
  return last === "accepted" ? "unknown" : last;
}

function isSameService(
  left: Parameters<typeof isJobKind>[0],
  right: Parameters<typeof isJobKind>[0],
): boolean {
  const models = ["draft", "answer", "review"];
  return models.includes(left) === models.includes(right);
}
