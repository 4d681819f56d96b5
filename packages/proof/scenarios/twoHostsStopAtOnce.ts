import type { FaultScenario } from "@wasabivane/proof";

// Guards against truncated responses and lost jobs when two hosts are stopped
// at once and a host with copies dies while the first one drains.
export const TWO_HOSTS_STOP_AT_ONCE: FaultScenario = {
  name: "twoHostsStopAtOnce",
  hosts: 6,
  requests: {
    "draft-1": { kind: "draft", tokens: 150 },
    "draft-4": { kind: "draft", tokens: 150 },
    "review-1": { kind: "review", deadlineMs: 60_000 },
    "review-4": { kind: "review", deadlineMs: 60_000 },
  },
  story: [
    { at: 0, do: "send", request: "draft-1", via: "entry-1" },
    { at: 0, do: "send", request: "draft-4", via: "entry-4" },
    { at: 50, do: "send", request: "review-1", via: "entry-1" },
    { at: 50, do: "send", request: "review-4", via: "entry-4" },
    { at: 400, do: "stop", hosts: ["entry-1", "entry-4"] },
    { at: 2_600, do: "kill", hosts: ["entry-2"] },
  ],
  expect: {
    "draft-1": { ends: ["whole"], dispatches: 1 },
    "draft-4": { ends: ["whole"], dispatches: 1 },
    "review-1": { ends: ["whole"], dispatches: 1 },
    "review-4": { ends: ["whole"], dispatches: 1 },
  },
};
