import type { FaultScenario } from "@wasabivane/proof";

// Two jobs have just left for their upstreams when the host that held them is
// killed. The copies know where each one went. The review is fetched from its
// engine, which still has it; the export went to a service that keeps nothing,
// so its caller is told that the ending is unknown. Neither runs again.
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
