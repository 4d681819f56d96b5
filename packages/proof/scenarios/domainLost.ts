import type { FaultScenario } from "@wasabivane/proof";

// Guards against lost or repeated requests and jobs when a failure domain,
// including a job holder, is lost at once.
export const DOMAIN_LOST: FaultScenario = {
  name: "domainLost",
  hosts: 6,
  requests: {
    "export-1": { kind: "export", deadlineMs: 40_000 },
    "draft-1": { kind: "draft", hasKey: false },
    "save-1": { kind: "save", hasKey: false },
  },
  story: [
    { at: 0, do: "send", request: "export-1", via: "entry-1" },
    {
      once: { request: "export-1", is: "accepted" },
      do: "kill",
      hosts: ["entry-1", "entry-4"],
    },
    { at: 500, do: "send", request: "draft-1", via: "entry-2" },
    { at: 500, do: "send", request: "save-1", via: "entry-3" },
  ],
  expect: {
    "export-1": { ends: ["whole"], dispatches: 1 },
    "draft-1": { ends: ["whole"], dispatches: 1 },
    "save-1": { ends: ["whole"], dispatches: 1 },
  },
};
