import type { FaultScenario } from "@wasabivane/proof";

// A caller hands in a review for the night and is told that it is accepted.
// The host that took it is killed before anything was sent to an engine. A
// copy in another failure domain takes over once it is clear that the dead host
// can no longer get leave to dispatch, and the caller fetches the whole review.
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
