import type { FaultScenario } from "@wasabivane/proof";

// Guards against lost requests when the coordinator of the pool, entry-4, is
// killed while requests run and one is queued.
export const COORDINATOR_DIES: FaultScenario = {
  name: "coordinatorDies",
  concurrency: 1,
  requests: {
    "draft-1": { kind: "draft", tokens: 200 },
    "draft-2": { kind: "draft", tokens: 200 },
    "draft-3": { kind: "draft", tokens: 200 },
    "draft-4": { kind: "draft", tokens: 8 },
  },
  story: [
    { at: 0, do: "send", request: "draft-1", via: "entry-2" },
    { at: 0, do: "send", request: "draft-2", via: "entry-3" },
    { at: 0, do: "send", request: "draft-3", via: "entry-2" },
    { at: 2_000, do: "send", request: "draft-4", via: "entry-3" },
    { at: 2_500, do: "kill", hosts: ["entry-4"] },
  ],
  expect: {
    "draft-1": { ends: ["whole"], dispatches: 1 },
    "draft-2": { ends: ["whole"], dispatches: 1 },
    "draft-3": { ends: ["whole"], dispatches: 1 },
    "draft-4": { ends: ["whole"], dispatches: 1 },
  },
};
