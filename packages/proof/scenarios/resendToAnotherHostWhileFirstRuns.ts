import type { FaultScenario } from "@wasabivane/proof";

// Guards against a second dispatch when a caller resends a running request
// through another host. The resend receives the complete response.
export const RESEND_TO_ANOTHER_HOST_WHILE_FIRST_RUNS: FaultScenario = {
  name: "resendToAnotherHostWhileFirstRuns",
  requests: {
    "draft-1": { kind: "draft", tokens: 100 },
    "save-1": { kind: "save" },
  },
  story: [
    { at: 0, do: "slow", upstream: "casefile-1", factor: 20 },
    { at: 0, do: "slow", upstream: "casefile-2", factor: 20 },
    { at: 0, do: "send", request: "draft-1", via: "entry-1" },
    { at: 0, do: "send", request: "save-1", via: "entry-1" },
    { at: 600, do: "hang-up", request: "draft-1" },
    { at: 600, do: "hang-up", request: "save-1" },
    { at: 700, do: "send", request: "draft-1", via: "entry-2" },
    { at: 700, do: "send", request: "save-1", via: "entry-3" },
  ],
  expect: {
    "draft-1": { ends: ["whole"], dispatches: 1 },
    "save-1": { ends: ["whole"], dispatches: 1 },
  },
};
