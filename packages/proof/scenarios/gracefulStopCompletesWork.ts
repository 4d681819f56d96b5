import type { FaultScenario } from "@wasabivane/proof";

// Guards against truncated responses and lost jobs during a graceful stop.
export const GRACEFUL_STOP_COMPLETES_WORK: FaultScenario = {
  name: "gracefulStopCompletesWork",
  requests: {
    "draft-1": { kind: "draft", tokens: 200 },
    "save-1": { kind: "save", hasKey: true },
    "review-1": { kind: "review", deadlineMs: 40_000 },
  },
  story: [
    { at: 0, do: "send", request: "draft-1", via: "entry-1" },
    { at: 50, do: "send", request: "save-1", via: "entry-1" },
    { at: 100, do: "send", request: "review-1", via: "entry-1" },
    {
      once: { request: "review-1", is: "accepted" },
      do: "stop",
      hosts: ["entry-1"],
    },
  ],
  expect: {
    "draft-1": { ends: ["whole"], dispatches: 1 },
    "save-1": { ends: ["whole"], dispatches: 1 },
    "review-1": { ends: ["whole"], dispatches: 1 },
  },
};
