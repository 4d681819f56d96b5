import type { Milliseconds } from "@wasabivane/common";
import type { FaultScenario, ObservedOutcome } from "./scenario.ts";
import { isIdempotentKind, isJobKind } from "./scenarioCaller.ts";
import type { ScenarioJournal, TimedScenarioEvent } from "./scenarioJournal.ts";

/** Broken promises, each 0 in a sound system. */
export interface InvariantViolations {
  /** Dispatches beyond what the callers' own attempts allow, or one nonce twice. */
  doubleDispatches: number;
  /** Runs of a request that must not run twice, after the first. */
  doubleRuns: number;
  /** Answers with another request's content. */
  crossed: number;
  /** Parts taken for the whole, and requests that never ended. */
  cut: number;
  /** "Not run" said of a request that had run, or ran later without a resend. */
  falseNotRun: number;
  /** Accepted jobs that no host knows in the end, fewer hosts having died than held copies. */
  lostJobs: number;
  /** Times a process took a bundle older than the one it had. */
  configurationReversions: number;
  /** Requests shed while work of a lower tier waited and then ran. */
  tierInversions: number;
  /** Dispatches to an upstream 3 s after a host had learned that it leaves. */
  newWorkToLeavingAfterGrace: number;
}

/** How a scenario ended, judged by one who saw everything. */
export interface ScenarioVerdict extends InvariantViolations {
  requests: number;
  whole: number;
  notRun: number;
  unknown: number;
  unknownThatHadNotRun: number;
  /** What was found, in words. */
  readonly findings: string[];
}

/** Names of the counters of {@link InvariantViolations}. */
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
/** Time for a message and a tick; a lower tier that waits shorter may not be known yet. */
const KNOWN_WAITING_MS: Milliseconds = 500;
/** How long after a disturbance keepers may know less than the whole fleet. */
const DISTURBED_MS: Milliseconds = 8_000;
/** Holder and two copies. */
const JOB_COPIES = 3;

/** A verdict without any request. */
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

