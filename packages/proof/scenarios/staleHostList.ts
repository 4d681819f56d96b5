import type { FaultScenario } from "@wasabivane/proof";

// Guards against failed requests and repeated saves when a stale host list still
// contains dead hosts.
export const STALE_HOST_LIST: FaultScenario = {
  name: "staleHostList",
  hosts: 6,
  requests: {
    "draft-1": { kind: "draft", hasKey: false },
    "save-1": { kind: "save", hasKey: false },
    "save-2": { kind: "save" },
    "save-3": { kind: "save" },
  },
  story: [
    { at: 0, do: "platform", state: "stale" },
    { at: 100, do: "kill", hosts: ["entry-1", "entry-4"] },
    { at: 5_000, do: "send", request: "draft-1", via: "entry-2" },
    { at: 5_000, do: "send", request: "save-1", via: "entry-3" },
    { at: 5_000, do: "send", request: "save-2", via: "entry-3" },
    { at: 5_010, do: "send", request: "save-2", via: "entry-5" },
    { at: 5_000, do: "send", request: "save-3", via: "entry-6" },
    { at: 9_000, do: "send", request: "save-3", via: "entry-2" },
  ],
  expect: {
    "draft-1": { ends: ["whole"], dispatches: 1 },
    "save-1": { ends: ["whole"], dispatches: 1 },
  },
};
