import type { FaultScenario } from "@wasabivane/proof";

// Guards against lost jobs when the holder is killed after the acceptance and
// before the dispatch.
export const JOB_HOLDER_KILLED_BEFORE_DISPATCH: FaultScenario = {
  name: "jobHolderKilledBeforeDispatch",
  requests: {
    "review-1": { kind: "review", deadlineMs: 40_000 },
    "export-1": { kind: "export", deadlineMs: 40_000 },
  },
  story: [
    { at: 0, do: "send", request: "review-1", via: "entry-1" },
    { at: 50, do: "send", request: "export-1", via: "entry-1" },
    {
      once: { request: "export-1", is: "accepted" },
      do: "kill",
      hosts: ["entry-1"],
    },
  ],
  expect: {
    "review-1": { ends: ["whole"], dispatches: 1 },
    "export-1": { ends: ["whole"], dispatches: 1 },
  },
};