/** Compares what callers were told with everything that happened. */
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
    for (const name of sent) this.#judgeRequest(name);
    this.#judgeNonces();
    this.#judgeConfiguration();
    this.#judgeTiers();
    this.#judgeLeaving();
    return this.#verdict;
  }

  #judgeRequest(name: string): void {
    const verdict = this.#verdict;
    const dispatches = this.#dispatchesOf(name);
    const ended = this.#endsOf(name);
    const ending = finalEnding(ended);
    verdict.requests++;
    if (ending === "whole") verdict.whole++;
    else if (ending === "not-run") verdict.notRun++;
    else {
      verdict.unknown++;
      if (dispatches.length === 0) verdict.unknownThatHadNotRun++;
    }
    this.#judgeDispatches(name, dispatches.length);
    this.#judgeAnswers(name, ended);
    this.#judgeNotRun(name, ended);
    this.#judgeExpectation(name, { ending, dispatches: dispatches.length });
  }

  #judgeDispatches(name: string, dispatches: number): void {
    const { kind } = this.#scenario.requests[name]!;
    const attempts = this.#sendsOf(name).length;
    const allowed = isIdempotentKind(kind) && !isJobKind(kind) ? attempts : 1;
    if (dispatches > allowed) {
      this.#found("doubleDispatches", `${name} left ${dispatches} times`);
    }
    if (!isIdempotentKind(kind) && dispatches > 1) {
      this.#found("doubleRuns", `${name} ran ${dispatches} times`);
    }
  }

  #judgeAnswers(name: string, ended: Ended[]): void {
    for (const { fault, detail } of ended) {
      if (fault !== undefined) this.#found(fault, `${name}: ${detail}`);
    }
    const isJob = ended.some(({ ending }) => ending === "accepted");
    if (isJob) {
      const isOver = ended.some(({ ending }) => ending !== "accepted");
      if (!isOver && !this.#isLossExcused()) {
        this.#found("lostJobs", `${name} was accepted and never ended`);
      }
      return;
    }
    if (ended.length < this.#sendsOf(name).length) {
      this.#found("cut", `${name} has an attempt without an ending`);
    }
  }

  #isLossExcused(): boolean {
    const killed = this.#journal.ofKind("disturbed").filter(({ how }) =>
      how === "killed"
    );
    return killed.length >= JOB_COPIES;
  }

  /** A resend by the caller after "not run" is a new chance, not a false word. */
  #judgeNotRun(name: string, ended: Ended[]): void {
    const dispatches = this.#dispatchesOf(name);
    const sends = this.#sendsOf(name);
    for (const { at, ending, detail } of ended) {
      if (ending !== "not-run") continue;
      const isFalse = dispatches.some((dispatch) =>
        dispatch.at <= at ||
        !sends.some((send) => send.at > at && send.at <= dispatch.at)
      );
      if (isFalse) {
        this.#found("falseNotRun", `${name} was told "not run" (${detail})`);
      }
    }
  }

  #judgeExpectation(
    name: string,
    { ending, dispatches }: { ending: ObservedOutcome; dispatches: number },
  ): void {
    const expected = this.#scenario.expect?.[name];
    if (expected?.ends !== undefined && !expected.ends.includes(ending)) {
      this.#verdict.findings.push(
        `expected ${name} to end ${expected.ends.join(" or ")}, was ${ending}`,
      );
    }
    const wanted = expected?.dispatches;
    if (wanted !== undefined && wanted !== dispatches) {
      this.#verdict.findings.push(
        `expected ${wanted} dispatches of ${name}, were ${dispatches}`,
      );
    }
  }

  #judgeNonces(): void {
    const seen = new Set<string>();
    for (const { nonce, request } of this.#journal.ofKind("dispatched")) {
      if (seen.has(nonce)) {
        this.#found("doubleDispatches", `${request} left twice as ${nonce}`);
      }
      seen.add(nonce);
    }
  }

  #judgeConfiguration(): void {
    const versions = new Map<string, number>();
    for (
      const { incarnation, host, version } of this.#journal.ofKind("in-force")
    ) {
      const former = versions.get(incarnation) ?? 0;
      if (version < former) {
        this.#found(
          "configurationReversions",
          `${host} went from ${former} to ${version}`,
        );
      }
      versions.set(incarnation, version);
    }
  }

  /** Only where no fault has parted what the keepers know. */
  #judgeTiers(): void {
    for (
      const { at, request, ending, detail } of this.#journal.ofKind("ended")
    ) {
      if (ending !== "not-run" || detail !== "shed") continue;
      if (this.#isDisturbed(at - DISTURBED_MS, at)) continue;
      const { tier = 2, kind } = this.#scenario.requests[request]!;
      const passed = this.#journal.ofKind("dispatched").find((dispatch) => {
        const other = this.#scenario.requests[dispatch.request]!;
        const since = this.#sendsOf(dispatch.request)[0]!.at;
        return (other.tier ?? 2) > tier && dispatch.at > at &&
          since < at - KNOWN_WAITING_MS &&
          isSameService(other.kind, kind);
      });
      if (passed !== undefined) {
        this.#found(
          "tierInversions",
          `${request} was shed while ${passed.request} waited and then ran`,
        );
      }
    }
  }

  #judgeLeaving(): void {
    const learned = new Map<string, Milliseconds>();
    for (const { at, upstreams } of this.#journal.ofKind("leaving-read")) {
      for (const upstream of upstreams) {
        if (!learned.has(upstream)) learned.set(upstream, at);
      }
    }
    for (
      const { at, upstream, request } of this.#journal.ofKind("dispatched")
    ) {
      const since = learned.get(upstream);
      if (since === undefined || at <= since + LEAVING_GRACE_MS) continue;
      if (this.#isDisturbed(since, at)) continue;
      this.#found(
        "newWorkToLeavingAfterGrace",
        `${request} went to ${upstream} ${at - since} ms after it was leaving`,
      );
    }
  }

  /** Whether hosts were cut off, paused or fresh at some time within the span. */
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

  #dispatchesOf(
    name: string,
  ): Extract<TimedScenarioEvent, { kind: "dispatched" }>[] {
    return this.#journal.ofKind("dispatched").filter(({ request }) =>
      request === name
    );
  }

  #sendsOf(name: string): Extract<TimedScenarioEvent, { kind: "sent" }>[] {
    return this.#journal.ofKind("sent").filter(({ request }) =>
      request === name
    );
  }

  #endsOf(name: string): Ended[] {
    return this.#journal.ofKind("ended").filter(({ request }) =>
      request === name
    );
  }

  #found(promise: keyof InvariantViolations, finding: string): void {
    this.#verdict[promise]++;
    this.#verdict.findings.push(`${promise}: ${finding}`);
  }
}

type Ended = Extract<TimedScenarioEvent, { kind: "ended" }>;

/** The whole answer where one came, else what the caller was told last. */
function finalEnding(ended: Ended[]): ObservedOutcome {
  if (ended.some(({ ending }) => ending === "whole")) return "whole";
  const told = ended.filter(({ detail }) => detail !== "connection-refused");
  const last = told.at(-1)?.ending;
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
