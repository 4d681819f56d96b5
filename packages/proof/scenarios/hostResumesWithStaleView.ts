import type { FaultScenario } from "@wasabivane/proof";

// Two hosts are paused for an hour while a save waits at one of them, and its
// caller asks again through every other host. Those cannot know whether the
// paused process has sent it, so they say "unknown". When the paused hosts wake
// they believe that no time has passed, but they run nothing more: the deadline
// is long over, and the key is no longer theirs to use.
export const HOST_RESUMES_WITH_STALE_VIEW: FaultScenario = {
  name: "hostPausedAnHourWakesBelievingItsOldView",
  requests: { "save-1": { kind: "save" }, "save-2": { kind: "save" } },
  story: [
    { at: 0, do: "crash", upstream: "casefile-1", forMs: 3_000 },
    { at: 0, do: "crash", upstream: "casefile-2", forMs: 3_000 },
    { at: 100, do: "send", request: "save-1", via: "entry-1" },
    { at: 100, do: "send", request: "save-2", via: "entry-2" },
    {
      at: 102,
      do: "pause",
      hosts: ["entry-1", "entry-2"],
      forMs: 3_600_000,
    },
    { at: 4_000, do: "send", request: "save-1", via: "entry-3" },
    { at: 4_000, do: "send", request: "save-2", via: "entry-4" },
    { at: 9_000, do: "send", request: "save-1", via: "entry-4" },
    { at: 3_599_000, do: "send", request: "save-1", via: "entry-3" },
  ],
};
