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

// Each test takes one safeguard away and runs a scenario that is sound with it.
// What a caller would then suffer must be found by the judge; otherwise the
// zeros that the fault schedules report would say nothing.

test.serial("without the nonce check a caller gets another's answer", async (t) => {
  const verdict = await judged(MISROUTED_RESPONSES, {
    shouldCheckNonce: false,
  });
  t.true(verdict.crossed > 0);
});

test.serial("without the claim of keys a save runs twice", async (t) => {
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
  const verdict = await judged(RESEND_TO_ANOTHER_HOST_WHILE_FIRST_RUNS);
  Object.assign(KeyService.prototype, { claim, markDispatched });
  t.true(verdict.doubleRuns > 0);
});

test.serial("without the record at the copies a job runs on both sides of a cut", async (t) => {
  const { recordDispatch } = JobController.prototype;
  JobController.prototype.recordDispatch = () => Promise.resolve(ok(undefined));
  const verdict = await judged(JOB_HOLDER_CUT_FROM_COPIES);
  JobController.prototype.recordDispatch = recordDispatch;
  t.true(verdict.doubleRuns > 0);
});

test.serial("without word of leaving upstreams they get new work", async (t) => {
  const verdict = await judged(UPSTREAM_LEAVING, {
    overrideOptions: (options) => ({
      ...options,
      hostListSource: deafToLeaving(options.hostListSource),
    }),
  });
  t.true(verdict.newWorkToLeavingAfterGrace > 0);
});

test("the judge finds each broken promise that no safeguard test reaches", (t) => {
  const verdict = checkScenario(HAND_WRITTEN, handWrittenJournal());
  t.like(verdict, {
    cut: 1,
    falseNotRun: 1,
    lostJobs: 1,
    configurationReversions: 1,
    tierInversions: 1,
  });
});

test("a scenario with every safeguard breaks no promise", async (t) => {
  const verdict = await judged(MISROUTED_RESPONSES);
  t.deepEqual(brokenOf(verdict), brokenOf(emptyVerdict()));
});

async function judged(
  scenario: FaultScenario,
  safeguards: Safeguards = {},
): Promise<ScenarioVerdict> {
  return (await runScenario(scenario, safeguards)).verdict;
}

function brokenOf(verdict: ScenarioVerdict): Partial<InvariantViolations> {
  return Object.fromEntries(
    INVARIANTS.map((promise) => [promise, verdict[promise]]),
  );
}

function deafToLeaving(source: HostListSource): HostListSource {
  return {
    read: async (options) =>
      (await source.read(options)).map((answer) =>
        answer && {
          ...answer,
          value: {
            ...answer.value,
            upstreams: answer.value.upstreams.map((upstream) => ({
              ...upstream,
              state: "live" as const,
            })),
          },
        }
      ),
  };
}

const HAND_WRITTEN: FaultScenario = {
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

function handWrittenJournal(): ScenarioJournal {
  const timer = new VirtualTimer();
  const journal = new ScenarioJournal(timer);
  const dispatched = (request: string): void =>
    journal.add({
      kind: "dispatched",
      request,
      nonce: request,
      upstream: "drafter-01",
      host: "entry-1",
    });
  const inForce = (version: number): void =>
    journal.add({
      kind: "in-force",
      host: "entry-1",
      incarnation: "start-1",
      version,
    });
  for (const request of Object.keys(HAND_WRITTEN.requests)) {
    journal.add({ kind: "sent", request, attempt: 1, host: "entry-1" });
  }
  inForce(2);
  inForce(1);
  timer.advance(20_000);
  const end = (
    request: string,
    { ending, detail = "" }: {
      ending: "not-run" | "accepted" | "whole";
      detail?: string;
    },
  ): void =>
    journal.add({ kind: "ended", request, attempt: 1, ending, detail });
  end("lost", { ending: "accepted" });
  end("shed", { ending: "not-run", detail: "shed" });
  end("false", { ending: "not-run", detail: "deadline-passed" });
  timer.advance(1);
  dispatched("false");
  dispatched("low");
  end("low", { ending: "whole" });
  return journal;
}
