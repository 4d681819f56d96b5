import type { FaultScenario } from "@wasabivane/proof";

// Guards against a job running on both sides of a partition between its holder
// and the other copies.
export const JOB_HOLDER_CUT_FROM_COPIES: FaultScenario = {
  name: "jobHolderCutFromCopies",
  requests: { "export-1": { kind: "export", deadlineMs: 60_000 } },
  story: [
    { at: 0, do: "send", request: "export-1", via: "entry-1" },
    {
      once: { request: "export-1", is: "accepted" },
      do: "partition",
      groups: [["entry-1"], ["entry-2", "entry-3", "entry-4"]],
    },
    { at: 20_000, do: "heal" },
  ],
  expect: { "export-1": { ends: ["whole"], dispatches: 1 } },
};
