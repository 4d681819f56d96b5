import type { FaultScenario } from "@wasabivane/proof";

// Guards against failed or repeated requests when a partition splits the fleet
// into halves, each with its share of the upstream slots.
export const PARTITION_SPLITS_FLEET: FaultScenario = {
  name: "partitionSplitsFleet",
  requests: {
    "draft-1": { kind: "draft", hasKey: false },
    "draft-2": { kind: "draft", hasKey: false },
    "save-1": { kind: "save", hasKey: false },
    "save-2": { kind: "save", hasKey: false },
  },
  story: [
    {
      at: 0,
      do: "partition",
      groups: [["entry-1", "entry-2"], ["entry-3", "entry-4"]],
    },
    { at: 100, do: "send", request: "save-1", via: "entry-1" },
    { at: 100, do: "send", request: "save-2", via: "entry-3" },
    { at: 5_000, do: "send", request: "draft-1", via: "entry-2" },
    { at: 5_000, do: "send", request: "draft-2", via: "entry-4" },
    { at: 12_000, do: "heal" },
  ],
  expect: {
    "draft-1": { ends: ["whole"], dispatches: 1 },
    "draft-2": { ends: ["whole"], dispatches: 1 },
    "save-1": { ends: ["whole"], dispatches: 1 },
    "save-2": { ends: ["whole"], dispatches: 1 },
  },
};
