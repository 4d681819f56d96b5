import type { FaultScenario } from "@wasabivane/proof";

// Guards against repeated jobs when the holder is killed after the dispatch.
// The completion is resumed at its engine; the plain call ends as unknown.
export const JOB_HOLDER_KILLED_AFTER_DISPATCH: FaultScenario = {
  name: "jobHolderKilledAfterDispatch",
  requests: {
    "review-1": { kind: "review", tokens: 100, deadlineMs: 40_000 },
    "export-1": { kind: "export", deadlineMs: 40_000 },
  },
  story: [
    { at: 0, do: "send", request: "review-1", via: "entry-1" },
    { at: 0, do: "send", request: "export-1", via: "entry-1" },
    {
      once: { request: "export-1", is: "dispatched" },
      after: 10,
      do: "kill",
      hosts: ["entry-1"],
    },
  ],
  expect: {
    "review-1": { ends: ["whole"], dispatches: 1 },
    "export-1": { ends: ["unknown"], dispatches: 1 },
  },
};
