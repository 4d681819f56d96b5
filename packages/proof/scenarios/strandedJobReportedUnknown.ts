import type { FaultScenario } from "@wasabivane/proof";

// A job has just been accepted when both hosts that hold its copies die at
// once and come back without memory of it. Its holder can no longer get leave
// to dispatch, and cannot know whether a copy got it before it died. The caller
// who fetches the job is told in words that its ending is unknown.
export const STRANDED_JOB_REPORTED_UNKNOWN: FaultScenario = {
  name: "strandedJobIsToldInWords",
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
