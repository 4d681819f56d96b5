import type { FaultScenario } from "@wasabivane/proof";

// Guards against a job without an outcome when both other copies restart
// without state. The holder cannot know whether one of them dispatched it.
export const STRANDED_JOB_REPORTED_UNKNOWN: FaultScenario = {
  name: "strandedJobReportedUnknown",
  requests: { "export-1": { kind: "export", deadlineMs: 40_000 } },
  story: [
    { at: 0, do: "send", request: "export-1", via: "entry-1" },
    {
      once: { request: "export-1", is: "accepted" },
      do: "kill",
      hosts: ["entry-2", "entry-3"],
    },
    { at: 3_000, do: "restart", hosts: ["entry-2", "entry-3"] },
  ],
  expect: { "export-1": { ends: ["unknown"], dispatches: 0 } },
};
