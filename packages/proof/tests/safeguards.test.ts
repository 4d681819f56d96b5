import type { HostListSource } from "@wasabivane/bundle";
import { JobController, KeyService } from "@wasabivane/coordination";
import {
  checkScenario,
  emptyVerdict,
  type FaultScenario,
  INVARIANTS,
  type InvariantViolations,
  runScenario,
  type Safeguards,
  ScenarioJournal,
  type ScenarioVerdict,
} from "@wasabivane/proof";
import { VirtualTimer } from "@wasabivane/common";
import test from "ava";
import { ok } from "neverthrow";
import { MISROUTED_RESPONSES } from "../scenarios/misroutedResponses.ts";
import { JOB_HOLDER_CUT_FROM_COPIES } from "../scenarios/jobHolderCutFromCopies.ts";
import { RESEND_TO_ANOTHER_HOST_WHILE_FIRST_RUNS } from "../scenarios/resendToAnotherHostWhileFirstRuns.ts";
import { UPSTREAM_LEAVING } from "../scenarios/upstreamLeaving.ts";

// Guards against a checker that misses violations: each test disables one
// safeguard and expects the checker to report the resulting violation.

test.serial("without the nonce check a response of another request is passed on", async (t) => {
  const verdict = await runAndCheck(MISROUTED_RESPONSES, {
    shouldCheckNonce: false,
  });
  t.true(verdict.crossed > 0);
});

test.serial("without key claims a save runs twice", async (t) => {
  const claim = KeyService.prototype.claim;
  KeyService.prototype.claim = ({ account, key, request }) =>
    Promise.resolve({
      kind: "granted",
      owned: {
        account,
        key,
        claimId: request,
        home: "entry-1" as never,
        attempt: 1,
        expiresAt: Infinity,
      },
    });
  const { markDispatched } = KeyService.prototype;
  KeyService.prototype.markDispatched = () => true;
  const verdict = await runAndCheck(RESEND_TO_ANOTHER_HOST_WHILE_FIRST_RUNS);
  Object.assign(KeyService.prototype, { claim, markDispatched });
  t.true(verdict.doubleRuns > 0);
});

test.serial("without the dispatch record at the copies a job runs on both sides of a partition", async (t) => {
  const { recordDispatch } = JobController.prototype;
  JobController.prototype.recordDispatch = () => Promise.resolve(ok(undefined));
  const verdict = await runAndCheck(JOB_HOLDER_CUT_FROM_COPIES);
  JobController.prototype.recordDispatch = recordDispatch;
  t.true(verdict.doubleRuns > 0);
});

test.serial("without their leaving state leaving upstreams get new requests", async (t) => {
  const verdict = await runAndCheck(UPSTREAM_LEAVING, {
    overrideOptions: (options) => ({
      ...options,
      hostListSource: withoutLeavingState(options.hostListSource),
    }),
  });
  t.true(verdict.newWorkToLeavingAfterGrace > 0);
});

test("the checker reports the violations that no safeguard test covers", (t) => {
  const verdict = checkScenario(
    HANDWRITTEN_SCENARIO,
    createHandwrittenJournal(),
  );
  t.like(verdict, {
    cut: 1,
    falseNotRun: 1,
    lostJobs: 1,
    configurationReversions: 1,
    tierInversions: 1,
  });
});

test("a scenario with all safeguards has no violation", async (t) => {
  const verdict = await runAndCheck(MISROUTED_RESPONSES);
  t.deepEqual(violationsOf(verdict), violationsOf(emptyVerdict()));
});

async function runAndCheck(
  scenario: FaultScenario,
  safeguards: Safeguards = {},
): Promise<ScenarioVerdict> {
  return (await runScenario(scenario, safeguards)).verdict;
}

function violationsOf(verdict: ScenarioVerdict): Partial<InvariantViolations> {
  return Object.fromEntries(
    INVARIANTS.map((invariant) => [invariant, verdict[invariant]]),
  );
}

function withoutLeavingState(source: HostListSource): HostListSource {
  return {
    read: async (options) =>
      (await source.read(options)).map((read) =>
        read && {
          ...read,
          value: {
            ...read.value,
            upstreams: read.value.upstreams.map((upstream) => ({
              ...upstream,
              state: "live" as const,
            })),
          },
        }
      ),
  };
}

const HANDWRITTEN_SCENARIO: FaultScenario = {
  name: "handWritten",
  requests: {
    "cut": { kind: "draft", tier: 1 },
    "false": { kind: "save" },
    "lost": { kind: "export" },
    "shed": { kind: "draft", tier: 1 },
    "low": { kind: "draft", tier: 3 },
  },
  story: [],
};

function createHandwrittenJournal(): ScenarioJournal {
  const timer = new VirtualTimer();
  const journal = new ScenarioJournal(timer);
  const addDispatched = (request: string): void =>
    journal.add({
      kind: "dispatched",
      request,
      nonce: request,
      upstream: "drafter-01",
      host: "entry-1",
    });
  const addInForce = (version: number): void =>
    journal.add({
      kind: "in-force",
      host: "entry-1",
      incarnation: "start-1",
      version,
    });
  for (const request of Object.keys(HANDWRITTEN_SCENARIO.requests)) {
    journal.add({ kind: "sent", request, attempt: 1, host: "entry-1" });
  }
  addInForce(2);
  addInForce(1);
  timer.advance(20_000);
  const addEnded = (
    request: string,
    { ending, detail = "" }: {
      ending: "not-run" | "accepted" | "whole";
      detail?: string;
    },
  ): void =>
    journal.add({ kind: "ended", request, attempt: 1, ending, detail });
  addEnded("lost", { ending: "accepted" });
  addEnded("shed", { ending: "not-run", detail: "shed" });
  addEnded("false", { ending: "not-run", detail: "deadline-passed" });
  timer.advance(1);
  addDispatched("false");
  addDispatched("low");
  addEnded("low", { ending: "whole" });
  return journal;
}
