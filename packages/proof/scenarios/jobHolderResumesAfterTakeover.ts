import type { FaultScenario } from "@wasabivane/proof";

// Guards against a second dispatch by a job holder that resumes after a long
// pause, when the other copies have already run the job.
export const JOB_HOLDER_RESUMES_AFTER_TAKEOVER: FaultScenario = {
  name: "jobHolderResumesAfterTakeover",
  requests: { "export-1": { kind: "export", deadlineMs: 60_000 } },
  story: [
    { at: 0, do: "send", request: "export-1", via: "entry-1" },
    {
      once: { request: "export-1", is: "accepted" },
      do: "pause",
      hosts: ["entry-1"],
      forMs: 3_600_000,
    },
    { at: 30_000, do: "heal" },
  ],
  expect: { "export-1": { ends: ["whole"], dispatches: 1 } },
};
