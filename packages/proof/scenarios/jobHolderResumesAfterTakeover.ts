import type { FaultScenario } from "@wasabivane/proof";

// The holder of a job is paused for an hour right after it accepted the job.
// The copies wait, agree that it can no longer dispatch, and run the job. When
// the holder wakes it still believes that the job is its own; it must ask the
// copies before it sends a byte, and learns that the job has run.
export const JOB_HOLDER_RESUMES_AFTER_TAKEOVER: FaultScenario = {
  name: "hostPausedAnHourWakesWithAJob",
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
